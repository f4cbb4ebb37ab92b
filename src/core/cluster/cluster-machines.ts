/** Adds, changes and drops machines, with the indices that follow from them. */
import { removeAttempt } from "./cluster-attempts.js";
import { indexMachine } from "./cluster-indices.js";
import type { Cluster, Machine } from "./cluster-state.js";
import type { Instant } from "../time.js";

/** The index of heartbeats is kept here, so this module alone writes the field on which it rests. */
type Writable<T> = { -readonly [K in keyof T]: T[K] };

/** The fields of a machine on which indices rest: they are changed by `setMachine` alone. */
export type MachineChange = Partial<
  Pick<Machine, "recorded" | "confirmed" | "cpus" | "gpus" | "memoryGb" | "cacheGb">
>;

/** Adds a machine that the cluster doesn't have. */
export const addMachine = (cluster: Cluster, machine: Machine): void => {
  cluster.machines.set(machine.id, machine);
  indexMachine(cluster, machine);
};

/** Changes fields on which indices rest. */
export const setMachine = (cluster: Cluster, machine: Machine, change: MachineChange): void => {
  Object.assign(machine, change);
  indexMachine(cluster, machine);
  cluster.reconcileQueue.add(machine);
  cluster.capacityVersion++;
};

/** A newer message of its worker came at `heardAt`; moves it to the end of `byLastHeartbeat`. */
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

/** Counts a command batch without an answer, or resets the count once one is answered. */
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

/** Drops a machine that is gone for certain (S3), with all its attempts. */
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
