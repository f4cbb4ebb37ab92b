/**
 * The workers in one member's partition: which ones it serves, when it last heard from them and answered them, and what
 * it has yet to report to the leader. Does no I/O: takes events, returns decisions.
 */
import * as Duration from "effect/Duration";
import type { JobStanding } from "../jobs/ended-jobs.js";
import type { CommandOutcome } from "../scheduler/decisions.js";
import { FinishStore } from "./finish-store.js";
import type { AgedHeartbeat, MemberUpdate, CommandResult, WorkerContact } from "./member-update.js";
import { RelayedUpdates } from "./relayed-updates.js";
import type { Command, Heartbeat, TaskStatus, TermRecord } from "../records.js";
import { type Instant, hasElapsed, instant } from "../time.js";
import { fencingTokenForAnswer, ownerOf } from "../leases/term.js";

/** The answer to a worker's heartbeat. */
export type HeartbeatAnswer =
  /** The worker's lease is renewed under this token; the commands stop tasks of jobs that have ended. */
  | { kind: "taken"; fencingToken: number; stopCommands: Command[] }
  /** Another member serves this worker. */
  | { kind: "elsewhere"; member: string | null }
  /**
   * This node may not answer workers now, isn't in the term, or can't tell whether a task's job has ended: the worker
   * tries another node, or this one again.
   */
  | { kind: "unsure" };

/** Tells what this node knows of a job whose task a worker reports (S9). */
export type JobStandingLookup = (job: string) => JobStanding;

interface Worker {
  heartbeat: Heartbeat | null;
  lastHeartbeatAt: Instant | null;
  lastAnswerAt: Instant | null;
}

/** A worker that returns within this time after it was redirected is served here: it can't reach its member. */
const ADOPT_IF_BACK_WITHIN = Duration.seconds(30);
/** When the number of heartbeats in a message is limited, the limit on each other kind of item is this multiple. */
const ITEMS_PER_HEARTBEAT = 4;
/** Most tasks in the heartbeats of one message: a new leader is sent everything, which exceeds one message (4 MiB). */
const MAX_TASKS_IN_UPDATE = 8000;
/** Size of a heartbeat without tasks, as an equivalent number of tasks. */
const HEARTBEAT_WEIGHT_TASKS = 4;
/** Limit on the remembered redirections: several times the number of machines that there may be. */
const MAX_REMEMBERED_REDIRECTIONS = 20_000;

const isSameStatus = (status: TaskStatus, other: TaskStatus | undefined): boolean =>
  status.state === other?.state &&
  status.index === other.index &&
  status.attempt === other.attempt &&
  status.exitReason === other.exitReason &&
  status.job === other.job;

/** Whether a newer heartbeat contains nothing new for the leader. */
const isUnchanged = (last: Heartbeat, heartbeat: Heartbeat): boolean =>
  last.workerEpoch === heartbeat.workerEpoch &&
  last.fencingToken === heartbeat.fencingToken &&
  last.addr === heartbeat.addr &&
  (last.reclaimNoticeSeconds === null) === (heartbeat.reclaimNoticeSeconds === null) &&
  last.tasks.length === heartbeat.tasks.length &&
  last.tasks.every((status, position) => isSameStatus(status, heartbeat.tasks[position]));

/** Returns the name of the member that serves a machine's worker; null: none does. */
export type OwnerNameLookup = (term: TermRecord, machine: string, zone: string) => string | null;

const rendezvousOwnerName: OwnerNameLookup = (term, machine, zone) =>
  ownerOf(term, machine, zone)?.name ?? null;

/** One member's partition of the workers. */
export class WorkerPartition {
  /** The term last passed to `setTerm`; null: none yet. */
  term: TermRecord | null = null;
  /** Finds a machine's owner, by rendezvous hashing; replaced where machines have explicit owners. */
  lookUpOwner: OwnerNameLookup = rendezvousOwnerName;
  private readonly workers = new Map<string, Worker>();
  /** Last redirection of each machine: to which member, and when. */
  private readonly redirections = new Map<string, { readonly to: string; readonly at: Instant }>();
  /** Machines that are served here because they can't reach their owner, with the owner's name. */
  private readonly adoptedFrom = new Map<string, string>();
  /** Machines whose latest heartbeat, or whose times of contact, have not been reported to the leader. */
  private readonly unreportedHeartbeats = new Set<string>();
  private readonly unreportedContacts = new Set<string>();
  /** Finished tasks, until their jobs have ended. */
  readonly finishes: FinishStore;
  /** Outcomes of command batches that have not been reported to the leader. */
  private unreportedResults: CommandResult[] = [];
  /** What was reported through the state service, and may not have reached the leader. */
  private readonly relayedUpdates = new RelayedUpdates();

  constructor(
    readonly member: string,
    maxValueBytes: number,
    /** How long a finish waits for others of its job, to be stored together. */
    batchingDelay: Duration.Duration,
  ) {
    this.finishes = new FinishStore(maxValueBytes, batchingDelay);
  }

