/**
 * Which record of the state service holds which machines. A block is written once with the machines it opens, and
 * from then on only gets smaller; so a late copy of an earlier write never hides a machine that may hold tasks.
 */
import type { MachineRecord } from "../core/records.js";

export interface Rewrite {
  readonly key: string;
  /** null: nothing is left in it. */
  readonly machines: Readonly<Record<string, MachineRecord>> | null;
  readonly version: number;
}

interface Block {
  readonly machines: Map<string, MachineRecord>;
  version: number;
}

export class Blocks {
  private readonly blocks = new Map<string, Block>();
  private readonly byMachine = new Map<string, string[]>();
  private readonly dirty = new Set<string>();

  add(key: string, machines: Readonly<Record<string, MachineRecord>>): void {
    this.blocks.set(key, { machines: new Map(Object.entries(machines)), version: 0 });
    for (const id of Object.keys(machines)) this.byMachine.set(id, [...(this.byMachine.get(id) ?? []), key]);
  }

  /** The machine is gone for certain. */
  remove(id: string): void {
    for (const key of this.byMachine.get(id) ?? []) {
      const block = this.blocks.get(key)!;
      block.machines.delete(id);
      block.version++;
      this.dirty.add(key);
    }
    this.byMachine.delete(id);
  }

  /** Up to `most` blocks to be written anew, empty ones first: they cost the least. */
  changed(most: number): Rewrite[] {
    const out: Rewrite[] = [];
    for (const key of this.dirty) {
      const { machines, version } = this.blocks.get(key)!;
      out.push({ key, machines: machines.size === 0 ? null : Object.fromEntries(machines), version });
    }
    out.sort((a, b) => Number(a.machines !== null) - Number(b.machines !== null));
    return out.slice(0, most);
  }

  written(rewrites: readonly Rewrite[]): void {
    for (const { key, machines, version } of rewrites) {
      if (this.blocks.get(key)?.version !== version) continue;
      this.dirty.delete(key);
      if (machines === null) this.blocks.delete(key);
    }
  }
}
