/**
 * Submissions of jobs that depend on other jobs, their parents. A job's record and its fan-in set are written in one
 * transaction, on condition that the parents are unchanged since they were read. If there are more parents than a
 * transaction can have conditions, the commit of an unchecked parent may be missed here; the leader then finds it
 * when it looks through the blocked jobs, as it does after any lost addition to a fan-in set.
 */
import * as Effect from "effect/Effect";
import {
  type CommitRecord,
  type FaninRecord,
  type JobSpec,
  keys,
  type JobOutcome,
} from "../../core/records.js";
import {
  type Change,
  type Condition,
  jobAnswer,
  encodeJobRecord,
  withReleaseTime,
  type Submission,
} from "../../io/codec.js";
import type { Log } from "../../io/log.js";
import { isRateLimited, type StateClient, type StateError } from "../../io/state-client.js";
import type { JobCache } from "../job-cache.js";
import { type Answer, answer, refusal, retryLater } from "./answers.js";
import type { JobStatusReader } from "./job-status.js";
import type { StatusQueryFailure, StatusQueries } from "./status-queries.js";
import {
  recordRejectedAnswer,
  newJobConditions,
  isTooLarge,
  logAccepted,
  type SubmissionLimits,
  RECORD_TOO_LARGE_ANSWER,
} from "./job-acceptance.js";
import { commitForUser } from "./user-writes.js";

/** Parents may be released or end while their child is being accepted; they are then read again. */
const MAX_TRIES = 4;
const CONCURRENT_PARENT_READS = 4;

/**
 * A job that the submitted one depends on. It has ended with an outcome, or it is open (unfinished), which is true
 * for as long as `condition` holds. If it is blocked itself, none of the keys `ancestorCommitKeys` may exist either,
 * since the cancel of an ancestor cancels it too.
 */
type Parent =
  | { readonly id: string; readonly state: JobOutcome }
  | {
      readonly id: string;
      readonly state: "open";
      readonly condition: Condition;
      readonly ancestorCommitKeys: readonly string[];
    };

/** The state in which the job is accepted. */
type Acceptance =
  /** A parent was cancelled, so the job can never be released. */
  | { readonly kind: "cancelled"; readonly commit: CommitRecord }
  /** All parents are done, so the job is released as it is accepted. */
  | { readonly kind: "released"; readonly record: object }
  | { readonly kind: "blocked"; readonly record: object; readonly fanin: FaninRecord };

/** Handles submissions that have passed all checks and depend on other jobs. */
export class DependentSubmissionHandler {
  /** Accepted jobs are added to `jobCache` at once. */
  constructor(
    private readonly limits: SubmissionLimits,
    private readonly state: StateClient,
    private readonly jobCache: JobCache,
    private readonly reader: JobStatusReader,
    private readonly statusQueries: StatusQueries,
    private readonly log: Log,
  ) {}

  /** Accepts the job, unless it was accepted before or depends on a job that was never accepted. */
  accept(submission: Submission): Effect.Effect<Answer, StatusQueryFailure> {
    return Effect.catchAll(this.tryToAccept(submission), (error) => {
      const retryAnswer = retryLater(error.reason);
      // if the state service's rate is exceeded, a status query would only delay the answer
      if (error._tag !== "TooManyQueries" && isRateLimited(error)) return Effect.succeed(retryAnswer);
      // a repeated submission of an accepted job gets its answer even if a parent's record can't be read
      return this.statusQueries.refuseUnlessAccepted(submission.spec.id, retryAnswer);
    });
  }

  private tryToAccept({ wire, spec }: Submission): Effect.Effect<Answer, StatusQueryFailure> {
    return Effect.gen(this, function* () {
      const { id, dependsOn } = spec;
      const record = encodeJobRecord(wire, new Date());
      if (this.mayGrowTooLarge(record, dependsOn))
        return yield* this.statusQueries.refuseUnlessAccepted(id, RECORD_TOO_LARGE_ANSWER);
      const stale = new Set<string>();
      for (let tries = 0; tries < MAX_TRIES; tries++) {
        const found = yield* Effect.forEach(
          dependsOn,
          (findParent) => this.parent(findParent, stale.has(findParent)),
          {
            concurrency: CONCURRENT_PARENT_READS,
          },
        );
        const parents = found.filter((parent) => parent !== null);
        if (parents.length < found.length)
          return yield* this.statusQueries.refuseUnlessAccepted(
            id,
            refusal(422, "awaits names a job that was never accepted"),
          );
        const acceptance = acceptanceOf(spec, record, parents);
        const ownConditions = newJobConditions(id);
        const conditions = [
          ...ownConditions,
          ...parentConditions(parents, this.limits.maxConditions - ownConditions.length),
        ];
        const result = yield* commitForUser(this.state, conditions, changesOf(id, acceptance));
        if (result.ok === null)
          return yield* this.statusQueries.refuseUnlessAccepted(id, recordRejectedAnswer(result.error));
        if (result.ok) return this.answerAccepted(spec, acceptance, result.revision);
        if (result.failed.some((key) => ownConditions.some((condition) => condition.key === key)))
          return yield* this.statusQueries.answerRepeatedSubmission(id);
        // a parent was released or ended, so the cache is out of date
        for (const parent of dependsOn) stale.add(parent);
      }
      return retryLater("not decided");
    });
  }

