/**
 * A member's part: which workers it takes in, when it last heard and answered them, and what the leader has not heard
 * yet. Pure: events in, decisions out.
 */
import * as Duration from "effect/Duration";
import type { CommandOutcome } from "../scheduler/decisions.js";
import { FinishStore } from "./finish-store.js";
import type { AgedHeartbeat, MemberUpdate, CommandResult, WorkerContact } from "./member-update.js";
import type { Command, TermRecord, Heartbeat } from "../records.js";
import { type Instant, hasElapsed } from "../time.js";
import { fencingTokenForAnswer, ownerOf } from "../leases/term.js";

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
const isUnchanged = (heartbeat: Heartbeat, b: Heartbeat): boolean =>
  heartbeat.workerEpoch === b.workerEpoch &&
  heartbeat.fencingToken === b.fencingToken &&
  heartbeat.addr === b.addr &&
  (heartbeat.reclaimNoticeSeconds === null) === (b.reclaimNoticeSeconds === null) &&
  heartbeat.tasks.length === b.tasks.length &&
  heartbeat.tasks.every((task, i) => {
    const status = b.tasks[i]!;
    return (
      task.state === status.state &&
      task.index === status.index &&
      task.attempt === status.attempt &&
      task.exitReason === status.exitReason &&
      task.job === status.job
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
      t?.members.find((member) => member.name === this.member)?.incarnation;
    const same =
      this.term?.leaderRevision === term.leaderRevision && incarnation(this.term) === incarnation(term);
    this.term = term;
    this.adopted.clear();
    this.redirected.clear();
    if (same) return;
    this.outcomes = [];
    for (const [machine, worker] of this.workers) {
      this.unsentContacts.add(machine);
      if (worker.heartbeat !== null) this.unsentHeartbeats.add(machine);
    }
    this.finishes.tellAllAnew();
  }

  private worker(machine: string): Worker {
    let worker = this.workers.get(machine);
    if (worker === undefined) {
      worker = { heartbeat: null, lastHeartbeatAt: null, lastAnswerAt: null };
      this.workers.set(machine, worker);
    }
    return worker;
  }

  /** A worker's own heartbeat. `entitled`: this node's fence window is open; `isOver`: this job has its commit. */
  handleHeartbeat(
    heartbeat: Heartbeat,
    entitled: boolean,
    incarnation: number,
    now: Instant,
    isOver: (job: string) => boolean = () => false,
  ): HeartbeatAnswer {
    const term = this.term;
    if (!entitled || term === null) return { kind: "unsure" };
    if (!term.members.some((member) => member.name === this.member && member.incarnation === incarnation))
      return { kind: "unsure" };
    const owner = this.ownerName(term, heartbeat.machine, heartbeat.zone);
    if (owner !== null && owner !== this.member && this.adopted.get(heartbeat.machine) !== owner) {
      const away = this.redirected.get(heartbeat.machine);
      if (away?.to !== owner || hasElapsed(now, away.at, COMES_BACK_WITHIN)) {
        this.redirected.set(heartbeat.machine, { to: owner, at: now });
        if (this.redirected.size > MAX_SENT_AWAY)
          this.redirected.delete(this.redirected.keys().next().value!);
        return { kind: "elsewhere", member: owner };
      }
      // it came back: it can't reach the part's member, so it is taken in
      this.adopted.set(heartbeat.machine, owner);
    }
    this.recordHeartbeat(heartbeat, now);
    // a late copy is answered as well, and the proof by time must reckon with that; it is no sign of life
    this.worker(heartbeat.machine).lastAnswerAt = now;
    this.unsentContacts.add(heartbeat.machine);
    // an outage may keep the leader's stop from a machine that is still answered: whoever answers it knows as well
    const stopCommands = heartbeat.tasks
      .filter((task) => task.state !== "exited" && isOver(task.job))
      .map(({ job, index, attempt }): Command => ({
        op: "stop",
        job,
        index,
        attempt,
        gracePeriodSeconds: 0,
      }));
    return {
      kind: "taken",
      fencingToken: fencingTokenForAnswer(term.number, heartbeat.fencingToken),
      stopCommands,
    };
  }

  /** A heartbeat from a beat or from the answer to commands. */
  recordHeartbeat(heartbeat: Heartbeat, now: Instant): void {
    const worker = this.worker(heartbeat.machine);
    const last = worker.heartbeat;
    if (
      last !== null &&
      (heartbeat.workerEpoch < last.workerEpoch ||
        (heartbeat.workerEpoch === last.workerEpoch && heartbeat.sequence <= last.sequence))
    )
      return;
    worker.lastHeartbeatAt = now;
    this.unsentContacts.add(heartbeat.machine);
    if (last !== null && isUnchanged(last, heartbeat)) {
      // most reports say nothing new: what they are made of needn't outlive them
      worker.heartbeat = { ...heartbeat, tasks: last.tasks };
      return;
    }
    worker.heartbeat = heartbeat;
    this.unsentHeartbeats.add(heartbeat.machine);
    for (const task of heartbeat.tasks)
      if (task.state === "exited" && task.exitReason === "done")
        this.finishes.finished(task.job, task.index, now);
  }

  /** Forgets workers that have not come for long. */
  prune(now: Instant, after: Duration.Duration): void {
    for (const [machine, worker] of this.workers) {
      const last = Math.max(worker.lastAnswerAt ?? 0, worker.lastHeartbeatAt ?? 0) as Instant;
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
      const worker = this.workers.get(machine);
      if (worker !== undefined)
        contacts.push({
          machine,
          answerAgeMs: age(worker.lastAnswerAt),
          heartbeatAgeMs: age(worker.lastHeartbeatAt),
        });
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
