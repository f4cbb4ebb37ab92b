/** The leader's part in handoffs: runs the coordinator and the rebalancer on what the scheduler knows of machines. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import {
  Coordinator,
  type CoordinatorAction,
  type CoordinatorInput,
  type MoveRequest,
  planMoves,
  Refusal,
  repairsOf,
  type ShardId,
  type ShardLoad,
  weightOf,
  type WriteOutcome,
} from "#shards";
import type { Machine } from "../../core/cluster/cluster.js";
import { shardKeys } from "../../core/shards/shard-keys.js";
import type { Scheduler } from "../../core/scheduler/scheduler.js";
import { type Instant, hasElapsed } from "../../core/time.js";
import { now } from "../../io/clock.js";
import type { Log } from "../../io/log.js";
import type { StateClient } from "../../io/state-client.js";
import type { Locked } from "../leader/locked.js";
import type { Membership } from "../members/membership.js";
import type { HandoffRequests } from "./handoff-requests.js";
import { MachinesOfShards } from "./machines-of-shards.js";
import { MoveLog, type MoveOutcome } from "./move-log.js";
import type { MoveRequester, ShardMoveExerciser } from "./shard-move-exerciser.js";
import { ShardLoads } from "./shard-loads.js";
import type { ShardView } from "./shard-view.js";
import type { ShardWriter } from "./shard-writer.js";

const STEP_INTERVAL = Duration.millis(100);
const PLAN_INTERVAL = Duration.seconds(1);
/** Repairs wait this long after a term began: if a process is back by then, its shards need no new records. */
const REPAIR_DELAY_AFTER_TERM = Duration.seconds(1);
/** The rebalancer waits this long after a change of term, until workers have found their controllers again. */
const PLAN_DELAY_AFTER_TERM = Duration.seconds(5);

/** Settings for a controller's part as leader. */
export interface ShardLeaderOptions {
  readonly self: string;
  readonly maxConcurrentMoves: number;
  /**
   * How much the busiest controller's load may exceed the least busy one's before shards move, as a share of the
   * mean.
   */
  readonly hysteresis: number;
  /** The time between two heartbeats of a worker. */
  readonly heartbeatInterval: Duration.Duration;
  /** The most conditions and changes that the state service takes in one transaction. */
  readonly txnOps: number;
  readonly fencingWindow: Duration.Duration;
}

/** The services that `ShardLeader` uses. */
export interface ShardLeaderDependencies {
  readonly view: ShardView;
  readonly writer: ShardWriter;
  readonly requests: HandoffRequests;
  readonly membership: Membership;
  readonly state: StateClient;
  /** Makes test moves; null if the settings don't ask for any. */
  readonly exerciser: ShardMoveExerciser | null;
  readonly log: Log;
}

/** State that exists only while this node leads. */
interface LeadershipState {
  readonly scheduler: Locked<Scheduler>;
  readonly machines: MachinesOfShards;
  readonly coordinator: Coordinator;
  readonly moves: MoveLog;
  /** The shards that were paused at the last step: no commands were sent to their machines. */
  paused: ReadonlySet<ShardId>;
  plannedAt: Instant | null;
}

/** The leader's part in handoffs. */
export class ShardLeader implements MoveRequester {
  private leading: LeadershipState | null = null;
  private readonly loads: ShardLoads;
  private moveNumber = 0;

  private readonly view: ShardView;
  private readonly writer: ShardWriter;
  private readonly requests: HandoffRequests;
  private readonly membership: Membership;
  private readonly state: StateClient;
  private readonly exerciser: ShardMoveExerciser | null;
  private readonly log: Log;

  constructor(
    private readonly options: ShardLeaderOptions,
    dependencies: ShardLeaderDependencies,
  ) {
    this.view = dependencies.view;
    this.writer = dependencies.writer;
    this.requests = dependencies.requests;
    this.membership = dependencies.membership;
    this.state = dependencies.state;
    this.exerciser = dependencies.exerciser;
    this.log = dependencies.log;
    this.loads = new ShardLoads(options.heartbeatInterval);
  }

