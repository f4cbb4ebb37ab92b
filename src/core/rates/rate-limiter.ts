/** A node's share of a rate that all nodes have together: a token bucket without a clock of its own. */
import * as Duration from "effect/Duration";
import { type Instant, hasElapsed, plus } from "../time.js";

/** For how long after a refusal also the urgent keep to the rate, and how long each may wait for its turn. */
const PACED_FOR = Duration.seconds(2);
/** They keep a little below the rate, or what others write in between would have them refused again. */
const PACE = 0.9;
const LONGEST_TURN = Duration.seconds(1);

export class RateLimiter {
  private tokens: number;
  private filled: Instant | null = null;
  private closedUntil: Instant | null = null;
  private refusedAt: Instant | null = null;
  private nextTurn: Instant | null = null;

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

  /**
   * How long an urgent one waits before it goes. Usually not at all; but after a refusal all of them at once, each
   * trying again, would only be refused again. null: too many wait, so it isn't worth being sent.
   */
  turn(now: Instant, n: number, longest = LONGEST_TURN): Duration.Duration | null {
    const recent = (at: Instant | null): boolean => at !== null && !hasElapsed(now, at, PACED_FOR);
    // also while others wait: they would all go together
    if (!recent(this.refusedAt) && !recent(this.nextTurn)) {
      this.nextTurn = null;
      return Duration.zero;
    }
    const at = this.nextTurn === null || this.nextTurn < now ? now : this.nextTurn;
    if (hasElapsed(at, now, longest)) return null;
    this.nextTurn = plus(at, Duration.millis((n / this.perSecond / PACE) * 1000));
    return Duration.millis(at - now);
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
    this.refusedAt = now;
    this.tokens = Math.min(this.tokens, 0);
    this.closedUntil = plus(now, span);
  }
}
