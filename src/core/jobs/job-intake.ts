/** Takes in what the state service says of jobs: submissions, releases, stored finishes and ends. */
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

/** Marks a task as finished. The tasks of a gang complete together: if one is done, so are all. */
export const finishTask = (cluster: Cluster, job: Job, index: number): void => {
  if (job.spec.kind === "gang") markFinished(cluster, job, 0, job.spec.tasks);
  else markFinished(cluster, job, index, index + 1);
};

/** The unfinished jobs: released ones are in the cluster, blocked ones only count for the jobs that they need. */
export class JobIntake {
  private readonly dependencies = new DependencyGraph();
  private readonly blocked = new Set<string>();

  constructor(private readonly cluster: Cluster) {}

  /** Jobs known to depend on unfinished ones. */
  get blockedJobs(): ReadonlySet<string> {
    return this.blocked;
  }

  /** A released job; null if it was known already. Its waiting record may be heard of before or after this (S12). */
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

  /** A job that depends on others: it is not started, and counts only for the jobs that it needs. */
  addBlocked(spec: JobSpec, acceptedAt: Instant): void {
    if (this.cluster.jobs.has(spec.id)) return;
    this.blocked.add(spec.id);
    this.dependencies.add(spec, acceptedAt);
    this.updateInherited();
  }

  /** A job is blocked no longer: it was released or cancelled. */
  removeBlocked(id: string): void {
    if (!this.blocked.delete(id)) return;
    this.dependencies.remove(id);
    this.updateInherited();
  }

  /** The job has its commit. */
  removeEnded(id: string): void {
    const job = this.cluster.jobs.get(id);
    if (job !== undefined) removeJob(this.cluster, job);
    this.blocked.delete(id);
    this.dependencies.remove(id);
    this.updateInherited();
  }

  /** Finishes that are in the state service (S7): workers may forget these tasks. */
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

  /** The commit record could not be created (S7): it is decided on again. */
  commitFailed(id: string): void {
    const job = this.cluster.jobs.get(id);
    if (job === undefined) return;
    job.committing = false;
    if (job.done.covers(job.spec.tasks)) this.cluster.awaitingCommit.add(job);
  }

  /** Gives released jobs the rank and the deadline that they inherit from the jobs that need them. */
  private updateInherited(): void {
    for (const id of this.dependencies.takeChanged()) {
      const job = this.cluster.jobs.get(id);
      const rank = this.dependencies.rank(id);
      if (job === undefined || rank === null) continue;
      const deadline = this.dependencies.effectiveDeadline(id);
      if (job.rank === rank && job.deadlineAt === deadline) continue;
      job.rank = rank;
      job.deadlineAt = deadline;
      // the queue is sorted anew, and what may be preempted for whom changes
      this.cluster.capacityVersion++;
    }
  }
}
