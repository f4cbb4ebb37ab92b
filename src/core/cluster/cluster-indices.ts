/** Keeps the indices of `Cluster` that follow from the fields of one machine or one job. Internal to `cluster-*`. */
import type { Cluster, TaskAttempt, Job, Machine } from "./cluster-state.js";
import { CAPACITY_EPSILON } from "../placement/quota.js";

/** The machine that an attempt is on. A machine is dropped only after its attempts, so there always is one. */
export const machineOf = (cluster: Cluster, attempt: TaskAttempt): Machine => {
  const machine = cluster.machines.get(attempt.machine);
  if (machine === undefined)
    throw new Error(`a hold of ${attempt.job} on an unknown machine: ${attempt.machine}`);
  return machine;
};

const keep = (set: Set<Machine>, machine: Machine, belongs: boolean): void => {
  if (belongs) set.add(machine);
  else set.delete(machine);
};

/** Puts a machine into the indices that follow from its own fields. */
export const indexMachine = (cluster: Cluster, machine: Machine): void => {
  keep(cluster.unconfirmed, machine, machine.recorded && !machine.confirmed);
  keep(cluster.unrecorded, machine, !machine.recorded && machine.lastHeartbeatAt !== null);
  const hasMemory = machine.memoryGb - machine.used.memoryGb > CAPACITY_EPSILON;
  cluster.capacityIndex.set(machine, hasMemory ? machine.cpus - machine.used.cpus : 0);
};

/** A task is no longer to be started. */
export const removePending = (cluster: Cluster, job: Job, index: number): void => {
  job.pending.delete(index);
  if (job.pending.size === 0) cluster.pendingJobs.delete(job);
};

/** Something about a task's holds has changed: the reconciler looks at their machines. */
export const scheduleReconciliation = (cluster: Cluster, job: Job, index: number): void => {
  const attempts = job.attempts.get(index);
  if (attempts === undefined) return;
  for (const attempt of attempts) cluster.reconcileQueue.add(machineOf(cluster, attempt));
};
