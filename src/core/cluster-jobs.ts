/** Adds and drops jobs, and marks their tasks as finished, with the indices that follow from them. */
import { addHold, removeHold } from "./cluster-holds.js";
import { machineOf, removePending, tidyTask } from "./cluster-indices.js";
import { type Cluster, type Job, newJob } from "./cluster-state.js";
import type { JobSpec } from "./records.js";
import type { Instant } from "./time.js";

/** Adds a released job, and gives it the holds that machines reported before its record was read. */
export const addJob = (
  cluster: Cluster,
  spec: JobSpec,
  stamp: number,
  accepted: Instant,
  seen: Instant = accepted,
): Job => {
  const job = newJob(spec, stamp, accepted, seen);
  const strays = [...(cluster.strays.get(spec.id) ?? [])];
  for (const hold of strays) removeHold(cluster, hold);
  cluster.jobs.set(spec.id, job);
  cluster.waiting.add(job);
  cluster.jobChanges++;
  cluster.chances++;
  for (const hold of strays) addHold(cluster, { ...hold, spec });
  return job;
};

/** Drops a job that is over. Its holds stay until the reconciler has stopped them. */
export const dropJob = (cluster: Cluster, job: Job): void => {
  cluster.jobs.delete(job.spec.id);
  cluster.waiting.delete(job);
  cluster.covered.delete(job);
  cluster.jobChanges++;
  for (const holds of job.holds.values())
    for (const hold of holds) cluster.attention.add(machineOf(cluster, hold));
};

/** The tasks from `from` up to `to` are finished, for ever (S7): none of them is started again. */
export const finish = (cluster: Cluster, job: Job, from: number, to: number): void => {
  if (to === from + 1 && job.done.has(from)) return;
  job.done.add(from, to);
  for (let index = from; index < to; index++) {
    removePending(cluster, job, index);
    tidyTask(cluster, job, index);
  }
  if (!job.committing && job.done.covers(job.spec.tasks)) cluster.covered.add(job);
  cluster.progressed(job);
};
