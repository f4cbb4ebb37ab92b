/**
 * Looks after blocked jobs while this node leads: each parent's commit joins the fan-in sets of the jobs that depend on
 * it, the add that fills a set releases its job in the same conditional write, and a cancelled parent's outcome passes
 * on. A commit that this process made is followed by its joins at once. Whatever was missed (a leader that ended between
 * a commit and its joins, a job accepted while its parent committed) is found by looking at what is still blocked: at
 * all of it after a failover and every few seconds, at the rest only where something changed.
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

/** Releases jobs once all that they depend on is done, and cancels those that depend on a cancelled one. */
export class JobReleaser {
  private readonly pendingChecks = new Set<string>();
  /** Those with a join that the state service didn't take: checked again after a moment. */
  private readonly failedChecks = new Set<string>();
  private readonly checkRequested = new Signal();
  private lastFullCheckAt: Instant | null = null;
  private running = false;
  /** Fan-in sets that the state service refused to have written, and until when that isn't tried again. */
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

  /** A blocked job was heard of. */
  requestCheck(id: string): void {
    if (!this.running) return;
    this.pendingChecks.add(id);
    this.checkRequested.notify();
  }

  /** A job has its commit: those that depend on it are checked. */
  jobEnded(id: string): void {
    for (const child of this.jobCache.dependencies.childrenOf(id)) this.requestCheck(child);
  }

  /** For as long as this node leads. */
  readonly run: Effect.Effect<never> = Effect.suspend(() => {
    this.running = true;
    this.lastFullCheckAt = null;
    return Effect.forever(this.checkRound);
  }).pipe(
    Effect.ensuring(
      Effect.sync(() => {
        this.running = false;
        this.pendingChecks.clear();
        this.failedChecks.clear();
      }),
    ),
  );

  private readonly checkRound = Effect.gen(this, function* () {
    if (this.lastFullCheckAt === null || hasElapsed(now(), this.lastFullCheckAt, FULL_CHECK_INTERVAL)) {
      this.lastFullCheckAt = now();
      for (const id of this.jobCache.blocked.keys()) this.pendingChecks.add(id);
    }
    const batch = [...this.pendingChecks];
    this.pendingChecks.clear();
    yield* Effect.forEach(batch, (id) => this.check(id), {
      concurrency: MAX_CONCURRENT_CHECKS,
      discard: true,
    });
    // what a write of this round led to goes on at once
    if (this.pendingChecks.size === 0) yield* this.checkRequested.wait(CHECK_INTERVAL);
    for (const id of this.failedChecks) this.pendingChecks.add(id);
    this.failedChecks.clear();
  }).pipe(
    Effect.catchAllCause((cause) =>
      Effect.zipRight(
        Effect.sync(() => this.log.error({ cause: cause.toString() }, "releasing blocked jobs failed")),
        Effect.sleep(CHECK_INTERVAL),
      ),
    ),
  );

  /** Checks one job; a write that isn't taken is tried again after a moment. */
  private check(id: string): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const job = this.jobCache.blocked.get(id);
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
          this.log.debug({ job: id, reason: error.reason }, "join delayed");
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
          this.log.info({ job: id }, "cancelled with a job that it depends on");
          return;
        case "join":
          // adds to full or missing sets release nothing
          if (fanin !== null && !fanin.released)
            yield* this.join(id, job, fanin, { joined: step.joined, released: step.fills });
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
      // accepted a moment ago, and not heard of here yet
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

  /** The add, and with the filling one the release, in one conditional write (S12, S13). */
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
        // the same add would be refused again: ever longer pauses
        this.rejectedUntil.set(id, plus(now(), this.rejections.rejected("fan-in", result.error, id)));
        return;
      }
      this.rejections.accepted("fan-in", id);
      this.rejectedUntil.delete(id);
      if (result.ok) {
        this.jobCache.putFanin(id, fanin, result.revision);
        if (!fanin.released) return;
        this.jobCache.put(keys.job(id), released, result.revision);
        this.log.info({ job: id }, "released");
        return;
      }
      // somebody else's add, or a late one of an earlier leader, came first: the next check rests on that
      if (result.failed.includes(keys.fanin(id)) || result.failed.length === 0) yield* this.readFanin(id);
    });
  }
}
