/** Conditional writes of shard records. */
import * as Effect from "effect/Effect";
import { encodeShardState, type ShardWrite, type WriteOutcome } from "#shards";
import { keys } from "../../core/records.js";
import { shardKeys } from "../../core/shards/shard-keys.js";
import type { Log } from "../../io/log.js";
import type { StateClient } from "../../io/state-client.js";
import { RejectionBackoff } from "../rejection-backoff.js";
import type { ShardView } from "./shard-view.js";

/** Writes shard records on condition that they and the term are unchanged since they were read. */
export class ShardWriter {
  private readonly rejections: RejectionBackoff;

  constructor(
    private readonly state: StateClient,
    private readonly view: ShardView,
    log: Log,
  ) {
    this.rejections = new RejectionBackoff(log);
  }

  /** Carries out all of these writes, or none; all must be of one term. `unknown`: they may still be carried out. */
  write(writes: readonly ShardWrite[]): Effect.Effect<WriteOutcome> {
    const [first] = writes;
    if (first === undefined) return Effect.succeed("written");
    const conditions = [
      { key: keys.term, revision: first.termRevision },
      ...writes.map(({ shard, revision }) => ({ key: shardKeys.owner(shard), revision })),
    ];
    const changes = writes.map(({ shard, state }) => ({
      put: shardKeys.owner(shard),
      value: encodeShardState(state),
    }));
    return this.state.commit(conditions, changes).pipe(
      Effect.flatMap((result): Effect.Effect<WriteOutcome> => {
        if (result.ok === null)
          return Effect.as(Effect.sleep(this.rejections.noteRejection("shards", result.error)), "unknown");
        this.rejections.reset("shards");
        if (!result.ok) return Effect.succeed("failed");
        for (const { shard, state } of writes)
          this.view.applyOwnWrite(shard, { revision: result.revision, state });
        return Effect.succeed("written");
      }),
      Effect.catchAll(() => Effect.succeed("unknown" as const)),
    );
  }
}
