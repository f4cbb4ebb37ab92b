/** The invariants of the simulation, checked after each step. */
import type { ShardId, ShardState, ShardWrite, StoredShard } from "../src/index.js";

/** A node as the invariants see it. */
export interface ObservedNode {
  readonly name: string;
  /** Whether this node counts the shard's machines as its own right now. */
  readonly counts: (shard: ShardId) => boolean;
}

/** A command that a worker executed. */
export interface ExecutedCommand {
  readonly machine: string;
  readonly shard: ShardId;
  /** The term in which it was sent. */
  readonly term: number;
  /** The epoch in which the leader decided it. */
  readonly epoch: number;
}

/** Records what happened, and which invariants were violated. */
export class Invariants {
  readonly violations: string[] = [];
  /** The number of executed commands, to show that a run did some work. */
  executedCount = 0;
  /** The owner of each epoch of each shard. */
  private owners = new Map<string, string>();
  /** The latest epoch of each shard that began after a release. */
  private handoffEpochs = new Map<ShardId, number>();

  /** A copy with the same history, but without its violations and counts. */
  copy(): Invariants {
    const copy = new Invariants();
    copy.owners = new Map(this.owners);
    copy.handoffEpochs = new Map(this.handoffEpochs);
    return copy;
  }

  /** Invariant: each epoch has one owner. `before`: the record that the write replaced. */
  recordWrite({ shard, state }: ShardWrite, before: StoredShard | undefined): void {
    const { epoch, owner } = state;
    if (before?.state._tag === "Released") this.handoffEpochs.set(shard, epoch);
    const name = `${shard} ${epoch}`;
    const ownerBefore = this.owners.get(name) ?? owner;
    if (ownerBefore !== owner)
      this.violations.push(`epoch ${name} has two owners: ${ownerBefore}, then ${owner}`);
    this.owners.set(name, ownerBefore);
  }

  /**
   * Invariant: no command is executed while its shard is released, nor one of an epoch that a handoff ended. `state` undefined:
   * the shard has no record; `presentTerm` null: shards aren't in use, and the invariant doesn't apply.
   */
  recordExecution(command: ExecutedCommand, state: ShardState | undefined, presentTerm: number | null): void {
    this.executedCount++;
    if (state === undefined || presentTerm === null) return;
    const { machine, shard, term, epoch } = command;
    const isOwned = state._tag !== "Released";
    // a command of an earlier term may still be executed until the worker has seen the new fencing token
    const isPresent = epoch >= (this.handoffEpochs.get(shard) ?? 0) || term !== presentTerm;
    if (!isOwned || !isPresent)
      this.violations.push(`${machine} carried out a command of epoch ${epoch} in ${JSON.stringify(state)}`);
  }

  /** Invariant: no shard is counted by two nodes. */
  check(shards: readonly ShardId[], nodes: readonly ObservedNode[]): void {
    for (const shard of shards) {
      const owners = nodes.filter((node) => node.counts(shard));
      if (owners.length > 1)
        this.violations.push(`${shard} is counted by ${owners.map((node) => node.name).join(" and ")}`);
    }
  }
}
