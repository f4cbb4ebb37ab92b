/**
 * Which of two rates of the state service is in force. From some unannounced moment on it allows less; a node learns
 * that only from its refusals, and one refusal in today's bursts looks the same. So the lower rates are kept for a while
 * and then given up again, each time for longer when the next refusal follows soon.
 */
import * as Duration from "effect/Duration";
import { type Instant, hasElapsed, plus } from "../time.js";

/** What the state service allows all nodes together. */
export interface Rate {
  /** Requests a second. */
  readonly rps: number;
  /** Changes a second. */
  readonly writeRps: number;
}

/** How long the lower rates are kept after a refusal: at first, and at most. */
const FIRST_SPAN = Duration.minutes(1);
const LONGEST_SPAN = Duration.minutes(10);
/** A refusal within this time after going back up says that the lower rates hold. */
const SOON = Duration.minutes(1);

/** Says which rates this node keeps to at a moment. */
export class RateLimitSelector {
  private readonly lower: Rate;
  private span = FIRST_SPAN;
  private loweredUntil: Instant | null = null;

  constructor(
    private readonly today: Rate,
    next: Rate = today,
  ) {
    const rps = Math.min(today.rps, next.rps);
    const writeRps = Math.min(today.writeRps, next.writeRps);
    // the same object when nothing is lower: nothing ever changes then
    this.lower = rps < today.rps || writeRps < today.writeRps ? { rps, writeRps } : today;
  }

  /** The rates in force; the same object as long as they are the same. */
  at(now: Instant): Rate {
    return this.loweredUntil !== null && now < this.loweredUntil ? this.lower : this.today;
  }

  /** The service said 429; whether to requests or to changes isn't known, so both go down. */
  refused(now: Instant): void {
    if (this.lower === this.today || this.at(now) === this.lower) return;
    const isSoon = this.loweredUntil !== null && !hasElapsed(now, this.loweredUntil, SOON);
    this.span = isSoon ? Duration.min(LONGEST_SPAN, Duration.times(this.span, 2)) : FIRST_SPAN;
    this.loweredUntil = plus(now, this.span);
  }
}
