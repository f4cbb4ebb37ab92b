/**
 * The order in which waiting jobs are served: by rank, then those within their team's guarantee, then by age. Owns which
 * jobs are within a guarantee, and whether deadlines may bring jobs forward.
 */
import * as Duration from "effect/Duration";
import { isSuspectedFaulty } from "../heartbeats/attempt-results.js";
import type { Job } from "../cluster/cluster.js";
import { estimatedJobDuration } from "../jobs/dependency-graph.js";
import { isWithinGuarantee, type Usage } from "./quota.js";
import { RANK } from "../records.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { type Instant, hasElapsed, plus } from "../time.js";

/** A job that waited this long without a single start goes before others of its rank, and with those above. */
const LONG_WAIT_AFTER = Duration.seconds(100);
/**
 * A job that waited this long without a single start goes before all others with its first task: within four minutes the
 * largest have to begin, also those of a team without a guarantee. Its other tasks wait as before.
 */
const START_OVERDUE_AFTER = Duration.seconds(180);
/** While a job above the lowest rank has waited this long without a start, no deadline brings lower jobs forward. */
const STARVED_AFTER = Duration.seconds(40);

/** What a waiting job is sorted by. */
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

/** A job that fails wherever it runs was started often enough: it goes before no others. */
const hasStarted = (job: Job, now: Instant): boolean =>
  job.attempts.size > 0 || job.done.size > 0 || isSuspectedFaulty(job, now);

/** Whether a job above the lowest rank has waited long for its first start. */
const isStarved = (job: Job, now: Instant): boolean =>
  job.rank > RANK.low && !hasStarted(job, now) && hasElapsed(now, job.releasedAt, STARVED_AFTER);

/** Sorts the cluster's waiting jobs; a look at each of them, and no more. */
export class JobQueue {
  private guaranteed: ReadonlySet<Job> = new Set();
  /** `Cluster.jobSetVersion` when `guaranteed` was worked out. */
  private guaranteedAtVersion = -1;
  private hasStarvedJob = false;

  constructor(private readonly context: SchedulerContext) {}

  /** Waiting jobs that may be started now, the first to be served first. */
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

  /** Whether the job fits into its team's guarantee together with the team's earlier unfinished jobs. */
  isGuaranteed(job: Job): boolean {
    return this.guaranteed.has(job);
  }

  /** Whether the job waited so long for its first start that one task of it goes before all others. */
  isStartOverdue(job: Job, now: Instant): boolean {
    return hasElapsed(now, job.releasedAt, START_OVERDUE_AFTER) && !hasStarted(job, now);
  }

  /** Started now it can just be done by its deadline: waiting behind what has no deadline would be for nothing. */
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
