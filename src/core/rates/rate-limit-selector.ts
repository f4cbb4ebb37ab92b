/**
 * Which of two rates of the state service is in force. From some unannounced moment on it allows less; a node learns
 * that only from its refusals, and one refusal in today's bursts looks the same. So the lower rates are kept for a while
 * and then given up again, each time for longer when the next refusal follows soon.
 */
import * as Duration from "effect/Duration";
import { type Instant, hasElapsed, plus } from "../time.js";

export interface Rate {
  readonly rps: number;
  readonly writeRps: number;
}

const FIRST = Duration.minutes(1);
const LONGEST = Duration.minutes(10);
/** A refusal within this time after going back up says that the lower rates hold. */
const SOON = Duration.minutes(1);

export class RateLimitSelector {
  private readonly lower: Rate;
  private span = FIRST;
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

  at(now: Instant): Rate {
    return this.loweredUntil !== null && now < this.loweredUntil ? this.lower : this.today;
  }

  /** The service said 429; whether to requests or to changes isn't known, so both go down. */
  refused(now: Instant): void {
    if (this.lower === this.today || this.at(now) === this.lower) return;
    const soon = this.loweredUntil !== null && !hasElapsed(now, this.loweredUntil, SOON);
    this.span = soon ? Duration.min(LONGEST, Duration.times(this.span, 2)) : FIRST;
    this.loweredUntil = plus(now, this.span);
  }
}
