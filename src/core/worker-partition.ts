/**
 * A member's part: which workers it takes in, when it last heard and answered them, which finishes are still to be
 * stored, and what the leader has not heard yet. Pure: events in, decisions out.
 */
import * as Duration from "effect/Duration";
import { type Range, RangeSet, windows } from "./ranges.js";
import { type Instant, passed, plus } from "./time.js";
import { keys, type Order, type TermRecord, type WorkerReport } from "./records.js";
import type { OrderOutcome } from "./decisions.js";
import { answerToken, ownerOf } from "./term.js";

export type ReportAnswer =
  | { kind: "taken"; token: number; halts: Order[] }
  | { kind: "elsewhere"; member: string | null }
  | { kind: "unsure" };

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

interface Worker {
  report: WorkerReport | null;
  heardAt: Instant | null;
  answeredAt: Instant | null;
}

/** A report and how long ago it came: after a new term old ones are told anew, and must not pass for fresh. */
export interface AgedReport {
  readonly report: WorkerReport;
  readonly ageMs: number;
}
/** How long ago a worker was last answered, and last sent something newer than before; negative: never. */
export interface Seen {
  readonly machine: string;
  readonly answeredMs: number;
  readonly heardMs: number;
}
/** What became of an order batch of the leader's, and which report the worker answered with; 0: none. */
export interface Outcome {
  readonly id: number;
  readonly outcome: OrderOutcome;
  readonly session: number;
  readonly seq: number;
}
export interface News {
  readonly reports: readonly AgedReport[];
  readonly seen: readonly Seen[];
  readonly stored: readonly { job: string; ranges: readonly Range[] }[];
  readonly outcomes: readonly Outcome[];
}

export interface Writing {
  readonly job: string;
  readonly puts: { key: string; chunk: number; text: string; ranges: Range[] }[];
}

const COMES_BACK_WITHIN = Duration.seconds(30);
const GIVE_UP_AFTER = Duration.seconds(30);
/** A write that the state service refuses as it is gives way to other jobs' for so long. */
const REFUSED_PAUSE = Duration.seconds(30);
/** News of other kinds that go with each report when little fits into a message. */
const A_REPORT = 4;
const MAX_JOBS = 20_000;
const MAX_SENT_AWAY = 5000;

/** Whether a newer report says nothing that the leader needs to hear. */
const sameNews = (a: WorkerReport, b: WorkerReport): boolean =>
  a.session === b.session &&
  a.token === b.token &&
  a.addr === b.addr &&
  (a.noticeS === null) === (b.noticeS === null) &&
  a.tasks.length === b.tasks.length &&
  a.tasks.every((t, i) => {
    const u = b.tasks[i]!;
    return (
      t.state === u.state &&
      t.index === u.index &&
      t.attempt === u.attempt &&
      t.why === u.why &&
      t.job === u.job
    );
  });

export class WorkerPartition {
  term: TermRecord | null = null;
  private readonly workers = new Map<string, Worker>();
  private readonly sentAway = new Map<string, Instant>();
  private readonly takenIn = new Map<string, number>();
  /** Workers whose report the leader has not heard; the same for when they were heard and answered. */
  private readonly unsent = new Set<string>();
  private readonly touched = new Set<string>();
  private readonly finishes = new Map<string, Finishes>();
  private readonly unstored = new Set<string>();
  private readonly untold = new Set<string>();
  private outcomes: Outcome[] = [];

  constructor(
    readonly member: string,
    private readonly valueBytes: number,
    /** How long a finish may wait for others of its job before it is stored. */
    private readonly gather: Duration.Duration,
  ) {}

  /** A new term. Another leader, or one that takes this process for another, is told everything anew. */
  setTerm(term: TermRecord): void {
    const incarnation = (t: TermRecord | null): number | undefined =>
      t?.members.find((m) => m.name === this.member)?.incarnation;
    const same = this.term?.key === term.key && incarnation(this.term) === incarnation(term);
    this.term = term;
    this.takenIn.clear();
    this.sentAway.clear();
    if (same) return;
    this.outcomes = [];
    for (const [machine, w] of this.workers) {
      this.touched.add(machine);
      if (w.report !== null) this.unsent.add(machine);
    }
    for (const [job, f] of this.finishes)
      if (f.stored.size > 0) {
        f.untold = RangeSet.of(f.stored.ranges());
        this.untold.add(job);
      }
  }

  private worker(machine: string): Worker {
    let w = this.workers.get(machine);
    if (w === undefined) {
      w = { report: null, heardAt: null, answeredAt: null };
      this.workers.set(machine, w);
    }
    return w;
  }

