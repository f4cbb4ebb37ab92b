/**
 * The leader's state of one attempt to hand a shard over: who requested it, its phase, and the timeouts of the phases.
 */
import type { MoveReason } from "./rebalancer.js";
import type { Refusal } from "./refusal.js";
import type { ShardId } from "./shard-id.js";
import type { ShardWrite } from "./transitions.js";

/** Why or by whom a move was requested. */
export type RequestedBy = MoveReason | "operator" | "rehearsal";

/** A request to move a shard. */
export interface MoveRequest {
  readonly id: string;
  readonly shard: ShardId;
  readonly target: string;
  readonly by: RequestedBy;
}

/** Timeouts of the phases of a handoff. */
export interface HandoffTimeouts {
  /** For the target's answer to the offer. */
  readonly offerMs: number;
  /** For draining and releasing the shard; its machines get no commands meanwhile. */
  readonly drainMs: number;
  /** For the target to take the released shard. */
  readonly takeMs: number;
  /** How long an unanswered request or write waits before it is sent again. */
  readonly retryMs: number;
}

/**
 * To stop a gang as a whole, all its machines have to be told within a few seconds (`gang_peer_s`), so no machine is left
 * without commands for longer than 3 s.
 */
export const HANDOFF_TIMEOUTS: HandoffTimeouts = { offerMs: 3000, drainMs: 3000, takeMs: 2000, retryMs: 400 };

/** The phase of an attempt. */
export type HandoffPhase =
  | { readonly kind: "offered" }
  /**
   * The write that begins the handoff is in flight. It is sent again until it is answered; after a failure the attempt
   * waits to read the record that made it fail.
   */
  | { readonly kind: "beginning"; readonly write: ShardWrite; readonly failed: boolean }
  | { readonly kind: "draining"; readonly tokensRaised: boolean; readonly releaseRequestedAt: number | null }
  | { readonly kind: "released" }
  | {
      readonly kind: "ending";
      readonly write: ShardWrite;
      readonly failed: boolean;
      readonly refusal: Refusal;
    };

/** An attempt to hand a shard over, in one term and by one leader. Its times are on the clock of `CoordinatorInput.now`. */
export interface HandoffAttempt {
  readonly request: MoveRequest;
  readonly source: string;
  readonly epoch: number;
  readonly term: number;
  /** When the offer was sent to the target. */
  readonly startedAt: number;
  /** When the current phase began. */
  readonly phaseStartedAt: number;
  /** When the last write was sent. */
  readonly writeSentAt: number;
  readonly phase: HandoffPhase;
}
