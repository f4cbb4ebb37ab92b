/**
 * Which record of the state service holds which machines. Such a record is called a chunk. It is created once with its
 * machines, and later writes only remove machines that are gone. So a delayed copy of an earlier write never hides a
 * machine that may hold tasks (S5).
 *
 * A chunk whose remaining machines exceed the size limit of a value (created by an earlier version or under earlier
 * limits) can't be rewritten. It is split: one transaction creates pieces under new keys and deletes the chunk. The
 * guarantee holds nevertheless, even if a copy of any write is delayed:
 * - Only a split deletes a key that contains machines that aren't gone, and it creates pieces with them in the same
 *   transaction.
 * - A split is conditional on none of its pieces existing, and their keys are used for nothing else. Until a split is
 *   answered it is resent unchanged, and its pieces aren't written in any other way. So a key is always created with
 *   the same content, whichever copy creates it, and later writes only remove machines that are gone.
 * - A delayed rewrite of a chunk that was split recreates the chunk, with machines that are gone or that are in a piece
 *   as well. The next leader reads it and eventually deletes it.
 */
import { jsonBytes, splitRecord } from "../../core/packing.js";
import type { MachineRecord } from "../../core/records.js";
import type { Instant } from "../../core/time.js";

/** What a rewrite or a piece takes in a transaction besides its machines: key, condition and property names. */
const REWRITE_OVERHEAD_BYTES = 250;

type Machines = Readonly<Record<string, MachineRecord>>;

/** A record that a split creates. */
export interface Piece {
  readonly key: string;
  readonly machines: Machines;
}

/** A pending change of one record: it is rewritten, deleted or split. */
export interface Rewrite {
  readonly key: string;
  /** The record's new content; null: the key is deleted, because the record is empty or is split. */
  readonly machines: Machines | null;
  /** The records that a split creates in its place. */
  readonly pieces: readonly Piece[];
  /** The chunk's version that this is based on: if the chunk has changed since, it is written once more. */
  readonly version: number;
}

/** Size limits of a transaction and of one value in it, and a source of keys for new chunks. */
export interface RewriteLimits {
  readonly valueBytes: number;
  readonly txnBytes: number;
  readonly newKey: () => string;
}

interface Chunk {
  readonly machines: Map<string, MachineRecord>;
  version: number;
  /** The pieces of a split that was sent and isn't answered; it may have been carried out, or still be. */
  split: readonly Piece[] | null;
  /** Whether this is a piece of such a split; it isn't written until the split is answered. */
  awaitsSplit: boolean;
  /** Set when its write was rejected on its own: it isn't written again before then. */
  postponedUntil: Instant | null;
}

/** Number of changes that a rewrite needs in a transaction. */
export const opsOf = (rewrite: Rewrite): number => 1 + rewrite.pieces.length;

const bytesOf = ({ machines, pieces }: Rewrite): number =>
  (machines === null ? 0 : jsonBytes(machines)) +
  pieces.reduce((sum, piece) => sum + jsonBytes(piece), 0) +
  REWRITE_OVERHEAD_BYTES;

/** Number of records that a rewrite writes, other than deletions. */
const recordsWritten = ({ machines, pieces }: Rewrite): number => (machines === null ? 0 : 1) + pieces.length;

/** The stored machine records, and which of them have to be rewritten. */
export class MachineRecordStore {
  private readonly chunks = new Map<string, Chunk>();
  private readonly keysByMachine = new Map<string, string[]>();
  private readonly dirty = new Set<string>();

  /** Adds a record that is or may be stored; `awaitsSplit`: it is a piece of a split that isn't answered yet. */
  add(key: string, machines: Machines, awaitsSplit = false): void {
    this.chunks.set(key, {
      machines: new Map(Object.entries(machines)),
      version: 0,
      split: null,
      awaitsSplit,
      postponedUntil: null,
    });
    for (const id of Object.keys(machines))
      this.keysByMachine.set(id, [...(this.keysByMachine.get(id) ?? []), key]);
  }

  /** Removes a machine that is certainly gone. */
  remove(id: string): void {
    for (const key of this.keysByMachine.get(id) ?? []) {
      const chunk = this.chunks.get(key);
      if (chunk === undefined) continue;
      chunk.machines.delete(id);
      chunk.version++;
      this.dirty.add(key);
    }
    this.keysByMachine.delete(id);
  }

