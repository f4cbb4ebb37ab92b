/**
 * Stores finished tasks as range records in the state service, so that they outlive the heartbeats that reported them
 * (S7). Each write is conditional on its jobs having no commit record yet (S8).
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

const MAX_RANGE_RECORD_BYTES = 3000;
/** What a range record takes in a transaction besides its ranges: key, condition and property names. */
const RECORD_OVERHEAD_BYTES = 400;
const STORE_INTERVAL = Duration.seconds(1);

/** Maximum size of a range record, given the state service's limits: KiB per value, and changes per transaction. */
export const maxRangeRecordBytes = (valueKb: number, txnOps: number): number =>
  Math.min(
    MAX_RANGE_RECORD_BYTES,
    maxValueBytes(valueKb),
    Math.floor(MAX_TXN_BYTES / txnOps) - RECORD_OVERHEAD_BYTES,
  );

/** The result of one transaction of range records. */
type TransactionResult =
  | { readonly kind: "stored" }
  /** Nothing was written, because the conditions on these keys failed. */
  | { readonly kind: "conflict"; readonly failedKeys: readonly string[] }
  /** Nothing was written, and a retry would be rejected too, since something in the transaction is too large. */
  | { readonly kind: "rejected"; readonly reason: string }
  /** The transaction was not carried out, or its outcome is unknown. */
  | { readonly kind: "unanswered"; readonly reason: string };

/** Settings and dependencies of `FinishWriter`. */
export interface FinishWriterOptions {
  readonly self: string;
  /** Maximum number of changes in one transaction. */
  readonly txnOps: number;
  readonly finishes: FinishStore;
  readonly membership: Membership;
  readonly state: StateClient;
  readonly rejections: RejectionBackoff;
  readonly log: Log;
  /** Whether this node knows a job as unfinished. Only finished tasks of such jobs are stored. */
  readonly isUnfinished: (job: string) => boolean;
  /** Called after each write, whether it succeeded or failed. */
  readonly onWritten: () => void;
}

/** Stores finished tasks while `run` runs. */
export class FinishWriter {
  /** Maximum number of puts in one transaction: reduced after a rejection, and one more after each other answer. */
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

  /** Makes transactions smaller after a rejection, and larger again after any other answer. */
  private adaptSize(result: TransactionResult, puts: number): Effect.Effect<void> {
    const { rejections, txnOps, log } = this.options;
    if (result.kind === "unanswered") {
      log.debug({ reason: result.reason }, "write of finished tasks failed or unanswered, retrying");
      return Effect.void;
    }
    if (result.kind !== "rejected") {
      rejections.reset("finishes");
      this.maxPuts = Math.min(txnOps, this.maxPuts + 1);
      return Effect.void;
    }
    // half of what was sent, which may be less than the maximum: this soon isolates the record that is too large
    this.maxPuts = Math.max(1, Math.floor(puts / 2));
    const pause = rejections.noteRejection("finishes", result.reason);
    // the finish store postpones a record that was rejected on its own, so others needn't wait
    return puts <= 1 ? Effect.void : Effect.sleep(pause);
  }

  /** The result for one job. A record is only known to be too large if it was rejected on its own. */
  private resultOf(write: FinishWrite, result: TransactionResult, puts: number): StoreResult {
    if (result.kind === "stored") return "stored";
    if (result.kind === "conflict" && result.failedKeys.includes(keys.commit(write.job))) return "over";
    return result.kind === "rejected" && puts <= 1 ? "refused" : "failed";
  }

  /** Writes one transaction; true: it was stored or its failed conditions are known, so the next may follow at once. */
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

  /** Never ends; failed writes are retried. */
  readonly run: Effect.Effect<never> = Effect.gen(this, function* () {
    const { self, membership, finishes, isUnfinished } = this.options;
    yield* Effect.sleep(STORE_INTERVAL);
    let isAnswered = true;
    while (isAnswered && membership.leaseId !== null) {
      // a restarted member must not overwrite what its earlier process stored
      const writer = `${self}.${membership.incarnation}`;
      const writes = finishes.beginWrites(writer, this.maxPuts, now(), isUnfinished);
      if (writes.length === 0) break;
      isAnswered = yield* this.write(writes);
    }
  }).pipe(
    Effect.catchAllCause((cause) =>
      Effect.sync(() =>
        this.options.log.error({ reason: cause.toString() }, "unexpected error while storing finished tasks"),
      ),
    ),
    Effect.forever,
  );
}
