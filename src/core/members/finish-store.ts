/**
 * A member's finished tasks, by job, until the job is over: which are still to be stored, and of which stored ones the
 * leader has not heard yet. A finish is forgotten nowhere else before it is stored (S7).
 */
import * as Duration from "effect/Duration";
import type { StoredFinishes } from "./member-update.js";
import { type Range, RangeSet, windows } from "../ranges.js";
import { keys } from "../records.js";
import { type Instant, hasElapsed, plus } from "../time.js";

const GIVE_UP_AFTER = Duration.seconds(30);
/** A write that the state service refuses as it is gives way to other jobs' for so long. */
const REFUSED_PAUSE = Duration.seconds(30);
const MAX_JOBS = 20_000;

interface Finishes {
  readonly known: RangeSet;
  readonly stored: RangeSet;
  /** Stored, and the leader has not heard of it. */
  untold: RangeSet;
  /** What the last successful write of each chunk held. */
  readonly written: Map<number, string>;
  /** Since when a finish waits to be stored. */
  since: Instant | null;
  writing: boolean;
  /** Whether the state service refused its last write, which held nothing else. */
  refused: boolean;
  /** Writes that failed, or that may be carried out yet. */
  unanswered: number;
}

/** The writes of one job that are to be made, or were. */
export interface FinishWrite {
  readonly job: string;
  readonly puts: { key: string; chunk: number; text: string; ranges: Range[] }[];
}

/** What became of one job's writes: `over`: its commit exists; `refused`: not to be sent like this again. */
export type StoreResult = "stored" | "over" | "failed" | "refused";

export class FinishStore {
  private readonly finishes = new Map<string, Finishes>();
  private readonly unstored = new Set<string>();
  private readonly untold = new Set<string>();

  constructor(
    private readonly valueBytes: number,
    /** How long a finish may wait for others of its job before it is stored. */
    private readonly gather: Duration.Duration,
  ) {}

  /** Whether there are stored finishes that the leader hasn't heard of. */
  get hasUntold(): boolean {
    return this.untold.size > 0;
  }

  /** Another leader knows of none of them. */
  tellAllAnew(): void {
    for (const [job, finishes] of this.finishes)
      if (finishes.stored.size > 0) {
        finishes.untold = RangeSet.of(finishes.stored.ranges());
        this.untold.add(job);
      }
  }

  /** A worker reported a task as done. */
  finished(job: string, index: number, now: Instant): void {
    let finishes = this.finishes.get(job);
    if (finishes === undefined) {
      if (this.finishes.size >= MAX_JOBS) return;
      finishes = {
        known: new RangeSet(),
        stored: new RangeSet(),
        untold: new RangeSet(),
        written: new Map(),
        since: null,
        writing: false,
        refused: false,
        unanswered: 0,
      };
      this.finishes.set(job, finishes);
    }
    if (finishes.known.has(index)) return;
    finishes.known.add(index);
    finishes.since ??= now;
    this.unstored.add(job);
  }

  /** The job has its commit, or its record is gone: its finishes are of no more use. */
  jobOver(job: string): void {
    this.finishes.delete(job);
    this.unstored.delete(job);
    this.untold.delete(job);
  }

  /**
   * Finishes to be stored now, at most `most` puts; each job's writes are under way until answered. Those of jobs that
   * aren't open (over, or not heard of yet) wait, and are given up in the end.
   */
  toStore(writer: string, most: number, now: Instant, isOpen: (job: string) => boolean): FinishWrite[] {
    const out: FinishWrite[] = [];
    let room = most;
    // what was refused by itself comes last and alone: in one write with others it would hold them up again
    const refused = [...this.unstored].filter((job) => this.finishes.get(job)!.refused);
    const others = [...this.unstored].filter((job) => !this.finishes.get(job)!.refused);
    for (const job of [...others, ...refused]) {
      const finishes = this.finishes.get(job)!;
      if (room <= 0 || (finishes.refused && out.length > 0)) break;
      if (finishes.writing || finishes.since === null || !hasElapsed(now, finishes.since, this.gather))
        continue;
      if (finishes.refused) room = 1;
      if (!isOpen(job)) {
        if (hasElapsed(now, finishes.since, GIVE_UP_AFTER)) this.jobOver(job);
        continue;
      }
      const puts: FinishWrite["puts"] = [];
      // a write without an answer may be carried out after newer ones: no later one goes to its key
      const by = finishes.unanswered === 0 ? writer : `${writer}.${finishes.unanswered}`;
      for (const [chunk, ranges] of windows(finishes.known.ranges(), this.valueBytes)) {
        const text = JSON.stringify(ranges);
        if (finishes.written.get(chunk) !== text && puts.length < room)
          puts.push({ key: keys.rangesOf(job, by, chunk), chunk, text, ranges });
      }
      if (puts.length === 0) continue;
      finishes.writing = true;
      room -= puts.length;
      out.push({ job, puts });
    }
    return out;
  }

  /** The answer to one job's writes. */
  storeAnswered(write: FinishWrite, result: StoreResult, now: Instant): void {
    const finishes = this.finishes.get(write.job);
    if (finishes === undefined) return;
    finishes.writing = false;
    if (result === "over") this.jobOver(write.job);
    if (result === "failed") finishes.unanswered++;
    if (result === "refused") {
      finishes.refused = true;
      finishes.since = plus(now, REFUSED_PAUSE);
    }
    if (result !== "stored") return;
    finishes.refused = false;
    for (const put of write.puts) {
      finishes.written.set(put.chunk, put.text);
      for (const [from, to] of put.ranges)
        for (let n = from; n < to; n++)
          if (!finishes.stored.has(n)) {
            finishes.stored.add(n);
            finishes.untold.add(n);
          }
    }
    this.untold.add(write.job);
    finishes.since = finishes.known.size > finishes.stored.size ? now : null;
    if (finishes.since === null) this.unstored.delete(write.job);
  }

  /** Stored finishes that the leader hasn't heard of, in up to `most` ranges. What isn't delivered is put back. */
  takeUntold(most: number): StoredFinishes[] {
    let room = most;
    const taken: { job: string; ranges: Range[] }[] = [];
    for (const job of this.untold) {
      if (room <= 0) break;
      this.untold.delete(job);
      const finishes = this.finishes.get(job);
      if (finishes === undefined) continue;
      const all = finishes.untold.ranges();
      const told = all.slice(0, room);
      room -= told.length;
      taken.push({ job, ranges: told });
      finishes.untold = RangeSet.of(all.slice(told.length));
      if (finishes.untold.size > 0) this.untold.add(job);
    }
    return taken;
  }

  /** These didn't reach the leader. */
  putBack(stored: readonly StoredFinishes[]): void {
    for (const { job, ranges } of stored) {
      const finishes = this.finishes.get(job);
      if (finishes === undefined) continue;
      for (const [from, to] of ranges) finishes.untold.add(from, to);
      this.untold.add(job);
    }
  }
}