  /** Postpones the write of a record that was rejected on its own, so that others go first. */
  postpone(key: string, until: Instant): void {
    const chunk = this.chunks.get(key);
    if (chunk !== undefined) chunk.postponedUntil = until;
  }

  /** Rewrites that need up to `maxOps` changes in total; deletions come first, since they cost the least. */
  pendingRewrites(maxOps: number, limits?: RewriteLimits, at?: Instant): Rewrite[] {
    const candidates = this.dueRewrites(at);
    candidates.sort((rewrite, other) => recordsWritten(rewrite) - recordsWritten(other));
    const chosen: Rewrite[] = [];
    let opsLeft = maxOps;
    let bytesLeft = limits?.txnBytes ?? Infinity;
    for (const candidate of candidates) {
      if (opsLeft < 1) break;
      const rewrite =
        limits === undefined ? candidate : this.splitIfTooLarge(candidate, limits, opsLeft, bytesLeft);
      if (rewrite === null || opsOf(rewrite) > opsLeft) continue;
      const needed = limits === undefined ? 0 : bytesOf(rewrite);
      if (needed > bytesLeft) continue;
      chosen.push(rewrite);
      opsLeft -= opsOf(rewrite);
      bytesLeft -= needed;
    }
    return chosen;
  }

  /** All rewrites that may be made now, in the order in which the records changed. */
  private dueRewrites(at: Instant | undefined): Rewrite[] {
    const candidates: Rewrite[] = [];
    for (const key of this.dirty) {
      const chunk = this.chunks.get(key);
      if (chunk === undefined || chunk.awaitsSplit) continue;
      if (chunk.postponedUntil !== null && at !== undefined && at < chunk.postponedUntil) continue;
      const { machines, version, split } = chunk;
      if (split !== null) candidates.push({ key, machines: null, pieces: split, version });
      else if (machines.size === 0) candidates.push({ key, machines: null, pieces: [], version });
      else candidates.push({ key, machines: Object.fromEntries(machines), pieces: [], version });
    }
    return candidates;
  }

  /** Splits a chunk that is too large for one value; null: the split doesn't fit into this transaction. */
  private splitIfTooLarge(
    rewrite: Rewrite,
    limits: RewriteLimits,
    opsLeft: number,
    bytesLeft: number,
  ): Rewrite | null {
    const { key, machines } = rewrite;
    if (machines === null || jsonBytes({ machines }) <= limits.valueBytes) return rewrite;
    const parts = splitRecord(Object.entries(machines), limits.valueBytes);
    if (parts.length < 2) return rewrite;
    if (1 + parts.length > opsLeft || jsonBytes(machines) + REWRITE_OVERHEAD_BYTES * parts.length > bytesLeft)
      return null;
    const pieces = parts.map((part) => ({ key: limits.newKey(), machines: part }));
    const chunk = this.chunks.get(key);
    if (chunk !== undefined) chunk.split = pieces;
    for (const piece of pieces) this.add(piece.key, piece.machines, true);
    return { ...rewrite, machines: null, pieces };
  }

  /** Records that rewrites were carried out, by this transaction or, if a split's pieces exist, by an earlier copy. */
  markWritten(rewrites: readonly Rewrite[]): void {
    for (const { key, machines, pieces, version } of rewrites) {
      const chunk = this.chunks.get(key);
      if (chunk === undefined) continue;
      for (const piece of pieces) {
        const created = this.chunks.get(piece.key);
        if (created !== undefined) created.awaitsSplit = false;
      }
      if (pieces.length === 0 && chunk.version !== version) continue;
      this.dirty.delete(key);
      if (machines === null) this.chunks.delete(key);
    }
  }

  /**
   * Records that the state service rejected rewrites as too large, so that another split may be tried. If an earlier
   * copy is carried out nevertheless, its pieces hold all that is left of the chunk; this leader doesn't write them,
   * and the next leader loads them.
   */
  markRejected(rewrites: readonly Rewrite[]): void {
    for (const { key, pieces } of rewrites) {
      const chunk = this.chunks.get(key);
      if (chunk === undefined || pieces.length === 0) continue;
      chunk.split = null;
      for (const piece of pieces) {
        this.chunks.delete(piece.key);
        this.dirty.delete(piece.key);
      }
    }
  }
}
