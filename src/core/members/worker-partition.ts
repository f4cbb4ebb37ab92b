/**
 * The workers that one member answers: which it takes in, when it last heard and answered them, and what the leader
 * hasn't been told of them yet. Pure: events in, decisions out.
 */
import * as Duration from "effect/Duration";
import type { CommandOutcome } from "../scheduler/decisions.js";
import { FinishStore } from "./finish-store.js";
import type { AgedHeartbeat, MemberUpdate, CommandResult, WorkerContact } from "./member-update.js";
import type { Command, Heartbeat, TaskStatus, TermRecord } from "../records.js";
import { type Instant, hasElapsed, instant } from "../time.js";
import { fencingTokenForAnswer, ownerOf } from "../leases/term.js";

/** What a worker's heartbeat is answered with. */
export type HeartbeatAnswer =
  /** The worker's lease is renewed under this token; the commands stop tasks of jobs that are over. */
  | { kind: "taken"; fencingToken: number; stopCommands: Command[] }
  /** Another member answers this worker. */
  | { kind: "elsewhere"; member: string | null }
  /** This node may not answer workers now, or isn't in the term: the worker tries another or comes again. */
  | { kind: "unsure" };

interface Worker {
  heartbeat: Heartbeat | null;
  lastHeartbeatAt: Instant | null;
  lastAnswerAt: Instant | null;
}

/** A worker that comes back within this time after it was redirected is taken in. */
const ADOPT_IF_BACK_WITHIN = Duration.seconds(30);
/** Items of each other kind that go with each heartbeat when little fits into a message. */
const ITEMS_PER_HEARTBEAT = 4;
/** Tasks in the heartbeats of one message: a new leader is told everything, which doesn't fit into one (4 MiB). */
const MAX_TASKS_IN_UPDATE = 8000;
/** What a heartbeat without tasks takes, counted in tasks. */
const HEARTBEAT_WEIGHT_TASKS = 4;
/** Machines that were redirected to another member: several times as many as there may be. */
const MAX_REMEMBERED_REDIRECTIONS = 20_000;

const isSameStatus = (status: TaskStatus, other: TaskStatus | undefined): boolean =>
  status.state === other?.state &&
  status.index === other.index &&
  status.attempt === other.attempt &&
  status.exitReason === other.exitReason &&
  status.job === other.job;

/** Whether a newer heartbeat says nothing that the leader needs to hear. */
const isUnchanged = (last: Heartbeat, heartbeat: Heartbeat): boolean =>
  last.workerEpoch === heartbeat.workerEpoch &&
  last.fencingToken === heartbeat.fencingToken &&
  last.addr === heartbeat.addr &&
  (last.reclaimNoticeSeconds === null) === (heartbeat.reclaimNoticeSeconds === null) &&
  last.tasks.length === heartbeat.tasks.length &&
  last.tasks.every((status, position) => isSameStatus(status, heartbeat.tasks[position]));

/** The name of the member that answers a machine's heartbeats; null: there is none. */
export type OwnerNameLookup = (term: TermRecord, machine: string, zone: string) => string | null;

const rendezvousOwnerName: OwnerNameLookup = (term, machine, zone) =>
  ownerOf(term, machine, zone)?.name ?? null;

/** One member's view of its workers. */
export class WorkerPartition {
  /** The newest term that `setTerm` was told of; null: none yet. */
  term: TermRecord | null = null;
  /** Where explicit ownership is used, it takes the place of the rendezvous hash. */
  lookUpOwner: OwnerNameLookup = rendezvousOwnerName;
  private readonly workers = new Map<string, Worker>();
  /** Machines that were redirected to another member, to which, and when. */
  private readonly redirections = new Map<string, { readonly to: string; readonly at: Instant }>();
  /** Machines that can't reach the member that they belong to, and which that is. */
  private readonly adoptedFrom = new Map<string, string>();
  /** Workers whose heartbeat the leader hasn't been told; the same for when they were heard and answered. */
  private readonly unreportedHeartbeats = new Set<string>();
  private readonly unreportedContacts = new Set<string>();
  /** Finished tasks, until their jobs are over. */
  readonly finishes: FinishStore;
  /** Outcomes of command batches that the leader hasn't been told. */
  private unreportedResults: CommandResult[] = [];

