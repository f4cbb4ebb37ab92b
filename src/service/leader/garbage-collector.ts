/**
 * Low-priority garbage collection: deletes obsolete keys (answered scale-out requests, range records and fan-in sets of
 * committed jobs) and rewrites machine records without the machines that are gone.
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
/** Keeps rewrites of machine records from using up the rate of changes. */
const MAX_REWRITES_PER_SWEEP = 6;

/** The content of one sweep, which is a single transaction. */
interface Sweep {
  readonly deletes: readonly string[];
  readonly rewrites: readonly Rewrite[];
  /** Number of changes in the transaction that the rewrites need. */
  readonly rewriteOps: number;
}

/** Sweeps once a second while this node leads. */
export class GarbageCollector {
  private lastScanAt: Instant = now();
  /** Maximum number of changes in one sweep, reduced after a rejection. */
  private maxSweepOps: number;
  private sweepCount = 0;

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
    if (hasElapsed(now(), this.lastScanAt, SCAN_INTERVAL)) yield* this.scan();
    const sweep = this.nextSweep();
    if (sweep.deletes.length + sweep.rewrites.length === 0) return;
    const result = yield* this.write(sweep, leadership);
    if (result.ok === null) yield* this.handleRejection(sweep, result.error);
    else this.handleResult(sweep, result);
  });

  /** Sweeps periodically while this node leads. */
  readonly run: Effect.Effect<never> = this.sweepOnce.pipe(Effect.ignore, Effect.forever);

  /** Finds range records and fan-in sets of jobs that have ended. */
  private scan(): Effect.Effect<void, StateError> {
    return Effect.gen(this, function* () {
      const { jobCache, state } = this.context.services;
      const { staleKeys } = this.context;
      this.lastScanAt = now();
      const { rows } = yield* state.list(keys.ranges);
      this.context.schedulerLock?.with((scheduler) => {
        for (const row of rows) if (!scheduler.cluster.jobs.has(jobOfRanges(row))) staleKeys.add(row.key);
      });
      // a fan-in set is created with its job, so a set without an unfinished job is obsolete. It is left over if an
      // earlier version committed the job, or a leader that didn't know of the set
      for (const id of jobCache.fanins.keys()) if (!jobCache.isUnfinished(id)) staleKeys.add(keys.fanin(id));
    });
  }

  /** Rewrites and deletions take turns to go first, since a split or the stale keys may fill a whole transaction. */
  private nextSweep(): Sweep {
    const { staleKeys } = this.context;
    const limits = {
      valueBytes: this.context.valueBytes,
      txnBytes: MAX_TXN_BYTES,
      newKey: this.recorder.newKey,
    };
    const reservedDeletes = ++this.sweepCount % 2 === 0 ? Math.min(staleKeys.size, this.maxSweepOps) : 0;
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

  /** The state service rejected the sweep as too large: the next one makes half as many changes. */
  private handleRejection({ deletes, rewrites, rewriteOps }: Sweep, error: string): Effect.Effect<void> {
    const { rejections } = this.context;
    const { store } = this.recorder;
    store.markRejected(rewrites);
    const [first, ...others] = rewrites;
    this.maxSweepOps = Math.max(1, Math.floor((deletes.length + rewriteOps) / 2));
    if (first !== undefined && others.length + deletes.length === 0) {
      // it would be rejected again and, being the first in line, block all others
      const pause = rejections.noteRejection("machine record rewrite", error, first.key);
      store.postpone(first.key, plus(now(), pause));
      return Effect.void;
    }
    return Effect.sleep(rejections.noteRejection("sweep", error));
  }

  private handleResult({ deletes, rewrites }: Sweep, result: Exclude<CommitResult, { ok: null }>): void {
    const { options, rejections, staleKeys } = this.context;
    const { store } = this.recorder;
    rejections.reset("sweep");
    for (const { key } of rewrites) rejections.reset("machine record rewrite", key);
    if (result.ok) {
      this.maxSweepOps = Math.min(options.txnOps, this.maxSweepOps + 1);
      for (const key of deletes) staleKeys.delete(key);
      store.markWritten(rewrites);
      return;
    }
    // if a piece exists, an earlier copy of its split was carried out and the answer to that was lost
    const { failed } = result;
    store.markWritten(rewrites.filter(({ pieces }) => pieces.some((piece) => failed.includes(piece.key))));
  }
}
