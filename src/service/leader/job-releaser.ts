/**
 * Releases blocked jobs while this node leads. A committed parent is added to the fan-in sets of the jobs that depend
 * on it, and the conditional write that completes a set also releases its job. If a parent was cancelled, the jobs that
 * depend on it are cancelled as well. When a parent ends, the jobs that depend on it are checked at once. That misses
 * some cases (a leader that fails between a commit and the update of the fan-in sets, a job that is accepted while its
 * parent commits), so all blocked jobs are checked after a failover and every few seconds.
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { faninStep, type ParentState } from "../../core/jobs/fanin.js";
import { type FaninRecord, keys } from "../../core/records.js";
import { type Instant, hasElapsed, plus } from "../../core/time.js";
import { now } from "../../io/clock.js";
import { withReleaseTime } from "../../io/codec.js";
import type { Log } from "../../io/log.js";
import type { CommitResult, StateClient, StateError } from "../../io/state-client.js";
import type { JobStatusReader } from "../api/job-status.js";
import type { BlockedJob, Fanin, JobCache } from "../job-cache.js";
import { RejectionBackoff } from "../rejection-backoff.js";
import { Signal } from "../signal.js";
import { LEADER_WRITE_ADMISSION_TIMEOUT } from "./leader-write-timeout.js";
import { commitIn } from "./stored-records.js";

const CHECK_INTERVAL = Duration.seconds(1);
const FULL_CHECK_INTERVAL = Duration.seconds(5);
const MAX_CONCURRENT_CHECKS = 4;

/** Releases jobs once all of their parents are done, and cancels those with a cancelled parent. */
export class JobReleaser {
  private readonly pendingChecks = new Set<string>();
  /** Jobs whose check failed because of the state service, to be checked again in the next round. */
  private readonly failedChecks = new Set<string>();
  private readonly checkRequested = new Signal();
  private lastFullCheckAt: Instant | null = null;
  private isRunning = false;
  /** Jobs whose fan-in set the state service refused to write, and when the write may be tried again. */
  private readonly rejectedUntil = new Map<string, Instant>();
  private readonly rejections: RejectionBackoff;

  constructor(
    private readonly state: StateClient,
    private readonly jobCache: JobCache,
    private readonly status: JobStatusReader,
    private readonly log: Log,
  ) {
    this.rejections = new RejectionBackoff(log);
  }

  /** Requests a check of a blocked job; ignored while this node doesn't lead. */
  requestCheck(id: string): void {
    if (!this.isRunning) return;
    this.pendingChecks.add(id);
    this.checkRequested.notify();
  }

  /** Requests checks of the jobs that depend on a job that has ended. */
  jobEnded(id: string): void {
    for (const child of this.jobCache.dependencies.childrenOf(id)) this.requestCheck(child);
  }

  /** Checks blocked jobs while this node leads. */
  readonly run: Effect.Effect<never> = Effect.suspend(() => {
    this.isRunning = true;
    this.lastFullCheckAt = null;
    return Effect.forever(this.checkRound);
  }).pipe(
    Effect.ensuring(
      Effect.sync(() => {
        this.isRunning = false;
        this.pendingChecks.clear();
        this.failedChecks.clear();
      }),
    ),
  );

  private readonly checkRound = Effect.gen(this, function* () {
    if (this.lastFullCheckAt === null || hasElapsed(now(), this.lastFullCheckAt, FULL_CHECK_INTERVAL)) {
      this.lastFullCheckAt = now();
      for (const id of this.jobCache.blockedJobs.keys()) this.pendingChecks.add(id);
    }
    const batch = [...this.pendingChecks];
    this.pendingChecks.clear();
    yield* Effect.forEach(batch, (id) => this.check(id), {
      concurrency: MAX_CONCURRENT_CHECKS,
      discard: true,
    });
    // jobs affected by a write of this round are checked without a pause
    if (this.pendingChecks.size === 0) yield* this.checkRequested.wait(CHECK_INTERVAL);
    for (const id of this.failedChecks) this.pendingChecks.add(id);
    this.failedChecks.clear();
  }).pipe(
    Effect.catchAllCause((cause) =>
      Effect.zipRight(
        Effect.sync(() =>
          this.log.error({ cause: cause.toString() }, "unexpected error while releasing blocked jobs"),
        ),
        Effect.sleep(CHECK_INTERVAL),
      ),
    ),
  );

