/**
 * A member's part: which workers it takes in, when it last heard and answered them, and what the leader has not heard
 * yet. Pure: events in, decisions out.
 */
import * as Duration from "effect/Duration";
import type { CommandOutcome } from "./decisions.js";
import { FinishStore } from "./finish-store.js";
import type { AgedHeartbeat, MemberUpdate, CommandResult, WorkerContact } from "./member-update.js";
import type { Command, TermRecord, Heartbeat } from "./records.js";
import { type Instant, hasElapsed } from "./time.js";
import { fencingTokenForAnswer, ownerOf } from "./term.js";

export type HeartbeatAnswer =
  | { kind: "taken"; fencingToken: number; stopCommands: Command[] }
  | { kind: "elsewhere"; member: string | null }
  | { kind: "unsure" };

interface Worker {
  heartbeat: Heartbeat | null;
  lastHeartbeatAt: Instant | null;
  lastAnswerAt: Instant | null;
}

const COMES_BACK_WITHIN = Duration.seconds(30);
/** News of other kinds that go with each heartbeat when little fits into a message. */
const A_REPORT = 4;
/** Tasks in the heartbeats of one message: a new leader is told everything, which doesn't fit into one (4 MiB). */
const TASKS_IN_NEWS = 8000;
/** What a heartbeat without tasks takes, counted in tasks. */
const REPORT_ALONE = 4;
/** Machines that were told of another member: several times as many as there may be. */
const MAX_SENT_AWAY = 20_000;

/** Whether a newer heartbeat says nothing that the leader needs to hear. */
const isUnchanged = (a: Heartbeat, b: Heartbeat): boolean =>
  a.workerEpoch === b.workerEpoch &&
  a.fencingToken === b.fencingToken &&
  a.addr === b.addr &&
  (a.reclaimNoticeSeconds === null) === (b.reclaimNoticeSeconds === null) &&
  a.tasks.length === b.tasks.length &&
  a.tasks.every((t, i) => {
    const u = b.tasks[i]!;
    return (
      t.state === u.state &&
      t.index === u.index &&
      t.attempt === u.attempt &&
      t.exitReason === u.exitReason &&
      t.job === u.job
    );
  });

/** The name of the member that answers a machine's reports; null: there is none. */
export type OwnerLookup = (term: TermRecord, machine: string, zone: string) => string | null;

const rendezvousLookup: OwnerLookup = (term, machine, zone) => ownerOf(term, machine, zone)?.name ?? null;

export class WorkerPartition {
  term: TermRecord | null = null;
  /** Where explicit ownership is used, it takes the place of the rendezvous hash. */
  ownerName: OwnerLookup = rendezvousLookup;
  private readonly workers = new Map<string, Worker>();
  /** Machines that were told of another member, of which, and when. */
  private readonly redirected = new Map<string, { readonly to: string; readonly at: Instant }>();
  /** Machines that can't reach the member that they belong to, and which that is. */
  private readonly adopted = new Map<string, string>();
  /** Workers whose report the leader has not heard; the same for when they were heard and answered. */
  private readonly unsentHeartbeats = new Set<string>();
  private readonly unsentContacts = new Set<string>();
  /** Finished tasks, until their jobs are over. */
  readonly finishes: FinishStore;
  private outcomes: CommandResult[] = [];

  constructor(
    readonly member: string,
    valueBytes: number,
    /** How long a finish may wait for others of its job before it is stored. */
    gather: Duration.Duration,
  ) {
    this.finishes = new FinishStore(valueBytes, gather);
  }

  /** A new term. Another leader, or one that takes this process for another, is told everything anew. */
  setTerm(term: TermRecord): void {
    const incarnation = (t: TermRecord | null): number | undefined =>
      t?.members.find((m) => m.name === this.member)?.incarnation;
    const same =
      this.term?.leaderRevision === term.leaderRevision && incarnation(this.term) === incarnation(term);
    this.term = term;
    this.adopted.clear();
    this.redirected.clear();
    if (same) return;
    this.outcomes = [];
    for (const [machine, w] of this.workers) {
      this.unsentContacts.add(machine);
      if (w.heartbeat !== null) this.unsentHeartbeats.add(machine);
    }
    this.finishes.tellAllAnew();
  }

  private worker(machine: string): Worker {
    let w = this.workers.get(machine);
    if (w === undefined) {
      w = { heartbeat: null, lastHeartbeatAt: null, lastAnswerAt: null };
      this.workers.set(machine, w);
    }
    return w;
  }

