/**
 * A member's part: which workers it takes in, when it last answered them, which finishes are still to be
 * stored, and what the leader has not heard yet. Pure: events in, decisions out.
 */
import * as Duration from "effect/Duration";
import { type Range, RangeSet, windows } from "./ranges.js";
import { type Instant, passed } from "./time.js";
import { keys, type TermRecord, type WorkerReport } from "./records.js";
import { ownerOf } from "./term.js";

export type BeatAnswer =
  { kind: "taken"; token: number } | { kind: "elsewhere"; member: string | null } | { kind: "unsure" };

interface Finishes {
  readonly known: RangeSet;
  readonly stored: RangeSet;
  /** What the last successful write of each chunk held. */
  readonly written: Map<number, string>;
  writing: boolean;
  told: boolean;
}

/** A report and how long ago it came: after a new term old ones are told anew, and must not pass for fresh. */
export interface AgedReport {
  readonly report: WorkerReport;
  readonly ageMs: number;
}

export interface Writing {
  readonly job: string;
  readonly puts: { key: string; chunk: number; text: string; ranges: Range[] }[];
}

const COMES_BACK_WITHIN = Duration.seconds(30);
const MAX_JOBS = 20_000;

export class Part {
  term: TermRecord | null = null;
  readonly answeredAt = new Map<string, Instant>();
  private readonly sentAway = new Map<string, Instant>();
  private readonly takenIn = new Map<string, number>();
  private readonly reports = new Map<string, { report: WorkerReport; at: Instant }>();
  private readonly unsent = new Set<string>();
  private readonly signatures = new Map<string, string>();
  private readonly finishes = new Map<string, Finishes>();

  constructor(
    readonly member: string,
    private readonly valueBytes: number,
  ) {}

  /** A new term: the leader is told everything anew. */
  setTerm(term: TermRecord): void {
    this.term = term;
    this.takenIn.clear();
    this.sentAway.clear();
    for (const machine of this.reports.keys()) this.unsent.add(machine);
    for (const finish of this.finishes.values()) finish.told = false;
  }

  /** A worker's own report. `entitled`: this node's fence window is open. */
  beat(r: WorkerReport, entitled: boolean, incarnation: number, now: Instant): BeatAnswer {
    const term = this.term;
    if (!entitled || term === null) return { kind: "unsure" };
    if (!term.members.some((m) => m.name === this.member && m.incarnation === incarnation))
      return { kind: "unsure" };
    const owner = ownerOf(term, r.machine, r.zone);
    if (owner !== null && owner.name !== this.member && this.takenIn.get(r.machine) !== term.token) {
      const away = this.sentAway.get(r.machine);
      if (away === undefined || passed(now, away, COMES_BACK_WITHIN)) {
        this.sentAway.set(r.machine, now);
        if (this.sentAway.size > 1000) this.sentAway.delete(this.sentAway.keys().next().value!);
        return { kind: "elsewhere", member: owner.name };
      }
      // it came back: it can't reach the part's member, so it is taken in
      this.takenIn.set(r.machine, term.token);
    }
    this.take(r, now);
    this.answeredAt.set(r.machine, now);
    return { kind: "taken", token: term.token };
  }

  /** A report from a beat or from the answer to orders. */
  take(r: WorkerReport, now: Instant): void {
    const last = this.reports.get(r.machine)?.report;
    if (last !== undefined && (r.session < last.session || (r.session === last.session && r.seq <= last.seq)))
      return;
    this.reports.set(r.machine, { report: r, at: now });
    const signature = `${r.session} ${r.token} ${r.noticeS !== null} ${r.addr} ${r.tasks
      .map((t) => `${t.job}/${t.index}#${t.attempt}${t.state}${t.why ?? ""}`)
      .join(" ")}`;
    if (this.signatures.get(r.machine) !== signature) {
      this.signatures.set(r.machine, signature);
      this.unsent.add(r.machine);
    }
    for (const t of r.tasks) if (t.state === "exited" && t.why === "done") this.finished(t.job, t.index);
  }

  private finished(job: string, index: number): void {
    let f = this.finishes.get(job);
    if (f === undefined) {
      if (this.finishes.size >= MAX_JOBS) return;
      f = { known: new RangeSet(), stored: new RangeSet(), written: new Map(), writing: false, told: true };
      this.finishes.set(job, f);
    }
    if (!f.known.has(index)) f.known.add(index);
  }

  /** The job has its commit, or its record is gone: its finishes are of no more use. */
  jobOver(job: string): void {
    this.finishes.delete(job);
  }

  /** Forgets workers that have not come for long. */
  prune(now: Instant, after: Duration.Duration): void {
    for (const [machine, at] of this.answeredAt)
      if (passed(now, at, after)) {
        this.answeredAt.delete(machine);
        this.reports.delete(machine);
        this.signatures.delete(machine);
        this.unsent.delete(machine);
      }
  }

  hasUnstored(): boolean {
    for (const f of this.finishes.values()) if (!f.writing && f.known.size > f.stored.size) return true;
    return false;
  }

  /** Finishes to be stored now, at most `most` puts; each job's writes are under way until answered. */
  toStore(writer: string, most: number): Writing[] {
    const out: Writing[] = [];
    let room = most;
    for (const [job, f] of this.finishes) {
      if (room <= 0) break;
      if (f.writing || f.known.size === f.stored.size) continue;
      const puts: Writing["puts"] = [];
      for (const [chunk, ranges] of windows(f.known.ranges(), this.valueBytes)) {
        const text = JSON.stringify(ranges);
        if (f.written.get(chunk) !== text && puts.length < room)
          puts.push({ key: keys.rangesOf(job, writer, chunk), chunk, text, ranges });
      }
      if (puts.length === 0) continue;
      f.writing = true;
      room -= puts.length;
      out.push({ job, puts });
    }
    return out;
  }

  /** The answer to one job's writes; `over`: its commit record exists. */
  storeAnswered(w: Writing, result: "stored" | "over" | "failed"): void {
    const f = this.finishes.get(w.job);
    if (f === undefined) return;
    f.writing = false;
    if (result === "over") this.finishes.delete(w.job);
    if (result !== "stored") return;
    f.told = false;
    for (const put of w.puts) {
      f.written.set(put.chunk, put.text);
      for (const [from, to] of put.ranges) f.stored.add(from, to);
    }
  }

  /** What the leader has not heard yet. What isn't delivered is put back with `untold`. */
  news(now: Instant): { reports: AgedReport[]; stored: { job: string; ranges: Range[] }[] } {
    const reports: AgedReport[] = [];
    for (const machine of this.unsent) {
      const held = this.reports.get(machine);
      if (held !== undefined) reports.push({ report: held.report, ageMs: Math.max(0, now - held.at) });
    }
    this.unsent.clear();
    const stored: { job: string; ranges: Range[] }[] = [];
    for (const [job, f] of this.finishes)
      if (!f.told && f.stored.size > 0) {
        f.told = true;
        stored.push({ job, ranges: f.stored.ranges() });
      }
    return { reports, stored };
  }

  untold(news: { reports: readonly AgedReport[]; stored: readonly { job: string }[] }): void {
    for (const { report } of news.reports)
      if (this.reports.has(report.machine)) this.unsent.add(report.machine);
    for (const { job } of news.stored) {
      const f = this.finishes.get(job);
      if (f !== undefined) f.told = false;
    }
  }

  hasNews(): boolean {
    if (this.unsent.size > 0) return true;
    for (const f of this.finishes.values()) if (!f.told && f.stored.size > 0) return true;
    return false;
  }
}
