/**
 * Looks after waiting jobs while this node leads: each parent's commit joins the sets of the jobs that wait for it, the
 * add that fills a set releases its job in the same conditional write, and a cancelled parent's outcome passes on.
 * A commit that this process made is followed by its joins at once. Whatever was missed (a leader that ended between a
 * commit and its joins, a job accepted while its parent committed) is found by looking at what still waits: at all of it
 * after a take-over and every few seconds, at the rest only where something changed.
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { faninStep, type ParentState } from "../../core/jobs/fanin.js";
import { type CommitRecord, type FaninRecord, keys } from "../../core/records.js";
import { type Instant, hasElapsed, plus } from "../../core/time.js";
import { now } from "../../io/clock.js";
import { releasedRecord } from "../../io/codec.js";
import type { Log } from "../../io/log.js";
import type { StateClient } from "../../io/state-client.js";
import type { Fanin, JobCache } from "../job-cache.js";
import { RejectionBackoff } from "../rejection-backoff.js";
import { LEADER_WRITE_TIMEOUT } from "./leader-write-timeout.js";
import { Signal } from "../signal.js";
import type { JobStatusReader } from "../api/job-status.js";

const LOOK_EVERY = Duration.seconds(1);
const LOOK_AT_ALL_EVERY = Duration.seconds(5);
const AT_ONCE = 4;

export class JobReleaser {
  private readonly changed = new Set<string>();
  /** Those with a join that the state service didn't take: looked at again after a moment. */
  private readonly delayed = new Set<string>();
  private readonly wake = new Signal();
  private lookedAtAll: Instant | null = null;
  private running = false;
  /** Sets that the state service refused to have written, and until when that isn't tried again. */
  private readonly refusedUntil = new Map<string, Instant>();
  private readonly refusals: RejectionBackoff;

  constructor(
    private readonly state: StateClient,
    private readonly jobCache: JobCache,
    private readonly status: JobStatusReader,
    private readonly log: Log,
  ) {
    this.refusals = new RejectionBackoff(log);
  }

  /** A waiting job was heard of. */
  waitingSeen(id: string): void {
    if (!this.running) return;
    this.changed.add(id);
    this.wake.notify();
  }

  /** A job has its commit: those that wait for it are looked at. */
  over(id: string): void {
    for (const child of this.jobCache.waiters.childrenOf(id)) this.waitingSeen(child);
  }

  /** For as long as this node leads. */
  readonly run: Effect.Effect<never> = Effect.suspend(() => {
    this.running = true;
    this.lookedAtAll = null;
    return Effect.forever(this.round);
  }).pipe(
    Effect.ensuring(
      Effect.sync(() => {
        this.running = false;
        this.changed.clear();
        this.delayed.clear();
      }),
    ),
  );

  private readonly round = Effect.gen(this, function* () {
    if (this.lookedAtAll === null || hasElapsed(now(), this.lookedAtAll, LOOK_AT_ALL_EVERY)) {
      this.lookedAtAll = now();
      for (const id of this.jobCache.waiting.keys()) this.changed.add(id);
    }
    const some = [...this.changed];
    this.changed.clear();
    yield* Effect.forEach(some, (id) => this.settle(id), { concurrency: AT_ONCE, discard: true });
    // what a write of this round led to goes on at once
    if (this.changed.size === 0) yield* this.wake.wait(LOOK_EVERY);
    for (const id of this.delayed) this.changed.add(id);
    this.delayed.clear();
  }).pipe(
    Effect.catchAllCause((cause) =>
      Effect.zipRight(
        Effect.sync(() => this.log.error({ cause: cause.toString() }, "looking after waiting jobs failed")),
        Effect.sleep(LOOK_EVERY),
      ),
    ),
  );

  private settle(id: string): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const job = this.jobCache.waiting.get(id);
      if (job === undefined) {
        this.refusedUntil.delete(id);
        return;
      }
      const until = this.refusedUntil.get(id);
      if (until !== undefined && now() < until) return;
      const { dependsOn, tasks } = job.spec;
      const outcomes = new Map<string, ParentState>();
      for (const parent of dependsOn) outcomes.set(parent, yield* this.parentState(parent));
      const set = this.jobCache.fanins.get(id) ?? (yield* this.readSet(id));
      const step = faninStep(dependsOn, set?.joined ?? [], (parent) => outcomes.get(parent)!);
      if (step.kind === "wait") return;
      if (step.kind === "cancel") {
        yield* this.status.cancelWaiting(id, tasks);
        this.log.info({ job: id }, "cancelled with a job that it needs");
        return;
      }
      // adds to full or missing sets release nothing
      if (set === null || set.released) return;
      yield* this.join(id, job.revision, job.record, set, { joined: step.joined, released: step.fills });
    }).pipe(
      Effect.catchAll((e) =>
        Effect.sync(() => {
          this.delayed.add(id);
          this.log.debug({ job: id, why: e.why }, "a join is delayed");
        }),
      ),
    );
  }

  private parentState(id: string) {
    return Effect.gen(this, function* () {
      if (this.jobCache.isUnfinished(id)) return "open" as const;
      const known = this.status.outcome(id);
      if (known !== undefined) return known.outcome;
      const row = yield* this.state.get(keys.commit(id));
      // accepted a moment ago, and not heard of here yet
      if (row === null) return "unknown" as const;
      const commit = row.value as CommitRecord;
      this.status.remember(id, commit);
      return commit.outcome;
    });
  }

  private readSet(id: string) {
    return Effect.gen(this, function* () {
      const row = yield* this.state.get(keys.fanin(id));
      if (row !== null) this.jobCache.putFanin(id, row.value, row.revision);
      return this.jobCache.fanins.get(id) ?? null;
    });
  }

  /** The add, and with the filling one the release, in one conditional write. */
  private join(id: string, revision: number, record: object, set: Fanin, fanin: FaninRecord) {
    return Effect.gen(this, function* () {
      const released = releasedRecord(record, new Date());
      const result = yield* this.state.commit(
        [
          { key: keys.fanin(id), revision: set.revision },
          { key: keys.blockedJob(id), revision },
          { key: keys.commit(id), revision: 0 },
        ],
        [
          { put: keys.fanin(id), value: fanin },
          ...(fanin.released
            ? [{ put: keys.job(id), value: released }, { delete: keys.blockedJob(id) }]
            : []),
        ],
        "first",
        LEADER_WRITE_TIMEOUT,
      );
      if (result.ok === null) {
        // the same add would be refused again: ever longer pauses
        this.refusedUntil.set(id, plus(now(), this.refusals.refused("fan-in", result.error, id)));
        return;
      }
      this.refusals.accepted("fan-in", id);
      this.refusedUntil.delete(id);
      if (result.ok === true) {
        this.jobCache.putFanin(id, fanin, result.revision);
        if (!fanin.released) return;
        this.jobCache.put(keys.job(id), released, result.revision);
        this.log.info({ job: id }, "released");
        return;
      }
      // somebody else's add, or a late one of an earlier leader, came first: the next look rests on that
      if (result.failed.includes(keys.fanin(id)) || result.failed.length === 0) yield* this.readSet(id);
    });
  }
}
