/** What the reported states of attempts say about their machine and their job: cached images, failures, retries. */
import * as Duration from "effect/Duration";
import type { Cluster, Hold, Job, Machine } from "./cluster.js";
import type { JobSpec } from "./records.js";
import { type Instant, plus } from "./time.js";

/** A job that failed on so many machines, and completed nowhere, is probably at fault itself. */
const SUSPECT_AFTER = 3;
/** A machine with so many failures, of jobs that aren't suspect, is set aside. */
const FAULTY_AFTER = 2;
const LONGEST_RETRY_S = 60;
const RETRY_AFTER_UNKNOWN = Duration.seconds(2);

/** Whether a job failed on several machines and completed nowhere: it is tried one task at a time. */
export const suspect = (job: Job): boolean => job.errorsOn.size >= SUSPECT_AFTER && job.done.size === 0;

/** A task of this job ran here, so its image is in the machine's cache; the least recently used ones make room. */
export const noteImage = (machine: Machine, spec: JobSpec | null): void => {
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

/** Learns from an attempt that was just reported as running or as exited. */
export const noteResult = (cluster: Cluster, machine: Machine, hold: Hold, now: Instant): void => {
  if (hold.state === "running") {
    noteImage(machine, hold.spec);
    return;
  }
  if (hold.why === "done") noteSuccess(cluster, machine, hold);
  const job = cluster.jobs.get(hold.job);
  if (job === undefined) return;
  if (hold.why === "error") noteFailure(cluster, machine, job, now);
  if (hold.why === "no_room") job.refusedOn.set(machine.id, now);
  if (hold.why === "unknown") job.retryAt = plus(now, RETRY_AFTER_UNKNOWN);
};

const noteSuccess = (cluster: Cluster, machine: Machine, hold: Hold): void => {
  noteImage(machine, hold.spec);
  machine.blame.clear();
  if (machine.setAside === null || machine.slow) return;
  machine.setAside = null;
  cluster.chances++;
};

const noteFailure = (cluster: Cluster, machine: Machine, job: Job, now: Instant): void => {
  const { id } = job.spec;
  job.errorsOn.set(machine.id, now);
  machine.blame.set(id, (machine.blame.get(id) ?? 0) + 1);
  if (suspect(job)) {
    // it is tried ever more seldom, and the machines it failed on are used again
    const seconds = Math.min(LONGEST_RETRY_S, 2 ** job.errorsOn.size);
    job.retryAt = plus(now, Duration.seconds(seconds));
    clearMachines(cluster, job);
  }
  if (machine.setAside === null && isFaulty(cluster, machine)) machine.setAside = now;
};

const clearMachines = (cluster: Cluster, job: Job): void => {
  for (const id of job.errorsOn.keys()) {
    const machine = cluster.machines.get(id);
    if (machine !== undefined && !machine.slow && !isFaulty(cluster, machine)) machine.setAside = null;
  }
};

/** Several failures that aren't the fault of a job that fails wherever it runs. */
const isFaulty = (cluster: Cluster, machine: Machine): boolean => {
  let failures = 0;
  for (const [id, count] of machine.blame) {
    const job = cluster.jobs.get(id);
    if (job === undefined || !suspect(job)) failures += count;
  }
  return failures >= FAULTY_AFTER;
};