  /** Checks one job; if a request to the state service fails, the check is repeated in the next round. */
  private check(id: string): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const job = this.jobCache.blockedJobs.get(id);
      if (job === undefined) {
        this.rejectedUntil.delete(id);
        return;
      }
      const retryAt = this.rejectedUntil.get(id);
      if (retryAt !== undefined && now() < retryAt) return;
      yield* this.advance(id, job);
    }).pipe(
      Effect.catchAll((error) =>
        Effect.sync(() => {
          this.failedChecks.add(id);
          this.log.debug({ job: id, reason: error.reason }, "check of a blocked job failed, retrying");
        }),
      ),
    );
  }

  private advance(id: string, job: BlockedJob): Effect.Effect<void, StateError> {
    return Effect.gen(this, function* () {
      const { dependsOn, tasks } = job.spec;
      const parents = new Map<string, ParentState>();
      for (const parent of dependsOn) parents.set(parent, yield* this.parentState(parent));
      const fanin = this.jobCache.fanins.get(id) ?? (yield* this.readFanin(id));
      const stateOf = (parent: string): ParentState => parents.get(parent) ?? "unknown";
      const step = faninStep(dependsOn, fanin?.joined ?? [], stateOf);
      switch (step.kind) {
        case "wait":
          return;
        case "cancel":
          yield* this.status.cancelBlocked(id, tasks);
          this.log.info({ job: id }, "job cancelled because a job it depends on was cancelled");
          return;
        case "join":
          // a set that is missing or has already released its job is not written
          if (fanin !== null && !fanin.released)
            yield* this.join(id, job, fanin, { joined: step.joined, released: step.completesSet });
          return;
        default:
          return step satisfies never;
      }
    });
  }

  private parentState(id: string): Effect.Effect<ParentState, StateError> {
    return Effect.gen(this, function* () {
      if (this.jobCache.isUnfinished(id)) return "open";
      const known = this.status.outcome(id);
      if (known !== undefined) return known.outcome;
      const row = yield* this.state.get(keys.commit(id));
      // the parent was accepted a moment ago, and this node doesn't know it yet
      if (row === null) return "unknown";
      const commit = commitIn(row);
      this.status.remember(id, commit);
      return commit.outcome;
    });
  }

  private readFanin(id: string): Effect.Effect<Fanin | null, StateError> {
    return Effect.gen(this, function* () {
      const row = yield* this.state.get(keys.fanin(id));
      if (row !== null) this.jobCache.putFanin(id, row.value, row.revision);
      return this.jobCache.fanins.get(id) ?? null;
    });
  }

  /** Adds parents to the fan-in set and, if that completes it, releases the job: one conditional write (S12, S13). */
  private join(
    id: string,
    job: BlockedJob,
    before: Fanin,
    after: FaninRecord,
  ): Effect.Effect<void, StateError> {
    return Effect.gen(this, function* () {
      const released = withReleaseTime(job.record, new Date());
      const result = yield* this.state.commit(
        [
          { key: keys.fanin(id), revision: before.revision },
          { key: keys.blockedJob(id), revision: job.revision },
          { key: keys.commit(id), revision: 0 },
        ],
        [
          { put: keys.fanin(id), value: after },
          ...(after.released
            ? [{ put: keys.job(id), value: released }, { delete: keys.blockedJob(id) }]
            : []),
        ],
        "first",
        LEADER_WRITE_ADMISSION_TIMEOUT,
      );
      yield* this.handleJoinResult(id, after, released, result);
    });
  }

  private handleJoinResult(
    id: string,
    fanin: FaninRecord,
    released: object,
    result: CommitResult,
  ): Effect.Effect<void, StateError> {
    return Effect.gen(this, function* () {
      if (result.ok === null) {
        // the same write would be rejected again, so the pauses increase
        this.rejectedUntil.set(id, plus(now(), this.rejections.noteRejection("fan-in", result.error, id)));
        return;
      }
      this.rejections.reset("fan-in", id);
      this.rejectedUntil.delete(id);
      if (result.ok) {
        this.jobCache.putFanin(id, fanin, result.revision);
        if (!fanin.released) return;
        this.jobCache.putReleased(keys.job(id), released, result.revision);
        this.log.info({ job: id }, "blocked job released");
        return;
      }
      // another write came first, perhaps a delayed one of an earlier leader: the next check uses its result
      if (result.failed.includes(keys.fanin(id)) || result.failed.length === 0) yield* this.readFanin(id);
    });
  }
}
