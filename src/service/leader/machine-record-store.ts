/**
 * Which record of the state service holds which machines. A block is created once with the machines it opens, and
 * from then on only loses machines that are gone; so a late copy of an earlier write never hides a machine that may
 * hold tasks.
 *
 * A block whose rest is larger than a value may be (an earlier version, or earlier limits, made it) can't be written
 * anew. It is split: one transaction creates pieces under names of their own and deletes the block. That keeps the
 * argument, for a late copy of any write as well:
 * - Only a split deletes a key of which a machine isn't gone, and it creates a piece with that machine at once.
 * - A split has the condition that none of its pieces exists, and no name is used for anything else. Until it is
 *   answered it is sent again exactly as it was, and its pieces aren't written otherwise. So each key is created with
 *   one content only, whichever copy creates it, and what is written to it later is that content without some machines
 *   that are gone.
 * - A late rewrite of a block that was split brings the block back, with more machines than are left of it: machines
 *   that are gone, or that are in a piece as well. The next leader reads it and deletes it in time.
 */
import { jsonBytes, pack } from "../../core/packing.js";
import type { MachineRecord } from "../../core/records.js";
import type { Instant } from "../../core/time.js";

type Machines = Readonly<Record<string, MachineRecord>>;

export interface Piece {
  readonly key: string;
  readonly machines: Machines;
}

export interface Rewrite {
  readonly key: string;
  /** null: the key is deleted, since nothing is left in it or it is split. */
  readonly machines: Machines | null;
  /** What is created in its place. */
  readonly pieces: readonly Piece[];
  readonly version: number;
}

/** How much one transaction may hold, and one value in it; and names for new blocks. */
export interface Room {
  readonly valueBytes: number;
  readonly txnBytes: number;
  readonly newKey: () => string;
}

interface Block {
  readonly machines: Map<string, MachineRecord>;
  version: number;
  /** A split that may have been carried out, or may be yet. */
  split: readonly Piece[] | null;
  /** A piece of such a split: not to be written until that is answered. */
  held: boolean;
  /** Its write was refused by itself: until then it isn't written. */
  putOff: Instant | null;
}

export const opsOf = (rewrite: Rewrite): number => 1 + rewrite.pieces.length;
const bytesOf = (rewrite: Rewrite): number =>
  (rewrite.machines === null ? 0 : jsonBytes(rewrite.machines)) +
  rewrite.pieces.reduce((sum, p) => sum + jsonBytes(p), 0) +
  250;

export class MachineRecordStore {
  private readonly blocks = new Map<string, Block>();
  private readonly byMachine = new Map<string, string[]>();
  private readonly dirty = new Set<string>();

  add(key: string, machines: Machines, held = false): void {
    this.blocks.set(key, {
      machines: new Map(Object.entries(machines)),
      version: 0,
      split: null,
      held,
      putOff: null,
    });
    for (const id of Object.keys(machines)) this.byMachine.set(id, [...(this.byMachine.get(id) ?? []), key]);
  }

  /** The machine is gone for certain. */
  remove(id: string): void {
    for (const key of this.byMachine.get(id) ?? []) {
      const block = this.blocks.get(key);
      if (block === undefined) continue;
      block.machines.delete(id);
      block.version++;
      this.dirty.add(key);
    }
    this.byMachine.delete(id);
  }

  /** This block was refused by itself: it gives way to the others until then. */
  putOff(key: string, until: Instant): void {
    const block = this.blocks.get(key);
    if (block !== undefined) block.putOff = until;
  }

  /** Records to be written anew in up to `most` changes, empty ones first: they cost the least. */
  changed(most: number, room?: Room, at?: Instant): Rewrite[] {
    const candidates: Rewrite[] = [];
    for (const key of this.dirty) {
      const block = this.blocks.get(key)!;
      if (block.held) continue;
      if (block.putOff !== null && at !== undefined && at < block.putOff) continue;
      const { machines, version, split } = block;
      if (split !== null) candidates.push({ key, machines: null, pieces: split, version });
      else if (machines.size === 0) candidates.push({ key, machines: null, pieces: [], version });
      else candidates.push({ key, machines: Object.fromEntries(machines), pieces: [], version });
    }
    const cost = (rewrite: Rewrite): number => (rewrite.machines === null ? 0 : 1) + rewrite.pieces.length;
    candidates.sort((rewrite, b) => cost(rewrite) - cost(b));
    const out: Rewrite[] = [];
    let ops = most;
    let bytes = room?.txnBytes ?? Infinity;
    for (const rewrite of candidates) {
      if (ops < 1) break;
      const r = room === undefined ? rewrite : this.fitted(rewrite, room, ops, bytes);
      if (r === null || opsOf(r) > ops || (room !== undefined && bytesOf(r) > bytes)) continue;
      out.push(r);
      ops -= opsOf(r);
      bytes -= room === undefined ? 0 : bytesOf(r);
    }
    return out;
  }

  /** A block that is too large for one value is split if there is room for that; if not it stays for now: null. */
  private fitted(rewrite: Rewrite, room: Room, ops: number, bytes: number): Rewrite | null {
    if (rewrite.machines === null || jsonBytes({ machines: rewrite.machines }) <= room.valueBytes)
      return rewrite;
    const parts = pack(Object.entries(rewrite.machines), room.valueBytes);
    if (parts.length < 2) return rewrite;
    if (1 + parts.length > ops || jsonBytes(rewrite.machines) + 250 * parts.length > bytes) return null;
    const pieces = parts.map((machines) => ({ key: room.newKey(), machines }));
    const block = this.blocks.get(rewrite.key)!;
    block.split = pieces;
    for (const p of pieces) this.add(p.key, p.machines, true);
    return { ...rewrite, machines: null, pieces };
  }

  /** They were carried out, by this transaction or, for a split whose pieces exist, by an earlier copy. */
  written(rewrites: readonly Rewrite[]): void {
    for (const { key, machines, pieces, version } of rewrites) {
      const block = this.blocks.get(key);
      if (block === undefined) continue;
      for (const p of pieces) this.blocks.get(p.key)!.held = false;
      if (pieces.length === 0 && block.version !== version) continue;
      this.dirty.delete(key);
      if (machines === null) this.blocks.delete(key);
    }
  }

  /**
   * Too large for the service: another split may be tried. Should an earlier copy be carried out all the same, its
   * pieces hold all that is left of the block; nobody here writes them, and the next leader finds them.
   */
  refused(rewrites: readonly Rewrite[]): void {
    for (const { key, pieces } of rewrites) {
      const block = this.blocks.get(key);
      if (block === undefined || pieces.length === 0) continue;
      block.split = null;
      for (const p of pieces) {
        this.blocks.delete(p.key);
        this.dirty.delete(p.key);
      }
    }
  }
}