  /** Called when this node becomes the leader. */
  startLeading(scheduler: Locked<Scheduler>): void {
    this.leading = {
      scheduler,
      machines: new MachinesOfShards(scheduler, this.view),
      coordinator: new Coordinator(),
      moves: new MoveLog(),
      paused: new Set(),
      plannedAt: null,
    };
  }

  /** Called when this node stops being the leader. */
  stopLeading(): void {
    this.leading = null;
  }

  /** Whether this node leads and may act as the leader at present. */
  get isLeading(): boolean {
    return this.leading !== null && this.membership.isActingLeader();
  }

  /** Whether no commands may be sent to a machine at present, because its shard is being handed over. */
  isPaused(machine: string, zone: string): boolean {
    const { leading, view } = this;
    if (leading === null || !this.isAnyPaused(leading)) return false;
    return leading.coordinator.isPaused(view.assignment, view.shardOf(machine, zone));
  }

  /** Whether any shard may be paused. Mostly none is, and then `isPaused` needn't compute the machine's shard. */
  private isAnyPaused(leading: LeadershipState): boolean {
    return leading.coordinator.moveCount > 0 || leading.paused.size > 0 || this.view.assignment.hasHandoffs;
  }

  /** Counts a batch of commands that was sent to a machine. */
  countCommandBatch(machine: string, zone: string): void {
    this.loads.countCommandBatch(this.view.shardOf(machine, zone));
  }

  // --- moves -----------------------------------------------------------------------------------------------

  /** Starts a move. Gives its id, for `outcomeOf`, or the refusal. */
  requestMove(shard: ShardId, target: string, by: MoveRequest["by"]): Refusal | string {
    const { leading } = this;
    if (leading === null || !this.membership.isActingLeader())
      return Refusal.NotLeader({ member: this.options.self });
    if (this.isDraining(target) && by !== "rehearsal") return Refusal.TargetDraining({ member: target });
    const term = this.membership.term?.number ?? 0;
    const id = `${this.options.self}-${this.membership.incarnation}-${term}-${++this.moveNumber}`;
    const request: MoveRequest = { id, shard, target, by };
    const answer = leading.coordinator.startMove(request, this.coordinatorInput(leading));
    if ("_tag" in answer) {
      if (by !== "operator") leading.moves.recordRefusal(shard, now());
      return answer;
    }
    const source = this.view.assignment.ownershipOf(shard)?.owner ?? "";
    leading.moves.record({ move: id, shard, source, target, by, outcome: "running", reason: "", tookMs: 0 });
    this.carryOut(leading, answer);
    return id;
  }

  /** Cancels the move of a shard; gives the refusal, or null. */
  cancelMove(shard: ShardId): Refusal | null {
    const { leading } = this;
    if (leading === null) return Refusal.NotLeader({ member: this.options.self });
    const answer = leading.coordinator.cancel(shard, this.coordinatorInput(leading));
    if ("_tag" in answer) return answer;
    this.carryOut(leading, answer);
    return null;
  }

  /** The state or result of a move; undefined if this leader doesn't know it. */
  outcomeOf(move: string): MoveOutcome | undefined {
    return this.leading?.moves.outcomeOf(move);
  }

  /** The latest moves, the newest first. */
  latestMoves(limit: number): readonly MoveOutcome[] {
    return this.leading?.moves.latestMoves(limit) ?? [];
  }

  /** Whether a controller is being drained. A drain applies to one process of a controller, not to later ones. */
  isDraining(member: string): boolean {
    const incarnation = this.view.drains.get(member);
    const members = this.view.assignment.term?.members ?? [];
    return members.some((candidate) => candidate.name === member && candidate.incarnation === incarnation);
  }

