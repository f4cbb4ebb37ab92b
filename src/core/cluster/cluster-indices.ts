/** Keeps the indices of `Cluster` that follow from the fields of one machine or one job. Internal to `cluster-*`. */
import * as Data from "effect/Data";
import type { Cluster, TaskAttempt, Job, Machine } from "./cluster-state.js";
import { CAPACITY_EPSILON } from "../placement/quota.js";

/** An attempt is on a machine that the cluster doesn't have: a fault of this program, which no caller can make good. */
export class AttemptWithoutMachine extends Data.TaggedError("AttemptWithoutMachine")<{
  readonly job: string;
  readonly machine: string;
  readonly message: string;
}> {}

/** The machine that an attempt is on. A machine is dropped only after its attempts, so there always is one. */
export const machineOf = (cluster: Cluster, attempt: TaskAttempt): Machine => {
  const machine = cluster.machines.get(attempt.machine);
  if (machine !== undefined) return machine;
  throw new AttemptWithoutMachine({
    job: attempt.job,
    machine: attempt.machine,
    message: `an attempt of ${attempt.job} on an unknown machine: ${attempt.machine}`,
  });
};

const updateIndex = (index: Set<Machine>, machine: Machine, belongs: boolean): void => {
  if (belongs) index.add(machine);
  else index.delete(machine);
};

/** Puts a machine into the indices that follow from its own fields. */
export const indexMachine = (cluster: Cluster, machine: Machine): void => {
  updateIndex(cluster.unconfirmed, machine, machine.recorded && !machine.confirmed);
  updateIndex(cluster.unrecorded, machine, !machine.recorded && machine.lastHeartbeatAt !== null);
  const hasMemory = machine.memoryGb - machine.used.memoryGb > CAPACITY_EPSILON;
  cluster.capacityIndex.set(machine, hasMemory ? machine.cpus - machine.used.cpus : 0);
};

/** A task is no longer to be started. */
export const removePending = (cluster: Cluster, job: Job, index: number): void => {
  job.pending.delete(index);
  if (job.pending.size === 0) cluster.pendingJobs.delete(job);
};

/** Something about a task's attempts has changed: the reconciler looks at their machines. */
export const scheduleReconciliation = (cluster: Cluster, job: Job, index: number): void => {
  const attempts = job.attempts.get(index);
  if (attempts === undefined) return;
  for (const attempt of attempts) cluster.reconcileQueue.add(machineOf(cluster, attempt));
};
