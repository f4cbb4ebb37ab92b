/** The outcomes of recent moves, and the backoff of each shard after refused moves. */
import * as Duration from "effect/Duration";
import { describeRefusal, type EndedAttempt, type MoveReason, type RequestedBy, type ShardId } from "#shards";
import { type Instant, instant, hasElapsed, plus } from "../../core/time.js";

const MAX_REMEMBERED_MOVES = 200;
/** The backoff of a shard after its first refusal; each further refusal doubles it. */
const MIN_BACKOFF = Duration.seconds(2);
const MAX_BACKOFF = Duration.seconds(60);
/** How long a shard that has moved isn't moved again just to balance the load. */
const MIN_STAY_AFTER_MOVE = Duration.seconds(30);

/** The state or result of a move, as operators see it. */
export interface MoveOutcome {
  readonly move: string;
  readonly shard: ShardId;
  readonly source: string;
  readonly target: string;
  readonly by: RequestedBy;
  readonly outcome: "running" | "done" | "refused";
  /** Why it was refused; empty if it wasn't. */
  readonly reason: string;
  readonly tookMs: number;
}

interface RefusalBackoff {
  readonly refusals: number;
  readonly until: Instant;
}

/** The moves of one leader; kept in memory only. */
export class MoveLog {
  private readonly outcomes = new Map<string, MoveOutcome>();
  private readonly backoffs = new Map<ShardId, RefusalBackoff>();
  private readonly movedAt = new Map<ShardId, Instant>();

  /** Records a move, or replaces its record; the oldest moves are dropped. */
  record(outcome: MoveOutcome): void {
    this.outcomes.set(outcome.move, outcome);
    if (this.outcomes.size <= MAX_REMEMBERED_MOVES) return;
    const [oldest] = this.outcomes.keys();
    if (oldest !== undefined) this.outcomes.delete(oldest);
  }

  /** Records the end of a move; a refusal doubles the shard's backoff. */
  recordEnd(attempt: EndedAttempt, now: Instant): MoveOutcome {
    const { request, refusal } = attempt;
    const outcome: MoveOutcome = {
      move: request.id,
      shard: request.shard,
      source: attempt.source,
      target: request.target,
      by: request.by,
      outcome: refusal === null ? "done" : "refused",
      reason: refusal === null ? "" : describeRefusal(refusal),
      tookMs: Math.round(attempt.tookMs),
    };
    this.record(outcome);
    if (refusal === null) {
      this.movedAt.set(request.shard, now);
      this.backoffs.delete(request.shard);
    } else this.recordRefusal(request.shard, now);
    return outcome;
  }

  /** Records a refusal, whether before a move began or later: doubles the shard's backoff. */
  recordRefusal(shard: ShardId, now: Instant): void {
    const refusals = (this.backoffs.get(shard)?.refusals ?? 0) + 1;
    const backoff = Duration.min(MAX_BACKOFF, Duration.times(MIN_BACKOFF, 2 ** Math.min(refusals - 1, 10)));
    this.backoffs.set(shard, { refusals, until: plus(now, backoff) });
  }

  /** Whether the rebalancer may not propose the shard now, because of a refusal or a recent move. */
  isBlocked(shard: ShardId, reason: MoveReason, now: Instant): boolean {
    if (now < (this.backoffs.get(shard)?.until ?? instant(-Infinity))) return true;
    const movedAt = this.movedAt.get(shard);
    return reason === "balance" && movedAt !== undefined && !hasElapsed(now, movedAt, MIN_STAY_AFTER_MOVE);
  }

  /** One move; undefined if this leader doesn't know it. */
  outcomeOf(move: string): MoveOutcome | undefined {
    return this.outcomes.get(move);
  }

  /** The latest moves, the newest first. */
  latestMoves(limit: number): readonly MoveOutcome[] {
    return [...this.outcomes.values()].reverse().slice(0, limit);
  }
}
