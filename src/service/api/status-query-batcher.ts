/** Batches concurrent status queries of users into few requests to the state service. */
import * as Deferred from "effect/Deferred";
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { keys } from "../../core/records.js";
import type { Condition } from "../../io/codec.js";
import type { StateClient, StateError } from "../../io/state-client.js";
import type { JobCache } from "../job-cache.js";
import type { JobAncestors } from "./job-ancestors.js";
import type { JobRecordReader } from "./job-record-reader.js";
import { type JobStatus, TooManyQueries } from "./status-types.js";

interface StatusQuery {
  readonly id: string;
  /** The keys that must be absent for a status other than `final`. */
  readonly absentKeys: readonly string[];
  /** Whether the cache has the job as unfinished; if not, it is expected to be absent. */
  readonly isUnfinished: boolean;
  readonly answer: Deferred.Deferred<JobStatus, StateError>;
}

/** How long queries are collected for a batch. Clients wait 2 s for an answer, so this delay costs them nothing. */
const BATCHING_DELAY = Duration.millis(250);
/** A query that has waited this long for this node's share of the request rate is answered 503. */
const MAX_PACING_WAIT = Duration.millis(800);
const MAX_QUEUED_QUERIES = 2000;
const MAX_DEFERRED_JOBS = 5000;
/** Checks of one batch, each without the queries that failed the one before; those left over are read singly. */
const MAX_CHECKS_PER_BATCH = 3;
const CONCURRENT_BATCHES = 2;
const CONCURRENT_READS = 8;

/** The state service, and the most conditions that one of its transactions can have. */
export interface BatcherOptions {
  readonly state: Pick<StateClient, "commit">;
  readonly maxConditions: number;
}

/** Collects queries for a short time, and answers them together. */
export class StatusQueryBatcher {
  private queued: StatusQuery[] = [];
  private flushScheduled = false;
  /** Jobs whose queries failed, ranked from the oldest failure. They go first, so that no job waits for ever. */
  private readonly deferred = new Map<string, number>();
  private lastDeferredRank = 0;

  /** Jobs whose status a batch can't show are read with `reader`. */
  constructor(
    private readonly options: BatcherOptions,
    private readonly jobCache: JobCache,
    private readonly ancestors: JobAncestors,
    private readonly reader: JobRecordReader,
  ) {}

  /** The status, at some moment after the call, of a job whose outcome isn't known here. */
  statusOf(id: string): Effect.Effect<JobStatus, StateError | TooManyQueries> {
    return Effect.gen(this, function* () {
      if (this.queued.length >= MAX_QUEUED_QUERIES) return yield* new TooManyQueries({ reason: "busy" });
      const answer = yield* Deferred.make<JobStatus, StateError>();
      const isUnfinished = this.jobCache.isUnfinished(id);
      this.queued.push({
        id,
        absentKeys: this.absentKeysOf(id, isUnfinished),
        isUnfinished,
        answer,
      });
      if (!this.flushScheduled) {
        this.flushScheduled = true;
        Effect.runFork(Effect.zipRight(Effect.sleep(BATCHING_DELAY), this.flush));
      }
      return yield* Deferred.await(answer);
    });
  }

  /** For an unfinished job, its own commit and those of its ancestors that aren't known to be done. */
  private absentKeysOf(id: string, isUnfinished: boolean): string[] {
    if (!isUnfinished) return [keys.commit(id), keys.job(id), keys.blockedJob(id)];
    return [id, ...this.ancestors.ancestorsNotDone(id)].map(keys.commit);
  }

  private readonly flush: Effect.Effect<void> = Effect.suspend(() => {
    this.flushScheduled = false;
    const batches = this.toBatches(this.sortDeferredFirst(this.queued));
    this.queued = [];
    return Effect.forEach(batches, (batch) => this.answerBatch(batch), {
      concurrency: CONCURRENT_BATCHES,
      discard: true,
    });
  });

  private sortDeferredFirst(queries: readonly StatusQuery[]): StatusQuery[] {
    const ranked = queries.map((query) => ({
      query,
      rank: this.deferred.get(query.id) ?? Infinity,
    }));
    ranked.sort((a, b) => (a.rank < b.rank ? -1 : a.rank > b.rank ? 1 : 0));
    return ranked.map(({ query }) => query);
  }

  /** Batches that fit into one transaction each, except where a single query has too many keys for one. */
  private toBatches(queries: readonly StatusQuery[]): StatusQuery[][] {
    const batches: StatusQuery[][] = [];
    let batch: StatusQuery[] = [];
    let conditionsLeft = 0;
    for (const query of queries) {
      if (query.absentKeys.length > conditionsLeft) {
        batch = [];
        batches.push(batch);
        conditionsLeft = this.options.maxConditions;
      }
      conditionsLeft -= query.absentKeys.length;
      batch.push(query);
    }
    return batches;
  }

