/** Scores how well machines suit a task. A score is a list of numbers, compared in order; higher is better. */
import type { Cluster, Job, Machine } from "../cluster/cluster.js";
import type { JobSpec } from "../records.js";
import { tasksByZone } from "./zone-rules.js";

/** Share of a class's replicas above which a machine ranks behind others. */
const MAX_REPLICA_SHARE_PER_MACHINE = 0.15;
/** The same limit as a multiple of the average number of replicas per machine; the lower of the two applies. */
const MAX_REPLICAS_TIMES_AVERAGE = 3;
/** Up to this many replicas of a class on one machine are always fine. */
const MIN_REPLICA_LIMIT = 2;

/** Scores a machine for one task of a job, as things stood when the scorer was created. */
export type MachineScorer = (machine: Machine) => number[];

/** Free processors of the machines in a member's partition; null: of the machines in no member's. */
export type PartitionFreeCpus = (member: string | null) => number;

/** The most replicas of a class that one machine should have, so that losing it costs a small part of them. */
const maxReplicasPerMachine = (cluster: Cluster, spec: JobSpec): number => {
  const replicas = cluster.attemptsByClass.get(spec.className) ?? 0;
  const machines = Math.max(1, cluster.byLastHeartbeat.size);
  const limit = Math.min(
    replicas * MAX_REPLICA_SHARE_PER_MACHINE,
    (MAX_REPLICAS_TIMES_AVERAGE * replicas) / machines,
  );
  return Math.max(MIN_REPLICA_LIMIT, Math.ceil(limit));
};

/** Short tasks go to the fullest machine, so that idle ones can be released, and to spot, which services can't use. */
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

/** Replicas go where there are fewest of their job and class, so that losing a machine or a zone costs little. */
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

/**
 * The scorer for the job's kind. Each puts machines with the image in their cache first, and has the partition's free
 * processors among its further criteria.
 */
export const machineScorer = (
  cluster: Cluster,
  job: Job,
  partitionFreeCpus: PartitionFreeCpus,
): MachineScorer =>
  job.spec.kind === "service"
    ? replicaScorer(cluster, job, partitionFreeCpus)
    : shortTaskScorer(job.spec, partitionFreeCpus);

/** Compares two scores of the same length, for sorting the better one first. */
export const compareScores = (one: readonly number[], other: readonly number[]): number => {
  for (let index = 0; index < one.length; index++) {
    const mine = one[index] ?? 0;
    const theirs = other[index] ?? 0;
    if (mine !== theirs) return theirs - mine;
  }
  return 0;
};
