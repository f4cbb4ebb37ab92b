/** A job's status as the state service has it, and why a question for it may get no answer. */
import * as Data from "effect/Data";
import type { CommitRecord } from "../../core/records.js";

/** `final`: it has a commit record, which never changes. `absent`: it wasn't accepted when the question came. */
export type JobStatus =
  | { readonly kind: "final"; readonly commit: CommitRecord }
  /** `revision` of its record. `blocked`: it waits for jobs that it depends on, and its record has another key. */
  | { readonly kind: "open"; readonly revision: number; readonly tasks: number; readonly blocked: boolean }
  | { readonly kind: "absent" };

/** Too many questions are queued already: the user is to ask again. */
export class TooManyQueries extends Data.TaggedError("TooManyQuestions")<{ readonly reason: string }> {}
