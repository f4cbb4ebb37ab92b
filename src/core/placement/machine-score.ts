/** How well a machine suits a task: a list of numbers, compared one after the other, of which the higher is better. */
import type { Cluster, Job, Machine } from "../cluster/cluster.js";
import type { JobSpec } from "../records.js";
import { tasksByZone } from "./zone-rules.js";

/** Share of a class's replicas that one machine may have before others are preferred. */
const MAX_REPLICA_SHARE_PER_MACHINE = 0.15;
/** The same bound as a multiple of the average over all machines; the lower one holds. */
const MAX_REPLICAS_TIMES_AVERAGE = 3;
/** So many replicas of a class on one machine are never too many. */
const MIN_REPLICA_LIMIT = 2;

/** The machine's score for one task of a job, at the moment at which the function was made. */
export type MachineScorer = (machine: Machine) => number[];

/** Free processors in the part of the machines that a member relays for. */
export type PartitionFreeCpus = (member: string | null) => number;

/** How many replicas of a class one machine should have, so that its loss costs a small part of them. */
const maxReplicasPerMachine = (cluster: Cluster, spec: JobSpec): number => {
  const replicas = cluster.attemptsByClass.get(spec.className) ?? 0;
  const machines = Math.max(1, cluster.byLastHeartbeat.size);
  const limit = Math.min(
    replicas * MAX_REPLICA_SHARE_PER_MACHINE,
    (MAX_REPLICAS_TIMES_AVERAGE * replicas) / machines,
  );
  return Math.max(MIN_REPLICA_LIMIT, Math.ceil(limit));
};

/** Short tasks fill up the fullest machine, so that idle ones can be returned, and prefer spot, which services can't use. */
const shortTaskScorer =
  ({ image }: JobSpec, partitionFreeCpus: PartitionFreeCpus): MachineScorer =>
  (machine) => {
    const isCached = machine.images.has(image);
    return [
      isCached ? 1 : 0,
      machine.spot ? 1 : 0,
      isCached ? 0 : partitionFreeCpus(machine.relayedBy),
      -(machine.cpus - machine.used.cpus),
    ];
  };

/** Replicas go where the fewest of their class and job are, so that the loss of a machine or a zone costs little. */
const replicaScorer = (cluster: Cluster, job: Job, partitionFreeCpus: PartitionFreeCpus): MachineScorer => {
  const { spec } = job;
  const maxReplicas = maxReplicasPerMachine(cluster, spec);
  const countsByZone = spec.tasks > 1 ? tasksByZone(cluster, job) : new Map<string, number>();
  return (machine) => {
    const replicas = machine.attemptsByClass.get(spec.className) ?? 0;
    return [
      machine.images.has(spec.image) ? 1 : 0,
      replicas < maxReplicas ? 1 : 0,
      -(countsByZone.get(machine.zone) ?? 0),
      -replicas / Math.max(1, machine.cpus),
      partitionFreeCpus(machine.relayedBy),
      machine.cpus - machine.used.cpus,
    ];
  };
};

/** The design's companion: a cached image first, else the part with the most free processors. Among equals, see above. */
export const machineScorer = (
  cluster: Cluster,
  job: Job,
  partitionFreeCpus: PartitionFreeCpus,
): MachineScorer =>
  job.spec.kind === "service"
    ? replicaScorer(cluster, job, partitionFreeCpus)
    : shortTaskScorer(job.spec, partitionFreeCpus);

/** Orders two scores of the same length, the better one first. */
export const compareScores = (one: readonly number[], other: readonly number[]): number => {
  for (let index = 0; index < one.length; index++) {
    const mine = one[index] ?? 0;
    const theirs = other[index] ?? 0;
    if (mine !== theirs) return theirs - mine;
  }
  return 0;
};
