/**
 * One attempt to hand a shard over, as the leader keeps it: who wanted it, how far it is, and how long each step may take.
 */
import type { MoveReason } from "./rebalancer.js";
import type { Refusal } from "./refusal.js";
import type { ShardId } from "./shard-id.js";
import type { ShardWrite } from "./transitions.js";

/** Who wanted a move. */
export type RequestedBy = MoveReason | "operator" | "rehearsal";

/** A move that is to be tried. */
export interface MoveRequest {
  readonly id: string;
  readonly shard: ShardId;
  readonly target: string;
  readonly by: RequestedBy;
}

/** The times that a handoff may take, in milliseconds. */
export interface HandoffTimeouts {
  /** For the target's answer. */
  readonly offerMs: number;
  /** For draining and releasing; the machines get no commands meanwhile. */
  readonly drainMs: number;
  /** For the target to take a released shard. */
  readonly takeMs: number;
  /** How long after a request without an answer it is sent again. */
  readonly retryMs: number;
}

/**
 * A gang is stopped as a whole only if all its machines are told within a few seconds (`gang_peer_s`), so no machine is
 * left without commands for longer than three.
 */
export const HANDOFF_TIMEOUTS: HandoffTimeouts = { offerMs: 3000, drainMs: 3000, takeMs: 2000, retryMs: 400 };

/** Where an attempt stands. */
export type HandoffPhase =
  | { readonly kind: "offered" }
  /** A write is on its way. It is sent again until it is answered; if it failed, the record's next state is awaited. */
  | { readonly kind: "beginning"; readonly write: ShardWrite; readonly failed: boolean }
  | { readonly kind: "draining"; readonly tokensRaised: boolean; readonly releaseRequestedAt: number | null }
  | { readonly kind: "released" }
  | {
      readonly kind: "ending";
      readonly write: ShardWrite;
      readonly failed: boolean;
      readonly refusal: Refusal;
    };

/** One try to hand a shard over, in one term and by one leader. Times are those of `CoordinatorInput.now`. */
export interface HandoffAttempt {
  readonly request: MoveRequest;
  readonly source: string;
  readonly epoch: number;
  readonly term: number;
  /** When the target was asked. */
  readonly startedAt: number;
  /** When the present phase began. */
  readonly since: number;
  /** When the last write was sent. */
  readonly writeSentAt: number;
  readonly phase: HandoffPhase;
}
