/**
 * Which record of the state service holds which machines. A chunk (one such record) is created once with its machines,
 * and from then on only loses machines that are gone; so a late copy of an earlier write never hides a machine that may
 * hold tasks (S5).
 *
 * A chunk whose rest is larger than a value may be (an earlier version, or earlier limits, made it) can't be written
 * anew. It is split: one transaction creates pieces under names of their own and deletes the chunk. That keeps the
 * argument, for a late copy of any write as well:
 * - Only a split deletes a key of which a machine isn't gone, and it creates a piece with that machine at once.
 * - A split has the condition that none of its pieces exists, and no name is used for anything else. Until it is
 *   answered it is sent again exactly as it was, and its pieces aren't written otherwise. So each key is created with
 *   one content only, whichever copy creates it, and what is written to it later is that content without some machines
 *   that are gone.
 * - A late rewrite of a chunk that was split brings the chunk back, with more machines than are left of it: machines
 *   that are gone, or that are in a piece as well. The next leader reads it and deletes it in time.
 */
import { jsonBytes, splitRecord } from "../../core/packing.js";
import type { MachineRecord } from "../../core/records.js";
import type { Instant } from "../../core/time.js";

/** Bytes of a transaction that a rewrite or a piece needs beside its machines: key, condition and names. */
const REWRITE_OVERHEAD_BYTES = 250;

type Machines = Readonly<Record<string, MachineRecord>>;

/** A record that a split creates. */
export interface Piece {
  readonly key: string;
  readonly machines: Machines;
}

/** One record to be written anew, deleted or split. */
export interface Rewrite {
  readonly key: string;
  /** null: the key is deleted, since nothing is left in it or it is split. */
  readonly machines: Machines | null;
  /** What is created in its place. */
  readonly pieces: readonly Piece[];
  /** The chunk's version that this was made of: a later one has to be written again. */
  readonly version: number;
}

/** How much one transaction may hold, and one value in it; and names for new chunks. */
export interface RewriteLimits {
  readonly valueBytes: number;
  readonly txnBytes: number;
  readonly newKey: () => string;
}

interface Chunk {
  readonly machines: Map<string, MachineRecord>;
  version: number;
  /** A split that may have been carried out, or may be yet. */
  split: readonly Piece[] | null;
  /** A piece of such a split: not to be written until that is answered. */
  awaitsSplit: boolean;
  /** Its write was refused by itself: until then it isn't written. */
  postponedUntil: Instant | null;
}

/** Changes of a transaction that a rewrite takes. */
export const opsOf = (rewrite: Rewrite): number => 1 + rewrite.pieces.length;

const bytesOf = ({ machines, pieces }: Rewrite): number =>
  (machines === null ? 0 : jsonBytes(machines)) +
  pieces.reduce((sum, piece) => sum + jsonBytes(piece), 0) +
  REWRITE_OVERHEAD_BYTES;

/** Records written by a rewrite: those with the fewest go first. */
const recordsWritten = ({ machines, pieces }: Rewrite): number => (machines === null ? 0 : 1) + pieces.length;

/** The records of machines as they are stored, and which of them have to be written anew. */
export class MachineRecordStore {
  private readonly chunks = new Map<string, Chunk>();
  private readonly keysByMachine = new Map<string, string[]>();
  private readonly dirty = new Set<string>();

  /** A record that is stored, or may be; `awaitsSplit`: it is a piece of a split that isn't answered yet. */
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

  /** The machine is gone for certain. */
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

  /** This record was refused by itself: it gives way to the others until then. */
  postpone(key: string, until: Instant): void {
    const chunk = this.chunks.get(key);
    if (chunk !== undefined) chunk.postponedUntil = until;
  }

  /** Records to be written anew in up to `maxOps` changes, empty ones first: they cost the least. */
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

  /** What has to be written and may be now, in the order in which it changed. */
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

  /** A chunk that is too large for one value is split if there is room for that; if not it stays for now: null. */
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

  /** They were carried out, by this transaction or, for a split whose pieces exist, by an earlier copy. */
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
   * Too large for the service: another split may be tried. Should an earlier copy be carried out all the same, its
   * pieces hold all that is left of the chunk; nobody here writes them, and the next leader finds them.
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
