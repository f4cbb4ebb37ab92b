/** Machines with room, by how many whole processors are free: a search meets only those where a task may fit. */
import type { Machine } from "./cluster.js";

export class CapacityIndex {
  readonly buckets: Set<Machine>[] = [];
  private readonly at = new Map<Machine, number>();

  /** `cpus`: what is free; nothing, if it has no room. */
  set(machine: Machine, cpus: number): void {
    const bucket = cpus <= 1e-6 ? -1 : Math.floor(cpus + 1e-6);
    const before = this.at.get(machine) ?? -1;
    if (bucket === before) return;
    this.buckets[before]?.delete(machine);
    if (bucket < 0) {
      this.at.delete(machine);
      return;
    }
    while (this.buckets.length <= bucket) this.buckets.push(new Set());
    this.buckets[bucket]!.add(machine);
    this.at.set(machine, bucket);
  }

  has(machine: Machine): boolean {
    return this.at.has(machine);
  }

  /** Those with at least so many processors free, give or take one. */
  *atLeast(cpus: number): Iterable<Machine> {
    for (let i = Math.floor(cpus + 1e-6); i < this.buckets.length; i++) yield* this.buckets[i]!;
  }
}
