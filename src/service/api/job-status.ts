/**
 * What users are told about a job. Before anything that isn't final, or a 404, the commit record is checked in the state
 * service, since another node may have told a user of the job's end already.
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

/** The status of jobs for the API, and their outcomes for whoever passes them on. */
export class JobStatusReader {
  private readonly outcomes = new KnownOutcomes();
  private readonly ancestors: JobAncestors;
  private readonly cancels: CancelPropagation;
  private readonly records: JobRecordReader;
  private readonly batcher: StatusQueryBatcher;

  /** `maxConditions`: how many one transaction compares. */
  constructor(state: StateClient, jobCache: JobCache, maxConditions: number, log: Log) {
    this.ancestors = new JobAncestors(jobCache, this.outcomes);
    this.cancels = new CancelPropagation(state, jobCache, this.outcomes, log);
    this.records = new JobRecordReader(state, jobCache, this.outcomes, this.ancestors, this.cancels);
    this.batcher = new StatusQueryBatcher(
      { state, maxConditions: maxConditions },
      jobCache,
      this.ancestors,
      this.records,
    );
  }

  /** A job's commit, if it is known here. */
  outcome(id: string): CommitRecord | undefined {
    return this.outcomes.get(id);
  }

  /** Keeps a commit that is in the state service. */
  remember(id: string, commit: CommitRecord): void {
    this.outcomes.remember(id, commit);
  }

  /** The status of a job as of a moment after the call. Questions that come together are one request. */
  statusOf(id: string): Effect.Effect<JobStatus, StateError | TooManyQueries> {
    return Effect.suspend((): Effect.Effect<JobStatus, StateError | TooManyQueries> => {
      const commit = this.outcomes.get(id);
      return commit === undefined ? this.batcher.ask(id) : Effect.succeed({ kind: "final", commit });
    });
  }

  /** The status of a job read at once, on its own; with a `maxWait`, only if this node's share of requests allows. */
  read(id: string, maxWait?: Duration.Duration): Effect.Effect<JobStatus, StateError> {
    return this.records.read(id, maxWait);
  }

  /** The keys of the commits that a blocked job's end may come from; null: not all before it was heard of yet. */
  ancestorCommitKeys(id: string): string[] | null {
    return this.ancestors.commitKeys(id);
  }

  /** Cancels a blocked job because one that it depends on was cancelled. */
  cancelBlocked(id: string, tasks: number): Effect.Effect<CommitRecord, StateError> {
    return this.cancels.cancelBlocked(id, tasks);
  }
}
