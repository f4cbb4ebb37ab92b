/** A coalescing wake-up call for loops: many calls of `notify` before the next `wait` count as one. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";

/** Wakes the one loop that waits for it; a notification while nobody waits is kept for the next wait. */
export class Signal {
  private notified = false;
  private wakeWaiter: (() => void) | null = null;

  /** Ends the wait under way, or else the next one at once. */
  notify(): void {
    this.notified = true;
    this.wakeWaiter?.();
  }

  /** Ends at the next notification, or after `timeout`. One waiter at a time. */
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
