/**
 * An index of items by their number of free whole processors, so that a search visits only those where a task may
 * fit. It is generic; the cluster uses it for machines.
 */
import { CAPACITY_EPSILON } from "../placement/quota.js";

const bucketOf = (cpus: number): number => Math.floor(cpus + CAPACITY_EPSILON);

/** Items with free processors, in buckets of one processor each; within a bucket in insertion order. */
export class CapacityIndex<Item> {
  /** The items, by free processors rounded down. */
  readonly buckets: Set<Item>[] = [];
  private readonly bucketByItem = new Map<Item, number>();

  /** Sets an item's number of free processors; with none free, the item leaves the index. */
  set(item: Item, cpus: number): void {
    const bucket = cpus <= CAPACITY_EPSILON ? -1 : bucketOf(cpus);
    const previous = this.bucketByItem.get(item) ?? -1;
    if (bucket === previous) return;
    this.buckets[previous]?.delete(item);
    if (bucket < 0) {
      this.bucketByItem.delete(item);
      return;
    }
    const items = this.buckets[bucket] ?? this.growTo(bucket);
    items.add(item);
    this.bucketByItem.set(item, bucket);
  }

  /** Whether any processor is free on the item. */
  has(item: Item): boolean {
    return this.bucketByItem.has(item);
  }

  /** The items with at least `cpus` free processors, and some with a fraction of a processor less. */
  *atLeast(cpus: number): Iterable<Item> {
    // buckets that are added during the iteration are visited too
    for (let bucket = bucketOf(cpus); bucket < this.buckets.length; bucket++) {
      const items = this.buckets[bucket];
      if (items !== undefined) yield* items;
    }
  }

  /** Adds empty buckets up to and including `bucket`, and returns the last one. */
  private growTo(bucket: number): Set<Item> {
    let last = new Set<Item>();
    while (this.buckets.length <= bucket) {
      last = new Set();
      this.buckets.push(last);
    }
    return last;
  }
}
