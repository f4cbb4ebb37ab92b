/** A job's status in the state service, and the failure of a status query. */
import * as Data from "effect/Data";
import type { CommitRecord } from "../../core/records.js";

/**
 * `final`: the job has a commit record, which never changes. `open`: it is unfinished. `absent`: it hadn't been
 * accepted when the query came in.
 */
export type JobStatus =
  | { readonly kind: "final"; readonly commit: CommitRecord }
  /**
   * `revision` is that of its record. If `blocked`, it waits for its parents, and its record is under another key.
   */
  | { readonly kind: "open"; readonly revision: number; readonly tasks: number; readonly blocked: boolean }
  | { readonly kind: "absent" };

/** Too many status queries are queued; the user should send the query again. */
export class TooManyQueries extends Data.TaggedError("TooManyQueries")<{ readonly reason: string }> {}
