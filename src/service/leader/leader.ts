/** Carries out the scheduler's decisions for as long as this node leads. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import type { HeartbeatId } from "../../core/cluster/cluster.js";
import type { FleetOptions } from "../../core/autoscaling/autoscaler.js";
import { groups, jsonBytes, pack, TXN_BYTES, valueBytes } from "../../core/packing.js";
import { ProgressLog } from "../../core/jobs/progress.js";
import {
  type CommitRecord,
  keys,
  type MachineRecord,
  type MachinesRecord,
  type Command,
  type RangesRecord,
  type RentalRecord,
  type Team,
  type TermRecord,
  type Heartbeat,
} from "../../core/records.js";
import { type Decision, type CommandOutcome, Scheduler } from "../../core/scheduler/scheduler.js";
import type { MachineOwnership } from "../../core/scheduler/scheduler-context.js";
import type { LeaseTimings } from "../../core/leases/term.js";
import { type Instant, instant, minus, hasElapsed, plus } from "../../core/time.js";
import { ZoneWatch } from "../../core/leases/zones.js";
import { now } from "../../io/clock.js";
import type { CloudClient } from "../../io/cloud-client.js";
import type { Change, WireType } from "../../io/codec.js";
import type { Log } from "../../io/log.js";
import type { CommandBatch, JobProgress, SyncRequest, SyncResponse } from "../../io/peer-codec.js";
import type { StateClient } from "../../io/state-client.js";
import { MachineRecordStore, opsOf } from "./machine-record-store.js";
import { Locked } from "./locked.js";
import { receiveUpdates } from "../members/update-relay.js";
import type { Member } from "../members/member.js";
import type { Leadership, Membership } from "../members/membership.js";
import type { JobCache, CachedJob, BlockedJob } from "../job-cache.js";
import { LEADER_WRITE_TIMEOUT } from "./leader-write-timeout.js";
import type { Peers } from "../members/peers.js";
import type { JobReleaser } from "./job-releaser.js";
import { RejectionBackoff } from "../rejection-backoff.js";
import type { ShardLeader } from "../shards/shard-leader.js";
import { Signal } from "../signal.js";

export interface LeaderOptions {
  readonly me: string;
  readonly timings: LeaseTimings;
  readonly teams: ReadonlyMap<string, Team>;
  readonly fleet: FleetOptions;
  readonly startLatencyObjectives: ReadonlyMap<string, Duration.Duration>;
  readonly txnOps: number;
  readonly valueKb: number;
  readonly listEvery: Duration.Duration;
  /** The cloud's rate of requests. */
  readonly cloudRps: number;
  readonly ownership?: MachineOwnership;
}

const STEP_EVERY = Duration.millis(250);
/** Events that come together are decided on together. */
const STEP_GATHER = Duration.millis(35);
/** Commands of which nothing was heard for this long may be executed yet. */
const GIVEN_UP_AFTER = Duration.seconds(6);
const SWEEP_EVERY = Duration.seconds(1);
const LIST_RANGES_EVERY = Duration.seconds(30);
/** Every node asks the state service for something more often than this. */
const NOTICED_WITHIN = Duration.millis(1200);
const MAX_ENDED = 4000;
/** Machines in one record at most, however many would fit: each that goes has the rest of them written anew. */
const MAX_IN_BLOCK = 40;
/** Changes to them in one sweep: they mustn't use up the rate. */
const MAX_REWRITES = 6;
/** A refused record of machines is tried again with fewer, down to this. */
const LEAST_BLOCK = 256;
/** How long the types may be missing in the state service before this node asks the cloud itself; how often it does. */
const TYPES_MISSED = Duration.seconds(5);
const LEARN_TYPES_EVERY = Duration.seconds(30);
/** Machines in one answer of the cloud's list, and the share of its rate that lists may take: the rest is for rentals. */
const LIST_PAGE = 500;
const SHARE_FOR_LISTS = 0.5;
const COMMAND_BATCHES_PER_TERM = 1_000_000_000;

interface Pending {
  readonly machine: string;
  readonly commands: readonly Command[];
  readonly fencingToken: number;
  readonly at: Instant;
}

/** Commands in one message to a member, a machine's address counted as two: far below what a message may hold (4 MiB). */
const COMMANDS_IN_MESSAGE = 10_000;
const commandWeight = (batch: CommandBatch): number => 2 + batch.commands.length;

