/** Answers that state a job's status: to status queries, repeated submissions and refused submissions. */
import * as Effect from "effect/Effect";
import { jobAnswer, jobStatusAnswer, type UserJobState } from "../../io/codec.js";
import type { StateError } from "../../io/state-client.js";
import { type Answer, answer, refusal, retryLater } from "./answers.js";
import type { JobStatusReader } from "./job-status.js";
import type { JobStatus, TooManyQueries } from "./status-types.js";

/** How many tasks of an unfinished job are done and running. For display only, since it may lag behind. */
export interface TaskCounts {
  readonly done: number;
  readonly running: number;
}

/** Why a status query failed; the user should send it again. */
export type StatusQueryFailure = StateError | TooManyQueries;

type AcceptedStatus = Exclude<JobStatus, { kind: "absent" }>;

/** Answers from a job's status in the state service at some moment after the request came in. */
export class StatusQueries {
  /** `taskCounts` gives the counts that the leader last reported for an unfinished job. */
  constructor(
    private readonly reader: JobStatusReader,
    private readonly taskCounts: (id: string) => TaskCounts,
  ) {}

  /** The answer to a user's status query; 404 if the job was never accepted. */
  answerQuery(id: string): Effect.Effect<Answer, StatusQueryFailure> {
    return Effect.map(this.reader.statusOf(id), (status) => {
      if (status.kind === "absent") return refusal(404, "no such run");
      const { done, running } = this.countsOf(id, status);
      return answer(200, jobStatusAnswer(id, this.userStateOf(id, status), done, running));
    });
  }

  /** The answer to a submission of a job that seems to have been accepted before. */
  answerRepeatedSubmission(id: string): Effect.Effect<Answer, StatusQueryFailure> {
    return this.refuseUnlessAccepted(id, retryLater("not decided"));
  }

  /**
   * Answers a submission with `refused`, unless the job was accepted before: a repeated submission is never refused,
   * even if its content has changed, and gets the job's state.
   */
  refuseUnlessAccepted(id: string, refused: Answer): Effect.Effect<Answer, StatusQueryFailure> {
    return Effect.map(this.reader.statusOf(id), (status) =>
      status.kind === "absent" ? refused : answer(200, jobAnswer(id, this.userStateOf(id, status))),
    );
  }

  private userStateOf(id: string, status: AcceptedStatus): UserJobState {
    if (status.kind === "final") return status.commit.outcome;
    const { done, running } = this.taskCounts(id);
    return done > 0 || running > 0 ? "running" : "queued";
  }

  private countsOf(id: string, status: AcceptedStatus): TaskCounts {
    if (status.kind === "open") return this.taskCounts(id);
    return { done: status.commit.outcome === "done" ? status.commit.tasks : 0, running: 0 };
  }
}
