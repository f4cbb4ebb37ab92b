/** Reads one job's status, record by record. */
import type * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { type CommitRecord, keys, type Outcome } from "../../core/records.js";
import type { Row } from "../../io/codec.js";
import { type StateClient, type StateError, Unavailable, type Urgency } from "../../io/state-client.js";
import type { JobCache } from "../job-cache.js";
import type { CancelPropagation } from "./cancel-propagation.js";
import type { JobAncestors } from "./job-ancestors.js";
import type { KnownOutcomes } from "./known-outcomes.js";
import type { JobStatus } from "./status-types.js";

/** How a read keeps to this node's share of requests: with a `maxWait` it waits for the share, no longer than that. */
interface RequestPacing {
  readonly urgency: Urgency;
  readonly maxWait: Duration.Duration | undefined;
}

const unreadable = (id: string): Unavailable =>
  new Unavailable({ reason: `the record of ${id} can't be read` });

/** Reads that keep what they find in the cache of jobs and among the known outcomes. */
export class JobRecordReader {
  /** What is read goes to the `jobCache` and to `outcomes`. */
  constructor(
    private readonly state: StateClient,
    private readonly jobCache: JobCache,
    private readonly outcomes: KnownOutcomes,
    private readonly ancestors: JobAncestors,
    private readonly cancels: CancelPropagation,
  ) {}

  /**
   * The commit first: it is final. Then what a job is in the course of its life, in this order: a blocked job's record is
   * replaced by the released one's in one transaction, and that by the commit. So a job of which nothing was found was
   * not accepted when the question came. Without `maxWait` the reads don't wait for this node's share of requests.
   */
  read(id: string, maxWait?: Duration.Duration): Effect.Effect<JobStatus, StateError> {
    const pacing: RequestPacing = { urgency: maxWait === undefined ? "first" : "later", maxWait: maxWait };
    return Effect.gen(this, function* () {
      const known = this.outcomes.get(id);
      if (known !== undefined) return { kind: "final", commit: known } as const;
      const first = yield* this.get(keys.commit(id), pacing);
      if (first !== null) return this.outcomes.rememberFinal(id, first.value as CommitRecord);
      const blockedRow = yield* this.get(keys.blockedJob(id), pacing);
      if (blockedRow !== null) {
        const seen = this.jobCache.putBlocked(blockedRow.key, blockedRow.value, blockedRow.revision);
        if (seen === "malformed") return yield* unreadable(id);
        if (seen !== "over") return yield* this.readBlocked(id, blockedRow.revision, seen.spec.tasks, pacing);
      }
      const row = yield* this.get(keys.job(id), pacing);
      if (row !== null) {
        const seen = this.jobCache.put(row.key, row.value, row.revision);
        // it is there, so it is no 404, whatever is wrong with it
        if (seen === "malformed") return yield* unreadable(id);
        if (seen !== "over")
          return { kind: "open", revision: row.revision, tasks: seen.spec.tasks, blocked: false } as const;
      }
      const commit = yield* this.get(keys.commit(id), pacing);
      return commit === null
        ? ({ kind: "absent" } as const)
        : this.outcomes.rememberFinal(id, commit.value as CommitRecord);
    });
  }

  /** A blocked job is what its record says, unless one that it needs was cancelled: then it is cancelled as well. */
  private readBlocked(
    id: string,
    revision: number,
    tasks: number,
    pacing: RequestPacing,
  ): Effect.Effect<JobStatus, StateError> {
    return Effect.gen(this, function* () {
      // by whether their end was heard of when they were asked about
      const wasOverWhenRead = new Map<string, boolean>();
      for (;;) {
        // released or over in the meantime: what comes before it isn't known here any more
        if (!this.jobCache.blocked.has(id)) return yield* this.read(id, pacing.maxWait);
        // outcomes pass on the other way round: where one was heard of since, the path from there is lost
        const ancestor = this.ancestors
          .ancestorsNotDone(id)
          .find((candidate) => wasOverWhenRead.get(candidate) !== this.jobCache.isOver(candidate));
        if (ancestor === undefined) return { kind: "open", revision, tasks, blocked: true } as const;
        wasOverWhenRead.set(ancestor, this.jobCache.isOver(ancestor));
        const outcome = yield* this.ancestorOutcome(ancestor, pacing);
        if (outcome === "cancelled")
          return this.outcomes.rememberFinal(id, yield* this.cancels.cancelBlocked(id, tasks));
      }
    });
  }

  /**
   * The outcome of a job before a blocked one, if it has one. One that wasn't heard of here yet is read, so that what it
   * depends on itself is known afterwards.
   */
  private ancestorOutcome(id: string, pacing: RequestPacing): Effect.Effect<Outcome | null, StateError> {
    return Effect.gen(this, function* () {
      const outcome = yield* this.readOutcome(id, pacing);
      if (outcome !== null || this.jobCache.isUnfinished(id)) return outcome;
      const blockedRow = yield* this.get(keys.blockedJob(id), pacing);
      const row = blockedRow ?? (yield* this.get(keys.job(id), pacing));
      // it ended in between
      if (row === null) return yield* this.readOutcome(id, pacing);
      const seen =
        blockedRow === null
          ? this.jobCache.put(row.key, row.value, row.revision)
          : this.jobCache.putBlocked(row.key, row.value, row.revision);
      if (seen === "malformed") return yield* unreadable(id);
      return seen === "over" ? yield* this.readOutcome(id, pacing) : null;
    });
  }

  private readOutcome(id: string, pacing: RequestPacing): Effect.Effect<Outcome | null, StateError> {
    return Effect.map(this.get(keys.commit(id), pacing), (row) => {
      if (row === null) return null;
      const commit = row.value as CommitRecord;
      this.outcomes.remember(id, commit);
      return commit.outcome;
    });
  }

  private get(
    key: string,
    { urgency, maxWait: maxWait }: RequestPacing,
  ): Effect.Effect<Row | null, StateError> {
    return this.state.get(key, urgency, maxWait);
  }
}