  /** A worker's own heartbeat. `entitled`: this node's fence window is open; `isOver`: this job has its commit. */
  handleHeartbeat(
    r: Heartbeat,
    entitled: boolean,
    incarnation: number,
    now: Instant,
    isOver: (job: string) => boolean = () => false,
  ): HeartbeatAnswer {
    const term = this.term;
    if (!entitled || term === null) return { kind: "unsure" };
    if (!term.members.some((m) => m.name === this.member && m.incarnation === incarnation))
      return { kind: "unsure" };
    const owner = this.ownerName(term, r.machine, r.zone);
    if (owner !== null && owner !== this.member && this.adopted.get(r.machine) !== owner) {
      const away = this.redirected.get(r.machine);
      if (away?.to !== owner || hasElapsed(now, away.at, COMES_BACK_WITHIN)) {
        this.redirected.set(r.machine, { to: owner, at: now });
        if (this.redirected.size > MAX_SENT_AWAY)
          this.redirected.delete(this.redirected.keys().next().value!);
        return { kind: "elsewhere", member: owner };
      }
      // it came back: it can't reach the part's member, so it is taken in
      this.adopted.set(r.machine, owner);
    }
    this.recordHeartbeat(r, now);
    // a late copy is answered as well, and the proof by time must reckon with that; it is no sign of life
    this.worker(r.machine).lastAnswerAt = now;
    this.unsentContacts.add(r.machine);
    // an outage may keep the leader's stop from a machine that is still answered: whoever answers it knows as well
    const stopCommands = r.tasks
      .filter((t) => t.state !== "exited" && isOver(t.job))
      .map(({ job, index, attempt }): Command => ({
        op: "stop",
        job,
        index,
        attempt,
        gracePeriodSeconds: 0,
      }));
    return { kind: "taken", fencingToken: fencingTokenForAnswer(term.number, r.fencingToken), stopCommands };
  }

  /** A heartbeat from a beat or from the answer to commands. */
  recordHeartbeat(r: Heartbeat, now: Instant): void {
    const w = this.worker(r.machine);
    const last = w.heartbeat;
    if (
      last !== null &&
      (r.workerEpoch < last.workerEpoch ||
        (r.workerEpoch === last.workerEpoch && r.sequence <= last.sequence))
    )
      return;
    w.lastHeartbeatAt = now;
    this.unsentContacts.add(r.machine);
    if (last !== null && isUnchanged(last, r)) {
      // most reports say nothing new: what they are made of needn't outlive them
      w.heartbeat = { ...r, tasks: last.tasks };
      return;
    }
    w.heartbeat = r;
    this.unsentHeartbeats.add(r.machine);
    for (const t of r.tasks)
      if (t.state === "exited" && t.exitReason === "done") this.finishes.finished(t.job, t.index, now);
  }

  /** Forgets workers that have not come for long. */
  prune(now: Instant, after: Duration.Duration): void {
    for (const [machine, w] of this.workers) {
      const last = Math.max(w.lastAnswerAt ?? 0, w.lastHeartbeatAt ?? 0) as Instant;
      if (!hasElapsed(now, last, after)) continue;
      this.workers.delete(machine);
      this.unsentHeartbeats.delete(machine);
      this.unsentContacts.delete(machine);
    }
  }

  commandsAnswered(id: number, outcome: CommandOutcome, heartbeat: Heartbeat | null, now: Instant): void {
    if (heartbeat !== null) this.recordHeartbeat(heartbeat, now);
    this.outcomes.push({
      id,
      outcome,
      workerEpoch: heartbeat?.workerEpoch ?? 0,
      sequence: heartbeat?.sequence ?? 0,
    });
  }

  /** Reports for one message; the others go with the next ones. */
  private takeHeartbeats(now: Instant, most: number): AgedHeartbeat[] {
    const heartbeats: AgedHeartbeat[] = [];
    let room = TASKS_IN_NEWS;
    for (const machine of this.unsentHeartbeats) {
      if (heartbeats.length >= most || room <= 0) break;
      this.unsentHeartbeats.delete(machine);
      const { heartbeat, lastHeartbeatAt } = this.worker(machine);
      if (heartbeat === null) continue;
      heartbeats.push({ heartbeat, ageMs: Math.max(0, now - (lastHeartbeatAt ?? now)) });
      room -= REPORT_ALONE + heartbeat.tasks.length;
    }
    return heartbeats;
  }

  /** What the leader has not heard yet, at most so much. What isn't delivered is put back with `putBack`. */
  takeUpdate(now: Instant, mostReports = Infinity): MemberUpdate {
    const most = mostReports * A_REPORT;
    const heartbeats = this.takeHeartbeats(now, mostReports);
    const age = (at: Instant | null): number => (at === null ? -1 : Math.max(0, now - at));
    const contacts: WorkerContact[] = [];
    for (const machine of this.unsentContacts) {
      if (contacts.length >= most) break;
      this.unsentContacts.delete(machine);
      const w = this.workers.get(machine);
      if (w !== undefined)
        contacts.push({ machine, answerAgeMs: age(w.lastAnswerAt), heartbeatAgeMs: age(w.lastHeartbeatAt) });
    }
    const storedFinishes = this.finishes.takeUntold(most);
    const commandResults = this.outcomes.slice(0, most);
    this.outcomes = this.outcomes.slice(commandResults.length);
    return { heartbeats, contacts, storedFinishes, commandResults };
  }

  /** Whether the last news named every worker answered before; only then may the member vouch for the others. */
  isUpdateComplete(): boolean {
    return this.unsentContacts.size === 0;
  }

  putBack(news: MemberUpdate): void {
    for (const { heartbeat } of news.heartbeats)
      if (this.workers.has(heartbeat.machine)) this.unsentHeartbeats.add(heartbeat.machine);
    for (const { machine } of news.contacts) if (this.workers.has(machine)) this.unsentContacts.add(machine);
    this.finishes.putBack(news.storedFinishes);
    this.outcomes = [...news.commandResults, ...this.outcomes];
  }

  /** Whether there is something that the leader waits for; signs of life alone can wait. */
  hasUpdate(): boolean {
    return this.unsentHeartbeats.size > 0 || this.finishes.hasUntold || this.outcomes.length > 0;
  }
}
