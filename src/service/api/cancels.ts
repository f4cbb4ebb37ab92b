/** Cancels of jobs by users. A cancel creates the job's commit record; the first commit is final. */
import * as Effect from "effect/Effect";
import { type CommitRecord, keys } from "../../core/records.js";
import { type Change, jobAnswer } from "../../io/codec.js";
import type { Log } from "../../io/log.js";
import type { CommitResult, StateClient, StateError } from "../../io/state-client.js";
import type { JobCache } from "../job-cache.js";
import { type Answer, answer, refusal, retryLater } from "./answers.js";
import type { JobStatusReader } from "./job-status.js";
import type { JobStatus } from "./status-types.js";
import { commitForUser } from "./user-writes.js";

/** A job may be released or end while its cancel is being written; its status is then read again. */
const MAX_TRIES = 3;

type OpenStatus = Extract<JobStatus, { kind: "open" }>;

/** Handles users' cancel requests. */
export class CancelHandler {
  /** A job whose commit is written here is remembered by `reader` and removed from `jobCache`. */
  constructor(
    private readonly state: StateClient,
    private readonly jobCache: JobCache,
    private readonly reader: JobStatusReader,
    private readonly log: Log,
  ) {}

  /** Cancels a job unless it has ended, and answers with its outcome; 404 if it was never accepted. */
  cancel(id: string): Effect.Effect<Answer, StateError> {
    return Effect.gen(this, function* () {
      for (let tries = 0; tries < MAX_TRIES; tries++) {
        const status = yield* this.reader.read(id);
        if (status.kind === "absent") return refusal(404, "no such run");
        if (status.kind === "final") return answer(200, jobAnswer(id, status.commit.outcome));
        const commit: CommitRecord = { outcome: "cancelled", tasks: status.tasks };
        const result = yield* this.write(id, status, commit);
        if (result.ok === true) {
          this.reader.remember(id, commit);
          this.jobCache.remove(id);
          this.log.info({ job: id }, "job cancelled by a user");
          return answer(200, jobAnswer(id, "cancelled"));
        }
        if (result.ok === null) {
          this.log.warn({ job: id, reason: result.error }, "cancel rejected by the state service");
          break;
        }
      }
      return retryLater("not decided");
    });
  }

  private write(
    id: string,
    status: OpenStatus,
    commit: CommitRecord,
  ): Effect.Effect<CommitResult, StateError> {
    const recordKey = status.blocked ? keys.blockedJob(id) : keys.job(id);
    const hasFanin = status.blocked || this.jobCache.fanins.has(id);
    const deleteFanin: Change[] = hasFanin ? [{ delete: keys.fanin(id) }] : [];
    return commitForUser(
      this.state,
      [
        { key: keys.commit(id), revision: 0 },
        { key: recordKey, revision: status.revision },
      ],
      [{ put: keys.commit(id), value: commit }, { delete: recordKey }, ...deleteFanin],
    );
  }
}
