/**
 * The order in which waiting jobs are served: by rank, then jobs within their team's guarantee first, then by age.
 * Keeps track of which jobs are within a guarantee, and of whether a deadline may raise a job's rank.
 */
import * as Duration from "effect/Duration";
import { isSuspectedFaulty } from "../heartbeats/attempt-results.js";
import type { Job } from "../cluster/cluster.js";
import { estimatedJobDuration } from "../jobs/dependency-graph.js";
import { isWithinGuarantee, type Usage } from "./quota.js";
import { RANK } from "../records.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { type Instant, hasElapsed, plus } from "../time.js";

/** A job that has waited this long for its first start is served with the next higher rank. */
const LONG_WAIT_AFTER = Duration.seconds(100);
/**
 * The first task of a job that has waited this long for its first start is served before all other jobs: even the
 * largest jobs, and those of teams without a guarantee, have to begin within four minutes. The other tasks keep their
 * place.
 */
const START_OVERDUE_AFTER = Duration.seconds(180);
/** While a job above the lowest rank has waited this long for its first start, deadlines don't raise any job's rank. */
const STARVED_AFTER = Duration.seconds(40);

/** A waiting job with its sort keys. */
interface QueueEntry {
  readonly job: Job;
  readonly isStartOverdue: boolean;
  readonly rank: number;
  readonly isGuaranteed: boolean;
}

const compareEntries = (one: QueueEntry, other: QueueEntry): number =>
  Number(other.isStartOverdue) - Number(one.isStartOverdue) ||
  other.rank - one.rank ||
  Number(other.isGuaranteed) - Number(one.isGuaranteed) ||
  one.job.revision - other.job.revision;

/** Jobs that fail wherever they run count as started, so that waiting doesn't move them ahead of others. */
const hasStarted = (job: Job, now: Instant): boolean =>
  job.attempts.size > 0 || job.done.size > 0 || isSuspectedFaulty(job, now);

/** Whether the job has waited for its first start so long that no deadline may move others ahead. */
const isStarved = (job: Job, now: Instant): boolean =>
  job.rank > RANK.low && !hasStarted(job, now) && hasElapsed(now, job.releasedAt, STARVED_AFTER);

/** Sorts the cluster's waiting jobs. The work is proportional to their number. */
export class JobQueue {
  private guaranteed: ReadonlySet<Job> = new Set();
  /** `Cluster.jobSetVersion` when `guaranteed` was computed. */
  private guaranteedAtVersion = -1;
  private hasStarvedJob = false;

  constructor(private readonly context: SchedulerContext) {}

  /** Waiting jobs that may be started now, in the order in which they are served. */
  sortedJobs(now: Instant): Job[] {
    const { cluster } = this.context;
    this.updateGuaranteed();
    const waiting = [...cluster.pendingJobs];
    this.hasStarvedJob = waiting.some((job) => isStarved(job, now));
    return waiting
      .filter((job) => job.retryAt === null || now >= job.retryAt)
      .map((job) => ({
        job,
        isStartOverdue: this.isStartOverdue(job, now),
        rank: this.effectiveRank(job, now),
        isGuaranteed: this.guaranteed.has(job),
      }))
      .sort(compareEntries)
      .map(({ job }) => job);
  }

  /** Whether the job and all earlier unfinished jobs of its team fit into the team's guarantee together. */
  isGuaranteed(job: Job): boolean {
    return this.guaranteed.has(job);
  }

  /** Whether the job has waited for its first start so long that its first task is served before all other jobs. */
  isStartOverdue(job: Job, now: Instant): boolean {
    return hasElapsed(now, job.releasedAt, START_OVERDUE_AFTER) && !hasStarted(job, now);
  }

  /** Whether the job has to start now to meet its deadline, and the deadline may raise its rank. */
  mustStartNow(job: Job, now: Instant): boolean {
    const { deadlineAt, spec } = job;
    if (deadlineAt === null || this.hasStarvedJob || now >= deadlineAt) return false;
    return plus(now, estimatedJobDuration(spec)) >= deadlineAt;
  }

  private effectiveRank(job: Job, now: Instant): number {
    const isLongWaiting = !hasStarted(job, now) && hasElapsed(now, job.releasedAt, LONG_WAIT_AFTER);
    return job.rank + (isLongWaiting || this.mustStartNow(job, now) ? 1 : 0);
  }

  private updateGuaranteed(): void {
    const { cluster } = this.context;
    if (this.guaranteedAtVersion === cluster.jobSetVersion) return;
    this.guaranteedAtVersion = cluster.jobSetVersion;
    this.guaranteed = this.guaranteedJobs();
  }

  private guaranteedJobs(): Set<Job> {
    const { cluster, options } = this.context;
    const guaranteed = new Set<Job>();
    const usageByTeam = new Map<string, Usage>();
    const byAge = [...cluster.jobs.values()].sort((one, other) => one.revision - other.revision);
    for (const job of byAge) {
      const { spec } = job;
      const team = options.teams.get(spec.team);
      if (team === undefined || (team.guaranteedCpus <= 0 && team.guaranteedGpus <= 0)) continue;
      const usage = usageByTeam.get(spec.team) ?? { cpus: 0, gpus: 0 };
      usageByTeam.set(spec.team, usage);
      if (isWithinGuarantee(team, usage, spec, spec.tasks)) guaranteed.add(job);
      usage.cpus += spec.cpus * spec.tasks;
      usage.gpus += spec.gpus * spec.tasks;
    }
    return guaranteed;
  }
}
