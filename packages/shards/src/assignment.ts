/**
 * Which controller owns which shard, according to the records that this process has read. An assignment is immutable: each
 * change makes a new version, which shares the unchanged records with the previous one.
 */
import * as Either from "effect/Either";
import * as HashMap from "effect/HashMap";
import * as Option from "effect/Option";
import { type Member, rendezvousOwner } from "./rendezvous.js";
import { type ShardId, shardOf, zoneOfShard } from "./shard-id.js";
import { decodeShardState, ShardState, type StoredShard, unreadableState } from "./shard-state.js";

/** A leader's term, with the revision of its record. */
export interface TermView {
  readonly number: number;
  readonly revision: number;
  readonly members: readonly Member[];
}

/** A change of a shard's record; `value` undefined: the record was deleted. */
export interface ShardChange {
  readonly shard: ShardId;
  readonly revision: number;
  readonly value?: unknown;
}

/** The owner of a shard. Without a record the epoch is 0, and the term tells one owner from another. */
export interface Ownership {
  readonly owner: string;
  readonly epoch: number;
}

/** The ownership records of all shards up to one revision, interpreted in one term. */
export class Assignment {
  /** Computed on first use and then kept, since a version never changes. */
  private handoffsExist: boolean | null = null;

  private constructor(
    /** All changes up to this revision are included. */
    readonly revision: number,
    readonly term: TermView | null,
    /** The latest term for which its leader recorded that all members support shards. */
    readonly enabledTerm: number,
    private readonly records: HashMap.HashMap<ShardId, StoredShard>,
  ) {}

  /** The assignment before anything was read. */
  static readonly empty = new Assignment(-1, null, 0, HashMap.empty());

  /** The same records in another term. */
  withTerm(term: TermView): Assignment {
    return new Assignment(this.revision, term, this.enabledTerm, this.records);
  }

  /** Replaces all records by those of a complete read at `revision`. */
  withSnapshot(rows: readonly ShardChange[], enabledTerm: number, revision: number): Assignment {
    const records = rows.reduce(applyChange, HashMap.empty<ShardId, StoredShard>());
    return new Assignment(revision, this.term, enabledTerm, records);
  }

  /** Applies changes, in the order of their revisions; those that are already included are ignored. */
  withChanges(changes: readonly ShardChange[], enabledTerm: number, revision: number): Assignment {
    const records = changes
      .filter((change) => change.revision > this.revision)
      .reduce(applyChange, this.records);
    return new Assignment(Math.max(revision, this.revision), this.term, enabledTerm, records);
  }

  /** Includes a record that this process has just written, without waiting to read it. */
  withOwnWrite(shard: ShardId, stored: StoredShard): Assignment {
    const known = this.recordOf(shard);
    if (known !== null && known.revision >= stored.revision) return this;
    const records = HashMap.set(this.records, shard, stored);
    return new Assignment(this.revision, this.term, this.enabledTerm, records);
  }

  /** Whether the records are as recent as the term, so that they include all changes made in earlier terms. */
  get isFresh(): boolean {
    return this.term !== null && this.revision >= this.term.revision;
  }

  /** Whether shards are in use: the leader recorded for the current term that all its members support them. */
  get inForce(): boolean {
    return this.isFresh && this.term !== null && this.enabledTerm === this.term.number;
  }

  /** A shard's record, or null. */
  recordOf(shard: ShardId): StoredShard | null {
    return Option.getOrNull(HashMap.get(this.records, shard));
  }

  /** All shards that have a record, sorted by name. */
  recordedShards(): readonly (readonly [ShardId, StoredShard])[] {
    return HashMap.toEntries(this.records).sort(([a], [b]) => (a < b ? -1 : 1));
  }

  /** Whether the controller is a member of the current term. */
  isMember(name: string): boolean {
    return this.term?.members.some((member) => member.name === name) ?? false;
  }

  /**
   * The owner of a shard: the one in its record if that is a member of the term, otherwise the one by rendezvous hash.
   * null: the term has no members.
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

  /** Whether a handoff of the shard is in progress, so that the leader sends no commands to its machines. */
  isInHandoff(shard: ShardId): boolean {
    const record = this.recordOf(shard);
    return record !== null && record.state._tag !== "Owned";
  }

  /** Whether a handoff of any shard is in progress. */
  get hasHandoffs(): boolean {
    this.handoffsExist ??= HashMap.some(this.records, ({ state }) => state._tag !== "Owned");
    return this.handoffsExist;
  }

  /** The shards whose records differ from those of an earlier version, sorted by name. */
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
