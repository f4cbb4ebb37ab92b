/**
 * Moves for trials: the leader moves one shard after the other, and empties a controller now and then, so that a day on the
 * bench has handoffs in it that no operator asked for.
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import type { Assignment, ShardId, ShardLoad } from "#shards";
import { shardKeys } from "../../core/shards/shard-keys.js";
import { type Instant, hasElapsed } from "../../core/time.js";
import type { StateClient } from "../../io/state-client.js";
import type { ShardLeader } from "./shard-leader.js";

/** After so many moves comes a drain. */
const MOVES_BEFORE_DRAIN = 8;
/** How many moves a drain lasts. */
const MOVES_OF_DRAIN = 4;

/** Whose turn it is. */
export class ShardMoveExerciser {
  private last: Instant | null = null;
  private turn = 0;
  private drained: string | null = null;

  constructor(
    private readonly every: Duration.Duration,
    private readonly me: string,
    private readonly state: StateClient,
  ) {}

  /** Moves, drains or ends a drain, if it is time. */
  step(
    leader: ShardLeader,
    assignment: Assignment,
    loads: ReadonlyMap<ShardId, ShardLoad>,
    now: Instant,
  ): void {
    if (this.last !== null && !hasElapsed(now, this.last, this.every)) return;
    this.last = now;
    this.turn++;
    const phase = this.turn % (MOVES_BEFORE_DRAIN + MOVES_OF_DRAIN);
    if (phase === MOVES_BEFORE_DRAIN) this.beginDrain(assignment);
    else if (phase === 0) this.endDrain();
    else if (phase < MOVES_BEFORE_DRAIN) this.moveOne(leader, assignment, loads);
  }

  private moveOne(leader: ShardLeader, assignment: Assignment, loads: ReadonlyMap<ShardId, ShardLoad>): void {
    const shards = [...loads.keys()].sort();
    const members = assignment.term?.members ?? [];
    const shard = shards[this.turn % Math.max(1, shards.length)];
    if (shard === undefined || members.length < 2) return;
    const owner = assignment.ownershipOf(shard)?.owner;
    const others = members.filter((member) => member.name !== owner);
    leader.requestMove(shard, others[this.turn % others.length]!.name, "rehearsal");
  }

  private beginDrain(assignment: Assignment): void {
    const others = (assignment.term?.members ?? []).filter((member) => member.name !== this.me);
    const member = others[this.turn % Math.max(1, others.length)];
    if (member === undefined) return;
    this.drained = member.name;
    const { incarnation } = member;
    const put = { put: shardKeys.drain(member.name), value: { incarnation } };
    Effect.runFork(Effect.ignore(this.state.commit([], [put], "later")));
  }

  private endDrain(): void {
    if (this.drained === null) return;
    const change = { delete: shardKeys.drain(this.drained) };
    this.drained = null;
    Effect.runFork(Effect.ignore(this.state.commit([], [change], "later")));
  }
}
