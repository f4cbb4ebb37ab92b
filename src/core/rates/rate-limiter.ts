/** A node's share of a rate that all nodes have together: a token bucket without a clock of its own. */
import * as Duration from "effect/Duration";
import { type Instant, hasElapsed, plus } from "../time.js";

/** For how long after a refusal urgent requests keep to the rate as well. */
const PACING_AFTER_REFUSAL = Duration.seconds(2);
/** They keep a little below the rate, or what others write in between would have them refused again. */
const PACED_RATE_SHARE = 0.9;
/** How long each may wait for its turn. */
const MAX_URGENT_DELAY = Duration.seconds(1);

/** Tokens come in at a steady rate and pile up to a burst; each request or change takes one. */
export class RateLimiter {
  private tokens: number;
  private refilledAt: Instant | null = null;
  private closedUntil: Instant | null = null;
  private refusedAt: Instant | null = null;
  private nextUrgentAt: Instant | null = null;

  constructor(
    /** Tokens that come in a second. */
    private tokensPerSecond: number,
    /** How many tokens pile up at most. */
    private burst = Math.max(1, tokensPerSecond),
  ) {
    this.tokens = this.burst;
  }

  /** Another share of the rate, from now on. */
  setRate(now: Instant, tokensPerSecond: number): void {
    this.refill(now);
    this.tokensPerSecond = tokensPerSecond;
    this.burst = Math.max(1, tokensPerSecond);
    this.tokens = Math.min(this.tokens, this.burst);
  }

  private refill(now: Instant): void {
    if (this.refilledAt !== null)
      this.tokens = Math.min(
        this.burst,
        this.tokens + ((now - this.refilledAt) / 1000) * this.tokensPerSecond,
      );
    this.refilledAt = now;
  }

  /** Takes at once, going into debt: for renewals and commits. */
  takeUrgent(now: Instant, count = 1): void {
    this.refill(now);
    this.tokens = Math.max(this.tokens - count, -this.burst);
  }

  /**
   * How long an urgent one waits before it goes. Usually not at all; but after a refusal all of them at once, each
   * trying again, would only be refused again. null: too many wait, so it isn't worth being sent.
   */
  urgentDelay(now: Instant, count: number, maxWait = MAX_URGENT_DELAY): Duration.Duration | null {
    const isRecent = (at: Instant | null): boolean =>
      at !== null && !hasElapsed(now, at, PACING_AFTER_REFUSAL);
    // also while others wait: they would all go together
    if (!isRecent(this.refusedAt) && !isRecent(this.nextUrgentAt)) {
      this.nextUrgentAt = null;
      return Duration.zero;
    }
    const sendAt = this.nextUrgentAt === null || this.nextUrgentAt < now ? now : this.nextUrgentAt;
    if (hasElapsed(sendAt, now, maxWait)) return null;
    this.nextUrgentAt = plus(
      sendAt,
      Duration.millis((count / this.tokensPerSecond / PACED_RATE_SHARE) * 1000),
    );
    return Duration.millis(sendAt - now);
  }

  /** Takes `count` if it may; otherwise says how long to wait before asking again. */
  take(now: Instant, count = 1): Duration.Duration {
    this.refill(now);
    if (this.closedUntil !== null && now < this.closedUntil) return Duration.millis(this.closedUntil - now);
    const needed = Math.min(count, this.burst);
    if (this.tokens >= needed) {
      this.tokens -= count;
      return Duration.zero;
    }
    return Duration.millis(Math.ceil(((needed - this.tokens) / this.tokensPerSecond) * 1000) + 1);
  }

  /** The other side said 429: nothing more for a while. */
  recordRefusal(now: Instant, span: Duration.Duration): void {
    this.refusedAt = now;
    this.tokens = Math.min(this.tokens, 0);
    this.closedUntil = plus(now, span);
  }
}
