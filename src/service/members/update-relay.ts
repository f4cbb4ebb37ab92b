/**
 * The way round when controllers can't reach one another: a member puts its news for the leader into the state
 * service, on its lease, and the leader watches for them. It costs changes, so it is used only after ordinary
 * messages failed, and news go the ordinary way again as soon as that works.
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { jsonBytes, valueBytes } from "../../core/packing.js";
import { keys } from "../../core/records.js";
import type { Log } from "../../io/log.js";
import { type SyncRequest, syncRequestCodec } from "../../io/peer-codec.js";
import type { StateClient } from "../../io/state-client.js";

const MAX_PIECE = 9000;
const MAX_PIECES = 4;

/** Bytes of news in one value, before they are written as text; and values in one transaction. */
export interface FragmentLimits {
  readonly bytes: number;
  readonly most: number;
}

export const fragmentLimits = (valueKb: number, txnOps: number): FragmentLimits => {
  const text = valueBytes(valueKb) - jsonBytes({ of: MAX_PIECES, data: "" });
  return { bytes: Math.min(MAX_PIECE, Math.floor(text / 4) * 3), most: Math.min(MAX_PIECES, txnOps) };
};

interface Fragment {
  readonly of: number;
  readonly data: string;
}

/** The transaction's values for this piece of news; null: too much for one. */
export const toFragments = (sync: SyncRequest, limits: FragmentLimits): Fragment[] | null => {
  const bytes = syncRequestCodec.encode(sync);
  const of = Math.ceil(bytes.length / limits.bytes);
  if (of > limits.most) return null;
  return Array.from({ length: of }, (_, i) => ({
    of,
    data: bytes.subarray(i * limits.bytes, (i + 1) * limits.bytes).toString("base64"),
  }));
};

/** Puts together what one transaction wrote; what is no news is ignored. */
export const fromFragments = (pieces: readonly Fragment[]): SyncRequest | null => {
  try {
    if (pieces.length === 0 || pieces.some((p) => p.of !== pieces.length)) return null;
    return syncRequestCodec.decode(Buffer.concat(pieces.map((p) => Buffer.from(p.data, "base64"))));
  } catch {
    return null;
  }
};

/** `too large` for us, or `refused` by the service: less might be taken. */
export type RelayResult = "posted" | "failed" | "too large" | { readonly refused: string };

export const relayUpdate = (
  state: StateClient,
  me: string,
  leaseId: number,
  sync: SyncRequest,
  limits: FragmentLimits,
): Effect.Effect<RelayResult> => {
  const pieces = toFragments(sync, limits);
  if (pieces === null) return Effect.succeed("too large");
  const puts = pieces.map((value, i) => ({ put: keys.memberUpdate(me, i), value, leaseId }));
  return state.commit([], puts).pipe(
    Effect.map((r): RelayResult => (r.ok === null ? { refused: r.error } : r.ok ? "posted" : "failed")),
    Effect.orElseSucceed((): RelayResult => "failed"),
  );
};

/** Reads what members post, for as long as it runs. */
export const receiveUpdates = (
  state: StateClient,
  log: Log,
  received: (sync: SyncRequest) => void,
): Effect.Effect<never> =>
  Effect.gen(function* () {
    // what was posted before is old news: the members tell a new leader everything
    let { revision } = yield* state.list(keys.memberUpdates);
    for (;;) {
      const got = yield* state.watch(keys.memberUpdates, revision, Duration.seconds(20));
      revision = got.revision;
      const byChange = new Map<string, Fragment[]>();
      for (const event of got.events) {
        if (event.value === undefined) continue;
        const change = `${event.key.split("/")[1]} ${event.revision}`;
        (byChange.get(change) ?? byChange.set(change, []).get(change)!).push(event.value as Fragment);
      }
      for (const pieces of byChange.values()) {
        const sync = fromFragments(pieces);
        if (sync === null) log.info("news that can't be read were ignored");
        else received(sync);
      }
      yield* Effect.sleep(Duration.millis(100));
    }
  }).pipe(
    Effect.catchAll(() => Effect.sleep(Duration.millis(500))),
    Effect.forever,
  );
