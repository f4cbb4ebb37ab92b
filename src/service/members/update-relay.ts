/**
 * Fallback for when controllers can't reach one another: a store-and-forward channel through the state service. A
 * member writes an update for the leader there, attached to its lease, and the leader watches for it. This uses up the
 * rate of changes, so it is used only while direct messages fail.
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { jsonBytes, maxValueBytes } from "../../core/packing.js";
import { keys } from "../../core/records.js";
import type { WatchEvent } from "../../io/codec.js";
import type { Log } from "../../io/log.js";
import { type SyncRequest, syncRequestCodec } from "../../io/peer-codec.js";
import type { StateClient, WatchedEvents } from "../../io/state-client.js";

/** Counted before base64 encoding. */
const MAX_FRAGMENT_BYTES = 9000;
const MAX_FRAGMENTS = 4;
const WATCH_TIMEOUT = Duration.seconds(20);
const WATCH_PAUSE = Duration.millis(100);
const RETRY_PAUSE = Duration.millis(500);

/** The size limits of a relayed update. */
export interface FragmentLimits {
  /** Maximum number of an update's bytes in one value, before base64 encoding. */
  readonly maxBytes: number;
  /** Maximum number of values in one transaction. */
  readonly maxFragments: number;
}

/** The limits, given those of the state service: KiB per value, and changes per transaction. */
export const fragmentLimits = (valueKb: number, txnOps: number): FragmentLimits => {
  const textBytes = maxValueBytes(valueKb) - jsonBytes({ of: MAX_FRAGMENTS, data: "" });
  // base64 encodes three bytes as four characters
  return {
    maxBytes: Math.min(MAX_FRAGMENT_BYTES, Math.floor(textBytes / 4) * 3),
    maxFragments: Math.min(MAX_FRAGMENTS, txnOps),
  };
};

/** A part of an update as it is stored. Other versions read and write it, so its property names must not change. */
export interface Fragment {
  /** Number of fragments of the update. */
  readonly of: number;
  /** The fragment's bytes, in base64. */
  readonly data: string;
}

const isFragment = (value: unknown): value is Fragment =>
  typeof value === "object" &&
  value !== null &&
  "of" in value &&
  typeof value.of === "number" &&
  "data" in value &&
  typeof value.data === "string";

/** Encodes an update as the values of one transaction; null: it is too large for one transaction. */
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

/** Decodes the values that one transaction wrote; null: they aren't a valid update. */
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

/** The result of relaying an update. After `too large` and `rejected` a smaller one might be accepted. */
export type RelayResult =
  | { readonly kind: "relayed" }
  /** It wasn't written, or the outcome is unknown. */
  | { readonly kind: "failed" }
  /** It wasn't sent, since it doesn't fit into one transaction. */
  | { readonly kind: "too large" }
  /** The state service rejected it, and would reject it again. */
  | { readonly kind: "rejected"; readonly reason: string };

/** An update, and what is needed to write it to the state service. */
export interface Relay {
  readonly state: StateClient;
  readonly member: string;
  readonly leaseId: number;
  readonly update: SyncRequest;
  readonly limits: FragmentLimits;
}

/** Writes an update to the state service, attached to the member's lease. */
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

/** Groups values by update, that is by member and transaction, in the order of the events. */
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

/** Settings and dependencies of `receiveUpdates`. */
export interface UpdateReceiver {
  readonly state: StateClient;
  readonly log: Log;
  /** The revision of the leader's key: members sent everything before it to earlier leaders. */
  readonly leaderRevision: number;
  /** Whether this node may take in updates now; until then they wait. */
  readonly mayReceive: () => boolean;
  readonly onUpdate: (update: SyncRequest) => void;
}

/**
 * Receives the updates that members relay to a leader. After a failure the watch goes on where it was, so that what is
 * relayed meanwhile isn't missed. Never ends; malformed updates are logged and skipped.
 */
export const receiveUpdates = ({
  state,
  log,
  leaderRevision,
  mayReceive,
  onUpdate,
}: UpdateReceiver): Effect.Effect<never> =>
  Effect.suspend(() => {
    /** The revision up to which updates were received; null: the service no longer keeps the changes since then. */
    let receivedUpTo: number | null = leaderRevision;
    return Effect.gen(function* () {
      receivedUpTo ??= (yield* state.list(keys.memberUpdates)).revision;
      for (;;) {
        const answer: WatchedEvents = yield* state.watch(keys.memberUpdates, receivedUpTo, WATCH_TIMEOUT);
        while (!mayReceive()) yield* Effect.sleep(WATCH_PAUSE);
        const { revision } = answer;
        receivedUpTo = revision;
        for (const values of valuesByTransaction(answer.events)) {
          const update = fromFragments(values);
          if (update === null) log.info({ revision }, "ignored a malformed relayed update");
          else onUpdate(update);
        }
        yield* Effect.sleep(WATCH_PAUSE);
      }
    }).pipe(
      Effect.catchAll((error) => {
        if (error._tag === "TooOld") {
          receivedUpTo = null;
          log.warn(
            "relayed updates were missed: the state service no longer keeps the changes since the last one",
          );
        }
        return Effect.sleep(RETRY_PAUSE);
      }),
      Effect.forever,
    );
  });
