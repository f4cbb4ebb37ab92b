/** Applies what the state service says about jobs to the cluster: submissions, releases, stored finishes and ends. */
import {
  addJob,
  type Cluster,
  removeJob,
  markFinished,
  type Job,
  scheduleReconciliation,
} from "../cluster/cluster.js";
import { DependencyGraph } from "./dependency-graph.js";
import type { Range } from "../ranges.js";
import type { JobSpec } from "../records.js";
import type { Instant } from "../time.js";

/** Marks a task as finished. The tasks of a gang complete together: if one is done, all are. */
export const finishTask = (cluster: Cluster, job: Job, index: number): void => {
  if (job.spec.kind === "gang") markFinished(cluster, job, 0, job.spec.tasks);
  else markFinished(cluster, job, index, index + 1);
};

/**
 * Maintains the unfinished jobs. Released ones are in the cluster; blocked ones only pass on rank and deadline to their
 * dependencies.
 */
export class JobIntake {
  private readonly dependencies = new DependencyGraph();
  private readonly blocked = new Set<string>();

  constructor(private readonly cluster: Cluster) {}

  /** Ids of the jobs that wait for their dependencies. */
  get blockedJobs(): ReadonlySet<string> {
    return this.blocked;
  }

  /** Adds a released job; null: it was known already. Its record as a blocked job may be seen before or after (S12). */
  addReleased(spec: JobSpec, revision: number, acceptedAt: Instant, releasedAt: Instant): Job | null {
    if (this.cluster.jobs.has(spec.id)) return null;
    const job = addJob(this.cluster, spec, revision, acceptedAt, releasedAt);
    this.blocked.delete(spec.id);
    this.dependencies.add(spec, acceptedAt);
    job.rank = this.dependencies.rank(spec.id) ?? job.rank;
    job.deadlineAt = this.dependencies.effectiveDeadline(spec.id);
    this.updateInherited();
    for (const [index, attempts] of job.attempts)
      if (attempts.some((attempt) => attempt.exitReason === "done")) finishTask(this.cluster, job, index);
    return job;
  }

  /** Adds a blocked job: it is not started, and only passes on rank and deadline to its dependencies. */
  addBlocked(spec: JobSpec, acceptedAt: Instant): void {
    if (this.cluster.jobs.has(spec.id)) return;
    this.blocked.add(spec.id);
    this.dependencies.add(spec, acceptedAt);
    this.updateInherited();
  }

  /** Removes a blocked job that was released or cancelled. */
  removeBlocked(id: string): void {
    if (!this.blocked.delete(id)) return;
    this.dependencies.remove(id);
    this.updateInherited();
  }

  /** Removes a job that has its commit. */
  removeEnded(id: string): void {
    const job = this.cluster.jobs.get(id);
    if (job !== undefined) removeJob(this.cluster, job);
    this.blocked.delete(id);
    this.dependencies.remove(id);
    this.updateInherited();
  }

  /** Marks tasks whose finish is in the state service (S7), so that workers may forget them. */
  markRangesStored(id: string, ranges: readonly Range[]): void {
    const job = this.cluster.jobs.get(id);
    if (job === undefined) return;
    const isWholeGang = job.spec.kind === "gang" && ranges.length > 0;
    const finished: readonly Range[] = isWholeGang ? [[0, job.spec.tasks]] : ranges;
    for (const [from, to] of finished) {
      job.stored.add(from, to);
      for (let index = from; index < to; index++) this.markStored(job, index);
      markFinished(this.cluster, job, from, to);
    }
  }

  private markStored(job: Job, index: number): void {
    const attempts = job.attempts.get(index);
    if (attempts === undefined) return;
    for (const attempt of attempts) attempt.stored = true;
    scheduleReconciliation(this.cluster, job, index);
  }

  /** The commit record could not be created (S7): the job is committed again if all its tasks are done. */
  commitFailed(id: string): void {
    const job = this.cluster.jobs.get(id);
    if (job === undefined) return;
    job.committing = false;
    if (job.done.covers(job.spec.tasks)) this.cluster.awaitingCommit.add(job);
  }

  /** Updates rank and deadline of released jobs from the jobs that need them. */
  private updateInherited(): void {
    for (const id of this.dependencies.takeChanged()) {
      const job = this.cluster.jobs.get(id);
      const rank = this.dependencies.rank(id);
      if (job === undefined || rank === null) continue;
      const deadline = this.dependencies.effectiveDeadline(id);
      if (job.rank === rank && job.deadlineAt === deadline) continue;
      job.rank = rank;
      job.deadlineAt = deadline;
      // the order of the queue changes, and so does what may be preempted
      this.cluster.capacityVersion++;
    }
  }
}
