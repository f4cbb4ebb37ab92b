/** A coalescing wake-up call for loops: many `poke`s before the next `wait` count as one. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";

export class Signal {
  private set = false;
  private waiter: (() => void) | null = null;

  notify(): void {
    this.set = true;
    this.waiter?.();
  }

  /** Ends at the next poke, or after `most`. One waiter at a time. */
  wait(most: Duration.Duration): Effect.Effect<void> {
    return Effect.async((resume: (result: Effect.Effect<void>) => void) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.waiter = null;
        this.set = false;
        resume(Effect.void);
      };
      const timer = setTimeout(finish, Duration.toMillis(most));
      if (this.set) finish();
      else this.waiter = finish;
      return Effect.sync(() => {
        clearTimeout(timer);
        this.waiter = null;
      });
    });
  }
}