const describe = (heartbeat: Heartbeat): string =>
  heartbeat.tasks
    .map(
      (task) =>
        `${task.job}/${task.index} ${task.state}${task.exitReason === null ? "" : ` ${task.exitReason}`}`,
    )
    .join(", ");

export class Leader {
  private schedulerLock: Locked<Scheduler> | null = null;
  /** Jobs written up to this revision are in what was reread; later ones come from the mirror. */
  private loadedRevision = 0;
  private readonly stepRequested = new Signal();
  private readonly unrecordedMachines: { id: string; record: MachineRecord }[] = [];
  private machineRecords = new MachineRecordStore();
  /** Keys that are of no more use; and when the ranges were last looked through for such. */
  private readonly staleKeys = new Set<string>();
  private rangesListed: Instant = now();
  private rentals = 0;
  /** Command batches under way, the oldest first. */
  private readonly unansweredBatches = new Map<number, Pending>();
  private batches = 0;
  private progress = new ProgressLog();
  /** Jobs that this leader finished, with their tasks: other members needn't ask the state service. */
  private readonly finishedJobs = new Map<string, number>();
  private fibers: Fiber.RuntimeFiber<unknown, unknown>[] = [];
  private members = new Map<string, { at: Instant; ok: boolean }>();
  private readonly zones = new ZoneWatch();
  private readonly refusals: RejectionBackoff;
  /** What one value may hold; a record of machines, which comes down when one is refused; changes of one sweep. */
  private readonly valueBytes: number;
  private blockBytes: number;
  private sweepOps: number;
  private sweeps = 0;
  /** Whether the types have changed since they were last written. */
  private typesUnwritten = false;

  constructor(
    private readonly options: LeaderOptions,
    private readonly membership: Membership,
    private readonly member: Member,
    private readonly jobCache: JobCache,
    private readonly state: StateClient,
    private readonly cloud: CloudClient,
    private readonly peers: Peers,
    private readonly jobReleaser: JobReleaser,
    /** null: shards are off. */
    private readonly shards: ShardLeader | null,
    private readonly log: Log,
  ) {
    jobCache.onWaiting = (job) => this.waitingSeen(job);
    jobCache.onWaitingOver = (id) => this.schedulerLock?.with((scheduler) => scheduler.waitingOver(id));
    this.refusals = new RejectionBackoff(log);
    this.valueBytes = valueBytes(options.valueKb);
    this.blockBytes = this.valueBytes;
    this.sweepOps = options.txnOps;
    jobCache.onJob = (job) => this.jobSeen(job);
    jobCache.onOver = (id) => this.jobOver(id);
    jobCache.onTypes = (types) => this.schedulerLock?.with((scheduler) => scheduler.setTypes(types));
    membership.onLost = () => this.stop();
  }

  private jobSeen(job: CachedJob): void {
    if (this.schedulerLock === null || job.revision <= this.loadedRevision) return;
    this.schedulerLock.with((scheduler) =>
      scheduler.jobSeen(job.spec, job.revision, job.accepted, job.released),
    );
    this.stepRequested.notify();
  }

  private waitingSeen(job: BlockedJob): void {
    this.schedulerLock?.with((scheduler) => scheduler.waitingSeen(job.spec, job.accepted));
    this.jobReleaser.waitingSeen(job.spec.id);
  }

  private jobOver(id: string): void {
    this.member.jobOver(id);
    this.jobReleaser.over(id);
    if (this.schedulerLock === null) return;
    this.schedulerLock.with((scheduler) => scheduler.jobOver(id));
    this.stepRequested.notify();
  }

  private stop(): void {
    this.schedulerLock = null;
    this.shards?.stop();
    this.unansweredBatches.clear();
    this.unrecordedMachines.length = 0;
    this.staleKeys.clear();
    this.state.setLeading(false);
    this.member.localLeader = null;
    const fibers = this.fibers;
    this.fibers = [];
    for (const fiber of fibers) Effect.runFork(Fiber.interrupt(fiber));
  }