  /** Checks all absent keys of a batch in one transaction; jobs of which a key exists are read singly. */
  private answerBatch(batch: readonly StatusQuery[]): Effect.Effect<void> {
    const readAll = (queries: readonly StatusQuery[]): Effect.Effect<void> =>
      Effect.forEach(queries, (query) => this.answerByReading(query), {
        concurrency: CONCURRENT_READS,
        discard: true,
      });
    return Effect.gen(this, function* () {
      let remaining = batch;
      for (let round = 0; remaining.length > 0 && round < MAX_CHECKS_PER_BATCH; round++) {
        const existingKeys = yield* this.findExisting([
          ...new Set(remaining.flatMap((query) => query.absentKeys)),
        ]);
        if (existingKeys !== null && existingKeys.size === 0) {
          yield* Effect.forEach(remaining, (query) => this.answerFromCache(query), {
            concurrency: CONCURRENT_READS,
            discard: true,
          });
          return;
        }
        const hasFailed = (query: StatusQuery): boolean =>
          query.absentKeys.some((key) => existingKeys?.has(key) ?? false);
        const failed = remaining.filter(hasFailed);
        if (failed.length === 0) break;
        const others = remaining.filter((query) => !hasFailed(query));
        yield* readAll(failed);
        remaining = others;
      }
      yield* readAll(remaining);
    }).pipe(
      Effect.catchAll((error) =>
        Effect.forEach(batch, (query) => this.fail(query, error), { discard: true }),
      ),
    );
  }

  /**
   * Which of these keys exist; null if some do and the state service doesn't say which. Commits are never deleted, so
   * if there are more keys than one transaction can check, several transactions in a row give a valid result.
   */
  private findExisting(keysToCheck: readonly string[]): Effect.Effect<Set<string> | null, StateError> {
    return Effect.gen(this, function* () {
      const { state, maxConditions } = this.options;
      const found = new Set<string>();
      for (let at = 0; at < keysToCheck.length; at += maxConditions) {
        const when = keysToCheck
          .slice(at, at + maxConditions)
          .map((key): Condition => ({ key, revision: 0 }));
        // users' queries wait for this node's share of the request rate, so that lease renewals and commits needn't
        const result = yield* state.commit(when, [], "later", MAX_PACING_WAIT);
        if (result.ok === true) continue;
        if (result.ok === null || result.failed.length === 0) return null;
        for (const key of result.failed) found.add(key);
      }
      return found;
    });
  }

  /** None of the absent keys exists: answers from the cache, unless it has changed since the query came in. */
  private answerFromCache(query: StatusQuery): Effect.Effect<boolean> {
    const { id } = query;
    if (!query.isUnfinished) return this.succeed(query, { kind: "absent" });
    const released = this.jobCache.releasedJobs.get(id);
    const blocked = this.jobCache.blockedJobs.get(id);
    // the ancestor's commit wasn't checked, or the ancestor isn't cached as unfinished (it ended, or isn't known yet)
    const isUnchecked = (ancestor: string): boolean =>
      !query.absentKeys.includes(keys.commit(ancestor)) || !this.jobCache.isUnfinished(ancestor);
    if (released === undefined && this.ancestors.ancestorsNotDone(id).some(isUnchecked))
      return this.answerByReading(query);
    const job = released ?? blocked;
    if (job === undefined) return this.answerByReading(query);
    const { revision, spec } = job;
    return this.succeed(query, {
      kind: "open",
      revision,
      tasks: spec.tasks,
      blocked: released === undefined,
    });
  }

  private answerByReading(query: StatusQuery): Effect.Effect<boolean> {
    return Effect.matchEffect(this.reader.read(query.id, MAX_PACING_WAIT), {
      onSuccess: (status) => this.succeed(query, status),
      onFailure: (error) => this.fail(query, error),
    });
  }

  private succeed(query: StatusQuery, status: JobStatus): Effect.Effect<boolean> {
    this.deferred.delete(query.id);
    return Deferred.succeed(query.answer, status);
  }

  private fail(query: StatusQuery, error: StateError): Effect.Effect<boolean> {
    if (!this.deferred.has(query.id) && this.deferred.size < MAX_DEFERRED_JOBS)
      this.deferred.set(query.id, ++this.lastDeferredRank);
    return Deferred.fail(query.answer, error);
  }
}
