/** The load that each shard puts on its owner, as measured by the leader. */
import * as Duration from "effect/Duration";
import type { ShardId, ShardLoad } from "#shards";

/** The weight of the latest second in the exponentially smoothed rate of command batches. */
const SMOOTHING_FACTOR = 0.1;
/** Rates below this many batches a second are dropped. */
const MIN_BATCHES_PER_SECOND = 1e-3;

/** Counts batches of commands by shard; the load of heartbeats follows from the number of machines. */
export class ShardLoads {
  /** Batches of commands since the last call of `updateRates`. */
  private readonly batchesSinceUpdate = new Map<ShardId, number>();
  /** Smoothed rates in batches a second; shards without commands have no entry. */
  private readonly rates = new Map<ShardId, number>();

  /** `heartbeatInterval`: the time between two heartbeats of a worker. */
  constructor(private readonly heartbeatInterval: Duration.Duration) {}

  /** Counts a batch of commands to a machine of the shard. */
  countCommandBatch(shard: ShardId): void {
    this.batchesSinceUpdate.set(shard, (this.batchesSinceUpdate.get(shard) ?? 0) + 1);
  }

  /** Updates the smoothed rates; called once a second. */
  updateRates(): void {
    for (const shard of new Set([...this.batchesSinceUpdate.keys(), ...this.rates.keys()])) {
      const before = this.rates.get(shard) ?? 0;
      const rate = before + SMOOTHING_FACTOR * ((this.batchesSinceUpdate.get(shard) ?? 0) - before);
      if (rate < MIN_BATCHES_PER_SECOND) this.rates.delete(shard);
      else this.rates.set(shard, rate);
    }
    this.batchesSinceUpdate.clear();
  }

  /** The loads of shards, given the number of machines of each. */
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