  /** A worker's own report. `entitled`: this node's fence window is open; `isOver`: this job has its commit. */
  handleReport(
    r: WorkerReport,
    entitled: boolean,
    incarnation: number,
    now: Instant,
    isOver: (job: string) => boolean = () => false,
  ): ReportAnswer {
    const term = this.term;
    if (!entitled || term === null) return { kind: "unsure" };
    if (!term.members.some((m) => m.name === this.member && m.incarnation === incarnation))
      return { kind: "unsure" };
    const owner = ownerOf(term, r.machine, r.zone);
    if (owner !== null && owner.name !== this.member && this.takenIn.get(r.machine) !== term.token) {
      const away = this.sentAway.get(r.machine);
      if (away === undefined || passed(now, away, COMES_BACK_WITHIN)) {
        this.sentAway.set(r.machine, now);
        if (this.sentAway.size > MAX_SENT_AWAY) this.sentAway.delete(this.sentAway.keys().next().value!);
        return { kind: "elsewhere", member: owner.name };
      }
      // it came back: it can't reach the part's member, so it is taken in
      this.takenIn.set(r.machine, term.token);
    }
    this.take(r, now);
    // a late copy is answered as well, and the proof by time must reckon with that; it is no sign of life
    this.worker(r.machine).answeredAt = now;
    this.touched.add(r.machine);
    // an outage may keep the leader's stop from a machine that is still answered: whoever answers it knows as well
    const halts = r.tasks
      .filter((t) => t.state !== "exited" && isOver(t.job))
      .map(({ job, index, attempt }): Order => ({ op: "stop", job, index, attempt, graceS: 0 }));
    return { kind: "taken", token: answerToken(term.token, r.token), halts };
  }

  /** A report from a beat or from the answer to orders. */
  take(r: WorkerReport, now: Instant): void {
    const w = this.worker(r.machine);
    const last = w.report;
    if (last !== null && (r.session < last.session || (r.session === last.session && r.seq <= last.seq)))
      return;
    w.heardAt = now;
    this.touched.add(r.machine);
    if (last !== null && sameNews(last, r)) {
      // most reports say nothing new: what they are made of needn't outlive them
      w.report = { ...r, tasks: last.tasks };
      return;
    }
    w.report = r;
    this.unsent.add(r.machine);
    for (const t of r.tasks) if (t.state === "exited" && t.why === "done") this.finished(t.job, t.index, now);
  }

  private finished(job: string, index: number, now: Instant): void {
    let f = this.finishes.get(job);
    if (f === undefined) {
      if (this.finishes.size >= MAX_JOBS) return;
      f = {
        known: new RangeSet(),
        stored: new RangeSet(),
        untold: new RangeSet(),
        written: new Map(),
        since: null,
        writing: false,
        refused: false,
        unanswered: 0,
      };
      this.finishes.set(job, f);
    }
    if (f.known.has(index)) return;
    f.known.add(index);
    f.since ??= now;
    this.unstored.add(job);
  }

  /** The job has its commit, or its record is gone: its finishes are of no more use. */
  jobOver(job: string): void {
    this.finishes.delete(job);
    this.unstored.delete(job);
    this.untold.delete(job);
  }

  /** Forgets workers that have not come for long. */
  prune(now: Instant, after: Duration.Duration): void {
    for (const [machine, w] of this.workers) {
      const last = Math.max(w.answeredAt ?? 0, w.heardAt ?? 0) as Instant;
      if (!passed(now, last, after)) continue;
      this.workers.delete(machine);
      this.unsent.delete(machine);
      this.touched.delete(machine);
    }
  }

  /**
   * Finishes to be stored now, at most `most` puts; each job's writes are under way until answered. Those of jobs that
   * aren't open (over, or not heard of yet) wait, and are given up in the end.
   */
  toStore(writer: string, most: number, now: Instant, isOpen: (job: string) => boolean): Writing[] {
    const out: Writing[] = [];
    let room = most;
    // what was refused by itself comes last and alone: in one write with others it would hold them up again
    const refused = [...this.unstored].filter((job) => this.finishes.get(job)!.refused);
    const others = [...this.unstored].filter((job) => !this.finishes.get(job)!.refused);
    for (const job of [...others, ...refused]) {
      const f = this.finishes.get(job)!;
      if (room <= 0 || (f.refused && out.length > 0)) break;
      if (f.writing || f.since === null || !passed(now, f.since, this.gather)) continue;
      if (f.refused) room = 1;
      if (!isOpen(job)) {
        if (passed(now, f.since, GIVE_UP_AFTER)) this.jobOver(job);
        continue;
      }
      const puts: Writing["puts"] = [];
      // a write without an answer may be carried out after newer ones: no later one goes to its key
      const by = f.unanswered === 0 ? writer : `${writer}.${f.unanswered}`;
      for (const [chunk, ranges] of windows(f.known.ranges(), this.valueBytes)) {
        const text = JSON.stringify(ranges);
        if (f.written.get(chunk) !== text && puts.length < room)
          puts.push({ key: keys.rangesOf(job, by, chunk), chunk, text, ranges });
      }
      if (puts.length === 0) continue;
      f.writing = true;
      room -= puts.length;
      out.push({ job, puts });
    }
    return out;
  }

