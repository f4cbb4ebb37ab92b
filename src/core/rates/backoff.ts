/** Exponential backoff for requests that are refused for a lasting reason, so that an early retry is refused too. */
import * as Duration from "effect/Duration";

const FIRST_PAUSE = Duration.millis(250);
const LONGEST_PAUSE = Duration.seconds(30);
/** Keeps the power of two finite; the longest pause is reached long before. */
const MAX_DOUBLINGS = 20;

/** The pauses of one request: 250 ms after the first refusal, doubled after each further one, 30 s at most. */
export class Backoff {
  private refusals = 0;

  /** Counts a refusal; returns how long to wait before the next attempt. */
  pauseAfterRefusal(): Duration.Duration {
    return Duration.min(
      LONGEST_PAUSE,
      Duration.times(FIRST_PAUSE, 2 ** Math.min(this.refusals++, MAX_DOUBLINGS)),
    );
  }

  /** After the request was accepted: the pauses begin at the shortest again. */
  reset(): void {
    this.refusals = 0;
  }
}
