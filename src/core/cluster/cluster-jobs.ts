/** Adds and removes jobs, marks their tasks as finished, and maintains the indices that depend on them. */
import { addAttempt, removeAttempt } from "./cluster-attempts.js";
import { machineOf, removePending, scheduleReconciliation } from "./cluster-indices.js";
import { type Cluster, type Job, newJob } from "./cluster-state.js";
import type { JobSpec } from "../records.js";
import type { Instant } from "../time.js";

/** Adds a released job, and assigns it the attempts that machines reported before its record was read. */
export const addJob = (
  cluster: Cluster,
  spec: JobSpec,
  revision: number,
  acceptedAt: Instant,
  releasedAt: Instant = acceptedAt,
): Job => {
  const job = newJob(spec, revision, acceptedAt, releasedAt);
  const orphans = [...(cluster.orphanedAttempts.get(spec.id) ?? [])];
  for (const attempt of orphans) removeAttempt(cluster, attempt);
  cluster.jobs.set(spec.id, job);
  cluster.pendingJobs.add(job);
  cluster.jobSetVersion++;
  cluster.capacityVersion++;
  for (const attempt of orphans) addAttempt(cluster, { ...attempt, spec });
  return job;
};

/** Removes a job that has ended. Its attempts stay until the reconciler has stopped them. */
export const removeJob = (cluster: Cluster, job: Job): void => {
  cluster.jobs.delete(job.spec.id);
  cluster.pendingJobs.delete(job);
  cluster.awaitingCommit.delete(job);
  cluster.jobSetVersion++;
  for (const attempts of job.attempts.values())
    for (const attempt of attempts) cluster.reconcileQueue.add(machineOf(cluster, attempt));
};

/** Marks the tasks from `from` up to, but without, `to` as finished: none of them is ever started again (S7). */
export const markFinished = (cluster: Cluster, job: Job, from: number, to: number): void => {
  if (to === from + 1 && job.done.has(from)) return;
  job.done.add(from, to);
  for (let index = from; index < to; index++) {
    removePending(cluster, job, index);
    scheduleReconciliation(cluster, job, index);
  }
  if (!job.committing && job.done.covers(job.spec.tasks)) cluster.awaitingCommit.add(job);
  cluster.onProgress(job);
};
