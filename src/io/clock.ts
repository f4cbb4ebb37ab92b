/** The steady clock as the core's Instant; and what a time of day means on it. */
import { performance } from "node:perf_hooks";
import { type Instant, instant } from "../core/time.js";

/** The present on the steady clock of this process. */
export const now = (): Instant => instant(performance.now());

/** When something happened that another node's time of day tells: about, as the nodes' times of day differ a little. */
export const instantOfDate = (then: Date): Instant =>
  instant(performance.now() - Math.max(0, Date.now() - then.getTime()));
