/**
 * Items by how many whole processors are free on them, so that a search meets only those where a task may fit. It knows
 * nothing of what it indexes; the cluster indexes its machines here.
 */
import { CAPACITY_EPSILON } from "../placement/quota.js";

/** The bucket of a number of free processors. */
const bucketOf = (cpus: number): number => Math.floor(cpus + CAPACITY_EPSILON);

/** Items with free processors, in buckets of one processor. Within a bucket the one that came first is met first. */
export class CapacityIndex<Item> {
  /** The items by whole free processors. */
  readonly buckets: Set<Item>[] = [];
  private readonly bucketByItem = new Map<Item, number>();

  /** Notes that `cpus` processors are free on an item; nothing: it leaves the index. */
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

  /** Those with at least so many processors free, give or take one. */
  *atLeast(cpus: number): Iterable<Item> {
    // buckets that are added during the walk are met as well
    for (let bucket = bucketOf(cpus); bucket < this.buckets.length; bucket++) {
      const items = this.buckets[bucket];
      if (items !== undefined) yield* items;
    }
  }

  /** Adds empty buckets up to `bucket`, and returns that one. */
  private growTo(bucket: number): Set<Item> {
    let last = new Set<Item>();
    while (this.buckets.length <= bucket) {
      last = new Set();
      this.buckets.push(last);
    }
    return last;
  }
}
