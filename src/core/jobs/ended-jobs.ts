/**
 * Which jobs have ended, as far as one process can prove it. It decides whether the process may renew the lease of a
 * machine that reports their tasks (S9). Does no I/O: the caller reads the state service and passes on what it read.
 *
 * A process follows the unfinished jobs, so it learns of each end since it began. Ends before that are in no list of
 * unfinished jobs: they are read from the service's history of changes. Where the history doesn't reach back far enough, a
 * job that isn't known may be either newer than the last read or one whose cancel this process missed, and stays
 * undetermined until a later read settles it.
 */
import type * as Duration from "effect/Duration";
import { type Instant, plus, withClockDrift } from "../time.js";

/**
 * What a process knows of a job whose task a worker reports:
 *
 * - `ended`: it has its commit, so its tasks have to stop.
 * - `unfinished`: it is known as unfinished, or can only have been accepted after the last read.
 * - `undetermined`: it may have been cancelled at any earlier time.
 */
export type JobStanding = "ended" | "unfinished" | "undetermined";

/** Settings of `EndedJobs`. */
export interface EndedJobsOptions {
  /** After this time none of a cancelled job's tasks is on a machine any more. */
  readonly cancelDeadline: Duration.Duration;
  /** How many jobs are remembered. There must be no more ends within `cancelDeadline`. */
  readonly maxJobs: number;
}

/** The ended jobs that one process knows, and for which times it knows all of them. */
export class EndedJobs {
  /** The oldest first. */
  private readonly ended = new Set<string>();
  /** Jobs that workers reported and that are neither unfinished nor known to have ended, with the time of the first report. */
  private readonly unknownSince = new Map<string, Instant>();
  /** From this time on every job that ended before the last read, and may still have tasks, is in `ended`; null: never. */
  private completeFrom: Instant | null = null;

  constructor(private readonly options: EndedJobsOptions) {}

  /** Adds a job whose end was seen. */
  add(job: string): void {
    this.unknownSince.delete(job);
    this.ended.add(job);
    if (this.ended.size <= this.options.maxJobs) return;
    const [oldest] = this.ended;
    if (oldest !== undefined) this.ended.delete(oldest);
  }

  /** Whether the job's end is known. */
  has(job: string): boolean {
    return this.ended.has(job);
  }

  /**
   * A list of all unfinished jobs, requested at `sentAt`, was read, and before that the ends since the last read or, by a
   * new process, those within `cancelDeadline`. `isMissingEnds`: the history didn't reach back that far. Whatever ended
   * before `sentAt` has lost its tasks once `cancelDeadline` has passed.
   */
  listed(sentAt: Instant, isMissingEnds: boolean): void {
    if (isMissingEnds) this.completeFrom = plus(sentAt, withClockDrift(this.options.cancelDeadline));
    else this.completeFrom ??= sentAt;
  }

  /** Whether a job that isn't known can only have been accepted after the last read. */
  isComplete(now: Instant): boolean {
    return this.completeFrom !== null && now >= this.completeFrom;
  }

  /**
   * What is known of a job whose task a worker reports. An unknown job is remembered: it had been accepted by now, so it
   * has ended if the next read doesn't show it.
   */
  standingOf(job: string, isUnfinished: boolean, now: Instant): JobStanding {
    if (isUnfinished) return "unfinished";
    if (this.ended.has(job)) return "ended";
    if (!this.unknownSince.has(job)) this.unknownSince.set(job, now);
    return this.isComplete(now) ? "unfinished" : "undetermined";
  }

  /**
   * All unfinished jobs are known as of a read that was requested at `sentAt`. An unknown job that a worker reported before
   * that had been accepted before that too, since a leader starts tasks only of jobs that it has read: it has ended.
   */
  readAnswered(sentAt: Instant, isUnfinished: (job: string) => boolean): void {
    for (const [job, reportedAt] of this.unknownSince) {
      if (isUnfinished(job)) this.unknownSince.delete(job);
      else if (reportedAt < sentAt) this.add(job);
    }
  }
}
