/** Shared by all writes that accept a job: their conditions, size limits, refusals and log line. */
import * as Duration from "effect/Duration";
import { type JobSpec, keys, type Team } from "../../core/records.js";
import type { Condition } from "../../io/codec.js";
import type { Log } from "../../io/log.js";
import { type Answer, refusal } from "./answers.js";

/** Limits that apply to every submission. */
export interface SubmissionLimits {
  readonly teams: ReadonlyMap<string, Team>;
  /** The largest value that the state service stores, in KiB. */
  readonly valueKb: number;
  /** The most conditions that one transaction can have. */
  readonly maxConditions: number;
}

/** Conditions that hold only if the job is new: none of the records of its life cycle exists. */
export const newJobConditions = (id: string): Condition[] =>
  [keys.commit(id), keys.job(id), keys.blockedJob(id)].map((key) => ({ key, revision: 0 }));

/** Whether a record, written as JSON, is too large for the state service. */
export const isTooLarge = (record: object, limits: SubmissionLimits): boolean =>
  Buffer.byteLength(JSON.stringify(record)) > limits.valueKb * 1024;

/** The refusal of a job whose record is too large. Jobs accepted under an earlier, higher limit stay accepted. */
export const RECORD_TOO_LARGE_ANSWER = refusal(400, "too large to be stored");

/** The refusal of a job whose record the state service rejected. */
export const recordRejectedAnswer = (error: string): Answer => refusal(400, `can't be stored: ${error}`);

/** Logs one line for each accepted job, so that accepted jobs can be counted from the log. */
export const logAccepted = (log: Log, job: JobSpec): void =>
  log.info(
    {
      job: job.id,
      class: job.className,
      team: job.team,
      tasks: job.tasks,
      estimateS: Duration.toSeconds(job.estimate),
      image: job.image,
      imageGb: job.imageGb,
      ...(job.dependsOn.length === 0 ? {} : { dependsOn: job.dependsOn.join(" ") }),
    },
    "job accepted",
  );