  constructor(
    readonly member: string,
    maxValueBytes: number,
    /** How long a finish may wait for others of its job before it is stored. */
    batchingDelay: Duration.Duration,
  ) {
    this.finishes = new FinishStore(maxValueBytes, batchingDelay);
  }

  /** A new term. Another leader, or one that takes this process for another, is told everything anew. */
  setTerm(term: TermRecord): void {
    const incarnationIn = (record: TermRecord | null): number | undefined =>
      record?.members.find((member) => member.name === this.member)?.incarnation;
    const isSameLeader =
      this.term?.leaderRevision === term.leaderRevision && incarnationIn(this.term) === incarnationIn(term);
    this.term = term;
    this.adoptedFrom.clear();
    this.redirections.clear();
    if (isSameLeader) return;
    this.unreportedResults = [];
    for (const [machine, worker] of this.workers) {
      this.unreportedContacts.add(machine);
      if (worker.heartbeat !== null) this.unreportedHeartbeats.add(machine);
    }
    this.finishes.reportAllAgain();
  }

  private workerOf(machine: string): Worker {
    let worker = this.workers.get(machine);
    if (worker === undefined) {
      worker = { heartbeat: null, lastHeartbeatAt: null, lastAnswerAt: null };
      this.workers.set(machine, worker);
    }
    return worker;
  }

  /**
   * The member that a worker has to be redirected to; null: it is taken in here. One that came back although it was
   * redirected can't reach its member, and is taken in until the next term.
   */
  private redirectTarget(term: TermRecord, { machine, zone }: Heartbeat, now: Instant): string | null {
    const owner = this.lookUpOwner(term, machine, zone);
    if (owner === null || owner === this.member || this.adoptedFrom.get(machine) === owner) return null;
    const redirection = this.redirections.get(machine);
    if (redirection?.to === owner && !hasElapsed(now, redirection.at, ADOPT_IF_BACK_WITHIN)) {
      this.adoptedFrom.set(machine, owner);
      return null;
    }
    this.redirections.set(machine, { to: owner, at: now });
    if (this.redirections.size > MAX_REMEMBERED_REDIRECTIONS) {
      const [oldest] = this.redirections.keys();
      if (oldest !== undefined) this.redirections.delete(oldest);
    }
    return owner;
  }

