/** Keeps the indices of `Cluster` that follow from the fields of one machine or one job. Internal to `cluster-*`. */
import type { Cluster, Hold, Job, Machine } from "./cluster-state.js";
import { ROUNDING } from "./quota.js";

/** The machine that a hold is on. A machine is dropped only after its holds, so there always is one. */
export const machineOf = (cluster: Cluster, hold: Hold): Machine => {
  const machine = cluster.machines.get(hold.machine);
  if (machine === undefined) throw new Error(`a hold of ${hold.job} on an unknown machine: ${hold.machine}`);
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
  const hasMemory = machine.memoryGb - machine.used.memoryGb > ROUNDING;
  cluster.free.set(machine, hasMemory ? machine.cpus - machine.used.cpus : 0);
};

/** A task is no longer to be started. */
export const removePending = (cluster: Cluster, job: Job, index: number): void => {
  job.pending.delete(index);
  if (job.pending.size === 0) cluster.waiting.delete(job);
};

/** Something about a task's holds has changed: the reconciler looks at their machines. */
export const tidyTask = (cluster: Cluster, job: Job, index: number): void => {
  const holds = job.holds.get(index);
  if (holds === undefined) return;
  for (const hold of holds) cluster.attention.add(machineOf(cluster, hold));
};
