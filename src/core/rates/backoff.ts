/** Growing pauses between attempts that keep being refused for good reason: the same request gets the same answer. */
import * as Duration from "effect/Duration";

const FIRST = Duration.millis(250);
const LONGEST = Duration.seconds(30);

export class Backoff {
  private refusals = 0;

  /** How long to wait before the next attempt. */
  refused(): Duration.Duration {
    return Duration.min(LONGEST, Duration.times(FIRST, 2 ** Math.min(this.refusals++, 20)));
  }

  accepted(): void {
    this.refusals = 0;
  }
}