  /** A member's news; also asked by this node's own part. */
  readonly sync = (request: SyncRequest): SyncResponse => {
    this.members.set(request.member, { at: now(), ok: request.reachesStateService });
    const term = this.membership.term;
    const scheduler = this.schedulerLock;
    const base = {
      termNumber: term?.number ?? 0,
      leaderClockMark: now(),
      progressVersion: this.progress.version,
      reachesStateService: this.member.reachesStateService(),
    };
    const member = term?.members.some(
      (member) => member.name === request.member && member.incarnation === request.incarnation,
    );
    if (
      scheduler === null ||
      member !== true ||
      request.termNumber !== term?.number ||
      !this.membership.isActingLeader()
    ) {
      this.membership.observeTerm(request.termNumber);
      return { ...base, accepted: false, progress: [] };
    }
    const at = now();
    return scheduler.with((scheduler) => {
      for (const { heartbeat, ageMs } of request.heartbeats) {
        scheduler.heartbeatReceived(heartbeat, request.member, at, minus(at, Duration.millis(ageMs)));
        if (this.log.isLevelEnabled("debug"))
          this.log.debug({ machine: heartbeat.machine, tasks: describe(heartbeat) }, "heartbeat");
      }
      for (const { job, ranges } of request.storedFinishes) scheduler.stored(job, ranges);
      const answered = [];
      for (const { machine, answerAgeMs, heartbeatAgeMs } of request.contacts) {
        if (heartbeatAgeMs >= 0)
          scheduler.contactReported(machine, minus(at, Duration.millis(heartbeatAgeMs)));
        if (answerAgeMs >= 0) answered.push({ machine, at: minus(at, Duration.millis(answerAgeMs)) });
      }
      const { member, incarnation, termNumber } = request;
      const completeUpTo = request.leaderClockMark < 0 ? null : instant(request.leaderClockMark);
      scheduler.leasesAcknowledged({ member, incarnation, termNumber, completeUpTo, answered }, at);
      for (const result of request.commandResults)
        this.answered(scheduler, result.id, result.outcome, {
          workerEpoch: result.workerEpoch,
          sequence: result.sequence,
        });
      if (request.heartbeats.length + request.storedFinishes.length + request.commandResults.length > 0)
        this.stepRequested.notify();
      return { ...base, accepted: true, progress: this.progressSince(scheduler, request.progressVersion) };
    });
  };

  private progressSince(scheduler: Scheduler, version: number): JobProgress[] {
    const changed = this.progress.since(version);
    const out: JobProgress[] = [];
    for (const id of changed ?? scheduler.cluster.jobs.keys()) {
      const job = scheduler.cluster.jobs.get(id);
      const tasks = this.finishedJobs.get(id);
      if (tasks !== undefined) out.push({ job: id, done: tasks, running: 0, over: true });
      else if (job !== undefined)
        out.push({ job: id, done: job.done.size, running: job.running, over: false });
    }
    return out;
  }

  /**
   * Whether this node alone can't reach the state service: another one said that it does, so long after this one's
   * requests began to fail that it would have noticed an outage of all.
   */
  aloneWithoutState(): boolean {
    const since = this.state.failingSince;
    if (since === null) return false;
    const words = [...this.members, ...this.member.peerStatus];
    return words.some(
      ([name, x]) => name !== this.options.me && x.ok && hasElapsed(x.at, since, NOTICED_WITHIN),
    );
  }

  progressOf(id: string): { done: number; running: number } {
    return this.member.progress.get(id) ?? { done: 0, running: 0 };
  }

  // --- taking over -------------------------------------------------------------------------------------

