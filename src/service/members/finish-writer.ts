/**
 * Stores finished tasks as range records in the state service, so that they outlive the heartbeats that told of them
 * (S7). Each write has the condition that its jobs have no commit yet (S8).
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import type { FinishStore, FinishWrite, StoreResult } from "../../core/members/finish-store.js";
import { MAX_TXN_BYTES, maxValueBytes } from "../../core/packing.js";
import { keys } from "../../core/records.js";
import { now } from "../../io/clock.js";
import type { Change, Condition } from "../../io/codec.js";
import type { Log } from "../../io/log.js";
import type { StateClient } from "../../io/state-client.js";
import type { RejectionBackoff } from "../rejection-backoff.js";
import type { Membership } from "./membership.js";

/** Bytes of one range record at most. */
const MAX_RANGE_RECORD_BYTES = 3000;
/** With its key, a condition and names a range record needs so many bytes more of a transaction. */
const RECORD_OVERHEAD_BYTES = 400;
const STORE_INTERVAL = Duration.seconds(1);

/** How many bytes one range record may have, by the state service's limits: kB a value, and changes a transaction. */
export const maxRangeRecordBytes = (valueKb: number, txnOps: number): number =>
  Math.min(
    MAX_RANGE_RECORD_BYTES,
    maxValueBytes(valueKb),
    Math.floor(MAX_TXN_BYTES / txnOps) - RECORD_OVERHEAD_BYTES,
  );

/** What the state service said to one transaction of finishes. */
type TransactionResult =
  | { readonly kind: "stored" }
  /** Nothing was written: these conditions failed. */
  | { readonly kind: "conflict"; readonly failedKeys: readonly string[] }
  /** Nothing was written, nor will be as it is: something in it is too large. */
  | { readonly kind: "rejected"; readonly reason: string }
  /** Nothing was written, or it may be written yet. */
  | { readonly kind: "unanswered"; readonly reason: string };

/** What a finish writer works with. */
export interface FinishWriterOptions {
  readonly me: string;
  /** Changes that one transaction may hold. */
  readonly txnOps: number;
  readonly finishes: FinishStore;
  readonly membership: Membership;
  readonly state: StateClient;
  readonly rejections: RejectionBackoff;
  readonly log: Log;
  /** Whether a job is known and unfinished here: only such a job's finishes are stored. */
  readonly isOpen: (job: string) => boolean;
  /** Called when finishes were stored, or writing them failed. */
  readonly onWritten: () => void;
}

/** Stores finishes for as long as `run` runs. */
export class FinishWriter {
  /** Puts in one transaction: fewer once that was too much, and one more again after each that wasn't. */
  private maxPuts: number;

  constructor(private readonly options: FinishWriterOptions) {
    this.maxPuts = options.txnOps;
  }

  private commit(
    writes: readonly FinishWrite[],
    changes: readonly Change[],
  ): Effect.Effect<TransactionResult> {
    const conditions: Condition[] = writes.map(({ job }) => ({ key: keys.commit(job), revision: 0 }));
    return this.options.state.commit(conditions, changes, "later").pipe(
      Effect.map((result): TransactionResult => {
        if (result.ok === null) return { kind: "rejected", reason: result.error };
        return result.ok ? { kind: "stored" } : { kind: "conflict", failedKeys: result.failed };
      }),
      Effect.catchAll((error) =>
        Effect.succeed<TransactionResult>({ kind: "unanswered", reason: error.reason }),
      ),
    );
  }

  /** Makes transactions smaller after a rejection, and larger again after an answer that was none. */
  private adaptSize(result: TransactionResult, puts: number): Effect.Effect<void> {
    const { rejections, txnOps, log } = this.options;
    if (result.kind === "unanswered") {
      log.debug({ reason: result.reason }, "finishes not stored yet");
      return Effect.void;
    }
    if (result.kind !== "rejected") {
      rejections.accepted("finishes");
      this.maxPuts = Math.min(txnOps, this.maxPuts + 1);
      return Effect.void;
    }
    // half of what was sent, which may be less than could have been: that soon shows which one is too large
    this.maxPuts = Math.max(1, Math.floor(puts / 2));
    const pause = rejections.rejected("finishes", result.reason);
    // one by itself is put off by the finish store; others needn't wait for that
    return puts <= 1 ? Effect.void : Effect.sleep(pause);
  }

  /** Which record is too large isn't known until it goes alone; it then gives way to the others. */
  private resultOf(write: FinishWrite, result: TransactionResult, puts: number): StoreResult {
    if (result.kind === "stored") return "stored";
    if (result.kind === "conflict" && result.failedKeys.includes(keys.commit(write.job))) return "over";
    return result.kind === "rejected" && puts <= 1 ? "refused" : "failed";
  }

  /** One transaction. true: it was stored, or what kept it from that is known, so the next may follow at once. */
  private write(writes: readonly FinishWrite[]): Effect.Effect<boolean> {
    return Effect.gen(this, function* () {
      const changes = writes.flatMap((write) =>
        write.puts.map((put): Change => ({ put: put.key, value: { ranges: put.ranges } })),
      );
      const result = yield* this.commit(writes, changes);
      yield* this.adaptSize(result, changes.length);
      for (const write of writes)
        this.options.finishes.writeAnswered(write, this.resultOf(write, result, changes.length), now());
      this.options.onWritten();
      return result.kind === "stored" || (result.kind === "conflict" && result.failedKeys.length > 0);
    });
  }

  /** Never ends; what fails is tried again. */
  readonly run: Effect.Effect<never> = Effect.gen(this, function* () {
    const { me, membership, finishes, isOpen } = this.options;
    yield* Effect.sleep(STORE_INTERVAL);
    let isAnswered = true;
    while (isAnswered && membership.leaseId !== null) {
      // a restarted member must not overwrite what its earlier process stored
      const writer = `${me}.${membership.incarnation}`;
      const writes = finishes.beginWrites(writer, this.maxPuts, now(), isOpen);
      if (writes.length === 0) break;
      isAnswered = yield* this.write(writes);
    }
  }).pipe(
    Effect.catchAllCause((cause) =>
      Effect.sync(() => this.options.log.error({ reason: cause.toString() }, "storing finishes failed")),
    ),
    Effect.forever,
  );
}
