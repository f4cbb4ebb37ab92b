/** Growing pauses between attempts that keep being refused for good reason: the same request gets the same answer. */
import * as Duration from "effect/Duration";

const FIRST_PAUSE = Duration.millis(250);
const LONGEST_PAUSE = Duration.seconds(30);
/** By then the longest pause is long reached. */
const MAX_DOUBLINGS = 20;

/** The pauses of one request: 250 ms after the first refusal, twice as long after each that follows, 30 s at most. */
export class Backoff {
  private refusals = 0;

  /** It was refused: how long to wait before the next attempt. */
  pauseAfterRefusal(): Duration.Duration {
    return Duration.min(
      LONGEST_PAUSE,
      Duration.times(FIRST_PAUSE, 2 ** Math.min(this.refusals++, MAX_DOUBLINGS)),
    );
  }

  /** It was accepted: the next refusal counts as the first. */
  reset(): void {
    this.refusals = 0;
  }
}