  private readonly recoverState = Effect.gen(this, function* () {
    const leadership = this.membership.leadership;
    if (leadership === null || !(yield* this.membership.writeTerm)) return;
    const term = this.membership.term!;
    const began = now();
    const [jobs, ranges, machines, rentals] = yield* Effect.all(
      [
        this.state.list(keys.jobs),
        this.state.list(keys.ranges),
        this.state.list(keys.machines),
        this.state.list(keys.rentals),
      ],
      { concurrency: 4 },
    );
    if (this.membership.leadership !== leadership || this.membership.term !== term) return;
    const scheduler = new Scheduler(this.options, term, leadership.revision, began, this.zones);
    this.progress = new ProgressLog();
    scheduler.cluster.onProgress = (job) => this.progress.changed(job.spec.id);
    this.machineRecords = new MachineRecordStore();
    for (const row of machines.rows) {
      const record = (row.value as MachinesRecord).machines;
      this.machineRecords.add(row.key, record);
      for (const [id, machine] of Object.entries(record)) scheduler.recorded(id, machine, began);
    }
    scheduler.setTypes(this.jobCache.types);
    this.loadedRevision = jobs.revision;
    for (const row of jobs.rows) {
      const job = this.jobCache.put(row.key, row.value, row.revision);
      if (typeof job !== "string") scheduler.jobSeen(job.spec, job.revision, job.accepted, job.released);
    }
    for (const row of ranges.rows) {
      const id = row.key.split("/")[1]!;
      if (scheduler.cluster.jobs.has(id)) scheduler.stored(id, (row.value as RangesRecord).ranges);
      else this.staleKeys.add(row.key);
    }
    // the mirror may have heard of later jobs, and later ends, while the records were read
    for (const job of this.jobCache.jobs.values())
      if (job.revision > jobs.revision) scheduler.jobSeen(job.spec, job.revision, job.accepted, job.released);
    for (const job of this.jobCache.waiting.values()) scheduler.waitingSeen(job.spec, job.accepted);
    for (const id of [...scheduler.cluster.jobs.keys()])
      if (!this.jobCache.jobs.has(id)) scheduler.jobOver(id);
    this.schedulerLock = new Locked(scheduler);
    this.shards?.begin(this.schedulerLock);
    this.state.setLeading(true);
    this.member.localLeader = this.sync;
    this.log.info(
      {
        term: term.number,
        jobs: jobs.rows.length,
        machines: scheduler.cluster.machines.size,
        rentals: rentals.rows.length,
      },
      "leads",
    );
    for (const row of rentals.rows) {
      const name = row.key.slice(keys.rentals.length);
      yield* this.fork(this.resolveRental(name, row.value as RentalRecord, leadership));
    }
    yield* this.fork(this.stepLoop);
    yield* this.fork(this.fleetLoop);
    yield* this.fork(this.listLoop);
    yield* this.fork(this.typesLoop);
    yield* this.fork(this.recordLoop(leadership));
    yield* this.fork(this.sweepLoop);
    yield* this.fork(this.jobReleaser.run);
    yield* this.fork(receiveUpdates(this.state, this.log, this.sync));
    yield* this.fork(this.summaryLoop);
  });

  private fork<A, E>(effect: Effect.Effect<A, E>): Effect.Effect<void> {
    return Effect.sync(() => {
      this.fibers = this.fibers.filter((f) => f.unsafePoll() === null);
      this.fibers.push(Effect.runFork(effect));
    });
  }

  /** Follows the members: tries to lead when nobody does, and writes a new term when the members change. */
  private readonly watchMembers = Effect.gen(this, function* () {
    yield* this.membership.changed.wait(Duration.millis(500));
    if (this.membership.leadership === null && !(yield* this.membership.campaign)) return;
    if (this.schedulerLock === null) yield* this.recoverState;
    else if (this.membership.isTermOutdated()) yield* this.renewTerm("members changed");
    else if (this.schedulerLock.with((scheduler) => scheduler.needsNewTerm))
      yield* this.renewTerm("attempt numbers run out");
  }).pipe(
    Effect.catchAll((e) =>
      Effect.zipRight(
        Effect.sync(() => this.log.info({ why: e.why }, "leading is delayed")),
        Effect.sleep(Duration.millis(200)),
      ),
    ),
    Effect.catchAllCause((cause) =>
      Effect.sync(() => this.log.error({ cause: cause.toString() }, "leading failed")),
    ),
    Effect.forever,
  );

  private renewTerm(why: string) {
    return Effect.gen(this, function* () {
      if (this.schedulerLock === null) return;
      this.log.info({ why }, "new term");
      yield* this.membership.writeTerm;
      yield* Effect.sleep(Duration.millis(200));
    });
  }

  readonly termChanged = (term: TermRecord): void => {
    this.zones.seen(term, now());
    if (term.leader !== this.options.me) this.stop();
    else this.schedulerLock?.with((scheduler) => scheduler.renewTerm(term, now()));
    this.stepRequested.notify();
  };

  // --- decisions ---------------------------------------------------------------------------------------

  private readonly stepLoop = Effect.gen(this, function* () {
    yield* this.stepRequested.wait(STEP_EVERY);
    yield* Effect.sleep(STEP_GATHER);
    if (this.schedulerLock === null || !this.membership.isActingLeader()) return;
    const decisions = this.schedulerLock.with((scheduler) => {
      this.giveUp(scheduler);
      return scheduler.step(now());
    });
    const commands = new Map<string | null, CommandBatch[]>();
    for (const decision of decisions)
      if (decision.kind === "commands") {
        const via = this.route(decision.via);
        (commands.get(via) ?? commands.set(via, []).get(via)!).push(this.delivery(decision));
      } else yield* this.fork(this.carryOut(decision));
    for (const [via, items] of commands)
      for (const group of groups(items, commandWeight, COMMANDS_IN_MESSAGE))
        yield* this.fork(this.sendCommands(via, group));
  }).pipe(
    Effect.catchAllCause((cause) =>
      Effect.sync(() => this.log.error({ cause: cause.toString() }, "step failed")),
    ),
    Effect.forever,
  );

