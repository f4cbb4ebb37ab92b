/** Which running tasks could be stopped so that a more important one fits, and what their end would cost. */
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

/** What fetching the image costs, in the processor-seconds of work that would be thrown away instead. */
const IMAGE_FETCH_COST_CPU_SECONDS = 20;
const MS_PER_SECOND = 1000;

/** An attempt of a job that this leader knows. */
export type AttemptWithSpec = TaskAttempt & { readonly spec: JobSpec };

const hasSpec = (attempt: TaskAttempt): attempt is AttemptWithSpec => attempt.spec !== null;

/** Tasks on one machine whose end lets a task start there. */
export interface PreemptionCandidates {
  readonly machine: Machine;
  readonly attempts: readonly TaskAttempt[];
  /** Processor-seconds of work that are lost. */
  readonly costCpuSeconds: number;
}

/** Attempts on the machine that may be stopped: the least important first, of these the ones that ran for the least time. */
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

/** What would have to be stopped on one machine; null: the task wouldn't fit, or fits already. */
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

/** The cheapest set of tasks on one machine whose end lets one task of `job` start there. */
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