  /** Whether one of the job's records would be too large at some point of its life cycle. */
  private mayGrowTooLarge(record: object, dependsOn: readonly string[]): boolean {
    const largestFanin: FaninRecord = { joined: dependsOn, released: true };
    return [withReleaseTime(record, new Date()), largestFanin].some((value) =>
      isTooLarge(value, this.limits),
    );
  }

  /** The present state of a parent; null if it was never accepted. `stale`: the cache is out of date for it. */
  private parent(id: string, stale: boolean): Effect.Effect<Parent | null, StateError> {
    return Effect.gen(this, function* () {
      const known = this.cachedParent(id, stale);
      if (known !== null) return known;
      const status = yield* this.reader.read(id);
      switch (status.kind) {
        case "absent":
          return null;
        case "final":
          return { id, state: status.commit.outcome };
        case "open":
          return status.blocked
            ? openParent(id, keys.blockedJob(id), status.revision, this.reader.ancestorCommitKeys(id) ?? [])
            : openParent(id, keys.job(id), status.revision, []);
      }
    });
  }

  /** The state of a parent as far as it is cached; null if it has to be read. */
  private cachedParent(id: string, stale: boolean): Parent | null {
    const commit = this.reader.outcome(id);
    if (commit !== undefined) return { id, state: commit.outcome };
    if (stale) return null;
    const job = this.jobCache.releasedJobs.get(id);
    if (job !== undefined) return openParent(id, keys.job(id), job.revision, []);
    const blocked = this.jobCache.blockedJobs.get(id);
    const ancestorCommitKeys = blocked === undefined ? null : this.reader.ancestorCommitKeys(id);
    return blocked === undefined || ancestorCommitKeys === null
      ? null
      : openParent(id, keys.blockedJob(id), blocked.revision, ancestorCommitKeys);
  }

  /** Adds what the accepting write wrote to the caches, and answers the submission. */
  private answerAccepted(job: JobSpec, acceptance: Acceptance, revision: number): Answer {
    const { id } = job;
    logAccepted(this.log, job);
    switch (acceptance.kind) {
      case "cancelled":
        this.reader.remember(id, acceptance.commit);
        this.jobCache.remove(id);
        return answer(201, jobAnswer(id, "cancelled"));
      case "released":
        this.jobCache.putReleased(keys.job(id), acceptance.record, revision);
        return answer(201, jobAnswer(id, "queued"));
      case "blocked":
        this.jobCache.putFanin(id, acceptance.fanin, revision);
        this.jobCache.putBlocked(keys.blockedJob(id), acceptance.record, revision);
        return answer(201, jobAnswer(id, "queued"));
    }
  }
}

const openParent = (
  id: string,
  key: string,
  revision: number,
  ancestorCommitKeys: readonly string[],
): Parent => ({ id, state: "open", condition: { key, revision }, ancestorCommitKeys });

const acceptanceOf = (job: JobSpec, record: object, parents: readonly Parent[]): Acceptance => {
  if (parents.some((parent) => parent.state === "cancelled"))
    return { kind: "cancelled", commit: { outcome: "cancelled", tasks: job.tasks } };
  if (parents.every((parent) => parent.state === "done"))
    return { kind: "released", record: withReleaseTime(record, new Date()) };
  const joined = parents.filter((parent) => parent.state === "done").map((parent) => parent.id);
  return { kind: "blocked", record, fanin: { joined, released: false } };
};

/** Conditions that the open parents are unchanged since they were read; at most `limit` of them. */
const parentConditions = (parents: readonly Parent[], limit: number): Condition[] => {
  const open = parents.filter((parent) => parent.state === "open");
  // an ancestor's cancel counts even before it has been propagated to the parent
  const ancestorCommitKeys = new Set(open.flatMap((parent) => parent.ancestorCommitKeys));
  const all = [
    ...open.map((parent) => parent.condition),
    ...[...ancestorCommitKeys].map((key): Condition => ({ key, revision: 0 })),
  ];
  return all.slice(0, Math.max(0, limit));
};

const changesOf = (id: string, acceptance: Acceptance): Change[] => {
  switch (acceptance.kind) {
    case "cancelled":
      return [{ put: keys.commit(id), value: acceptance.commit }];
    case "released":
      return [{ put: keys.job(id), value: acceptance.record }];
    case "blocked":
      return [
        { put: keys.blockedJob(id), value: acceptance.record },
        { put: keys.fanin(id), value: acceptance.fanin },
      ];
  }
};
