/** Users' questions that come together are one request to the state service. */
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
  /** The keys that must not exist for a non-final answer, or for 404. */
  readonly absentKeys: readonly string[];
  /** Whether the job is unfinished as far as is known here. */
  readonly isUnfinished: boolean;
  readonly answer: Deferred.Deferred<JobStatus, StateError>;
}

/** Users wait 2 s for an answer, so a moment's gathering costs them nothing and saves a request each. */
const BATCHING_DELAY = Duration.millis(250);
/** A question that this node's share of requests can't serve within this is answered 503 at once. */
const MAX_PACING_WAIT = Duration.millis(800);
const MAX_QUEUED = 2000;
const MAX_DEFERRED = 5000;
/** Transactions for one batch, each without those that failed before; whoever is left is read on its own. */
const MAX_CHECKS_PER_BATCH = 3;
/** Batches checked, and jobs read, at a time. */
const CONCURRENT_BATCHES = 2;
const CONCURRENT_READS = 8;

/** What the batcher asks the state service with: transactions that only compare, with so many conditions at most. */
export interface BatcherOptions {
  readonly state: Pick<StateClient, "commit">;
  readonly maxConditions: number;
}

/** Gathers questions for a moment, then answers each. */
export class StatusQueryBatcher {
  private queued: StatusQuery[] = [];
  private flushScheduled = false;
  /** Questions that got no answer, the oldest first: they go before others, so that no job's are deferred for ever. */
  private readonly deferred = new Map<string, number>();
  private lastDeferredRank = 0;

  /** Questions that a batch can't answer go to `reader`. */
  constructor(
    private readonly options: BatcherOptions,
    private readonly jobCache: JobCache,
    private readonly ancestors: JobAncestors,
    private readonly reader: JobRecordReader,
  ) {}

  /** The status of a job, whose outcome isn't known here, as of a moment after the call. */
  ask(id: string): Effect.Effect<JobStatus, StateError | TooManyQueries> {
    return Effect.gen(this, function* () {
      if (this.queued.length >= MAX_QUEUED) return yield* new TooManyQueries({ reason: "busy" });
      const answer = yield* Deferred.make<JobStatus, StateError>();
      const isUnfinished = this.jobCache.isUnfinished(id);
      this.queued.push({
        id,
        absentKeys: this.absentKeysOf(id, isUnfinished),
        isUnfinished: isUnfinished,
        answer,
      });
      if (!this.flushScheduled) {
        this.flushScheduled = true;
        Effect.runFork(Effect.zipRight(Effect.sleep(BATCHING_DELAY), this.flush));
      }
      return yield* Deferred.await(answer);
    });
  }

  /** An unfinished job rests on its own commit and on those of all before it that aren't known to be done. */
  private absentKeysOf(id: string, isUnfinished: boolean): string[] {
    if (!isUnfinished) return [keys.commit(id), keys.job(id), keys.blockedJob(id)];
    return [id, ...this.ancestors.ancestorsNotDone(id)].map(keys.commit);
  }

  private readonly flush: Effect.Effect<void> = Effect.suspend(() => {
    this.flushScheduled = false;
    const batches = this.toBatches(this.deferredFirst(this.queued));
    this.queued = [];
    return Effect.forEach(batches, (batch) => this.answerBatch(batch), {
      concurrency: CONCURRENT_BATCHES,
      discard: true,
    });
  });

  private deferredFirst(questions: readonly StatusQuery[]): StatusQuery[] {
    const ranked = questions.map((question) => ({
      question,
      rank: this.deferred.get(question.id) ?? Infinity,
    }));
    ranked.sort((a, b) => (a.rank < b.rank ? -1 : a.rank > b.rank ? 1 : 0));
    return ranked.map(({ question }) => question);
  }

  /** Batches that one transaction compares each, unless a single question has more keys than that. */
  private toBatches(questions: readonly StatusQuery[]): StatusQuery[][] {
    const batches: StatusQuery[][] = [];
    let batch: StatusQuery[] = [];
    let conditionsLeft = 0;
    for (const question of questions) {
      if (question.absentKeys.length > conditionsLeft) {
        batch = [];
        batches.push(batch);
        conditionsLeft = this.options.maxConditions;
      }
      conditionsLeft -= question.absentKeys.length;
      batch.push(question);
    }
    return batches;
  }

