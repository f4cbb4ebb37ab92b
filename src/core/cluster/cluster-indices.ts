/** Maintains the indices of `Cluster` that depend on a single machine or job. Internal to the `cluster-*` modules. */
import * as Data from "effect/Data";
import type { Cluster, TaskAttempt, Job, Machine } from "./cluster-state.js";
import { CAPACITY_EPSILON } from "../placement/quota.js";

/** An attempt refers to a machine that the cluster doesn't have. This is a bug, which callers can't recover from. */
export class AttemptWithoutMachine extends Data.TaggedError("AttemptWithoutMachine")<{
  readonly job: string;
  readonly machine: string;
  readonly message: string;
}> {}

/** The machine that an attempt is on. It always exists, since a machine is removed only after its attempts. */
export const machineOf = (cluster: Cluster, attempt: TaskAttempt): Machine => {
  const machine = cluster.machines.get(attempt.machine);
  if (machine !== undefined) return machine;
  throw new AttemptWithoutMachine({
    job: attempt.job,
    machine: attempt.machine,
    message: `attempt of job ${attempt.job} refers to unknown machine ${attempt.machine}`,
  });
};

const updateIndex = (index: Set<Machine>, machine: Machine, belongs: boolean): void => {
  if (belongs) index.add(machine);
  else index.delete(machine);
};

/** Updates the indices that depend on the machine's own fields. */
export const indexMachine = (cluster: Cluster, machine: Machine): void => {
  updateIndex(cluster.unconfirmed, machine, machine.recorded && !machine.confirmed);
  updateIndex(cluster.unrecorded, machine, !machine.recorded && machine.lastHeartbeatAt !== null);
  const hasMemory = machine.memoryGb - machine.used.memoryGb > CAPACITY_EPSILON;
  cluster.capacityIndex.set(machine, hasMemory ? machine.cpus - machine.used.cpus : 0);
};

/** Removes a task from the job's pending ones. */
export const removePending = (cluster: Cluster, job: Job, index: number): void => {
  job.pending.delete(index);
  if (job.pending.size === 0) cluster.pendingJobs.delete(job);
};

/** Queues the machines of all attempts of a task for reconciliation. */
export const scheduleReconciliation = (cluster: Cluster, job: Job, index: number): void => {
  const attempts = job.attempts.get(index);
  if (attempts === undefined) return;
  for (const attempt of attempts) cluster.reconcileQueue.add(machineOf(cluster, attempt));
};
