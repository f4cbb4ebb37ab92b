/**
 * Time inside the core. Durations are effect's Duration; a moment is an Instant on this process's steady
 * clock. Node 20 has no such type (only the wall clock's Date), so this is its nearest kin: milliseconds
 * since an arbitrary start, branded so that it can't be mixed up with a plain number.
 */
import * as Duration from "effect/Duration";

export type Instant = number & { readonly Instant: unique symbol };

export const instant = (ms: number): Instant => ms as Instant;
export const plus = (at: Instant, by: Duration.Duration): Instant => (at + Duration.toMillis(by)) as Instant;
export const minus = (at: Instant, by: Duration.Duration): Instant => (at - Duration.toMillis(by)) as Instant;
/** Whether at least `span` has passed from `earlier` to `now`. */
export const hasElapsed = (now: Instant, earlier: Instant, span: Duration.Duration): boolean =>
  now - earlier >= Duration.toMillis(span);

/** The steady clocks of two machines drift apart by as much as 0.05%; we allow four times that. */
export const CLOCK_DRIFT = 0.002;
export const withClockDrift = (span: Duration.Duration): Duration.Duration =>
  Duration.millis(Duration.toMillis(span) * (1 + CLOCK_DRIFT));
