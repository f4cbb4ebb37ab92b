/**
 * The way round when controllers can't reach one another: a store-and-forward channel through the state service. A
 * member puts an update for the leader there, on its lease, and the leader watches for it. It costs changes, so it is
 * used only after ordinary messages failed, and updates go the ordinary way again as soon as that works.
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { jsonBytes, maxValueBytes } from "../../core/packing.js";
import { keys } from "../../core/records.js";
import type { WatchEvent } from "../../io/codec.js";
import type { Log } from "../../io/log.js";
import { type SyncRequest, syncRequestCodec } from "../../io/peer-codec.js";
import type { StateClient } from "../../io/state-client.js";

/** Bytes of an update in one fragment at most. */
const MAX_FRAGMENT_BYTES = 9000;
const MAX_FRAGMENTS = 4;
const WATCH_TIMEOUT = Duration.seconds(20);
const WATCH_PAUSE = Duration.millis(100);
const RETRY_PAUSE = Duration.millis(500);

/** How much of an update fits into the state service's values and transactions. */
export interface FragmentLimits {
  /** Bytes of an update in one value, before they are written as text. */
  readonly maxBytes: number;
  /** Values in one transaction. */
  readonly maxFragments: number;
}

/** The limits that follow from the state service's: kB a value, and changes a transaction. */
export const fragmentLimits = (valueKb: number, txnOps: number): FragmentLimits => {
  const textBytes = maxValueBytes(valueKb) - jsonBytes({ of: MAX_FRAGMENTS, data: "" });
  // base64 writes three bytes as four characters
  return {
    maxBytes: Math.min(MAX_FRAGMENT_BYTES, Math.floor(textBytes / 4) * 3),
    maxFragments: Math.min(MAX_FRAGMENTS, txnOps),
  };
};

/** A part of an update as it is stored; other versions read and write it, so its names stay. */
export interface Fragment {
  /** How many there are of the update. */
  readonly of: number;
  /** Base64 of its bytes. */
  readonly data: string;
}

const isFragment = (value: unknown): value is Fragment =>
  typeof value === "object" &&
  value !== null &&
  "of" in value &&
  typeof value.of === "number" &&
  "data" in value &&
  typeof value.data === "string";

/** The transaction's values for this update; null: too much for one transaction. */
export const toFragments = (update: SyncRequest, limits: FragmentLimits): Fragment[] | null => {
  const { maxBytes, maxFragments } = limits;
  const bytes = syncRequestCodec.encode(update);
  const count = Math.ceil(bytes.length / maxBytes);
  if (count > maxFragments) return null;
  return Array.from({ length: count }, (_, index) => ({
    of: count,
    data: bytes.subarray(index * maxBytes, (index + 1) * maxBytes).toString("base64"),
  }));
};

/** Puts together the values that one transaction wrote; null: they are no update. */
export const fromFragments = (values: readonly unknown[]): SyncRequest | null => {
  const fragments = values.filter(isFragment);
  if (values.length === 0 || fragments.length < values.length) return null;
  if (fragments.some((fragment) => fragment.of !== fragments.length)) return null;
  try {
    return syncRequestCodec.decode(
      Buffer.concat(fragments.map((fragment) => Buffer.from(fragment.data, "base64"))),
    );
  } catch {
    return null;
  }
};

/** What became of an update. After `too large` and `rejected` less might be taken. */
export type RelayResult =
  | { readonly kind: "relayed" }
  /** It wasn't written, or may be written yet. */
  | { readonly kind: "failed" }
  /** It doesn't fit into one transaction, by our own count. */
  | { readonly kind: "too large" }
  /** The state service takes it as it is at no time. */
  | { readonly kind: "rejected"; readonly reason: string };

/** An update, and what it takes to leave it in the state service. */
export interface Relay {
  readonly state: StateClient;
  readonly member: string;
  readonly leaseId: number;
  readonly update: SyncRequest;
  readonly limits: FragmentLimits;
}

/** Leaves an update in the state service, on the member's lease. */
export const relayUpdate = ({
  state,
  member,
  leaseId,
  update,
  limits,
}: Relay): Effect.Effect<RelayResult> => {
  const fragments = toFragments(update, limits);
  if (fragments === null) return Effect.succeed({ kind: "too large" });
  const puts = fragments.map((value, index) => ({ put: keys.memberUpdate(member, index), value, leaseId }));
  return state.commit([], puts).pipe(
    Effect.map((result): RelayResult => {
      if (result.ok === null) return { kind: "rejected", reason: result.error };
      return result.ok ? { kind: "relayed" } : { kind: "failed" };
    }),
    Effect.orElseSucceed((): RelayResult => ({ kind: "failed" })),
  );
};

/** The values of each update: those that one member wrote in one transaction, in the order of the events. */
const valuesByTransaction = (events: readonly WatchEvent[]): Iterable<unknown[]> => {
  const byTransaction = new Map<string, unknown[]>();
  for (const { key, revision, value } of events) {
    if (value === undefined) continue;
    const transaction = `${key.split("/")[1]} ${revision}`;
    const values = byTransaction.get(transaction);
    if (values === undefined) byTransaction.set(transaction, [value]);
    else values.push(value);
  }
  return byTransaction.values();
};

/** Reads the updates that members relay, for as long as it runs; what can't be read is logged and passed over. */
export const receiveUpdates = (
  state: StateClient,
  log: Log,
  onUpdate: (update: SyncRequest) => void,
): Effect.Effect<never> =>
  Effect.gen(function* () {
    // what was relayed before is outdated: the members tell a new leader everything
    let { revision } = yield* state.list(keys.memberUpdates);
    for (;;) {
      const answer = yield* state.watch(keys.memberUpdates, revision, WATCH_TIMEOUT);
      revision = answer.revision;
      for (const values of valuesByTransaction(answer.events)) {
        const update = fromFragments(values);
        if (update === null) log.info({ revision }, "ignored a relayed update that can't be read");
        else onUpdate(update);
      }
      yield* Effect.sleep(WATCH_PAUSE);
    }
  }).pipe(
    Effect.catchAll(() => Effect.sleep(RETRY_PAUSE)),
    Effect.forever,
  );
