/** Token bucket for one node's share of a rate that all nodes share. Has no clock: callers pass the time. */
import * as Duration from "effect/Duration";
import { type Instant, hasElapsed, plus } from "../time.js";

/** For how long after a refusal urgent requests are paced as well. */
const PACING_AFTER_REFUSAL = Duration.seconds(2);
/** Share of the rate at which urgent requests are paced: other requests in between would cause further refusals. */
const PACED_RATE_SHARE = 0.9;
/** Longest time that an urgent request may be delayed. */
const MAX_URGENT_DELAY = Duration.seconds(1);

/** Tokens are added at a constant rate up to a maximum, the burst; each request or change takes one. */
export class RateLimiter {
  private tokens: number;
  private refilledAt: Instant | null = null;
  private closedUntil: Instant | null = null;
  private refusedAt: Instant | null = null;
  private nextUrgentAt: Instant | null = null;

  constructor(
    /** Tokens added per second. */
    private tokensPerSecond: number,
    /** Most tokens in the bucket. */
    private burst = Math.max(1, tokensPerSecond),
  ) {
    this.tokens = this.burst;
  }

  /** Changes the rate from now on; the burst follows it. */
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

  /** Takes tokens without waiting, if need be into debt: for urgent requests such as renewals and commits. */
  takeUrgent(now: Instant, count = 1): void {
    this.refill(now);
    this.tokens = Math.max(this.tokens - count, -this.burst);
  }

  /**
   * How long an urgent request has to wait before it is sent; null: longer than `maxWait`, so it shouldn't be sent.
   * Usually there is no wait. After a refusal urgent requests are sent one after the other: all at once they would be
   * refused again.
   */
  urgentDelay(now: Instant, count: number, maxWait = MAX_URGENT_DELAY): Duration.Duration | null {
    const isRecent = (at: Instant | null): boolean =>
      at !== null && !hasElapsed(now, at, PACING_AFTER_REFUSAL);
    // pacing goes on while others wait for their turn: otherwise this one would be sent together with them
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

  /** Takes `count` tokens and returns zero, or, if there are too few, returns how long to wait before the next try. */
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

  /** Records a 429 from the other side: no tokens are given out for `span`. */
  recordRefusal(now: Instant, span: Duration.Duration): void {
    this.refusedAt = now;
    this.tokens = Math.min(this.tokens, 0);
    this.closedUntil = plus(now, span);
  }
}