  /** One comparing transaction shows for all that no commit exists; whoever fails it is read. */
  private answerBatch(batch: readonly StatusQuery[]): Effect.Effect<void> {
    const readAll = (questions: readonly StatusQuery[]): Effect.Effect<void> =>
      Effect.forEach(questions, (question) => this.answerByReading(question), {
        concurrency: CONCURRENT_READS,
        discard: true,
      });
    return Effect.gen(this, function* () {
      let left = batch;
      for (let round = 0; left.length > 0 && round < MAX_CHECKS_PER_BATCH; round++) {
        const existingKeys = yield* this.existing([
          ...new Set(left.flatMap((question) => question.absentKeys)),
        ]);
        if (existingKeys !== null && existingKeys.size === 0) {
          yield* Effect.forEach(left, (question) => this.answerFromCache(question), {
            concurrency: CONCURRENT_READS,
            discard: true,
          });
          return;
        }
        const hasFailed = (question: StatusQuery): boolean =>
          question.absentKeys.some((key) => existingKeys?.has(key) ?? false);
        const failed = left.filter(hasFailed);
        if (failed.length === 0) break;
        const others = left.filter((question) => !hasFailed(question));
        yield* readAll(failed);
        left = others;
      }
      yield* readAll(left);
    }).pipe(
      Effect.catchAll((error) =>
        Effect.forEach(batch, (question) => this.fail(question, error), { discard: true }),
      ),
    );
  }

  /**
   * Which of these keys exist; null: some do, and the state service doesn't say which. Commits stay for ever, so more
   * keys than one transaction compares are asked for one transaction after the other.
   */
  private existing(keysToCheck: readonly string[]): Effect.Effect<Set<string> | null, StateError> {
    return Effect.gen(this, function* () {
      const { state, maxConditions: maxConditions } = this.options;
      const found = new Set<string>();
      for (let at = 0; at < keysToCheck.length; at += maxConditions) {
        const when = keysToCheck
          .slice(at, at + maxConditions)
          .map((key): Condition => ({ key, revision: 0 }));
        // users' questions wait for this node's share, so that renewals and commits never do
        const result = yield* state.commit(when, [], "later", MAX_PACING_WAIT);
        if (result.ok === true) continue;
        if (result.ok === null || result.failed.length === 0) return null;
        for (const key of result.failed) found.add(key);
      }
      return found;
    });
  }

  /** None of its keys exists: what is known here holds, unless something was heard of it since the question came. */
  private answerFromCache(question: StatusQuery): Effect.Effect<boolean> {
    const { id } = question;
    if (!question.isUnfinished) return this.succeed(question, { kind: "absent" });
    const released = this.jobCache.released.get(id);
    const blocked = this.jobCache.blocked.get(id);
    // it ended in the meantime, more was heard of what it depends on, or something before it was not heard of yet
    const isUnchecked = (ancestor: string): boolean =>
      !question.absentKeys.includes(keys.commit(ancestor)) || !this.jobCache.isUnfinished(ancestor);
    if (released === undefined && this.ancestors.ancestorsNotDone(id).some(isUnchecked))
      return this.answerByReading(question);
    const job = released ?? blocked;
    if (job === undefined) return this.answerByReading(question);
    const { revision, spec } = job;
    return this.succeed(question, {
      kind: "open",
      revision,
      tasks: spec.tasks,
      blocked: released === undefined,
    });
  }

  private answerByReading(question: StatusQuery): Effect.Effect<boolean> {
    return Effect.matchEffect(this.reader.read(question.id, MAX_PACING_WAIT), {
      onSuccess: (status) => this.succeed(question, status),
      onFailure: (error) => this.fail(question, error),
    });
  }

  private succeed(question: StatusQuery, status: JobStatus): Effect.Effect<boolean> {
    this.deferred.delete(question.id);
    return Deferred.succeed(question.answer, status);
  }

  private fail(question: StatusQuery, error: StateError): Effect.Effect<boolean> {
    if (!this.deferred.has(question.id) && this.deferred.size < MAX_DEFERRED)
      this.deferred.set(question.id, ++this.lastDeferredRank);
    return Deferred.fail(question.answer, error);
  }
}
