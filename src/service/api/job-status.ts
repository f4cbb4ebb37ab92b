/**
 * The status of jobs as users see it. Before a status that isn't final, or a 404, is given out, the state service is
 * asked for the commit record, since another node may already have told a user that the job has ended.
 */
import type * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import type { CommitRecord } from "../../core/records.js";
import type { Log } from "../../io/log.js";
import type { StateClient, StateError } from "../../io/state-client.js";
import type { JobCache } from "../job-cache.js";
import { CancelPropagation } from "./cancel-propagation.js";
import { JobAncestors } from "./job-ancestors.js";
import { JobRecordReader } from "./job-record-reader.js";
import { KnownOutcomes } from "./known-outcomes.js";
import { StatusQueryBatcher } from "./status-query-batcher.js";
import type { JobStatus, TooManyQueries } from "./status-types.js";

/** Gives the status of jobs, and their outcomes where these are known. */
export class JobStatusReader {
  private readonly outcomes = new KnownOutcomes();
  private readonly ancestors: JobAncestors;
  private readonly cancels: CancelPropagation;
  private readonly records: JobRecordReader;
  private readonly batcher: StatusQueryBatcher;

  /** `maxConditions`: the most conditions that one transaction can have. */
  constructor(state: StateClient, jobCache: JobCache, maxConditions: number, log: Log) {
    this.ancestors = new JobAncestors(jobCache, this.outcomes);
    this.cancels = new CancelPropagation(state, jobCache, this.outcomes, log);
    this.records = new JobRecordReader(state, jobCache, this.outcomes, this.ancestors, this.cancels);
    this.batcher = new StatusQueryBatcher({ state, maxConditions }, jobCache, this.ancestors, this.records);
  }

  /** A job's commit; undefined if it isn't known here. */
  outcome(id: string): CommitRecord | undefined {
    return this.outcomes.get(id);
  }

  /** Remembers a commit that was read or written. */
  remember(id: string, commit: CommitRecord): void {
    this.outcomes.remember(id, commit);
  }

  /** The status of a job at some moment after the call. Concurrent queries are batched into one request. */
  statusOf(id: string): Effect.Effect<JobStatus, StateError | TooManyQueries> {
    return Effect.suspend((): Effect.Effect<JobStatus, StateError | TooManyQueries> => {
      const commit = this.outcomes.get(id);
      return commit === undefined ? this.batcher.statusOf(id) : Effect.succeed({ kind: "final", commit });
    });
  }

  /** Reads the status of one job without batching; `maxWait` as in `JobRecordReader.read`. */
  read(id: string, maxWait?: Duration.Duration): Effect.Effect<JobStatus, StateError> {
    return this.records.read(id, maxWait);
  }

  /** The keys of the commits that could cancel a blocked job; null if not all of its ancestors are known yet. */
  ancestorCommitKeys(id: string): string[] | null {
    return this.ancestors.commitKeys(id);
  }

  /** Cancels a blocked job because one of its ancestors was cancelled. */
  cancelBlocked(id: string, tasks: number): Effect.Effect<CommitRecord, StateError> {
    return this.cancels.cancelBlocked(id, tasks);
  }
}
