/**
 * Time inside the core. Spans are effect's `Duration`; points in time are `Instant`s on this process's monotonic clock.
 * Node 20 has no type for these (`Date` is wall-clock time), so an `Instant` is a branded number: milliseconds since an
 * arbitrary start, which can't be confused with a plain number.
 */
import * as Duration from "effect/Duration";

/** A point in time on this process's monotonic clock, in milliseconds since an arbitrary start. */
export type Instant = number & { readonly Instant: unique symbol };

/** Converts a reading of the monotonic clock, in milliseconds; there is no other conversion. */
export const instant = (ms: number): Instant => ms as Instant;
/** The instant `by` later. */
export const plus = (at: Instant, by: Duration.Duration): Instant => instant(at + Duration.toMillis(by));
/** The instant `by` earlier. */
export const minus = (at: Instant, by: Duration.Duration): Instant => instant(at - Duration.toMillis(by));
/** Whether at least `span` has passed from `earlier` to `now`. */
export const hasElapsed = (now: Instant, earlier: Instant, span: Duration.Duration): boolean =>
  now - earlier >= Duration.toMillis(span);

/** Monotonic clocks of two machines drift apart by up to 0.05%; four times that is allowed for. */
export const MAX_CLOCK_DRIFT_RATIO = 0.002;
/** The most that a span on one machine's clock may last on another machine's. */
export const withClockDrift = (span: Duration.Duration): Duration.Duration =>
  Duration.millis(Duration.toMillis(span) * (1 + MAX_CLOCK_DRIFT_RATIO));
