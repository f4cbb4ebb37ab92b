/** Adds, changes and removes machines, and maintains the indices that depend on them. */
import { removeAttempt } from "./cluster-attempts.js";
import { indexMachine } from "./cluster-indices.js";
import type { Cluster, Machine } from "./cluster-state.js";
import type { Instant } from "../time.js";

/** Lets this module, which maintains `byLastHeartbeat`, write the read-only field that it is ordered by. */
type Writable<T> = { -readonly [K in keyof T]: T[K] };

/** The fields of a machine that indices depend on. Only `setMachine` changes them. */
export type MachineChange = Partial<
  Pick<Machine, "recorded" | "confirmed" | "cpus" | "gpus" | "memoryGb" | "cacheGb">
>;

/** Adds a machine that isn't in the cluster yet. */
export const addMachine = (cluster: Cluster, machine: Machine): void => {
  cluster.machines.set(machine.id, machine);
  indexMachine(cluster, machine);
};

/** Changes fields that indices depend on, and updates the indices. */
export const setMachine = (cluster: Cluster, machine: Machine, change: MachineChange): void => {
  Object.assign(machine, change);
  indexMachine(cluster, machine);
  cluster.reconcileQueue.add(machine);
  cluster.capacityVersion++;
};

/** Records that a heartbeat of a machine arrived at `heardAt`, and moves it to the end of `byLastHeartbeat`. */
export const recordHeartbeat = (cluster: Cluster, machine: Machine, heardAt: Instant): void => {
  if (machine.lastHeartbeatAt !== null && heardAt <= machine.lastHeartbeatAt) return;
  const isFirst = machine.lastHeartbeatAt === null;
  const writable: Writable<Machine> = machine;
  writable.lastHeartbeatAt = heardAt;
  cluster.byLastHeartbeat.delete(machine);
  cluster.byLastHeartbeat.add(machine);
  if (!isFirst) return;
  indexMachine(cluster, machine);
  cluster.reconcileQueue.add(machine);
  cluster.capacityVersion++;
};

/** Counts an unanswered command batch, or resets the count after an answered one. */
export const recordCommandAnswer = (
  cluster: Cluster,
  machine: Machine,
  isAnswered: boolean,
  now: Instant,
): void => {
  if (!isAnswered) {
    machine.unansweredBatches++;
    machine.unreachableSince ??= now;
    cluster.unreachable.add(machine);
    return;
  }
  if (machine.unansweredBatches > 0) cluster.capacityVersion++;
  machine.unansweredBatches = 0;
  machine.unreachableSince = null;
  cluster.unreachable.delete(machine);
};

/** Removes a machine that certainly no longer exists (S3), with all its attempts. */
export const removeMachine = (cluster: Cluster, machine: Machine): void => {
  for (const attempt of [...machine.attempts.values()]) removeAttempt(cluster, attempt);
  cluster.machines.delete(machine.id);
  cluster.capacityIndex.set(machine, 0);
  cluster.reconcileQueue.delete(machine);
  cluster.unconfirmed.delete(machine);
  cluster.unrecorded.delete(machine);
  cluster.byLastHeartbeat.delete(machine);
  cluster.unreachable.delete(machine);
  cluster.awaitingFence.delete(machine);
  cluster.orphanedAttemptCounts.delete(machine);
};