  private carryOut(d: Exclude<Decision, { kind: "commands" }>): Effect.Effect<void> {
    switch (d.kind) {
      case "commit":
        return this.commitJob(d.job, d.tasks);
      case "record":
        return Effect.sync(() => void this.unrecordedMachines.push({ id: d.machine, record: d.record }));
      case "rent":
        return this.rent(d);
      case "release":
        return this.release(d.machines, d.reason);
      case "note":
        return Effect.sync(() => this.log.info({ term: this.membership.term?.number }, d.text));
    }
  }

  /** The member that sends commands to a machine; null: this node itself. */
  private route(via: string | null): string | null {
    const member = this.membership.term?.members.some((member) => member.name === via) ?? false;
    return member && via !== this.options.me ? via : null;
  }

  private delivery(d: Extract<Decision, { kind: "commands" }>): CommandBatch {
    // not used again, also not by a later leader
    const id = (this.membership.term?.number ?? 0) * COMMAND_BATCHES_PER_TERM + ++this.batches;
    const { machine, addr, workerEpoch, fencingToken, commands } = d;
    this.unansweredBatches.set(id, { machine, commands, fencingToken, at: now() });
    if (commands.length > 0) this.shards?.commandsSent(machine, d.zone);
    if (commands.length > 0 && this.log.isLevelEnabled("debug"))
      this.log.debug(
        {
          fencingToken,
          machine,
          commands: commands.map((command) => `${command.op} ${command.job}/${command.index}`).join(", "),
        },
        "commands",
      );
    return { id, machine, addr, workerEpoch, fencingToken, commands };
  }

