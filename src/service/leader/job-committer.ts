/** Commits jobs: creates the record that makes a job permanently done, once all of its tasks have finished (S7). */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { type CommitRecord, keys } from "../../core/records.js";
import type { CommitResult, StateError } from "../../io/state-client.js";
import type { Leadership } from "../members/membership.js";
import { LEADER_WRITE_ADMISSION_TIMEOUT } from "./leader-write-timeout.js";
import type { LeaderContext } from "./leader-context.js";
import type { ProgressReporter } from "./progress-reporter.js";

const RETRY_PAUSE = Duration.millis(250);

/** Creates commit records and tells the scheduler which ones failed. */
export class JobCommitter {
  constructor(
    private readonly context: LeaderContext,
    private readonly progress: ProgressReporter,
  ) {}

  /** Commits a job as done; if that fails, the scheduler decides on the job again. */
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
        // a committed job no longer needs its fan-in set
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
      if (result.ok === null)
        yield* Effect.sleep(rejections.noteRejection("commit record", result.error, id));
      else rejections.reset("commit record", id);
      if (result.ok === true) {
        log.info({ job: id, termNumber: this.context.termNumber }, "job done");
        this.progress.recordDone(id, tasks);
        member.onDone(id, tasks);
        return;
      }
      // an existing commit record is the job's final outcome, whichever that is
      if (result.ok === false && result.failed.includes(keys.commit(id))) jobCache.remove(id);
      else this.context.schedulerLock?.with((scheduler) => scheduler.commitFailed(id));
    });
  }

  private handleFailure(id: string, error: StateError): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      this.context.services.log.info({ job: id, reason: error.reason }, "commit of the job failed, retrying");
      yield* Effect.sleep(RETRY_PAUSE);
      this.context.schedulerLock?.with((scheduler) => scheduler.commitFailed(id));
      this.context.stepRequested.notify();
    });
  }
}
