/** The monotonic clock of this process, and conversion of times of day to it. */
import { performance } from "node:perf_hooks";
import { type Instant, instant } from "../core/time.js";

/** The current time on the monotonic clock of this process. */
export const now = (): Instant => instant(performance.now());

/** Converts a time of day to the monotonic clock: approximately, since the wall clocks of the nodes differ a little. */
export const instantOfDate = (then: Date): Instant =>
  instant(performance.now() - Math.max(0, Date.now() - then.getTime()));
