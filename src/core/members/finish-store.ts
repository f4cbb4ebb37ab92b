/**
 * A member's finished tasks, by job, until the job is over: which are still to be stored, and which stored ones the
 * leader hasn't been told of yet. A finish is forgotten nowhere else before it is stored (S7).
 */
import * as Duration from "effect/Duration";
import type { StoredFinishes } from "./member-update.js";
import { type Range, RangeSet, splitIntoWindows } from "../ranges.js";
import { keys } from "../records.js";
import { type Instant, hasElapsed, plus } from "../time.js";

/** Finishes of a job that isn't known here as open are given up after so long. */
const DROP_UNKNOWN_AFTER = Duration.seconds(30);
/** A write that the state service refuses as it is gives way to other jobs' for so long. */
const PAUSE_AFTER_REFUSAL = Duration.seconds(30);
/** Several times as many as may be unfinished at once. */
const MAX_JOBS = 20_000;

interface JobFinishes {
  readonly known: RangeSet;
  readonly stored: RangeSet;
  /** Stored, and the leader hasn't been told. */
  unreported: RangeSet;
  /** What the last successful write of each chunk held. */
  readonly written: Map<number, string>;
  /** Since when a finish waits to be stored. */
  waitingSince: Instant | null;
  isWriting: boolean;
  /** Whether the state service refused its last write, which held nothing else. */
  isRefused: boolean;
  /** Writes that failed, or that may be carried out yet. */
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

/** One range record that is to be written. */
export interface FinishPut {
  readonly key: string;
  /** Which window of task numbers it holds. */
  readonly window: number;
  /** Its ranges as text, to compare with what was written before. */
  readonly text: string;
  readonly ranges: Range[];
}

/** The writes of one job that are to be made, or were. */
export interface FinishWrite {
  readonly job: string;
  readonly puts: FinishPut[];
}

/**
 * What became of one job's writes: `markStored`; `over`: its commit exists, so they aren't needed; `failed`: not carried out,
 * or may be yet; `refused`: not to be sent like this again.
 */
export type StoreResult = "stored" | "over" | "failed" | "refused";

/** The finishes of all jobs that this member heard of. */
export class FinishStore {
  private readonly finishesByJob = new Map<string, JobFinishes>();
  private readonly unstoredJobs = new Set<string>();
  private readonly unreportedJobs = new Set<string>();

  constructor(
    /** Bytes that one range record may have. */
    private readonly maxValueBytes: number,
    /** How long a finish may wait for others of its job before it is stored. */
    private readonly batchingDelay: Duration.Duration,
  ) {}

  /** Whether there are stored finishes that the leader hasn't been told of. */
  get hasUnreported(): boolean {
    return this.unreportedJobs.size > 0;
  }

  /** Another leader knows of none of them: all that is stored is reported anew. */
  reportAllAgain(): void {
    for (const [job, finishes] of this.finishesByJob)
      if (finishes.stored.size > 0) {
        finishes.unreported = RangeSet.of(finishes.stored.ranges());
        this.unreportedJobs.add(job);
      }
  }

  /** A worker reported a task as done. */
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

  /** The job has its commit, or its record is gone: its finishes are of no more use. */
  forgetJob(job: string): void {
    this.finishesByJob.delete(job);
    this.unstoredJobs.delete(job);
    this.unreportedJobs.delete(job);
  }

  /**
   * Finishes to be stored now, at most `maxPuts` puts; each job's writes are under way until answered. Those of jobs
   * that aren't open (over, or not heard of yet) wait, and are given up in the end.
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

  /** What was refused by itself comes last and alone: in one write with others it would hold them up again. */
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
    // a write without an answer may be carried out after newer ones: no later one goes to its key
    const keyWriter = unansweredWrites === 0 ? writer : `${writer}.${unansweredWrites}`;
    const puts: FinishPut[] = [];
    for (const [window, ranges] of splitIntoWindows(finishes.known.ranges(), this.maxValueBytes)) {
      const text = JSON.stringify(ranges);
      if (finishes.written.get(window) !== text && puts.length < maxPuts)
        puts.push({ key: keys.rangesOf(job, keyWriter, window), window, text, ranges });
    }
    return puts;
  }

  /** The answer to one job's writes. */
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
   * Stored finishes that the leader hasn't been told of, in up to `maxRanges` ranges. What isn't delivered is put back
   * with `putBack`.
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

  /** These didn't reach the leader. */
  putBack(stored: readonly StoredFinishes[]): void {
    for (const { job, ranges } of stored) {
      const finishes = this.finishesByJob.get(job);
      if (finishes === undefined) continue;
      for (const [from, to] of ranges) finishes.unreported.add(from, to);
      this.unreportedJobs.add(job);
    }
  }
}
