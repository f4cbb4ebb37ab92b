/** Draws conclusions from reported attempts about machines and jobs: cached images, failures, retries. */
import * as Duration from "effect/Duration";
import type { Cluster, TaskAttempt, Job, Machine } from "../cluster/cluster.js";
import type { JobSpec } from "../records.js";
import { type Instant, hasElapsed, plus } from "../time.js";

/** A job that failed on this many machines without completing a task anywhere is probably faulty itself. */
const MIN_FAILED_MACHINES = 3;
/** A machine with this many failures, of jobs that aren't suspected to be faulty, is cordoned. */
const MIN_MACHINE_FAILURES = 2;
/** Delays before retries of a job suspected to be faulty: doubled each time, from the first to the maximum. */
const FIRST_RETRY_DELAY = Duration.seconds(8);
const MAX_RETRY_DELAY = Duration.seconds(60);
/** How long a job waits before it is retried after a worker reported one of its tasks as `unknown`. */
const UNKNOWN_RETRY_DELAY = Duration.seconds(2);

/** Tasks of a faulty job fail at once: one that has run for this long shows that the job works. */
const PROVEN_RUN_TIME = Duration.seconds(10);

const isUnproven = (attempt: TaskAttempt, now: Instant): boolean =>
  attempt.state === "dispatched" ||
  attempt.state === "fetching" ||
  !hasElapsed(now, attempt.stateSince, PROVEN_RUN_TIME);

/** Whether some task of the job has been running long enough to show that the job works. */
const isProven = (job: Job, now: Instant): boolean => {
  if (job.runningTasks === 0) return false;
  for (const attempts of job.attempts.values())
    if (attempts.some((attempt) => attempt.state === "running" && !isUnproven(attempt, now))) return true;
  return false;
};

/**
 * Whether a job has failed on several machines, completed no task and has none that has run for a while, so that the
 * fault is probably its own. It is retried one task at a time, with growing delays, and reserves no capacity.
 */
export const isSuspectedFaulty = (job: Job, now: Instant): boolean =>
  job.failedOn.size >= MIN_FAILED_MACHINES && job.done.size === 0 && !isProven(job, now);

/** How many of a job's tasks may be started now, regardless of capacity and limits. */
export const startableTaskCount = (job: Job, now: Instant): number => {
  if (!isSuspectedFaulty(job, now)) return job.pending.size;
  const isBeingTried = [...job.attempts.values()].flat().some((attempt) => attempt.state !== "exited");
  return isBeingTried ? 0 : Math.min(job.pending.size, 1);
};

/** Whether a job waits for capacity, rather than for its next retry or for the outcome of the current one. */
export const isWaitingForCapacity = (job: Job, now: Instant): boolean =>
  (job.retryAt === null || now >= job.retryAt) && startableTaskCount(job, now) > 0;

/** Records that a task's image is in the machine's cache, whose least recently used images are evicted. */
export const recordCachedImage = (machine: Machine, spec: JobSpec | null): void => {
  if (spec === null) return;
  machine.images.delete(spec.image);
  machine.images.set(spec.image, spec.imageGb);
  let total = 0;
  for (const gigabytes of machine.images.values()) total += gigabytes;
  for (const [image, gigabytes] of machine.images) {
    if (total <= machine.cacheGb || machine.images.size === 1) break;
    machine.images.delete(image);
    total -= gigabytes;
  }
};

/** Records the consequences of an attempt that was just reported as running or exited. */
export const recordAttemptResult = (
  cluster: Cluster,
  machine: Machine,
  attempt: TaskAttempt,
  now: Instant,
): void => {
  if (attempt.state === "running") {
    recordCachedImage(machine, attempt.spec);
    return;
  }
  if (attempt.exitReason === "done") recordSuccess(cluster, machine, attempt);
  const job = cluster.jobs.get(attempt.job);
  if (job === undefined) return;
  if (attempt.exitReason === "error") recordFailure(cluster, machine, job, now);
  if (attempt.exitReason === "no_room") job.refusedOn.set(machine.id, now);
  if (attempt.exitReason === "unknown") job.retryAt = plus(now, UNKNOWN_RETRY_DELAY);
};

const recordSuccess = (cluster: Cluster, machine: Machine, attempt: TaskAttempt): void => {
  recordCachedImage(machine, attempt.spec);
  machine.failuresByJob.clear();
  if (machine.cordonedAt === null || machine.cordonedAsSlow) return;
  machine.cordonedAt = null;
  cluster.capacityVersion++;
};

const recordFailure = (cluster: Cluster, machine: Machine, job: Job, now: Instant): void => {
  const { id } = job.spec;
  job.failedOn.set(machine.id, now);
  machine.failuresByJob.set(id, (machine.failuresByJob.get(id) ?? 0) + 1);
  if (isSuspectedFaulty(job, now)) {
    delayNextRetry(job, now);
    // the failures were the job's fault, so the machines that it failed on are used again
    uncordonMachines(cluster, job, now);
  }
  if (machine.cordonedAt === null && isFaulty(cluster, machine, now)) machine.cordonedAt = now;
};

/** Tasks that fail during the delay were started before it, so they count towards the same retry. */
const delayNextRetry = (job: Job, now: Instant): void => {
  if (job.retryAt !== null && now < job.retryAt) return;
  const delay = Duration.times(FIRST_RETRY_DELAY, 2 ** Math.min(job.retryDelayCount, 10));
  job.retryDelayCount++;
  job.retryAt = plus(now, Duration.min(delay, MAX_RETRY_DELAY));
};

const uncordonMachines = (cluster: Cluster, job: Job, now: Instant): void => {
  for (const id of job.failedOn.keys()) {
    const machine = cluster.machines.get(id);
    if (machine !== undefined && !machine.cordonedAsSlow && !isFaulty(cluster, machine, now))
      machine.cordonedAt = null;
  }
};

/** Whether a machine has had several failures, not counting jobs that are suspected to be faulty themselves. */
const isFaulty = (cluster: Cluster, machine: Machine, now: Instant): boolean => {
  let failures = 0;
  for (const [id, count] of machine.failuresByJob) {
    const job = cluster.jobs.get(id);
    if (job === undefined || !isSuspectedFaulty(job, now)) failures += count;
  }
  return failures >= MIN_MACHINE_FAILURES;
};
