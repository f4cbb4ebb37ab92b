/**
 * Time inside the core. Durations are effect's Duration; a moment is an Instant on this process's steady
 * clock. Node 20 has no such type (only the wall clock's Date), so this is its nearest kin: milliseconds
 * since an arbitrary start, branded so that it can't be mixed up with a plain number.
 */
import * as Duration from "effect/Duration";

/** A moment on this process's steady clock, in milliseconds. */
export type Instant = number & { readonly Instant: unique symbol };

/** The one place where a plain number of milliseconds becomes a moment. */
export const instant = (ms: number): Instant => ms as Instant;
/** The moment that is later by a duration. */
export const plus = (at: Instant, by: Duration.Duration): Instant => instant(at + Duration.toMillis(by));
/** The moment that is earlier by a duration. */
export const minus = (at: Instant, by: Duration.Duration): Instant => instant(at - Duration.toMillis(by));
/** Whether at least `span` has passed from `earlier` to `now`. */
export const hasElapsed = (now: Instant, earlier: Instant, span: Duration.Duration): boolean =>
  now - earlier >= Duration.toMillis(span);

/** The steady clocks of two machines drift apart by as much as 0.05%; we allow four times that. */
export const MAX_CLOCK_DRIFT_RATIO = 0.002;
/** What a span on one machine's clock may be at most on another's. */
export const withClockDrift = (span: Duration.Duration): Duration.Duration =>
  Duration.millis(Duration.toMillis(span) * (1 + MAX_CLOCK_DRIFT_RATIO));