  private sendCommands(via: string | null, batches: readonly CommandBatch[]): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const term = this.membership.term;
      if (term === null || this.schedulerLock === null) return;
      const sent =
        via === null
          ? "not"
          : yield* this.peers.deliver(via, { term, batches }).pipe(
              Effect.map((answer) => (answer?.accepted === true ? ("yes" as const) : ("not" as const))),
              Effect.catchAll((e) => Effect.succeed(e.sent ? ("maybe" as const) : ("not" as const))),
            );
      if (sent === "yes") return;
      // the part's member can't be reached, or may not send: this node sends by itself; questions may be put twice
      const own = sent === "not" ? batches : batches.filter((item) => item.commands.length === 0);
      const local = yield* this.member.deliver({ term, batches: own });
      this.schedulerLock.with((scheduler) => {
        for (const item of batches)
          if (!own.includes(item)) this.answered(scheduler, item.id, "unknown");
          else if (!local.accepted) this.answered(scheduler, item.id, "barred");
      });
      this.stepRequested.notify();
    });
  }

  private answered(scheduler: Scheduler, id: number, outcome: CommandOutcome, by?: HeartbeatId): void {
    const batch = this.unansweredBatches.get(id);
    if (batch === undefined) return;
    this.unansweredBatches.delete(id);
    scheduler.commandsAnswered(batch.machine, batch.commands, batch.fencingToken, outcome, now(), by);
    if (outcome !== "done" && outcome !== "barred")
      this.log.debug(
        { machine: batch.machine, outcome, count: batch.commands.length },
        "commands not answered",
      );
  }

  private giveUp(scheduler: Scheduler): void {
    for (const [id, batch] of this.unansweredBatches) {
      if (!hasElapsed(now(), batch.at, GIVEN_UP_AFTER)) return;
      this.answered(scheduler, id, "unknown");
    }
  }

  private commitJob(id: string, tasks: number): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const leadership = this.membership.leadership;
      if (leadership === null) return;
      const record: CommitRecord = { outcome: "done", tasks };
      const result = yield* this.state.commit(
        [
          { key: keys.commit(id), revision: 0 },
          { key: keys.leader, revision: leadership.revision },
        ],
        [
          { put: keys.commit(id), value: record },
          { delete: keys.job(id) },
          // a child deletes its fan-in set once it commits
          ...(this.jobCache.fanins.has(id) ? [{ delete: keys.fanin(id) }] : []),
        ],
        "first",
        LEADER_WRITE_TIMEOUT,
      );
      if (result.ok === null) yield* Effect.sleep(this.refusals.refused("commit of a job", result.error, id));
      else this.refusals.accepted("commit of a job", id);
      if (result.ok === true) {
        this.log.info({ job: id, term: this.membership.term?.number }, "done");
        this.finishedJobs.set(id, tasks);
        if (this.finishedJobs.size > MAX_ENDED)
          this.finishedJobs.delete(this.finishedJobs.keys().next().value!);
        this.progress.changed(id);
        this.member.onDone(id, tasks);
        return;
      }
      // a commit that exists is the outcome for ever, whichever it is
      if (result.ok === false && result.failed.includes(keys.commit(id))) this.jobCache.remove(id);
      else this.schedulerLock?.with((scheduler) => scheduler.commitFailed(id));
    }).pipe(
      Effect.catchAll((e) =>
        Effect.gen(this, function* () {
          this.log.info({ job: id, why: e.why }, "commit delayed");
          yield* Effect.sleep(Duration.millis(250));
          this.schedulerLock?.with((scheduler) => scheduler.commitFailed(id));
          this.stepRequested.notify();
        }),
      ),
    );
  }

  /** Machines are recorded many at a time; a machine gets its first start only afterwards. */
  private recordLoop(leadership: Leadership) {
    return Effect.gen(this, function* () {
      yield* Effect.sleep(Duration.millis(100));
      const waiting = this.unrecordedMachines.slice(0, MAX_IN_BLOCK).map((b) => [b.id, b.record] as const);
      const machines = pack(waiting, this.blockBytes)[0];
      if (machines === undefined) return;
      let count = 0;
      while (count < this.unrecordedMachines.length && this.unrecordedMachines[count]!.id in machines)
        count++;
      const batch = this.unrecordedMachines.splice(0, count);
      const key = this.newBlock();
      // also when the answer is lost: what may be written has to be deleted some day
      this.machineRecords.add(key, machines);
      const result = yield* this.state
        .commit(
          [
            { key: keys.leader, revision: leadership.revision },
            { key, revision: 0 },
          ],
          [{ put: key, value: { machines } satisfies MachinesRecord }],
        )
        .pipe(Effect.orElseSucceed(() => null));
      this.schedulerLock?.with((scheduler) => {
        for (const b of batch)
          if (result?.ok === true) scheduler.recorded(b.id, b.record, now());
          else scheduler.recordFailed(b.id);
      });
      this.stepRequested.notify();
      if (result?.ok === true) this.refusals.accepted("record of machines");
      else if (result?.ok === null) {
        this.blockBytes = Math.max(LEAST_BLOCK, Math.floor(this.blockBytes / 2));
        yield* Effect.sleep(this.refusals.refused("record of machines", result.error));
      } else yield* Effect.sleep(Duration.millis(300));
    }).pipe(Effect.forever);
  }

  /** A name that no other record of machines ever has. */
  private readonly newBlock = (): string =>
    keys.machinesOf(`${this.membership.term?.number}-${++this.batches}`);

  /** Deletes and shortens, without haste, what is of no more use: rentals, ranges, records of machines gone. */
  private readonly sweepLoop = Effect.gen(this, function* () {
    yield* Effect.sleep(SWEEP_EVERY);
    const leadership = this.membership.leadership;
    if (leadership === null || this.schedulerLock === null) return;
    if (hasElapsed(now(), this.rangesListed, LIST_RANGES_EVERY)) {
      this.rangesListed = now();
      const { rows } = yield* this.state.list(keys.ranges);
      this.schedulerLock?.with((scheduler) => {
        for (const row of rows)
          if (!scheduler.cluster.jobs.has(row.key.split("/")[1]!)) this.staleKeys.add(row.key);
      });
      // sets of jobs that an earlier version committed, or whose set wasn't known to who committed them: a set is
      // created with its job, so one without is left over
      for (const id of this.jobCache.fanins.keys())
        if (!this.jobCache.isUnfinished(id)) this.staleKeys.add(keys.fanin(id));
    }
    // a split may need a whole transaction, and so may what is of no more use: each goes first in its turn
    const room = { valueBytes: this.valueBytes, txnBytes: TXN_BYTES, newKey: this.newBlock };
    const firstDeletes = ++this.sweeps % 2 === 0 ? [...this.staleKeys].slice(0, this.sweepOps) : [];
    const most = Math.min(MAX_REWRITES, this.sweepOps - firstDeletes.length);
    const rewrites = this.machineRecords.changed(most, room, now());
    const rewriteOps = rewrites.reduce((sum, rewrite) => sum + opsOf(rewrite), 0);
    const left = this.sweepOps - rewriteOps;
    const deletes = [...this.staleKeys].slice(0, left);
    if (deletes.length + rewrites.length === 0) return;
    const created = rewrites.flatMap((rewrite) => rewrite.pieces);
    const result = yield* this.state.commit(
      [
        { key: keys.leader, revision: leadership.revision },
        ...created.map(({ key }) => ({ key, revision: 0 })),
      ],
      [
        ...deletes.map((key) => ({ delete: key })),
        ...created.map(({ key, machines }): Change => ({ put: key, value: { machines } })),
        ...rewrites.map(({ key, machines }): Change =>
          machines === null ? { delete: key } : { put: key, value: { machines } },
        ),
      ],
      "later",
    );
    if (result.ok === null) {
      this.machineRecords.refused(rewrites);
      const [alone, ...others] = rewrites;
      this.sweepOps = Math.max(1, Math.floor((deletes.length + rewriteOps) / 2));
      if (alone !== undefined && others.length + deletes.length === 0) {
        // the same would be refused again, and as the first in line it would hold up all others
        const pause = this.refusals.refused("record of machines gone", result.error, alone.key);
        this.machineRecords.putOff(alone.key, plus(now(), pause));
        return;
      }
      yield* Effect.sleep(this.refusals.refused("sweep", result.error));
      return;
    }
    this.refusals.accepted("sweep");
    for (const { key } of rewrites) this.refusals.accepted("record of machines gone", key);
    if (result.ok) {
      this.sweepOps = Math.min(this.options.txnOps, this.sweepOps + 1);
      for (const key of deletes) this.staleKeys.delete(key);
      this.machineRecords.written(rewrites);
    } else {
      // a piece that exists: an earlier copy of its split, whose answer was lost, was carried out
      const { failed } = result;
      this.machineRecords.written(
        rewrites.filter((rewrite) => rewrite.pieces.some((p) => failed.includes(p.key))),
      );
    }
  }).pipe(Effect.ignore, Effect.forever);

  // --- cloud -------------------------------------------------------------------------------------------

  private readonly fleetLoop = Effect.gen(this, function* () {
    yield* Effect.sleep(Duration.millis(700));
    if (this.schedulerLock === null || !this.membership.isActingLeader()) return;
    for (const decision of this.schedulerLock.with((scheduler) => scheduler.stepFleet(now())))
      if (decision.kind !== "commands") yield* this.fork(this.carryOut(decision));
  }).pipe(
    Effect.catchAllCause((cause) =>
      Effect.sync(() => this.log.error({ cause: cause.toString() }, "fleet failed")),
    ),
    Effect.forever,
  );

  private readonly summaryLoop = Effect.gen(this, function* () {
    yield* Effect.sleep(Duration.seconds(5));
    this.schedulerLock?.with((scheduler) =>
      this.log.info({ term: scheduler.term.number, ...scheduler.summary(now()) }, "summary"),
    );
  }).pipe(Effect.forever);

  private rent(d: Extract<Decision, { kind: "rent" }>): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const leadership = this.membership.leadership;
      const term = this.membership.term;
      if (leadership === null || term === null || this.schedulerLock === null) return;
      const name = `r-${term.number}-${++this.rentals}`;
      const { type, zone, spot, count } = d.rent;
      this.schedulerLock.with((scheduler) =>
        scheduler.fleet.outstanding.set(name, { offer: d.rent, count, at: now() }),
      );
      const record: RentalRecord = { type: type.name, zone, spot, count };
      const stored = yield* this.state
        .commit(
          [{ key: keys.leader, revision: leadership.revision }],
          [{ put: keys.rental(name), value: record }],
        )
        .pipe(Effect.orElseSucceed(() => null));
      if (stored?.ok === true) this.refusals.accepted("rental");
      else if (stored?.ok === null)
        // as long as it counts as asked for, no other takes its place
        yield* Effect.sleep(this.refusals.refused("rental", stored.error));
      if (stored?.ok !== true) {
        // not sent: the name is never used again
        this.schedulerLock?.with((scheduler) => scheduler.fleet.outstanding.delete(name));
        return;
      }
      this.log.info({ term: term.number, rental: name, type: type.name, zone, spot, count }, "rents");
      yield* this.resolveRental(name, record, leadership);
    });
  }

  /** Sends a recorded rental until its outcome is certain, then records its machines. */
  private resolveRental(name: string, r: RentalRecord, leadership: Leadership): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      let machines: string[] | null = null;
      let tries = 0;
      for (;;) {
        if (this.membership.leadership !== leadership) return;
        const answer = yield* Effect.either(this.cloud.rent(name, r.type, r.zone, r.spot, r.count));
        if (answer._tag === "Right") {
          machines = answer.right;
          break;
        }
        // while it is uncertain it stays asked for, so nothing is rented twice
        yield* Effect.sleep(Duration.millis(Math.min(4000, 500 * 2 ** tries++)));
      }
      const got = machines ?? [];
      // sent again under the same name it would only get the same answer: its record can go in its turn
      this.staleKeys.add(keys.rental(name));
      this.log.info({ rental: name, got: got.length, refused: machines === null }, "rental answered");
      this.schedulerLock?.with((scheduler) => scheduler.rentalAnswered(name, r, got, now()));
      this.stepRequested.notify();
    });
  }

  private release(machines: readonly string[], why: string): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const leadership = this.membership.leadership;
      if (leadership === null) return;
      this.log.info(
        { count: machines.length, machines: machines.slice(0, 5), why, term: this.membership.term?.number },
        "releases",
      );
      // nothing is on an empty machine, and nothing more will start there: a next leader needn't wait for it
      this.schedulerLock?.with((scheduler) => {
        for (const id of machines) {
          const machine = scheduler.cluster.machines.get(id);
          if (machine !== undefined && machine.confirmed && machine.attempts.size === 0)
            this.machineRecords.remove(id);
        }
      });
      const gone = yield* this.cloud.release(machines).pipe(
        Effect.as(true),
        Effect.orElseSucceed(() => false),
      );
      this.schedulerLock?.with((scheduler) => scheduler.releaseAnswered(machines, gone, now()));
      this.stepRequested.notify();
      if (gone) for (const id of machines) this.machineRecords.remove(id);
    });
  }

  /** So long that lists of this many machines take no more than their share of the cloud's rate. */
  private listPause(machines: number): Duration.Duration {
    const requests = Math.ceil(machines / LIST_PAGE);
    return Duration.seconds(requests / (this.options.cloudRps * SHARE_FOR_LISTS));
  }

  private readonly listLoop = Effect.gen(this, function* () {
    const rows = yield* this.cloud.list();
    this.schedulerLock?.with((scheduler) => scheduler.listed(rows, now()));
    this.stepRequested.notify();
    yield* Effect.sleep(Duration.max(this.options.listEvery, this.listPause(rows.length)));
  }).pipe(
    Effect.catchAll(() => Effect.sleep(Duration.seconds(1))),
    Effect.forever,
  );

  private readonly typesLoop = Effect.gen(this, function* () {
    const rows = yield* this.cloud.types();
    const old = this.jobCache.types;
    this.jobCache.setTypes(rows);
    const same = (types: typeof old, b: typeof old) =>
      types.length === b.length &&
      types.every((type, i) => type.name === b[i]!.name && type.cpus === b[i]!.cpus);
    this.typesUnwritten ||= !same(old, this.jobCache.types);
    const leadership = this.membership.leadership;
    if (leadership !== null && this.typesUnwritten) yield* this.writeTypes(rows, leadership);
    this.stepRequested.notify();
    yield* Effect.sleep(Duration.seconds(30));
  }).pipe(
    Effect.catchAll(() => Effect.sleep(Duration.seconds(1))),
    Effect.forever,
  );

  private writeTypes(rows: readonly WireType[], leadership: Leadership) {
    return Effect.gen(this, function* () {
      if (jsonBytes(rows) > this.valueBytes) {
        this.refusals.refused("types", "more than a value may hold: every node asks the cloud for them");
        return;
      }
      const result = yield* this.state.commit(
        [{ key: keys.leader, revision: leadership.revision }],
        [{ put: keys.types, value: rows satisfies readonly WireType[] }],
      );
      if (result.ok === null) this.refusals.refused("types", result.error);
      else this.typesUnwritten = false;
    }).pipe(Effect.ignore);
  }

  /** Types that aren't in the state service, being too many for one value: a node that doesn't lead asks as well. */
  private readonly learnTypes = Effect.gen(this, function* () {
    yield* Effect.sleep(TYPES_MISSED);
    if (this.jobCache.types.length > 0 || this.membership.leadership !== null) return;
    const rows = yield* this.cloud.types();
    this.jobCache.setTypes(rows);
    yield* Effect.sleep(LEARN_TYPES_EVERY);
  }).pipe(
    Effect.catchAll(() => Effect.sleep(LEARN_TYPES_EVERY)),
    Effect.forever,
  );

  readonly run = Effect.all([this.watchMembers, this.learnTypes], { concurrency: 2, discard: true });
}
