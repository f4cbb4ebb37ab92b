/**
 * Moves for trials: the leader moves one shard after the other, and empties a controller now and then, so that a day on the
 * bench has handoffs in it that no operator asked for. The setting `shards.rehearsal_s` turns it on.
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import type { Assignment, MoveRequest, Refusal, ShardId, ShardLoad } from "#shards";
import { shardKeys } from "../../core/shards/shard-keys.js";
import { type Instant, hasElapsed } from "../../core/time.js";
import type { StateClient } from "../../io/state-client.js";

/** After so many moves comes a drain. */
const MOVE_TURNS_BEFORE_DRAIN = 8;
/** How many moves a drain lasts. */
const DRAIN_TURNS = 4;

/** Whoever carries out moves: the leader's side of handoffs. */
export interface MoveRequester {
  /** Tries a move; the refusal, or the name under which its outcome is known. */
  requestMove(shard: ShardId, target: string, by: MoveRequest["by"]): Refusal | string;
}

/** Takes turns between moves, the beginning of a drain and its end. */
export class ShardMoveExerciser {
  private lastMoveAt: Instant | null = null;
  private turn = 0;
  private drainedMember: string | null = null;

  /** `interval`: the time between two turns. */
  constructor(
    private readonly interval: Duration.Duration,
    private readonly me: string,
    private readonly state: StateClient,
  ) {}

  /** Moves, drains or ends a drain, if it is time. Refusals are left to the log of moves: the next turn tries another shard. */
  step(
    requester: MoveRequester,
    assignment: Assignment,
    loads: ReadonlyMap<ShardId, ShardLoad>,
    now: Instant,
  ): void {
    if (this.lastMoveAt !== null && !hasElapsed(now, this.lastMoveAt, this.interval)) return;
    this.lastMoveAt = now;
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
    const others = (assignment.term?.members ?? []).filter((member) => member.name !== this.me);
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
