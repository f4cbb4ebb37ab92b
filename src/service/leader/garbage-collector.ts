/**
 * Garbage collection, without haste: deletes keys that are of no more use (answered scale-out requests, ranges and
 * fan-in sets of committed jobs) and writes records of machines anew without those that are gone.
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { MAX_TXN_BYTES } from "../../core/packing.js";
import { keys } from "../../core/records.js";
import { hasElapsed, type Instant, plus } from "../../core/time.js";
import { now } from "../../io/clock.js";
import type { Change } from "../../io/codec.js";
import type { CommitResult, StateError } from "../../io/state-client.js";
import type { Leadership } from "../members/membership.js";
import type { LeaderContext } from "./leader-context.js";
import { opsOf, type Rewrite } from "./machine-record-store.js";
import type { MachineRecorder } from "./machine-recorder.js";
import { jobOfRanges } from "./stored-records.js";

const SWEEP_INTERVAL = Duration.seconds(1);
const SCAN_INTERVAL = Duration.seconds(30);
/** Records of machines changed in one sweep: they mustn't use up the rate of changes. */
const MAX_REWRITES_PER_SWEEP = 6;

/** What one transaction of a sweep does. */
interface Sweep {
  readonly deletes: readonly string[];
  readonly rewrites: readonly Rewrite[];
  /** Changes that the rewrites take. */
  readonly rewriteOps: number;
}

/** Sweeps once a second while this node leads. */
export class GarbageCollector {
  private scannedAt: Instant = now();
  /** Changes in one sweep: fewer once one was refused. */
  private maxSweepOps: number;
  private sweeps = 0;

  constructor(
    private readonly context: LeaderContext,
    private readonly recorder: MachineRecorder,
  ) {
    this.maxSweepOps = context.options.txnOps;
  }

  private readonly sweepOnce = Effect.gen(this, function* () {
    yield* Effect.sleep(SWEEP_INTERVAL);
    const { leadership } = this.context.services.membership;
    if (leadership === null || this.context.schedulerLock === null) return;
    if (hasElapsed(now(), this.scannedAt, SCAN_INTERVAL)) yield* this.scan();
    const sweep = this.nextSweep();
    if (sweep.deletes.length + sweep.rewrites.length === 0) return;
    const result = yield* this.write(sweep, leadership);
    if (result.ok === null) yield* this.handleRejection(sweep, result.error);
    else this.handleResult(sweep, result);
  });

  /** For as long as this node leads. */
  readonly run: Effect.Effect<never> = this.sweepOnce.pipe(Effect.ignore, Effect.forever);

  /** Looks for ranges and fan-in sets of jobs that are over. */
  private scan(): Effect.Effect<void, StateError> {
    return Effect.gen(this, function* () {
      const { jobCache, state } = this.context.services;
      const { staleKeys } = this.context;
      this.scannedAt = now();
      const { rows } = yield* state.list(keys.ranges);
      this.context.schedulerLock?.with((scheduler) => {
        for (const row of rows) if (!scheduler.cluster.jobs.has(jobOfRanges(row))) staleKeys.add(row.key);
      });
      // sets of jobs that an earlier version committed, or whose set wasn't known to who committed them: a set is
      // created with its job, so one without is left over
      for (const id of jobCache.fanins.keys()) if (!jobCache.isUnfinished(id)) staleKeys.add(keys.fanin(id));
    });
  }

  /** A split may need a whole transaction, and so may stale keys: each goes first in its turn. */
  private nextSweep(): Sweep {
    const { staleKeys } = this.context;
    const limits = {
      valueBytes: this.context.valueBytes,
      txnBytes: MAX_TXN_BYTES,
      newKey: this.recorder.newKey,
    };
    const reservedDeletes = ++this.sweeps % 2 === 0 ? Math.min(staleKeys.size, this.maxSweepOps) : 0;
    const maxRewrites = Math.min(MAX_REWRITES_PER_SWEEP, this.maxSweepOps - reservedDeletes);
    const rewrites = this.recorder.store.pendingRewrites(maxRewrites, limits, now());
    const rewriteOps = rewrites.reduce((sum, rewrite) => sum + opsOf(rewrite), 0);
    const deletes = [...staleKeys].slice(0, this.maxSweepOps - rewriteOps);
    return { deletes, rewrites, rewriteOps };
  }

  private write(
    { deletes, rewrites }: Sweep,
    leadership: Leadership,
  ): Effect.Effect<CommitResult, StateError> {
    const created = rewrites.flatMap((rewrite) => rewrite.pieces);
    return this.context.services.state.commit(
      [
        { key: keys.leader, revision: leadership.revision },
        ...created.map(({ key }) => ({ key, revision: 0 })),
      ],
      [
        ...deletes.map((key) => ({ delete: key })),
        ...created.map(({ key, machines }): Change => ({ put: key, value: { machines } })),
        ...rewrites.map(({ key, machines }): Change =>
          machines === null ? { delete: key } : { put: key, value: { machines } },
        ),
      ],
      "later",
    );
  }

  /** Too large for the service: the next sweep does half as much. */
  private handleRejection({ deletes, rewrites, rewriteOps }: Sweep, error: string): Effect.Effect<void> {
    const { rejections } = this.context;
    const { store } = this.recorder;
    store.markRejected(rewrites);
    const [first, ...others] = rewrites;
    this.maxSweepOps = Math.max(1, Math.floor((deletes.length + rewriteOps) / 2));
    if (first !== undefined && others.length + deletes.length === 0) {
      // the same would be refused again, and as the first in line it would hold up all others
      const pause = rejections.noteRejection("record of machines gone", error, first.key);
      store.postpone(first.key, plus(now(), pause));
      return Effect.void;
    }
    return Effect.sleep(rejections.noteRejection("sweep", error));
  }

  private handleResult({ deletes, rewrites }: Sweep, result: Exclude<CommitResult, { ok: null }>): void {
    const { options, rejections, staleKeys } = this.context;
    const { store } = this.recorder;
    rejections.reset("sweep");
    for (const { key } of rewrites) rejections.reset("record of machines gone", key);
    if (result.ok) {
      this.maxSweepOps = Math.min(options.txnOps, this.maxSweepOps + 1);
      for (const key of deletes) staleKeys.delete(key);
      store.markWritten(rewrites);
      return;
    }
    // a piece that exists: an earlier copy of its split, whose answer was lost, was carried out
    const { failed } = result;
    store.markWritten(rewrites.filter(({ pieces }) => pieces.some((piece) => failed.includes(piece.key))));
  }
}
