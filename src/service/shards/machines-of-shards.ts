/** The machines of each shard, from the leader's scheduler. */
import type { ShardId } from "#shards";
import type { Machine } from "../../core/cluster/cluster.js";
import { fencingTokenOf } from "../../core/leases/term.js";
import type { Scheduler } from "../../core/scheduler/scheduler.js";
import type { SampleWorker } from "../../io/shard-codec.js";
import type { Locked } from "../leader/locked.js";
import type { ShardView } from "./shard-view.js";

/** How many workers the target of a handoff probes. */
const MAX_SAMPLE_WORKERS = 3;

/** Looks up machines by shard. Each lookup scans all machines of the cluster. */
export class MachinesOfShards {
  constructor(
    private readonly scheduler: Locked<Scheduler>,
    private readonly view: ShardView,
  ) {}

  /** The machines of every shard; shards without machines are left out. */
  byShard(): ReadonlyMap<ShardId, readonly Machine[]> {
    const byShard = new Map<ShardId, Machine[]>();
    this.scheduler.with((scheduler) => {
      for (const machine of scheduler.cluster.machines.values()) {
        const shard = this.view.shardOf(machine.id, machine.zone);
        const machines = byShard.get(shard);
        if (machines === undefined) byShard.set(shard, [machine]);
        else machines.push(machine);
      }
    });
    return byShard;
  }

  /** The machines of one shard. */
  of(shard: ShardId): readonly Machine[] {
    return this.scheduler.with((scheduler) =>
      [...scheduler.cluster.machines.values()].filter(
        (machine) => this.view.shardOf(machine.id, machine.zone) === shard,
      ),
    );
  }

  /**
   * Some of a shard's workers that answer at present, with their fencing tokens in this term, for the target to
   * probe.
   */
  sampleWorkers(shard: ShardId, term: number): readonly SampleWorker[] {
    const samples: SampleWorker[] = [];
    for (const machine of this.of(shard)) {
      const { addr, workerEpoch, fencingTokenStep, confirmed, lastHeartbeatAt, unansweredBatches } = machine;
      // a worker that is booting or silent says nothing about whether the target can reach workers
      const isAnswering = confirmed && lastHeartbeatAt !== null && unansweredBatches === 0;
      if (addr === null || !isAnswering) continue;
      samples.push({
        addr,
        session: Math.max(1, workerEpoch),
        token: fencingTokenOf(term, fencingTokenStep),
      });
      if (samples.length >= MAX_SAMPLE_WORKERS) break;
    }
    return samples;
  }
}
