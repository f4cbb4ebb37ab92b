/** A node's share of a rate that all nodes have together: a token bucket without a clock of its own. */
import * as Duration from "effect/Duration";
import { type Instant, hasElapsed, plus } from "../time.js";

/** For how long after a refusal urgent requests keep to the rate as well. */
const PACING_TIME = Duration.seconds(2);
/** They keep a little below the rate, or what others write in between would have them refused again. */
const PACED_SHARE = 0.9;
/** How long each may wait for its turn. */
const MAX_TURN_WAIT = Duration.seconds(1);

/** Tokens come in at a steady rate and pile up to a burst; each request or change takes one. */
export class RateLimiter {
  private tokens: number;
  private filledAt: Instant | null = null;
  private closedUntil: Instant | null = null;
  private refusedAt: Instant | null = null;
  private nextTurnAt: Instant | null = null;

  constructor(
    /** Tokens that come in a second. */
    private perSecond: number,
    /** How many tokens pile up at most. */
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
    if (this.filledAt !== null)
      this.tokens = Math.min(this.burst, this.tokens + ((now - this.filledAt) / 1000) * this.perSecond);
    this.filledAt = now;
  }

  /** Takes at once, going into debt: for renewals and commits. */
  takeFirst(now: Instant, count = 1): void {
    this.fill(now);
    this.tokens = Math.max(this.tokens - count, -this.burst);
  }

  /**
   * How long an urgent one waits before it goes. Usually not at all; but after a refusal all of them at once, each
   * trying again, would only be refused again. null: too many wait, so it isn't worth being sent.
   */
  turn(now: Instant, count: number, maxWait = MAX_TURN_WAIT): Duration.Duration | null {
    const isRecent = (at: Instant | null): boolean => at !== null && !hasElapsed(now, at, PACING_TIME);
    // also while others wait: they would all go together
    if (!isRecent(this.refusedAt) && !isRecent(this.nextTurnAt)) {
      this.nextTurnAt = null;
      return Duration.zero;
    }
    const turnAt = this.nextTurnAt === null || this.nextTurnAt < now ? now : this.nextTurnAt;
    if (hasElapsed(turnAt, now, maxWait)) return null;
    this.nextTurnAt = plus(turnAt, Duration.millis((count / this.perSecond / PACED_SHARE) * 1000));
    return Duration.millis(turnAt - now);
  }

  /** Takes `count` if it may; otherwise says how long to wait before asking again. */
  take(now: Instant, count = 1): Duration.Duration {
    this.fill(now);
    if (this.closedUntil !== null && now < this.closedUntil) return Duration.millis(this.closedUntil - now);
    const needed = Math.min(count, this.burst);
    if (this.tokens >= needed) {
      this.tokens -= count;
      return Duration.zero;
    }
    return Duration.millis(Math.ceil(((needed - this.tokens) / this.perSecond) * 1000) + 1);
  }

  /** The other side said 429: nothing more for a while. */
  refused(now: Instant, span: Duration.Duration): void {
    this.refusedAt = now;
    this.tokens = Math.min(this.tokens, 0);
    this.closedUntil = plus(now, span);
  }
}
