/** Cancels blocked jobs when a job that they depend on has been cancelled. */
import * as Effect from "effect/Effect";
import { type CommitRecord, keys } from "../../core/records.js";
import { type Instant, plus } from "../../core/time.js";
import { now } from "../../io/clock.js";
import type { Log } from "../../io/log.js";
import { type StateClient, type StateError, Unavailable } from "../../io/state-client.js";
import type { JobCache } from "../job-cache.js";
import { RejectionBackoff } from "../rejection-backoff.js";
import type { KnownOutcomes } from "./known-outcomes.js";

const WRITE_KIND = "propagated cancel";

/** Writes the cancels, and retries with growing pauses those that the state service rejects. */
export class CancelPropagation {
  /** Blocked jobs whose cancel the state service rejected, and the time before which it isn't retried. */
  private readonly retryNotBefore = new Map<string, Instant>();
  private readonly rejections: RejectionBackoff;

  /** A job whose commit is written here is added to `outcomes` and removed from `jobCache`. */
  constructor(
    private readonly state: StateClient,
    private readonly jobCache: JobCache,
    private readonly outcomes: KnownOutcomes,
    log: Log,
  ) {
    this.rejections = new RejectionBackoff(log);
  }

  /**
   * Cancels a blocked job because one of its ancestors was cancelled. The job can't have been released, since that
   * requires all parents to be done; so if it already has a commit, that commit is a cancel too.
   */
  cancelBlocked(id: string, tasks: number): Effect.Effect<CommitRecord, StateError> {
    return Effect.gen(this, function* () {
      const commit: CommitRecord = { outcome: "cancelled", tasks };
      // the same write would be rejected again: neither the leader's steps nor users' queries may repeat it early
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
        this.retryNotBefore.set(id, plus(now(), this.rejections.noteRejection(WRITE_KIND, result.error, id)));
        return yield* new Unavailable({ reason: result.error });
      }
      this.rejections.reset(WRITE_KIND, id);
      this.retryNotBefore.delete(id);
      this.outcomes.remember(id, commit);
      this.jobCache.remove(id);
      return commit;
    });
  }
}
