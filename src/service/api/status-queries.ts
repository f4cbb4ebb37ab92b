/** What users are told of the jobs that they ask about, submit again, or submit in vain. */
import * as Effect from "effect/Effect";
import { jobAnswer, jobStatusAnswer, type UserJobState } from "../../io/codec.js";
import type { StateError } from "../../io/state-client.js";
import { type Answer, answer, refusal, retryLater } from "./answers.js";
import type { JobStatusReader } from "./job-status.js";
import type { JobStatus, TooManyQueries } from "./status-types.js";

/** How many tasks of an unfinished job are done and running. For display: it may lag. */
export interface TaskCounts {
  readonly done: number;
  readonly running: number;
}

/** Why a question got no answer; the user asks again. */
export type StatusQueryFailure = StateError | TooManyQueries;

type AcceptedStatus = Exclude<JobStatus, { kind: "absent" }>;

/** Answers that rest on a job's status as the state service has it after the request came. */
export class StatusQueries {
  /** `taskCounts`: what the leader last said of an unfinished job's tasks. */
  constructor(
    private readonly reader: JobStatusReader,
    private readonly taskCounts: (id: string) => TaskCounts,
  ) {}

  /** The answer to a user's question for a job; 404: it was never accepted. */
  answerQuery(id: string): Effect.Effect<Answer, StatusQueryFailure> {
    return Effect.map(this.reader.statusOf(id), (status) => {
      if (status.kind === "absent") return refusal(404, "no such run");
      const { done, running } = this.countsOf(id, status);
      return answer(200, jobStatusAnswer(id, this.userStateOf(id, status), done, running));
    });
  }

  /** The answer to a submission of a job that seems to be known already. */
  answerRepeatedSubmission(id: string): Effect.Effect<Answer, StatusQueryFailure> {
    return this.refuseUnlessAccepted(id, retryLater("not decided"));
  }

  /** Refuses a submission. A repeat of an accepted job is never refused: it gets the job's state, whatever it says now. */
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
