/** The properties that hold after each step of the model, whatever happens. */
import type { ShardId, ShardState, ShardWrite, StoredShard } from "../src/index.js";

/** What the properties are read from. */
export interface ObservedNode {
  readonly name: string;
  /** Whether this node counts the shard's machines as its own right now. */
  readonly counts: (shard: ShardId) => boolean;
}

/** A command that a worker carried out. */
export interface ExecutedCommand {
  readonly machine: string;
  readonly shard: ShardId;
  /** The term in which it was sent. */
  readonly term: number;
  /** The epoch under which the leader decided it. */
  readonly epoch: number;
}

/** Keeps what happened, and says which property broke. */
export class Invariants {
  readonly violations: string[] = [];
  /** How many commands were carried out, to show that a run was no idle one. */
  executedCount = 0;
  /** The owner of each epoch of each shard. */
  private owners = new Map<string, string>();
  /** The latest epoch of each shard that began because the shard had been released. */
  private handoffEpochs = new Map<ShardId, number>();

  /** The same history so far, without what was broken or counted in it. */
  copy(): Invariants {
    const copy = new Invariants();
    copy.owners = new Map(this.owners);
    copy.handoffEpochs = new Map(this.handoffEpochs);
    return copy;
  }

  /** One owner for each epoch. `before`: the record that the write replaced. */
  recordWrite({ shard, state }: ShardWrite, before: StoredShard | undefined): void {
    const { epoch, owner } = state;
    if (before?.state._tag === "Released") this.handoffEpochs.set(shard, epoch);
    const name = `${shard} ${epoch}`;
    const ownerBefore = this.owners.get(name) ?? owner;
    if (ownerBefore !== owner) this.violations.push(`epoch ${name}: ${ownerBefore}, then ${owner}`);
    this.owners.set(name, ownerBefore);
  }

  /**
   * No command is carried out while a shard is released, nor one of an epoch that a handoff ended. `state` undefined: the
   * shard has no record; `presentTerm` null: shards aren't in force, and nothing is promised.
   */
  recordExecution(command: ExecutedCommand, state: ShardState | undefined, presentTerm: number | null): void {
    this.executedCount++;
    if (state === undefined || presentTerm === null) return;
    const { machine, shard, term, epoch } = command;
    const isOwned = state._tag !== "Released";
    // after a change of term an earlier leader's command is in doubt until the worker has seen the new fencing token
    const isPresent = epoch >= (this.handoffEpochs.get(shard) ?? 0) || term !== presentTerm;
    if (!isOwned || !isPresent)
      this.violations.push(`${machine} carried out a command of epoch ${epoch} in ${JSON.stringify(state)}`);
  }

  /** No shard is counted twice. */
  check(shards: readonly ShardId[], nodes: readonly ObservedNode[]): void {
    for (const shard of shards) {
      const owners = nodes.filter((node) => node.counts(shard));
      if (owners.length > 1)
        this.violations.push(`${shard} is counted by ${owners.map((node) => node.name).join(" and ")}`);
    }
  }
}
