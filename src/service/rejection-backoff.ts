/**
 * Records that the state service rejects as they are (400: too large, for instance). The same record gets the same
 * answer, so it is tried again ever more rarely, and logged now and then.
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { Backoff } from "../core/rates/backoff.js";
import { type Instant, hasElapsed } from "../core/time.js";
import { now } from "../io/clock.js";
import type { Log } from "../io/log.js";
import type { CommitResult } from "../io/state-client.js";

/** Rejections of one kind of record are logged this often at most. */
const LOG_INTERVAL = Duration.seconds(10);

/** Growing pauses by kind of record, and by id where one kind has many records. */
export class RejectionBackoff {
  private readonly backoffs = new Map<string, Backoff>();
  private readonly loggedAt = new Map<string, Instant>();

  constructor(private readonly log: Log) {}

  /**
   * A record was rejected. Logs it, and says how long to wait before the next attempt. `id`: one of many records of
   * that kind, with pauses of its own.
   */
  noteRejection(kind: string, error: string, id = ""): Duration.Duration {
    const last = this.loggedAt.get(kind);
    if (last === undefined || hasElapsed(now(), last, LOG_INTERVAL)) {
      this.loggedAt.set(kind, now());
      this.log.warn({ kind, id, reason: error }, "record rejected by the state service");
    }
    const key = `${kind} ${id}`;
    let backoff = this.backoffs.get(key);
    if (backoff === undefined) this.backoffs.set(key, (backoff = new Backoff()));
    return backoff.refused();
  }

  /** A record was accepted: its next rejection counts as the first. */
  reset(kind: string, id = ""): void {
    this.backoffs.delete(`${kind} ${id}`);
  }

  /** Waits after a rejection, and not at all after any other answer. For loops that would send the record again. */
  sleepIfRejected(kind: string, result: CommitResult): Effect.Effect<void> {
    if (result.ok === null) return Effect.sleep(this.noteRejection(kind, result.error));
    this.reset(kind);
    return Effect.void;
  }
}
