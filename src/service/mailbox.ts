/**
 * The way round when controllers can't reach one another: a member puts its news for the leader into the state
 * service, on its lease, and the leader watches for them. It costs changes, so it is used only after ordinary
 * messages failed, and news go the ordinary way again as soon as that works.
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { keys } from "../core/records.js";
import type { Log } from "../io/log.js";
import { type Sync, syncCodec } from "../io/peer-codec.js";
import type { StateClient } from "../io/state-client.js";

/** Bytes of news in one value, before they are written as text; and values in one transaction. */
const PIECE = 9000;
const MAX_PIECES = 4;

interface Piece {
  readonly of: number;
  readonly data: string;
}

/** The transaction's values for this piece of news; null: too much for one. */
export const toPieces = (sync: Sync): Piece[] | null => {
  const bytes = syncCodec.encode(sync);
  const of = Math.ceil(bytes.length / PIECE);
  if (of > MAX_PIECES) return null;
  return Array.from({ length: of }, (_, i) => ({
    of,
    data: bytes.subarray(i * PIECE, (i + 1) * PIECE).toString("base64"),
  }));
};

/** Puts together what one transaction wrote; what is no news is ignored. */
export const fromPieces = (pieces: readonly Piece[]): Sync | null => {
  try {
    if (pieces.length === 0 || pieces.some((p) => p.of !== pieces.length)) return null;
    return syncCodec.decode(Buffer.concat(pieces.map((p) => Buffer.from(p.data, "base64"))));
  } catch {
    return null;
  }
};

export const post = (state: StateClient, me: string, permit: number, sync: Sync): Effect.Effect<boolean> => {
  const pieces = toPieces(sync);
  if (pieces === null) return Effect.succeed(false);
  const puts = pieces.map((value, i) => ({ put: keys.news(me, i), value, permit }));
  return state.commit([], puts).pipe(
    Effect.map((r) => r.ok === true),
    Effect.orElseSucceed(() => false),
  );
};

/** Reads what members post, for as long as it runs. */
export const collect = (state: StateClient, log: Log, received: (sync: Sync) => void): Effect.Effect<never> =>
  Effect.gen(function* () {
    // what was posted before is old news: the members tell a new leader everything
    let { revision } = yield* state.list(keys.newsAll);
    for (;;) {
      const got = yield* state.watch(keys.newsAll, revision, Duration.seconds(20));
      revision = got.revision;
      const byChange = new Map<string, Piece[]>();
      for (const e of got.events) {
        if (e.value === undefined) continue;
        const change = `${e.key.split("/")[1]} ${e.stamp}`;
        (byChange.get(change) ?? byChange.set(change, []).get(change)!).push(e.value as Piece);
      }
      for (const pieces of byChange.values()) {
        const sync = fromPieces(pieces);
        if (sync === null) log.info("news that can't be read were ignored");
        else received(sync);
      }
      yield* Effect.sleep(Duration.millis(100));
    }
  }).pipe(
    Effect.catchAll(() => Effect.sleep(Duration.millis(500))),
    Effect.forever,
  );
