/** Reads the status of a single job from its records. */
import type * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { type CommitRecord, keys, type JobOutcome } from "../../core/records.js";
import type { Row } from "../../io/codec.js";
import { type StateClient, type StateError, Unavailable, type Urgency } from "../../io/state-client.js";
import type { JobCache } from "../job-cache.js";
import type { CancelPropagation } from "./cancel-propagation.js";
import type { JobAncestors } from "./job-ancestors.js";
import type { KnownOutcomes } from "./known-outcomes.js";
import type { JobStatus } from "./status-types.js";

/** How a read is paced: with `maxWait` set, it waits up to that long for this node's share of the request rate. */
interface RequestPacing {
  readonly urgency: Urgency;
  readonly maxWait: Duration.Duration | undefined;
}

const unreadableRecord = (id: string): Unavailable =>
  new Unavailable({ reason: `the record of ${id} can't be read` });

/** Reads job records, and caches what it finds. */
export class JobRecordReader {
  /** Records that are read are added to `jobCache` and `outcomes`. */
  constructor(
    private readonly state: StateClient,
    private readonly jobCache: JobCache,
    private readonly outcomes: KnownOutcomes,
    private readonly ancestors: JobAncestors,
    private readonly cancels: CancelPropagation,
  ) {}

  /**
   * Reads the commit first, since it is final, and then the records in the order of a job's life cycle: the blocked
   * job's record, the released job's, and the commit again. Each is replaced by the next in one transaction; so a job
   * of which none is found had not been accepted when the read began. Without `maxWait` the reads don't wait for
   * this node's share of the request rate.
   */
  read(id: string, maxWait?: Duration.Duration): Effect.Effect<JobStatus, StateError> {
    const pacing: RequestPacing = { urgency: maxWait === undefined ? "first" : "later", maxWait };
    return Effect.gen(this, function* () {
      const known = this.outcomes.get(id);
      if (known !== undefined) return { kind: "final", commit: known } as const;
      const earlyCommit = yield* this.get(keys.commit(id), pacing);
      if (earlyCommit !== null) return this.outcomes.rememberFinal(id, earlyCommit.value as CommitRecord);
      const blockedRow = yield* this.get(keys.blockedJob(id), pacing);
      if (blockedRow !== null) {
        const cached = this.jobCache.putBlocked(blockedRow.key, blockedRow.value, blockedRow.revision);
        if (cached === "malformed") return yield* unreadableRecord(id);
        if (cached !== "over")
          return yield* this.readBlocked(id, blockedRow.revision, cached.spec.tasks, pacing);
      }
      const row = yield* this.get(keys.job(id), pacing);
      if (row !== null) {
        const cached = this.jobCache.putReleased(row.key, row.value, row.revision);
        // the record exists, so the job was accepted and the answer can't be 404
        if (cached === "malformed") return yield* unreadableRecord(id);
        if (cached !== "over")
          return { kind: "open", revision: row.revision, tasks: cached.spec.tasks, blocked: false } as const;
      }
      const lateCommit = yield* this.get(keys.commit(id), pacing);
      return lateCommit === null
        ? ({ kind: "absent" } as const)
        : this.outcomes.rememberFinal(id, lateCommit.value as CommitRecord);
    });
  }

  /** The status of a blocked job. If one of its ancestors was cancelled, the job is cancelled now. */
  private readBlocked(
    id: string,
    revision: number,
    tasks: number,
    pacing: RequestPacing,
  ): Effect.Effect<JobStatus, StateError> {
    return Effect.gen(this, function* () {
      // the ancestors read so far, and whether the cache had seen their end by then
      const wasEndedWhenRead = new Map<string, boolean>();
      for (;;) {
        // the job was released or ended meanwhile, so its ancestors are no longer known here
        if (!this.jobCache.blockedJobs.has(id)) return yield* this.read(id, pacing.maxWait);
        // an ancestor whose end the cache has seen since is read again: its own ancestors are no longer known here
        const ancestor = this.ancestors
          .ancestorsNotDone(id)
          .find((candidate) => wasEndedWhenRead.get(candidate) !== this.jobCache.isEnded(candidate));
        if (ancestor === undefined) return { kind: "open", revision, tasks, blocked: true } as const;
        wasEndedWhenRead.set(ancestor, this.jobCache.isEnded(ancestor));
        const outcome = yield* this.ancestorOutcome(ancestor, pacing);
        if (outcome === "cancelled")
          return this.outcomes.rememberFinal(id, yield* this.cancels.cancelBlocked(id, tasks));
      }
    });
  }

  /**
   * The outcome of an ancestor; null if it hasn't ended. The record of an ancestor that isn't cached is read as well,
   * so that its own ancestors are known afterwards.
   */
  private ancestorOutcome(id: string, pacing: RequestPacing): Effect.Effect<JobOutcome | null, StateError> {
    return Effect.gen(this, function* () {
      const outcome = yield* this.readOutcome(id, pacing);
      if (outcome !== null || this.jobCache.isUnfinished(id)) return outcome;
      const blockedRow = yield* this.get(keys.blockedJob(id), pacing);
      const row = blockedRow ?? (yield* this.get(keys.job(id), pacing));
      // it ended between the reads
      if (row === null) return yield* this.readOutcome(id, pacing);
      const cached =
        blockedRow === null
          ? this.jobCache.putReleased(row.key, row.value, row.revision)
          : this.jobCache.putBlocked(row.key, row.value, row.revision);
      if (cached === "malformed") return yield* unreadableRecord(id);
      return cached === "over" ? yield* this.readOutcome(id, pacing) : null;
    });
  }

  private readOutcome(id: string, pacing: RequestPacing): Effect.Effect<JobOutcome | null, StateError> {
    return Effect.map(this.get(keys.commit(id), pacing), (row) => {
      if (row === null) return null;
      const commit = row.value as CommitRecord;
      this.outcomes.remember(id, commit);
      return commit.outcome;
    });
  }

  private get(key: string, { urgency, maxWait }: RequestPacing): Effect.Effect<Row | null, StateError> {
    return this.state.get(key, urgency, maxWait);
  }
}
