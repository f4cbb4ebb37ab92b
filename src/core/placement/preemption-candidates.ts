/** Finds running tasks whose preemption makes room for another task, and the cost of stopping them. */
import {
  type Cluster,
  type Job,
  type Machine,
  occupiesCapacity,
  rankOf,
  type TaskAttempt,
} from "../cluster/cluster.js";
import type { JobSpec } from "../records.js";
import type { Instant } from "../time.js";
import { fits, freeCapacity, reserve } from "./capacity.js";
import { allowsMachine } from "./eligibility.js";
import { zonePredicate } from "./zone-rules.js";

/** Cost of fetching the image, as an equivalent in processor-seconds of lost work. */
const IMAGE_FETCH_COST_CPU_SECONDS = 20;
const MS_PER_SECOND = 1000;

/** An attempt whose job's spec is known. */
export type AttemptWithSpec = TaskAttempt & { readonly spec: JobSpec };

const hasSpec = (attempt: TaskAttempt): attempt is AttemptWithSpec => attempt.spec !== null;

/** Tasks on one machine that have to be stopped so that another task fits there. */
export interface PreemptionCandidates {
  readonly machine: Machine;
  readonly attempts: readonly TaskAttempt[];
  /** Processor-seconds of work that would be lost, including the image fetch. */
  readonly costCpuSeconds: number;
}

/** Attempts on the machine that may be stopped: the lowest rank first, then the ones that ran for the shortest time. */
const preemptibleAttempts = (
  cluster: Cluster,
  machine: Machine,
  mayPreempt: (attempt: AttemptWithSpec) => boolean,
): AttemptWithSpec[] =>
  [...machine.attempts.values()]
    .filter(hasSpec)
    .filter(
      (attempt) =>
        occupiesCapacity(attempt) &&
        !attempt.stopping &&
        attempt.unacknowledgedToken === null &&
        mayPreempt(attempt),
    )
    .sort((one, other) => rankOf(cluster, one) - rankOf(cluster, other) || other.stateSince - one.stateSince);

/** The tasks to stop on one machine; null: the job's task doesn't fit even then, or fits already. */
const candidatesOn = (
  machine: Machine,
  job: Job,
  preemptible: readonly AttemptWithSpec[],
  now: Instant,
): PreemptionCandidates | null => {
  const capacity = freeCapacity(machine);
  const attempts: TaskAttempt[] = [];
  let costCpuSeconds = machine.images.has(job.spec.image) ? 0 : IMAGE_FETCH_COST_CPU_SECONDS;
  for (const attempt of preemptible) {
    if (fits(job.spec, capacity)) break;
    attempts.push(attempt);
    reserve(attempt.spec, capacity, -1);
    costCpuSeconds += (attempt.spec.cpus * Math.max(1, now - attempt.stateSince)) / MS_PER_SECOND;
  }
  return attempts.length > 0 && fits(job.spec, capacity) ? { machine, attempts, costCpuSeconds } : null;
};

/** The cheapest set of tasks on a single machine that makes room for one task of `job`; null: there is none. */
export const findPreemptionCandidates = (
  cluster: Cluster,
  job: Job,
  machines: Iterable<Machine>,
  now: Instant,
  mayPreempt: (attempt: AttemptWithSpec) => boolean,
): PreemptionCandidates | null => {
  let best: PreemptionCandidates | null = null;
  const zoneAllows = zonePredicate(cluster, job);
  for (const machine of machines) {
    if (!allowsMachine(job.spec, machine) || !zoneAllows(machine.zone)) continue;
    const found = candidatesOn(machine, job, preemptibleAttempts(cluster, machine, mayPreempt), now);
    if (found !== null && (best === null || found.costCpuSeconds < best.costCpuSeconds)) best = found;
  }
  return best;
};
