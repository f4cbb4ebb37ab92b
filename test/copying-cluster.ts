/**
 * A leader's scheduler with workers that follow the protocol of tokens and sessions to the letter, and to which every
 * request that was ever sent arrives again and again. Scenarios run step by step.
 */
import * as Duration from "effect/Duration";
import type { Command, ExitReason, TaskStatus } from "../src/core/records.js";
import { type CommandOutcome, type Decision, Scheduler } from "../src/core/scheduler/scheduler.js";
import { instant } from "../src/core/time.js";
import { TIMINGS, TEAMS, TYPES } from "./model.js";
import { present } from "./present.js";

const STEP_MS = 500;
const ZONE = "east";
const MEMBERS = [
  { name: "a", incarnation: 1, zone: ZONE },
  { name: "b", incarnation: 2, zone: ZONE },
];

/** A request with commands, as it was sent to a worker. */
export type Request = Extract<Decision, { kind: "commands" }>;

/** What becomes of a request: it arrives with or without an answer, or only its copies arrive. */
export type Delivery = "answered" | "unanswered" | "late";

const keyOf = ({ job, index, attempt }: { job: string; index: number; attempt: number }): string =>
  `${job}/${index}#${attempt}`;

/** A worker: it refuses lower tokens and other sessions, and runs a start unless it knows the attempt. */
class ProtocolWorker {
  sequence = 0;
  fencingToken = 0;
  epoch = 1;
  reclaimNoticeSeconds: number | null = null;
  readonly tasks = new Map<string, TaskStatus>();
  /** Attempts that it was told to start, and those of them that it started once more after it had forgotten them. */
  private readonly seen = new Set<string>();
  readonly startedAgain: string[] = [];

  /** How a start ends at once; null: the task runs. */
  refusal: ExitReason | null = null;

  execute({ fencingToken, workerEpoch, commands }: Request): boolean {
    if (fencingToken < this.fencingToken || workerEpoch !== this.epoch) return false;
    this.fencingToken = fencingToken;
    for (const command of commands) this.carryOut(command);
    return true;
  }

  private carryOut(command: Command): void {
    const key = keyOf(command);
    const task = this.tasks.get(key);
    if (command.op === "forget") {
      if (task?.state === "exited") this.tasks.delete(key);
    } else if (command.op === "stop") {
      if (task?.state === "running") this.tasks.set(key, { ...task, state: "exited", exitReason: "stopped" });
    } else if (task === undefined) {
      if (this.seen.has(key)) this.startedAgain.push(key);
      this.seen.add(key);
      const { job, index, attempt } = command;
      const state = this.refusal === null ? "running" : "exited";
      this.tasks.set(key, { job, index, attempt, state, exitReason: this.refusal });
    }
  }

  /** Ends a task by itself. */
  exit(key: string, exitReason: ExitReason): void {
    const task = this.tasks.get(key);
    if (task?.state === "running") this.tasks.set(key, { ...task, state: "exited", exitReason });
  }

  hasForgotten(key: string): boolean {
    return this.seen.has(key) && !this.tasks.has(key);
  }

  /** Its lease expired: it has killed and forgotten everything. */
  beginSession(): void {
    this.epoch++;
    this.tasks.clear();
  }
}

/** A scheduler, its workers and all requests so far. */
export class CopyingCluster {
  now = 1000;
  scheduler: Scheduler;
  readonly workers = new Map<string, ProtocolWorker>();
  readonly requests: Request[] = [];
  /** Decides what becomes of a request. */
  deliveryOf: (request: Request) => Delivery = () => "answered";
  /** Without it workers forget attempts under the token of their start, as before the guard existed. */
  hasGuard = true;
  /** The member that relays all heartbeats, and so the commands: the leader, or another member. */
  relayedBy = "a";

  constructor(machineIds: readonly string[]) {
    for (const id of machineIds) this.workers.set(id, new ProtocolWorker());
    this.scheduler = this.newLeader(1);
  }

