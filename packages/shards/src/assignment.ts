/**
 * Which controller owns which shard, as far as one process has read. An assignment is immutable: each change makes a new
 * version that shares with the one before all that didn't change.
 */
import * as Either from "effect/Either";
import * as HashMap from "effect/HashMap";
import * as Option from "effect/Option";
import { type Member, rendezvousOwner } from "./rendezvous.js";
import { type ShardId, shardOf, zoneOfShard } from "./shard-id.js";
import { decodeShardState, ShardState, type StoredShard, unreadableState } from "./shard-state.js";

/** A term of the leader, with the revision of its record. */
export interface TermView {
  readonly number: number;
  readonly revision: number;
  readonly members: readonly Member[];
}

/** A change of a shard's record; `value` undefined: it was deleted. */
export interface ShardChange {
  readonly shard: ShardId;
  readonly revision: number;
  readonly value?: unknown;
}

/** An owner of a shard. Epochs without a record (0) are told apart by the term. */
export interface Ownership {
  readonly owner: string;
  readonly epoch: number;
}

/** Every record of a shard's ownership up to one revision, under one term. */
export class Assignment {
  /** Found out when first asked for: a version never changes. */
  private handoffsExist: boolean | null = null;

  private constructor(
    /** All changes up to this revision are in. */
    readonly revision: number,
    readonly term: TermView | null,
    /** The latest term of which the leader wrote that all its members know shards. */
    readonly enabledTerm: number,
    private readonly records: HashMap.HashMap<ShardId, StoredShard>,
  ) {}

  /** Nothing was read yet. */
  static readonly empty = new Assignment(-1, null, 0, HashMap.empty());

  /** The same records under another term. */
  withTerm(term: TermView): Assignment {
    return new Assignment(this.revision, term, this.enabledTerm, this.records);
  }

  /** What a complete read up to `revision` showed, in place of what was known. */
  withSnapshot(rows: readonly ShardChange[], enabledTerm: number, revision: number): Assignment {
    const records = rows.reduce(applyChange, HashMap.empty<ShardId, StoredShard>());
    return new Assignment(revision, this.term, enabledTerm, records);
  }

  /** Changes that came after what is known, in the order of their revisions; older ones change nothing. */
  withChanges(changes: readonly ShardChange[], enabledTerm: number, revision: number): Assignment {
    const records = changes
      .filter((change) => change.revision > this.revision)
      .reduce(applyChange, this.records);
    return new Assignment(Math.max(revision, this.revision), this.term, enabledTerm, records);
  }

  /** A record that this process has just written itself. */
  withOwnWrite(shard: ShardId, stored: StoredShard): Assignment {
    const known = this.recordOf(shard);
    if (known !== null && known.revision >= stored.revision) return this;
    const records = HashMap.set(this.records, shard, stored);
    return new Assignment(this.revision, this.term, this.enabledTerm, records);
  }

  /** Whether the records are as recent as the term: what changes an owner under a term is written under that term. */
  get isFresh(): boolean {
    return this.term !== null && this.revision >= this.term.revision;
  }

  /** Whether shards are in force: the leader wrote with this very term that all its members know them. */
  get inForce(): boolean {
    return this.isFresh && this.term !== null && this.enabledTerm === this.term.number;
  }

  /** A shard's record; null: it has none. */
  recordOf(shard: ShardId): StoredShard | null {
    return Option.getOrNull(HashMap.get(this.records, shard));
  }

  /** Every shard that has a record, in the order of their names. */
  recordedShards(): readonly (readonly [ShardId, StoredShard])[] {
    return HashMap.toEntries(this.records).sort(([a], [b]) => (a < b ? -1 : 1));
  }

  /** Whether the controller takes part in the present term. */
  isMember(name: string): boolean {
    return this.term?.members.some((member) => member.name === name) ?? false;
  }

  /**
   * The owner of a shard: the one in its record, as long as it is a member of the term. Without a record, or with an
   * owner that is gone, it is the one by rendezvous hash. null: there are no members.
   */
  ownershipOf(shard: ShardId): Ownership | null {
    const record = this.recordOf(shard);
    if (record !== null && this.isMember(record.state.owner)) {
      const { owner, epoch } = record.state;
      return { owner, epoch };
    }
    const fallback = this.defaultOwner(shard);
    return fallback === null ? null : { owner: fallback, epoch: record?.state.epoch ?? 0 };
  }

  /** The owner by rendezvous hash among the members of the term. */
  defaultOwner(shard: ShardId): string | null {
    if (this.term === null) return null;
    return rendezvousOwner(this.term.members, shard, zoneOfShard(shard))?.name ?? null;
  }

  /** The owner of the shard that a machine belongs to. */
  ownerOfMachine(machine: string, zone: string): string | null {
    return this.ownershipOf(shardOf(machine, zone))?.owner ?? null;
  }

  /** Whether a handoff of the shard is under way: the leader sends no commands to its machines. */
  isInHandoff(shard: ShardId): boolean {
    const record = this.recordOf(shard);
    return record !== null && record.state._tag !== "Owned";
  }

  /** Whether any shard is in a handoff. */
  get hasHandoffs(): boolean {
    this.handoffsExist ??= HashMap.some(this.records, ({ state }) => state._tag !== "Owned");
    return this.handoffsExist;
  }

  /** The shards whose records differ from those of an earlier version. */
  shardsChangedSince(before: Assignment): readonly ShardId[] {
    const shards = new Set([...HashMap.keys(before.records), ...HashMap.keys(this.records)]);
    return [...shards].filter((shard) => before.recordOf(shard) !== this.recordOf(shard)).sort();
  }
}

const applyChange = (
  records: HashMap.HashMap<ShardId, StoredShard>,
  change: ShardChange,
): HashMap.HashMap<ShardId, StoredShard> => {
  const known = Option.getOrNull(HashMap.get(records, change.shard));
  if (known !== null && known.revision >= change.revision) return records;
  if (change.value === undefined) return HashMap.remove(records, change.shard);
  const state = Either.getOrElse(decodeShardState(change.value), (): ShardState =>
    unreadableState(change.revision),
  );
  return HashMap.set(records, change.shard, { revision: change.revision, state });
};