  /** The machines of each shard; empty if this node doesn't lead. */
  machinesByShard(): ReadonlyMap<ShardId, readonly Machine[]> {
    return this.leading?.machines.byShard() ?? new Map<ShardId, readonly Machine[]>();
  }

  private coordinatorInput(leading: LeadershipState): CoordinatorInput {
    return {
      now: now(),
      assignment: this.view.assignment,
      facts: (shard) => {
        const machines = leading.machines.of(shard);
        return leading.scheduler.with((scheduler) => scheduler.shardDrain.factsOf(machines));
      },
    };
  }

  // --- actions ---------------------------------------------------------------------------------------------

  private carryOut(leading: LeadershipState, actions: readonly CoordinatorAction[]): void {
    for (const action of actions) this.carryOutOne(leading, action);
  }

  private carryOutOne(leading: LeadershipState, action: CoordinatorAction): void {
    switch (action.kind) {
      case "offer":
        return void Effect.runFork(this.offer(leading, action));
      case "write":
        return void Effect.runFork(this.write(leading, action));
      case "release":
        return void Effect.runFork(this.askRelease(leading, action));
      case "raise": {
        const machines = leading.machines.of(action.shard);
        leading.scheduler.with((scheduler) => scheduler.shardDrain.raiseTokens(machines));
        return;
      }
      case "ended": {
        const outcome = leading.moves.recordEnd(action.attempt, now());
        this.log.info({ ...outcome }, "shard move ended");
        return;
      }
    }
  }

  /** Passes an answer to the coordinator, unless this leadership has ended meanwhile. */
  private applyAnswer(
    leading: LeadershipState,
    answer: (input: CoordinatorInput) => readonly CoordinatorAction[],
  ): void {
    if (this.leading === leading) this.carryOut(leading, answer(this.coordinatorInput(leading)));
  }

  private offer(
    leading: LeadershipState,
    { to, offer }: Extract<CoordinatorAction, { kind: "offer" }>,
  ): Effect.Effect<void> {
    const term = this.membership.term?.number ?? 0;
    const workers = leading.machines.sampleWorkers(offer.shard, term);
    return Effect.map(this.requests.offer(to, { ...offer, workers }), (answer) =>
      this.applyAnswer(leading, (input) =>
        leading.coordinator.onOfferAnswer(offer.shard, offer.id, answer, input),
      ),
    );
  }

  private askRelease(
    leading: LeadershipState,
    { to, request }: Extract<CoordinatorAction, { kind: "release" }>,
  ): Effect.Effect<void> {
    return Effect.map(this.requests.release(to, request), (answer) =>
      this.applyAnswer(leading, (input) =>
        leading.coordinator.onReleaseAnswer(request.shard, request.id, answer, input),
      ),
    );
  }

  private write(
    leading: LeadershipState,
    { id, write }: Extract<CoordinatorAction, { kind: "write" }>,
  ): Effect.Effect<void> {
    return Effect.map(this.writer.write([write]), (outcome: WriteOutcome) =>
      this.applyAnswer(leading, (input) =>
        leading.coordinator.onWriteOutcome(write.shard, id, write, outcome, input),
      ),
    );
  }

  // --- the loop --------------------------------------------------------------------------------------------

  /** Sends commands again to the machines of shards that are no longer paused. */
  private resumeCommands(leading: LeadershipState): void {
    const { assignment } = this.view;
    const handoffs = assignment.recordedShards().map(([shard]) => shard);
    const candidates = new Set([...leading.paused, ...handoffs, ...leading.coordinator.movingShards()]);
    const paused = new Set(
      [...candidates].filter((shard) => leading.coordinator.isPaused(assignment, shard)),
    );
    for (const shard of leading.paused) {
      if (paused.has(shard)) continue;
      const machines = leading.machines.of(shard);
      leading.scheduler.with((scheduler) => scheduler.shardDrain.resume(machines));
    }
    leading.paused = paused;
  }