  /** Begins a new term. Everything is reported again if the leader changed, or this process is new to it. */
  setTerm(term: TermRecord): void {
    const incarnationIn = (record: TermRecord | null): number | undefined =>
      record?.members.find((member) => member.name === this.member)?.incarnation;
    const isSameLeader =
      this.term?.leaderRevision === term.leaderRevision && incarnationIn(this.term) === incarnationIn(term);
    this.term = term;
    this.adoptedFrom.clear();
    this.redirections.clear();
    if (isSameLeader) {
      // the leader ignores what was relayed under the earlier term and reaches it in this one
      this.reportRelayedAgain();
      return;
    }
    this.unreportedResults = [];
    this.relayedUpdates.clear();
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
   * The member that a worker has to be redirected to; null: it is served here. A worker that returns after a
   * redirection can't reach its member, and is served here until the next term.
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
   * Answers a heartbeat that a worker sent by itself. `mayAnswer`: whether this node may answer workers now (S1, S11);
   * `incarnation`: that of this process, which the term must list.
   */
  handleHeartbeat(
    heartbeat: Heartbeat,
    mayAnswer: boolean,
    incarnation: number,
    now: Instant,
    standingOf: JobStandingLookup = () => "unfinished",
  ): HeartbeatAnswer {
    const { term } = this;
    if (!mayAnswer || term === null) return { kind: "unsure" };
    if (!term.members.some((member) => member.name === this.member && member.incarnation === incarnation))
      return { kind: "unsure" };
    const target = this.redirectTarget(term, heartbeat, now);
    if (target !== null) return { kind: "elsewhere", member: target };
    this.recordHeartbeat(heartbeat, now);
    const liveTasks = heartbeat.tasks.filter((task) => task.state !== "exited");
    const standings = liveTasks.map((task) => standingOf(task.job));
    // the answer would renew the lease of a task that may have been cancelled up to cancel_s ago, before this process
    // began: it would then be on its machine after cancel_s
    if (standings.includes("undetermined")) return { kind: "unsure" };
    // a delayed copy is answered too, and the answer may renew the lease, so it counts for the proof that leases have
    // expired; but it doesn't show that the worker is alive
    this.workerOf(heartbeat.machine).lastAnswerAt = now;
    this.unreportedContacts.add(heartbeat.machine);
    // during an outage the leader's stop commands may not reach a machine that is still answered here, so the answer
    // carries them as well
    const stopCommands = liveTasks
      .filter((_, position) => standings[position] === "ended")
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

  /** Records a heartbeat, sent by itself or in answer to commands, unless it isn't newer than the last one. */
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
      // most heartbeats contain nothing new: the old task list is kept, so that the new one can be garbage-collected
      worker.heartbeat = { ...heartbeat, tasks: last.tasks };
      return;
    }
    worker.heartbeat = heartbeat;
    this.unreportedHeartbeats.add(heartbeat.machine);
    for (const task of heartbeat.tasks)
      if (task.state === "exited" && task.exitReason === "done")
        this.finishes.addFinish(task.job, task.index, now);
  }

  /** Forgets workers that have not been in contact for `maxSilence`. */
  prune(now: Instant, maxSilence: Duration.Duration): void {
    for (const [machine, worker] of this.workers) {
      const last = instant(Math.max(worker.lastAnswerAt ?? 0, worker.lastHeartbeatAt ?? 0));
      if (!hasElapsed(now, last, maxSilence)) continue;
      this.workers.delete(machine);
      this.unreportedHeartbeats.delete(machine);
      this.unreportedContacts.delete(machine);
    }
  }

  /** Records the outcome of one of the leader's command batches; `heartbeat`: the worker's answer, if there was one. */
  commandsAnswered(id: number, outcome: CommandOutcome, heartbeat: Heartbeat | null, now: Instant): void {
    if (heartbeat !== null) this.recordHeartbeat(heartbeat, now);
    this.unreportedResults.push({
      id,
      outcome,
      workerEpoch: heartbeat?.workerEpoch ?? 0,
      sequence: heartbeat?.sequence ?? 0,
    });
  }

  /** Takes unreported heartbeats for one message; the others remain for the next one. */
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

  /** Takes what has not been reported to the leader, within limits; `putBack` returns it if its delivery fails. */
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

  /**
   * Whether the last update, with those that the leader answered, named every worker answered before it; only then it
   * proves that no others were (S3).
   */
  isUpdateComplete(): boolean {
    return this.unreportedContacts.size === 0 && this.relayedUpdates.isEmpty;
  }

  /** Returns an update that did not reach the leader. */
  putBack(update: MemberUpdate): void {
    this.markUnreported(
      update.heartbeats.map(({ heartbeat }) => heartbeat.machine),
      update.contacts.map(({ machine }) => machine),
    );
    this.finishes.putBack(update.storedFinishes);
    this.unreportedResults = [...update.commandResults, ...this.unreportedResults];
  }

  /** Remembers an update that was sent through the state service: whether it reaches the leader isn't known. */
  updateRelayed(update: MemberUpdate): void {
    this.relayedUpdates.add(update);
  }

  /**
   * Reports again what was relayed before, once the leader has answered a direct update. If the leader missed it, it would
   * take the lease of a machine that was answered meanwhile for ended too early, and never learn of finished tasks.
   */
  reportRelayedAgain(): void {
    if (this.relayedUpdates.isEmpty) return;
    const { heartbeatMachines, contactMachines, finishedJobs, commandResults } = this.relayedUpdates.take();
    this.markUnreported(heartbeatMachines, contactMachines);
    this.finishes.reportAgain(finishedJobs);
    this.unreportedResults = [...commandResults, ...this.unreportedResults];
  }

  private markUnreported(heartbeatMachines: readonly string[], contactMachines: readonly string[]): void {
    for (const machine of heartbeatMachines)
      if (this.workers.has(machine)) this.unreportedHeartbeats.add(machine);
    for (const machine of contactMachines)
      if (this.workers.has(machine)) this.unreportedContacts.add(machine);
  }

  /** Whether there is something to report that the leader needs soon; times of contact alone can wait. */
  hasUpdate(): boolean {
    return (
      this.unreportedHeartbeats.size > 0 || this.finishes.hasUnreported || this.unreportedResults.length > 0
    );
  }
}
