/**
 * The sending side of the relay: decides when, and how much, a member that can't reach the leader writes for it to the
 * state service. This uses up the rate of changes, so it is infrequent, and after a rejection it sends less.
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { type Instant, hasElapsed } from "../../core/time.js";
import { now } from "../../io/clock.js";
import type { Log } from "../../io/log.js";
import type { SyncRequest } from "../../io/peer-codec.js";
import type { StateClient } from "../../io/state-client.js";
import type { RejectionBackoff } from "../rejection-backoff.js";
import type { Membership } from "./membership.js";
import { type FragmentLimits, type RelayResult, relayUpdate } from "./update-relay.js";

const RELAY_INTERVAL = Duration.seconds(1);
const MAX_RELAYED_HEARTBEATS = 60;

/** Settings and dependencies of `UpdateRelaySender`. */
export interface UpdateRelaySenderOptions {
  readonly self: string;
  readonly membership: Membership;
  readonly state: StateClient;
  readonly rejections: RejectionBackoff;
  readonly limits: FragmentLimits;
  readonly log: Log;
}

/** Relays a member's updates to the leader through the state service. */
export class UpdateRelaySender {
  private heartbeatLimit = MAX_RELAYED_HEARTBEATS;
  private pause = RELAY_INTERVAL;
  private lastRelayedAt: Instant | null = null;

  constructor(private readonly options: UpdateRelaySenderOptions) {}

  /** Maximum number of heartbeats in an update that is to be relayed. */
  get maxHeartbeats(): number {
    return this.heartbeatLimit;
  }

  /** Relays an update if this node may act and the pause since the last one is over; true: it was stored. */
  relay(update: SyncRequest): Effect.Effect<boolean> {
    const { self, membership, state, limits } = this.options;
    const { leaseId } = membership;
    if (leaseId === null || !membership.mayAct()) return Effect.succeed(false);
    if (this.lastRelayedAt !== null && !hasElapsed(now(), this.lastRelayedAt, this.pause))
      return Effect.succeed(false);
    this.lastRelayedAt = now();
    return Effect.map(relayUpdate({ state, member: self, leaseId, update, limits }), (result) => {
      this.adapt(result);
      this.options.log.info(
        { result: result.kind, heartbeats: update.heartbeats.length },
        "attempted to relay an update through the state service",
      );
      return result.kind === "relayed";
    });
  }

  private adapt(result: RelayResult): void {
    const { rejections } = this.options;
    const isTooMuch = result.kind === "rejected" || result.kind === "too large";
    this.heartbeatLimit = isTooMuch
      ? Math.max(1, Math.floor(this.heartbeatLimit / 2))
      : Math.min(MAX_RELAYED_HEARTBEATS, this.heartbeatLimit + 1);
    this.pause =
      result.kind === "rejected"
        ? Duration.max(RELAY_INTERVAL, rejections.noteRejection("member update", result.reason))
        : RELAY_INTERVAL;
    if (result.kind === "relayed") rejections.reset("member update");
  }
}