  private readonly step = Effect.gen(this, function* () {
    yield* Effect.sleep(STEP_INTERVAL);
    const { leading } = this;
    if (leading === null || !this.membership.isActingLeader()) return;
    if (leading.coordinator.moveCount > 0)
      this.carryOut(leading, leading.coordinator.step(this.coordinatorInput(leading)));
    this.resumeCommands(leading);
    const at = now();
    if (!this.view.assignment.inForce) return;
    if (leading.plannedAt !== null && !hasElapsed(at, leading.plannedAt, PLAN_INTERVAL)) return;
    leading.plannedAt = at;
    this.loads.updateRates();
    const counts = new Map([...this.machinesByShard()].map(([shard, machines]) => [shard, machines.length]));
    yield* this.repair(leading, counts);
    yield* this.deleteEndedDrains;
    if (this.leading !== leading) return;
    if (
      hasElapsed(
        now(),
        this.view.termLearnedAt,
        Duration.max(PLAN_DELAY_AFTER_TERM, this.options.fencingWindow),
      )
    )
      this.plan(leading, this.loads.loadsOf(counts));
  }).pipe(
    Effect.catchAllCause((cause) =>
      Effect.sync(() => this.log.error({ cause: cause.toString() }, "shard leader step failed")),
    ),
  );

  private repair(leading: LeadershipState, counts: ReadonlyMap<ShardId, number>): Effect.Effect<void> {
    if (!hasElapsed(now(), this.view.termLearnedAt, REPAIR_DELAY_AFTER_TERM)) return Effect.void;
    const isMoving = (shard: ShardId): boolean => leading.coordinator.isMoving(shard);
    const maxWrites = Math.max(1, Math.floor(this.options.txnOps / 2));
    const writes = repairsOf(this.view.assignment, counts, isMoving, maxWrites);
    if (writes.length === 0) return Effect.void;
    return Effect.map(this.writer.write(writes), (outcome) => {
      this.log.info({ shards: writes.map((write) => write.shard), outcome }, "shard repair writes finished");
    });
  }

  /** Deletes the drains of processes that have been replaced by a new one. */
  private readonly deleteEndedDrains = Effect.suspend(() => {
    const members = this.view.assignment.term?.members ?? [];
    const ended = [...this.view.drains]
      .filter(([name, incarnation]) =>
        members.some((member) => member.name === name && member.incarnation !== incarnation),
      )
      .map(([name]) => ({ delete: shardKeys.drain(name) }));
    if (ended.length === 0) return Effect.void;
    return Effect.ignore(this.state.commit([], ended, "later"));
  });

  private plan(leading: LeadershipState, loads: ReadonlyMap<ShardId, ShardLoad>): void {
    this.exerciser?.step(this, this.view.assignment, loads, now());
    const draining = new Set([...this.view.drains.keys()].filter((name) => this.isDraining(name)));
    const moves = planMoves({
      assignment: this.view.assignment,
      loads,
      draining,
      isBlocked: (shard, reason) =>
        leading.coordinator.isMoving(shard) || leading.moves.isBlocked(shard, reason, now()),
      hysteresis: this.options.hysteresis,
      maxMoves: this.options.maxConcurrentMoves - leading.coordinator.moveCount,
    });
    for (const { shard, target, reason } of moves) this.requestMove(shard, target, reason);
  }

  /** The load of each controller, in messages a second. */
  weights(): ReadonlyMap<string, number> {
    const counts = new Map([...this.machinesByShard()].map(([shard, machines]) => [shard, machines.length]));
    const weights = new Map<string, number>();
    for (const [shard, load] of this.loads.loadsOf(counts)) {
      const owner = this.view.assignment.ownershipOf(shard)?.owner;
      if (owner !== undefined) weights.set(owner, (weights.get(owner) ?? 0) + weightOf(load));
    }
    return weights;
  }

  /** Advances moves, repairs records and plans new moves, for ever; idle while this node doesn't lead. */
  readonly run = Effect.forever(this.step);
}
