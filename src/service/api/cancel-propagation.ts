/** Cancels of blocked jobs because a job that they depend on was cancelled. */
import * as Effect from "effect/Effect";
import { type CommitRecord, keys } from "../../core/records.js";
import { type Instant, plus } from "../../core/time.js";
import { now } from "../../io/clock.js";
import type { Log } from "../../io/log.js";
import { type StateClient, type StateError, Unavailable } from "../../io/state-client.js";
import type { JobCache } from "../job-cache.js";
import { RejectionBackoff } from "../rejection-backoff.js";
import type { KnownOutcomes } from "./known-outcomes.js";

const WRITE_KIND = "passed-on cancel";

/** Writes these cancels; one that the state service refuses is repeated ever more rarely. */
export class CancelPropagation {
  /** Blocked jobs whose cancel the state service refused, and until when it isn't tried again. */
  private readonly retryNotBefore = new Map<string, Instant>();
  private readonly rejections: RejectionBackoff;

  /** Commits that it writes go to `outcomes` and leave the `jobCache`. */
  constructor(
    private readonly state: StateClient,
    private readonly jobCache: JobCache,
    private readonly outcomes: KnownOutcomes,
    log: Log,
  ) {
    this.rejections = new RejectionBackoff(log);
  }

  /**
   * Passes a parent's outcome on: this blocked job is cancelled as well. It can't have been released, since all parents
   * have to be done for that, so the only commit that it may have already says the same.
   */
  cancelBlocked(id: string, tasks: number): Effect.Effect<CommitRecord, StateError> {
    return Effect.gen(this, function* () {
      const commit: CommitRecord = { outcome: "cancelled", tasks };
      // the same write would be refused again: neither the leader's rounds nor each question of a user may repeat it
      if (now() < (this.retryNotBefore.get(id) ?? 0))
        return yield* new Unavailable({ reason: "its cancel was refused a moment ago" });
      const result = yield* this.state.commit(
        [{ key: keys.commit(id), revision: 0 }],
        [
          { put: keys.commit(id), value: commit },
          { delete: keys.blockedJob(id) },
          { delete: keys.fanin(id) },
        ],
      );
      if (result.ok === null) {
        this.retryNotBefore.set(id, plus(now(), this.rejections.rejected(WRITE_KIND, result.error, id)));
        return yield* new Unavailable({ reason: result.error });
      }
      this.rejections.accepted(WRITE_KIND, id);
      this.retryNotBefore.delete(id);
      this.outcomes.remember(id, commit);
      this.jobCache.remove(id);
      return commit;
    });
  }
}
