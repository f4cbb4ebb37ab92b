/** A node's share of a rate that all nodes have together: a token bucket without a clock of its own. */
import * as Duration from "effect/Duration";
import { type Instant, plus } from "./time.js";

export class Budget {
  private tokens: number;
  private filled: Instant | null = null;
  private closedUntil: Instant | null = null;

  constructor(
    private perSecond: number,
    private burst = Math.max(1, perSecond),
  ) {
    this.tokens = this.burst;
  }

  /** Another share of the rate, from now on. */
  setRate(now: Instant, perSecond: number): void {
    this.fill(now);
    this.perSecond = perSecond;
    this.burst = Math.max(1, perSecond);
    this.tokens = Math.min(this.tokens, this.burst);
  }

  private fill(now: Instant): void {
    if (this.filled !== null)
      this.tokens = Math.min(this.burst, this.tokens + ((now - this.filled) / 1000) * this.perSecond);
    this.filled = now;
  }

  /** Takes at once, going into debt: for renewals and commits. */
  takeFirst(now: Instant, n = 1): void {
    this.fill(now);
    this.tokens = Math.max(this.tokens - n, -this.burst);
  }

  /** Takes `n` if it may; otherwise says how long to wait before asking again. */
  take(now: Instant, n = 1): Duration.Duration {
    this.fill(now);
    if (this.closedUntil !== null && now < this.closedUntil) return Duration.millis(this.closedUntil - now);
    const need = Math.min(n, this.burst);
    if (this.tokens >= need) {
      this.tokens -= n;
      return Duration.zero;
    }
    return Duration.millis(Math.ceil(((need - this.tokens) / this.perSecond) * 1000) + 1);
  }

  /** The other side said 429: nothing more for a while. */
  refused(now: Instant, span: Duration.Duration): void {
    this.tokens = Math.min(this.tokens, 0);
    this.closedUntil = plus(now, span);
  }
}
