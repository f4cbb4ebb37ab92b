/** What all writes that accept a job have in common: conditions, limits, refusals and the log. */
import * as Duration from "effect/Duration";
import { type JobSpec, keys, type Team } from "../../core/records.js";
import type { Condition } from "../../io/codec.js";
import type { Log } from "../../io/log.js";
import { type Answer, refusal } from "./answers.js";

/** What holds of every submission. */
export interface SubmissionLimits {
  readonly teams: ReadonlyMap<string, Team>;
  /** The largest value that the state service stores, in KiB. */
  readonly valueKb: number;
  /** How many conditions one transaction compares. */
  readonly maxConditions: number;
}

/** The job is new: none of the records that it has in the course of its life exists. */
export const newJobConditions = (id: string): Condition[] =>
  [keys.commit(id), keys.job(id), keys.blockedJob(id)].map((key) => ({ key, revision: 0 }));

/** Whether a record is too large for the state service. */
export const isTooLarge = (record: object, limits: SubmissionLimits): boolean =>
  Buffer.byteLength(JSON.stringify(record)) > limits.valueKb * 1024;

/** The refusal of a job that can't be stored. One that was accepted when values could be larger stays accepted. */
export const RECORD_TOO_LARGE_ANSWER = refusal(400, "too large to be stored");

/** The refusal of a job whose record the state service itself refused. */
export const recordRejectedAnswer = (error: string): Answer => refusal(400, `can't be stored: ${error}`);

/** One line for each accepted job, for those who count them. */
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
    "accepted",
  );
