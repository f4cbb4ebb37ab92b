/** What each shard costs its owner, by what the leader sees. */
import * as Duration from "effect/Duration";
import type { ShardId, ShardLoad } from "#shards";

/** The share of the newest second in the smoothed rate of commands. */
const SMOOTHING = 0.1;
/** Batches a second below which a rate is forgotten. */
const NEGLIGIBLE_RATE = 1e-3;

/** Counts commands by shard; the rest follows from the machines. */
export class ShardLoads {
  /** Batches of commands since the last call of `updateRates`. */
  private readonly batchesSinceUpdate = new Map<ShardId, number>();
  /** Smoothed batches a second; shards without commands have no entry. */
  private readonly rates = new Map<ShardId, number>();

  /** `heartbeatInterval`: the time between two heartbeats of a worker. */
  constructor(private readonly heartbeatInterval: Duration.Duration) {}

  /** A batch of commands to a machine of the shard. */
  commandsSent(shard: ShardId): void {
    this.batchesSinceUpdate.set(shard, (this.batchesSinceUpdate.get(shard) ?? 0) + 1);
  }

  /** Another second is over. */
  updateRates(): void {
    for (const shard of new Set([...this.batchesSinceUpdate.keys(), ...this.rates.keys()])) {
      const before = this.rates.get(shard) ?? 0;
      const rate = before + SMOOTHING * ((this.batchesSinceUpdate.get(shard) ?? 0) - before);
      if (rate < NEGLIGIBLE_RATE) this.rates.delete(shard);
      else this.rates.set(shard, rate);
    }
    this.batchesSinceUpdate.clear();
  }

  /** The loads of shards with so many machines each. */
  loadsOf(machines: ReadonlyMap<ShardId, number>): ReadonlyMap<ShardId, ShardLoad> {
    const seconds = Duration.toSeconds(this.heartbeatInterval);
    return new Map(
      [...machines].map(([shard, count]) => [
        shard,
        {
          machines: count,
          heartbeatsPerSecond: count / seconds,
          commandsPerSecond: this.rates.get(shard) ?? 0,
        },
      ]),
    );
  }
}
