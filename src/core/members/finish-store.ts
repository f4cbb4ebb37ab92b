/**
 * The finished tasks that a member knows of, by job, until the job has ended: which have yet to be stored, and which
 * stored ones have yet to be reported to the leader. Workers keep a finish at least until it is stored (S7).
 */
import * as Duration from "effect/Duration";
import type { StoredFinishes } from "./member-update.js";
import { type Range, RangeSet, splitIntoWindows } from "../ranges.js";
import { keys } from "../records.js";
import { type Instant, hasElapsed, plus } from "../time.js";

/** Finishes of a job that this node doesn't know as unfinished are dropped after this time. */
const DROP_UNKNOWN_AFTER = Duration.seconds(30);
/** How long a job whose write the state service refused waits before the next try. */
const PAUSE_AFTER_REFUSAL = Duration.seconds(30);
/** Limit on the jobs in the store: several times the number that may be unfinished at once. */
const MAX_JOBS = 20_000;

interface JobFinishes {
  readonly known: RangeSet;
  readonly stored: RangeSet;
  /** Stored, but not reported to the leader. */
  unreported: RangeSet;
  /** Text of the last successful write of each window of task numbers. */
  readonly written: Map<number, string>;
  /** Since when a finish has been waiting to be stored; after a refusal, when the pause ends. Null: none waits. */
  waitingSince: Instant | null;
  isWriting: boolean;
  /** Whether the state service refused the last write of this job alone. */
  isRefused: boolean;
  /** Number of writes that failed or have an unknown outcome, so that they may still be carried out. */
  unansweredWrites: number;
}

const noFinishes = (): JobFinishes => ({
  known: new RangeSet(),
  stored: new RangeSet(),
  unreported: new RangeSet(),
  written: new Map(),
  waitingSince: null,
  isWriting: false,
  isRefused: false,
  unansweredWrites: 0,
});

/** A range record to be written. */
export interface FinishPut {
  readonly key: string;
  /** Number of its window of task numbers. */
  readonly window: number;
  /** Its ranges as JSON, for comparison with the last write. */
  readonly text: string;
  readonly ranges: Range[];
}

/** The range records of one job that are written together. */
export interface FinishWrite {
  readonly job: string;
  readonly puts: FinishPut[];
}

/**
 * Outcome of one job's writes. `over`: the job has its commit, so they aren't needed; `failed`: not carried out, or not
 * known; `refused`: the state service doesn't accept them as they are.
 */
export type StoreResult = "stored" | "over" | "failed" | "refused";

/** The finished tasks of all jobs that this member has heard of. */
export class FinishStore {
  private readonly finishesByJob = new Map<string, JobFinishes>();
  private readonly unstoredJobs = new Set<string>();
  private readonly unreportedJobs = new Set<string>();

  constructor(
    /** Most bytes in one range record. */
    private readonly maxValueBytes: number,
    /** How long a finish waits for others of its job, to be stored together. */
    private readonly batchingDelay: Duration.Duration,
  ) {}

  /** Whether there are stored finishes that have not been reported to the leader. */
  get hasUnreported(): boolean {
    return this.unreportedJobs.size > 0;
  }

  /** Marks all stored finishes as unreported: another leader doesn't know of them. */
  reportAllAgain(): void {
    this.reportAgain(this.finishesByJob.keys());
  }

  /** Marks the stored finishes of these jobs as unreported. */
  reportAgain(jobs: Iterable<string>): void {
    for (const job of jobs) {
      const finishes = this.finishesByJob.get(job);
      if (finishes === undefined || finishes.stored.size === 0) continue;
      finishes.unreported = RangeSet.of(finishes.stored.ranges());
      this.unreportedJobs.add(job);
    }
  }

  /** Adds a finish that a worker reported. */
  addFinish(job: string, index: number, now: Instant): void {
    let finishes = this.finishesByJob.get(job);
    if (finishes === undefined) {
      if (this.finishesByJob.size >= MAX_JOBS) return;
      finishes = noFinishes();
      this.finishesByJob.set(job, finishes);
    }
    if (finishes.known.has(index)) return;
    finishes.known.add(index);
    finishes.waitingSince ??= now;
    this.unstoredJobs.add(job);
  }

  /** Drops the finishes of a job that has its commit, or whose record is gone. */
  forgetJob(job: string): void {
    this.finishesByJob.delete(job);
    this.unstoredJobs.delete(job);
    this.unreportedJobs.delete(job);
  }

