/**
 * Backoff for writes that the state service rejects with 400, for instance because a record is too large. The same
 * write would be rejected again, so it is retried with growing pauses, and logged at a limited rate.
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { Backoff } from "../core/rates/backoff.js";
import { type Instant, hasElapsed } from "../core/time.js";
import { now } from "../io/clock.js";
import type { Log } from "../io/log.js";
import type { CommitResult } from "../io/state-client.js";

/** The shortest time between two log lines about one kind of write. */
const LOG_INTERVAL = Duration.seconds(10);

/** Keeps a backoff for each kind of write, and for each id where one kind writes many records. */
export class RejectionBackoff {
  private readonly backoffs = new Map<string, Backoff>();
  private readonly loggedAt = new Map<string, Instant>();

  constructor(private readonly log: Log) {}

  /**
   * Notes a rejection, logs it, and gives the time to wait before the next attempt. With `id`, the record has a
   * backoff of its own among those of its kind.
   */
  noteRejection(kind: string, error: string, id = ""): Duration.Duration {
    const last = this.loggedAt.get(kind);
    if (last === undefined || hasElapsed(now(), last, LOG_INTERVAL)) {
      this.loggedAt.set(kind, now());
      this.log.warn({ kind, id, reason: error }, "write rejected by the state service");
    }
    const key = `${kind} ${id}`;
    let backoff = this.backoffs.get(key);
    if (backoff === undefined) this.backoffs.set(key, (backoff = new Backoff()));
    return backoff.pauseAfterRefusal();
  }

  /** Resets the backoff of a write, after it was accepted. */
  reset(kind: string, id = ""): void {
    this.backoffs.delete(`${kind} ${id}`);
  }

  /** Waits if the result is a rejection, for loops that would otherwise send the same write again at once. */
  sleepIfRejected(kind: string, result: CommitResult): Effect.Effect<void> {
    if (result.ok === null) return Effect.sleep(this.noteRejection(kind, result.error));
    this.reset(kind);
    return Effect.void;
  }
}