  /**
   * A worker's own heartbeat. `mayAnswer`: this node may answer workers now (S1, S11); `incarnation`: this process's, as
   * a term must name it; `isEnded`: this job has its commit.
   */
  handleHeartbeat(
    heartbeat: Heartbeat,
    mayAnswer: boolean,
    incarnation: number,
    now: Instant,
    isEnded: (job: string) => boolean = () => false,
  ): HeartbeatAnswer {
    const { term } = this;
    if (!mayAnswer || term === null) return { kind: "unsure" };
    if (!term.members.some((member) => member.name === this.member && member.incarnation === incarnation))
      return { kind: "unsure" };
    const target = this.redirectTarget(term, heartbeat, now);
    if (target !== null) return { kind: "elsewhere", member: target };
    this.recordHeartbeat(heartbeat, now);
    // a late copy is answered as well, and the proof by time must reckon with that; it is no sign of life
    this.workerOf(heartbeat.machine).lastAnswerAt = now;
    this.unreportedContacts.add(heartbeat.machine);
    // an outage may keep the leader's stop from a machine that is still answered: whoever answers it knows as well
    const stopCommands = heartbeat.tasks
      .filter((task) => task.state !== "exited" && isEnded(task.job))
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

  /** A heartbeat, be it a worker's own or the answer to commands. One that isn't newer than the last changes nothing. */
  recordHeartbeat(heartbeat: Heartbeat, now: Instant): void {
    const worker = this.workerOf(heartbeat.machine);
    const last = worker.heartbeat;
    if (
      last !== null &&
      (heartbeat.workerEpoch < last.workerEpoch ||
        (heartbeat.workerEpoch === last.workerEpoch && heartbeat.sequence <= last.sequence))
    )
      return;
    worker.lastHeartbeatAt = now;
    this.unreportedContacts.add(heartbeat.machine);
    if (last !== null && isUnchanged(last, heartbeat)) {
      // most heartbeats say nothing new: what they are made of needn't outlive them
      worker.heartbeat = { ...heartbeat, tasks: last.tasks };
      return;
    }
    worker.heartbeat = heartbeat;
    this.unreportedHeartbeats.add(heartbeat.machine);
    for (const task of heartbeat.tasks)
      if (task.state === "exited" && task.exitReason === "done")
        this.finishes.addFinish(task.job, task.index, now);
  }

  /** Forgets workers that have not come for long. */
  prune(now: Instant, maxSilence: Duration.Duration): void {
    for (const [machine, worker] of this.workers) {
      const last = instant(Math.max(worker.lastAnswerAt ?? 0, worker.lastHeartbeatAt ?? 0));
      if (!hasElapsed(now, last, maxSilence)) continue;
      this.workers.delete(machine);
      this.unreportedHeartbeats.delete(machine);
      this.unreportedContacts.delete(machine);
    }
  }

  /** A batch of the leader's commands has its outcome; `heartbeat`: what the worker answered with, if it did. */
  commandsAnswered(id: number, outcome: CommandOutcome, heartbeat: Heartbeat | null, now: Instant): void {
    if (heartbeat !== null) this.recordHeartbeat(heartbeat, now);
    this.unreportedResults.push({
      id,
      outcome,
      workerEpoch: heartbeat?.workerEpoch ?? 0,
      sequence: heartbeat?.sequence ?? 0,
    });
  }

  /** Heartbeats for one message; the others go with the next ones. */
  private takeHeartbeats(now: Instant, maxHeartbeats: number): AgedHeartbeat[] {
    const heartbeats: AgedHeartbeat[] = [];
    let tasksLeft = MAX_TASKS_IN_UPDATE;
    for (const machine of this.unreportedHeartbeats) {
      if (heartbeats.length >= maxHeartbeats || tasksLeft <= 0) break;
      this.unreportedHeartbeats.delete(machine);
      const { heartbeat, lastHeartbeatAt } = this.workerOf(machine);
      if (heartbeat === null) continue;
      heartbeats.push({ heartbeat, ageMs: Math.max(0, now - (lastHeartbeatAt ?? now)) });
      tasksLeft -= HEARTBEAT_WEIGHT_TASKS + heartbeat.tasks.length;
    }
    return heartbeats;
  }

  /** What the leader hasn't been told yet, at most so much. What isn't delivered is put back with `putBack`. */
  takeUpdate(now: Instant, maxHeartbeats = Infinity): MemberUpdate {
    const maxItems = maxHeartbeats * ITEMS_PER_HEARTBEAT;
    const heartbeats = this.takeHeartbeats(now, maxHeartbeats);
    const ageOf = (at: Instant | null): number => (at === null ? -1 : Math.max(0, now - at));
    const contacts: WorkerContact[] = [];
    for (const machine of this.unreportedContacts) {
      if (contacts.length >= maxItems) break;
      this.unreportedContacts.delete(machine);
      const worker = this.workers.get(machine);
      if (worker !== undefined)
        contacts.push({
          machine,
          answerAgeMs: ageOf(worker.lastAnswerAt),
          heartbeatAgeMs: ageOf(worker.lastHeartbeatAt),
        });
    }
    const storedFinishes = this.finishes.takeUnreported(maxItems);
    const commandResults = this.unreportedResults.slice(0, maxItems);
    this.unreportedResults = this.unreportedResults.slice(commandResults.length);
    return { heartbeats, contacts, storedFinishes, commandResults };
  }

  /** Whether the last update named every worker answered before; only then does it prove anything of the others (S3). */
  isUpdateComplete(): boolean {
    return this.unreportedContacts.size === 0;
  }

  /** This update didn't reach the leader. */
  putBack(update: MemberUpdate): void {
    for (const { heartbeat } of update.heartbeats)
      if (this.workers.has(heartbeat.machine)) this.unreportedHeartbeats.add(heartbeat.machine);
    for (const { machine } of update.contacts)
      if (this.workers.has(machine)) this.unreportedContacts.add(machine);
    this.finishes.putBack(update.storedFinishes);
    this.unreportedResults = [...update.commandResults, ...this.unreportedResults];
  }

  /** Whether there is something that the leader waits for; signs of life alone can wait. */
  hasUpdate(): boolean {
    return (
      this.unreportedHeartbeats.size > 0 || this.finishes.hasUnreported || this.unreportedResults.length > 0
    );
  }
}
