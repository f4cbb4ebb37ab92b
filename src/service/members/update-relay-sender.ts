/**
 * The sending side of the relay: when and how much a member that can't reach the leader leaves for it in the state
 * service. It costs changes, so it is slow, and it sends less once that was too much.
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
const MAX_HEARTBEATS = 60;

/** What a relay sender works with. */
export interface UpdateRelaySenderOptions {
  readonly me: string;
  readonly membership: Membership;
  readonly state: StateClient;
  readonly rejections: RejectionBackoff;
  readonly limits: FragmentLimits;
  readonly log: Log;
}

/** Leaves a member's updates in the state service. */
export class UpdateRelaySender {
  private heartbeatLimit = MAX_HEARTBEATS;
  private pause = RELAY_INTERVAL;
  private lastRelayedAt: Instant | null = null;

  constructor(private readonly options: UpdateRelaySenderOptions) {}

  /** How many heartbeats an update may hold that is to be relayed. */
  get maxHeartbeats(): number {
    return this.heartbeatLimit;
  }

  /** Relays an update, if this node may act and it is time for another. true: the leader will find it. */
  relay(update: SyncRequest): Effect.Effect<boolean> {
    const { me, membership, state, limits } = this.options;
    const { leaseId } = membership;
    if (leaseId === null || !membership.mayAct()) return Effect.succeed(false);
    if (this.lastRelayedAt !== null && !hasElapsed(now(), this.lastRelayedAt, this.pause))
      return Effect.succeed(false);
    this.lastRelayedAt = now();
    return Effect.map(relayUpdate({ state, member: me, leaseId, update, limits }), (result) => {
      this.adapt(result);
      this.options.log.info(
        { result: result.kind, heartbeats: update.heartbeats.length },
        "tried to relay an update to the leader",
      );
      return result.kind === "relayed";
    });
  }

  private adapt(result: RelayResult): void {
    const { rejections } = this.options;
    const isTooMuch = result.kind === "rejected" || result.kind === "too large";
    this.heartbeatLimit = isTooMuch
      ? Math.max(1, Math.floor(this.heartbeatLimit / 2))
      : Math.min(MAX_HEARTBEATS, this.heartbeatLimit + 1);
    this.pause =
      result.kind === "rejected"
        ? Duration.max(RELAY_INTERVAL, rejections.noteRejection("member update", result.reason))
        : RELAY_INTERVAL;
    if (result.kind === "relayed") rejections.reset("member update");
  }
}