  /**
   * Begins the writes of finishes that are due, with at most `maxPuts` records; each ends with `writeAnswered`.
   * Finishes of jobs that aren't known as unfinished (ended, or not heard of yet) wait, and are dropped in the end.
   */
  beginWrites(
    writer: string,
    maxPuts: number,
    now: Instant,
    isUnfinished: (job: string) => boolean,
  ): FinishWrite[] {
    const writes: FinishWrite[] = [];
    let putsLeft = maxPuts;
    for (const [job, finishes] of this.unstoredInWriteOrder()) {
      if (putsLeft <= 0 || (finishes.isRefused && writes.length > 0)) break;
      const { waitingSince } = finishes;
      if (finishes.isWriting || waitingSince === null || !hasElapsed(now, waitingSince, this.batchingDelay))
        continue;
      if (finishes.isRefused) putsLeft = 1;
      if (!isUnfinished(job)) {
        if (hasElapsed(now, waitingSince, DROP_UNKNOWN_AFTER)) this.forgetJob(job);
        continue;
      }
      const puts = this.changedPuts(job, finishes, writer, putsLeft);
      if (puts.length === 0) continue;
      finishes.isWriting = true;
      putsLeft -= puts.length;
      writes.push({ job, puts });
    }
    return writes;
  }

  /** Jobs whose write was refused come last, and are written alone: together with others they would block these too. */
  private unstoredInWriteOrder(): [job: string, finishes: JobFinishes][] {
    const others: [string, JobFinishes][] = [];
    const refused: [string, JobFinishes][] = [];
    for (const job of this.unstoredJobs) {
      const finishes = this.finishesByJob.get(job);
      if (finishes !== undefined) (finishes.isRefused ? refused : others).push([job, finishes]);
    }
    return [...others, ...refused];
  }

  private changedPuts(job: string, finishes: JobFinishes, writer: string, maxPuts: number): FinishPut[] {
    const { unansweredWrites } = finishes;
    // a write without an answer may be carried out after newer ones, so later writes use other keys
    const keyWriter = unansweredWrites === 0 ? writer : `${writer}.${unansweredWrites}`;
    const puts: FinishPut[] = [];
    for (const [window, ranges] of splitIntoWindows(finishes.known.ranges(), this.maxValueBytes)) {
      const text = JSON.stringify(ranges);
      if (finishes.written.get(window) !== text && puts.length < maxPuts)
        puts.push({ key: keys.rangesOf(job, keyWriter, window), window, text, ranges });
    }
    return puts;
  }

  /** Applies the outcome of one job's writes. */
  writeAnswered(write: FinishWrite, result: StoreResult, now: Instant): void {
    const finishes = this.finishesByJob.get(write.job);
    if (finishes === undefined) return;
    finishes.isWriting = false;
    switch (result) {
      case "over": {
        this.forgetJob(write.job);
        return;
      }
      case "failed":
        finishes.unansweredWrites++;
        return;
      case "refused":
        finishes.isRefused = true;
        finishes.waitingSince = plus(now, PAUSE_AFTER_REFUSAL);
        return;
      case "stored": {
        this.markStored(write, finishes, now);
        return;
      }
    }
  }

  private markStored(write: FinishWrite, finishes: JobFinishes, now: Instant): void {
    finishes.isRefused = false;
    for (const put of write.puts) {
      finishes.written.set(put.window, put.text);
      for (const [from, to] of put.ranges)
        for (let index = from; index < to; index++)
          if (!finishes.stored.has(index)) {
            finishes.stored.add(index);
            finishes.unreported.add(index);
          }
    }
    this.unreportedJobs.add(write.job);
    finishes.waitingSince = finishes.known.size > finishes.stored.size ? now : null;
    if (finishes.waitingSince === null) this.unstoredJobs.delete(write.job);
  }

  /**
   * Takes stored finishes that have not been reported to the leader, in up to `maxRanges` ranges. If their delivery
   * fails, they are returned with `putBack`.
   */
  takeUnreported(maxRanges: number): StoredFinishes[] {
    let rangesLeft = maxRanges;
    const taken: StoredFinishes[] = [];
    for (const job of this.unreportedJobs) {
      if (rangesLeft <= 0) break;
      this.unreportedJobs.delete(job);
      const finishes = this.finishesByJob.get(job);
      if (finishes === undefined) continue;
      const all = finishes.unreported.ranges();
      const ranges = all.slice(0, rangesLeft);
      rangesLeft -= ranges.length;
      taken.push({ job, ranges });
      finishes.unreported = RangeSet.of(all.slice(ranges.length));
      if (finishes.unreported.size > 0) this.unreportedJobs.add(job);
    }
    return taken;
  }

  /** Returns finishes that did not reach the leader. */
  putBack(stored: readonly StoredFinishes[]): void {
    for (const { job, ranges } of stored) {
      const finishes = this.finishesByJob.get(job);
      if (finishes === undefined) continue;
      for (const [from, to] of ranges) finishes.unreported.add(from, to);
      this.unreportedJobs.add(job);
    }
  }
}
