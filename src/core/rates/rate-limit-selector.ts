/**
 * Which of two rates of the state service is in force. From some unannounced moment on it allows less; a node learns
 * that only from its refusals, and one refusal in today's bursts looks the same. So the lower rates are kept for a while
 * and then given up again, each time for longer when the next refusal follows soon.
 */
import * as Duration from "effect/Duration";
import { type Instant, hasElapsed, plus } from "../time.js";

/** What the state service allows all nodes together. */
export interface RequestRates {
  /** Requests a second. */
  readonly rps: number;
  /** Changes a second. */
  readonly writeRps: number;
}

/** How long the lower rates are kept after a refusal: at first, and at most. */
const FIRST_LOWERED_SPAN = Duration.minutes(1);
const LONGEST_LOWERED_SPAN = Duration.minutes(10);
/** A refusal within this time after going back up says that the lower rates hold. */
const REPEATED_REFUSAL_WITHIN = Duration.minutes(1);

/** Says which rates this node keeps to at a moment. */
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
    // the same object when nothing is lower: nothing ever changes then
    this.lowerRates =
      rps < currentRates.rps || writeRps < currentRates.writeRps ? { rps, writeRps } : currentRates;
  }

  /** The rates in force; the same object as long as they are the same. */
  ratesAt(now: Instant): RequestRates {
    return this.loweredUntil !== null && now < this.loweredUntil ? this.lowerRates : this.currentRates;
  }

  /** The service said 429; whether to requests or to changes isn't known, so both go down. */
  recordRefusal(now: Instant): void {
    if (this.lowerRates === this.currentRates || this.ratesAt(now) === this.lowerRates) return;
    const isSoon = this.loweredUntil !== null && !hasElapsed(now, this.loweredUntil, REPEATED_REFUSAL_WITHIN);
    this.loweredSpan = isSoon
      ? Duration.min(LONGEST_LOWERED_SPAN, Duration.times(this.loweredSpan, 2))
      : FIRST_LOWERED_SPAN;
    this.loweredUntil = plus(now, this.loweredSpan);
  }
}
