/** Job commits: the record that makes a job done for ever, once the scheduler knows all of its tasks finished (S7). */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { type CommitRecord, keys } from "../../core/records.js";
import type { CommitResult, StateError } from "../../io/state-client.js";
import type { Leadership } from "../members/membership.js";
import { LEADER_WRITE_ADMISSION_TIMEOUT } from "./leader-write-timeout.js";
import type { LeaderContext } from "./leader-context.js";
import type { ProgressReporter } from "./progress-reporter.js";

const RETRY_PAUSE = Duration.millis(250);

/** Creates commit records and tells the scheduler of those that couldn't be created. */
export class JobCommitter {
  constructor(
    private readonly context: LeaderContext,
    private readonly progress: ProgressReporter,
  ) {}

  /** Commits a job as done; the scheduler decides on it anew if that fails. */
  commit(id: string, tasks: number): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const { leadership } = this.context.services.membership;
      if (leadership === null) return;
      yield* this.handleResult(id, tasks, yield* this.write(id, tasks, leadership));
    }).pipe(Effect.catchAll((error) => this.handleFailure(id, error)));
  }

  private write(id: string, tasks: number, leadership: Leadership): Effect.Effect<CommitResult, StateError> {
    const { state, jobCache } = this.context.services;
    const record: CommitRecord = { outcome: "done", tasks };
    return state.commit(
      [
        { key: keys.commit(id), revision: 0 },
        { key: keys.leader, revision: leadership.revision },
      ],
      [
        { put: keys.commit(id), value: record },
        { delete: keys.job(id) },
        // a child deletes its fan-in set once it commits
        ...(jobCache.fanins.has(id) ? [{ delete: keys.fanin(id) }] : []),
      ],
      "first",
      LEADER_WRITE_ADMISSION_TIMEOUT,
    );
  }

  private handleResult(id: string, tasks: number, result: CommitResult): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const { rejections } = this.context;
      const { jobCache, log, member } = this.context.services;
      if (result.ok === null) yield* Effect.sleep(rejections.rejected("commit of a job", result.error, id));
      else rejections.accepted("commit of a job", id);
      if (result.ok === true) {
        log.info({ job: id, termNumber: this.context.termNumber }, "done");
        this.progress.finished(id, tasks);
        member.onDone(id, tasks);
        return;
      }
      // a commit that exists is the outcome for ever, whichever it is
      if (result.ok === false && result.failed.includes(keys.commit(id))) jobCache.remove(id);
      else this.context.schedulerLock?.with((scheduler) => scheduler.commitFailed(id));
    });
  }

  private handleFailure(id: string, error: StateError): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      this.context.services.log.info({ job: id, reason: error.reason }, "commit delayed");
      yield* Effect.sleep(RETRY_PAUSE);
      this.context.schedulerLock?.with((scheduler) => scheduler.commitFailed(id));
      this.context.stepRequested.notify();
    });
  }
}