  /** A leader's new process: it knows the machines, and nothing of what earlier leaders sent. */
  private newLeader(termNumber: number): Scheduler {
    const scheduler = new Scheduler(
      {
        timings: TIMINGS,
        teams: new Map(TEAMS.map((team) => [team.name, team])),
        fleet: { reuse: 0.5, idleBoots: 1.5, warmFor: Duration.zero },
        startLatencyObjectives: new Map(),
      },
      { number: termNumber, leaderRevision: 10 * termNumber, leader: "a", members: MEMBERS },
      10 * termNumber,
      instant(this.now),
    );
    scheduler.setMachineTypes(TYPES);
    for (const id of this.workers.keys())
      scheduler.machineRecorded(id, { type: "small", zone: ZONE, spot: false, addr: id }, instant(this.now));
    return scheduler;
  }

  /** The same leader begins a new term. */
  renewTerm(): void {
    const { term } = this.scheduler;
    this.scheduler.renewTerm({ ...term, number: term.number + 1 }, instant(this.now));
  }

  /** Another process leads; `jobs` loads the unfinished jobs into it. */
  replaceLeader(loadJobs: (scheduler: Scheduler) => void): void {
    this.scheduler = this.newLeader(this.scheduler.term.number + 1);
    loadJobs(this.scheduler);
  }

  private sendHeartbeat(id: string, worker: ProtocolWorker): void {
    // the answer carries the token of the term that the worker has, or else the term's
    worker.fencingToken = Math.max(worker.fencingToken, this.scheduler.term.number * 1_000_000);
    this.scheduler.heartbeatReceived(
      {
        ...{ machine: id, addr: id, type: "small", zone: ZONE, spot: false },
        workerEpoch: worker.epoch,
        sequence: ++worker.sequence,
        fencingToken: worker.fencingToken,
        reclaimNoticeSeconds: worker.reclaimNoticeSeconds,
        tasks: [...worker.tasks.values()],
      },
      this.relayedBy,
      instant(this.now),
    );
  }

  private removeGuard(): void {
    for (const machine of this.scheduler.cluster.machines.values())
      for (const attempt of machine.attempts.values()) attempt.startTokenStep = -1;
  }

  /** Advances time: heartbeats arrive, the scheduler decides, requests are delivered, and then copies of all so far. */
  step(): void {
    this.now += STEP_MS;
    for (const [id, worker] of this.workers) this.sendHeartbeat(id, worker);
    if (!this.hasGuard) this.removeGuard();
    for (const decision of this.scheduler.step(instant(this.now)))
      if (decision.kind === "commands") this.deliver(decision);
    for (const request of this.requests) this.workers.get(request.machine)?.execute(request);
  }

  private deliver(request: Request): void {
    const worker = present(this.workers.get(request.machine));
    const delivery = this.deliveryOf(request);
    const isExecuted = delivery !== "late" && worker.execute(request);
    if (isExecuted && delivery === "answered") this.sendHeartbeat(request.machine, worker);
    const outcome: CommandOutcome = delivery === "answered" ? (isExecuted ? "done" : "rejected") : "unknown";
    const { machine, commands, fencingToken } = request;
    this.scheduler.commandsAnswered(machine, commands, fencingToken, outcome, instant(this.now));
    if (commands.length > 0) this.requests.push(request);
  }

  /** Steps until the condition holds; returns whether it does within `maxSteps`. */
  stepUntil(condition: () => boolean, maxSteps = 200): boolean {
    for (let step = 0; step < maxSteps && !condition(); step++) this.step();
    return condition();
  }

  /** The keys of the attempts of this job that run, each with its worker. */
  running(job: string): { key: string; worker: ProtocolWorker }[] {
    return [...this.workers.values()].flatMap((worker) =>
      [...worker.tasks.entries()]
        .filter(([, task]) => task.job === job && task.state === "running")
        .map(([key]) => ({ key, worker })),
    );
  }

  /** The attempts that some worker started, forgot and started again. */
  startedAgain(): string[] {
    return [...this.workers.values()].flatMap((worker) => worker.startedAgain);
  }
}
