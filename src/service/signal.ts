/** A coalescing wake-up signal for loops: any number of `notify` calls before the next `wait` count as one. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";

/** Wakes the one loop that waits on it. A notification that comes while nothing waits ends the next wait at once. */
export class Signal {
  private notified = false;
  private wakeWaiter: (() => void) | null = null;

  /** Ends the current wait, or else the next one. */
  notify(): void {
    this.notified = true;
    this.wakeWaiter?.();
  }

  /** Waits for a notification or until `timeout` has passed. Only one wait at a time is allowed. */
  wait(timeout: Duration.Duration): Effect.Effect<void> {
    return Effect.async((resume: (result: Effect.Effect<void>) => void) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.wakeWaiter = null;
        this.notified = false;
        resume(Effect.void);
      };
      const timer = setTimeout(finish, Duration.toMillis(timeout));
      if (this.notified) finish();
      else this.wakeWaiter = finish;
      return Effect.sync(() => {
        clearTimeout(timer);
        this.wakeWaiter = null;
      });
    });
  }
}