  /** The answer to one job's writes; `over`: its commit record exists; `refused`: not to be sent like this again. */
  storeAnswered(w: Writing, result: "stored" | "over" | "failed" | "refused", now: Instant): void {
    const f = this.finishes.get(w.job);
    if (f === undefined) return;
    f.writing = false;
    if (result === "over") this.jobOver(w.job);
    if (result === "failed") f.unanswered++;
    if (result === "refused") {
      f.refused = true;
      f.since = plus(now, REFUSED_PAUSE);
    }
    if (result !== "stored") return;
    f.refused = false;
    for (const put of w.puts) {
      f.written.set(put.chunk, put.text);
      for (const [from, to] of put.ranges)
        for (let n = from; n < to; n++)
          if (!f.stored.has(n)) {
            f.stored.add(n);
            f.untold.add(n);
          }
    }
    this.untold.add(w.job);
    f.since = f.known.size > f.stored.size ? now : null;
    if (f.since === null) this.unstored.delete(w.job);
  }

  ordersDone(id: number, outcome: OrderOutcome, report: WorkerReport | null, now: Instant): void {
    if (report !== null) this.take(report, now);
    this.outcomes.push({ id, outcome, session: report?.session ?? 0, seq: report?.seq ?? 0 });
  }

  /** What the leader has not heard yet, at most so much. What isn't delivered is put back with `putBack`. */
  news(now: Instant, mostReports = Infinity): News {
    const most = mostReports * A_REPORT;
    const reports: AgedReport[] = [];
    for (const machine of this.unsent) {
      if (reports.length >= mostReports) break;
      this.unsent.delete(machine);
      const w = this.workers.get(machine);
      if (w?.report != null) reports.push({ report: w.report, ageMs: Math.max(0, now - (w.heardAt ?? now)) });
    }
    const age = (at: Instant | null): number => (at === null ? -1 : Math.max(0, now - at));
    const seen: Seen[] = [];
    for (const machine of this.touched) {
      if (seen.length >= most) break;
      this.touched.delete(machine);
      const w = this.workers.get(machine);
      if (w !== undefined) seen.push({ machine, answeredMs: age(w.answeredAt), heardMs: age(w.heardAt) });
    }
    let ranges = most;
    const stored: { job: string; ranges: Range[] }[] = [];
    for (const job of this.untold) {
      if (ranges <= 0) break;
      this.untold.delete(job);
      const f = this.finishes.get(job);
      if (f === undefined) continue;
      const all = f.untold.ranges();
      const told = all.slice(0, ranges);
      ranges -= told.length;
      stored.push({ job, ranges: told });
      f.untold = RangeSet.of(all.slice(told.length));
      if (f.untold.size > 0) this.untold.add(job);
    }
    const outcomes = this.outcomes.slice(0, most);
    this.outcomes = this.outcomes.slice(outcomes.length);
    return { reports, seen, stored, outcomes };
  }

  /** Whether the last news named every worker answered before; only then may the member vouch for the others. */
  namedAll(): boolean {
    return this.touched.size === 0;
  }

  putBack(news: News): void {
    for (const { report } of news.reports)
      if (this.workers.has(report.machine)) this.unsent.add(report.machine);
    for (const { machine } of news.seen) if (this.workers.has(machine)) this.touched.add(machine);
    for (const { job, ranges } of news.stored) {
      const f = this.finishes.get(job);
      if (f === undefined) continue;
      for (const [from, to] of ranges) f.untold.add(from, to);
      this.untold.add(job);
    }
    this.outcomes = [...news.outcomes, ...this.outcomes];
  }

  /** Whether there is something that the leader waits for; signs of life alone can wait. */
  hasNews(): boolean {
    return this.unsent.size > 0 || this.untold.size > 0 || this.outcomes.length > 0;
  }
}
