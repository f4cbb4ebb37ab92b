/** What the state service refuses as it is (400): said now and then, and tried again ever more rarely. */
import * as Duration from "effect/Duration";
import { Backoff } from "../core/rates/backoff.js";
import { type Instant, hasElapsed } from "../core/time.js";
import { now } from "../io/clock.js";
import type { Log } from "../io/log.js";

const LOG_EVERY = Duration.seconds(10);

export class RejectionBackoff {
  private readonly backoffs = new Map<string, Backoff>();
  private readonly logged = new Map<string, Instant>();

  constructor(private readonly log: Log) {}

  /** Logs it, and says how long to wait. `id`: one of many of that kind, with pauses of its own. */
  refused(what: string, error: string, id = ""): Duration.Duration {
    const last = this.logged.get(what);
    if (last === undefined || hasElapsed(now(), last, LOG_EVERY)) {
      this.logged.set(what, now());
      this.log.warn({ what, id, error }, "refused by the state service");
    }
    const key = `${what} ${id}`;
    let backoff = this.backoffs.get(key);
    if (backoff === undefined) this.backoffs.set(key, (backoff = new Backoff()));
    return backoff.refused();
  }

  accepted(what: string, id = ""): void {
    this.backoffs.delete(`${what} ${id}`);
  }
}
