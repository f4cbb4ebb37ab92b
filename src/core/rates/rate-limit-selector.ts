/**
 * Selects which of two sets of rate limits of the state service to observe. At some time that isn't announced the
 * service begins to apply lower limits. A node notices only that requests are refused, which a burst under the current
 * limits can cause as well. So after a refusal the lower limits are kept for a while before the current ones are tried
 * again, and for longer each time the next refusal follows soon.
 */
import * as Duration from "effect/Duration";
import { type Instant, hasElapsed, plus } from "../time.js";

/** Limits of the state service on all nodes together. */
export interface RequestRates {
  /** Requests per second. */
  readonly rps: number;
  /** Changes per second. */
  readonly writeRps: number;
}

/** How long the lower limits are kept after a refusal: at first, and at most. */
const FIRST_LOWERED_SPAN = Duration.minutes(1);
const LONGEST_LOWERED_SPAN = Duration.minutes(10);
/** A refusal within this time after the return to the current limits suggests that the lower ones are in force. */
const REPEATED_REFUSAL_WITHIN = Duration.minutes(1);

/** Tells which limits this node has to observe. */
export class RateLimitSelector {
  private readonly lowerRates: RequestRates;
  private loweredSpan = FIRST_LOWERED_SPAN;
  private loweredUntil: Instant | null = null;

  constructor(
    private readonly currentRates: RequestRates,
    futureRates: RequestRates = currentRates,
  ) {
    const rps = Math.min(currentRates.rps, futureRates.rps);
    const writeRps = Math.min(currentRates.writeRps, futureRates.writeRps);
    // if no limit is lower, this is the same object, and the selection never changes
    this.lowerRates =
      rps < currentRates.rps || writeRps < currentRates.writeRps ? { rps, writeRps } : currentRates;
  }

  /** The limits to observe now; the same object as long as they don't change. */
  ratesAt(now: Instant): RequestRates {
    return this.loweredUntil !== null && now < this.loweredUntil ? this.lowerRates : this.currentRates;
  }

  /** Records a 429 from the service. It doesn't say which limit was exceeded, so both are lowered. */
  recordRefusal(now: Instant): void {
    if (this.lowerRates === this.currentRates || this.ratesAt(now) === this.lowerRates) return;
    const isSoon = this.loweredUntil !== null && !hasElapsed(now, this.loweredUntil, REPEATED_REFUSAL_WITHIN);
    this.loweredSpan = isSoon
      ? Duration.min(LONGEST_LOWERED_SPAN, Duration.times(this.loweredSpan, 2))
      : FIRST_LOWERED_SPAN;
    this.loweredUntil = plus(now, this.loweredSpan);
  }
}
