/**
 * Test moves, turned on by the setting `shards.rehearsal_s`: the leader moves one shard after another and drains a
 * controller now and then, so that load tests exercise handoffs without an operator's requests.
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import type { Assignment, MoveRequest, Refusal, ShardId, ShardLoad } from "#shards";
import { shardKeys } from "../../core/shards/shard-keys.js";
import { type Instant, hasElapsed } from "../../core/time.js";
import type { StateClient } from "../../io/state-client.js";

const MOVE_TURNS_BEFORE_DRAIN = 8;
/** A drain lasts this many turns, in which no single moves are started. */
const DRAIN_TURNS = 4;

/** Starts moves. Implemented by `ShardLeader`. */
export interface MoveRequester {
  /** Starts a move. Gives its id or the refusal. */
  requestMove(shard: ShardId, target: string, by: MoveRequest["by"]): Refusal | string;
}

/** Cycles through a number of single moves and one drain. */
export class ShardMoveExerciser {
  private lastTurnAt: Instant | null = null;
  private turn = 0;
  private drainedMember: string | null = null;

  /** `interval`: the time between two turns. */
  constructor(
    private readonly interval: Duration.Duration,
    private readonly self: string,
    private readonly state: StateClient,
  ) {}

  /** Takes the next turn if the interval has passed. After a refusal the next turn simply tries another shard. */
  step(
    requester: MoveRequester,
    assignment: Assignment,
    loads: ReadonlyMap<ShardId, ShardLoad>,
    now: Instant,
  ): void {
    if (this.lastTurnAt !== null && !hasElapsed(now, this.lastTurnAt, this.interval)) return;
    this.lastTurnAt = now;
    this.turn++;
    const phase = this.turn % (MOVE_TURNS_BEFORE_DRAIN + DRAIN_TURNS);
    if (phase === MOVE_TURNS_BEFORE_DRAIN) this.beginDrain(assignment);
    else if (phase === 0) this.endDrain();
    else if (phase < MOVE_TURNS_BEFORE_DRAIN) this.moveOne(requester, assignment, loads);
  }

  private moveOne(
    requester: MoveRequester,
    assignment: Assignment,
    loads: ReadonlyMap<ShardId, ShardLoad>,
  ): void {
    const shards = [...loads.keys()].sort();
    const members = assignment.term?.members ?? [];
    const shard = shards[this.turn % Math.max(1, shards.length)];
    if (shard === undefined || members.length < 2) return;
    const owner = assignment.ownershipOf(shard)?.owner;
    const others = members.filter((member) => member.name !== owner);
    const target = others[this.turn % others.length];
    if (target !== undefined) requester.requestMove(shard, target.name, "rehearsal");
  }

  private beginDrain(assignment: Assignment): void {
    const others = (assignment.term?.members ?? []).filter((member) => member.name !== this.self);
    const member = others[this.turn % Math.max(1, others.length)];
    if (member === undefined) return;
    this.drainedMember = member.name;
    const { incarnation } = member;
    const put = { put: shardKeys.drain(member.name), value: { incarnation } };
    Effect.runFork(Effect.ignore(this.state.commit([], [put], "later")));
  }

  private endDrain(): void {
    if (this.drainedMember === null) return;
    const change = { delete: shardKeys.drain(this.drainedMember) };
    this.drainedMember = null;
    Effect.runFork(Effect.ignore(this.state.commit([], [change], "later")));
  }
}
