/** Submissions: checks them, and accepts the jobs that depend on no other. */
import * as Effect from "effect/Effect";
import { unschedulableReason } from "../../core/placement/admission.js";
import { keys } from "../../core/records.js";
import { jobAnswer, encodeJobRecord, parseSubmission, type Submission } from "../../io/codec.js";
import type { Log } from "../../io/log.js";
import type { StateClient } from "../../io/state-client.js";
import type { JobCache } from "../job-cache.js";
import {
  recordRejectedAnswer,
  newJobConditions,
  isTooLarge,
  logAccepted,
  type SubmissionLimits,
  RECORD_TOO_LARGE_ANSWER,
} from "./job-acceptance.js";
import { type Answer, answer, refusal, retryLater } from "./answers.js";
import type { DependentSubmissionHandler } from "./dependent-submissions.js";
import type { StatusQueryFailure, StatusQueries } from "./status-queries.js";
import { commitForUser } from "./user-writes.js";

/** Handles submissions. Users repeat a submission until it gets a final answer. */
export class SubmissionHandler {
  /** Jobs that depend on others are handed to `dependentSubmissions` after the checks. */
  constructor(
    private readonly limits: SubmissionLimits,
    private readonly state: StateClient,
    private readonly jobCache: JobCache,
    private readonly statusQueries: StatusQueries,
    private readonly dependentSubmissions: DependentSubmissionHandler,
    private readonly log: Log,
  ) {}

  /** Accepts a new job, answers with the state of a known one, or refuses one that can never run. */
  submit(body: string): Effect.Effect<Answer, StatusQueryFailure> {
    return Effect.gen(this, function* () {
      const parsed = parseSubmission(body);
      if (typeof parsed === "string") return refusal(400, parsed);
      const { wire, spec } = parsed;
      if (this.jobCache.isUnfinished(spec.id))
        return yield* this.statusQueries.answerRepeatedSubmission(spec.id);
      if (this.jobCache.types.length === 0) return retryLater("machine types are not known yet");
      if (isTooLarge(encodeJobRecord(wire, new Date()), this.limits))
        return yield* this.statusQueries.refuseUnlessAccepted(spec.id, RECORD_TOO_LARGE_ANSWER);
      const reason = unschedulableReason(spec, this.limits.teams, this.jobCache.types);
      if (reason !== null)
        return yield* this.statusQueries.refuseUnlessAccepted(spec.id, refusal(422, reason));
      return yield* spec.dependsOn.length === 0
        ? this.accept(parsed)
        : this.dependentSubmissions.accept(parsed);
    });
  }

  /** Writes the job's record, which accepts and releases the job. */
  private accept({ wire, spec }: Submission): Effect.Effect<Answer, StatusQueryFailure> {
    return Effect.gen(this, function* () {
      const { id } = spec;
      const record = encodeJobRecord(wire, new Date());
      const result = yield* commitForUser(this.state, newJobConditions(id), [
        { put: keys.job(id), value: record },
      ]);
      // a rejection comes before the conditions are compared, so the job may have been accepted before
      if (result.ok === null)
        return yield* this.statusQueries.refuseUnlessAccepted(id, recordRejectedAnswer(result.error));
      if (!result.ok) return yield* this.statusQueries.answerRepeatedSubmission(id);
      this.jobCache.putReleased(keys.job(id), record, result.revision);
      logAccepted(this.log, spec);
      return answer(201, jobAnswer(id, "queued"));
    });
  }
}
