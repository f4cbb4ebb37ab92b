/** The steady clock as the core's Instant. */
import { performance } from "node:perf_hooks";
import { type Instant, instant } from "../core/time.js";

export const now = (): Instant => instant(performance.now());
