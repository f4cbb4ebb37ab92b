/** A set of task numbers kept as sorted, disjoint, half-open ranges. */
export type Range = readonly [from: number, to: number];

export class RangeSet {
  private segments: [number, number][] = [];
  size = 0;

  static of(ranges: Iterable<Range>): RangeSet {
    const set = new RangeSet();
    for (const [from, to] of ranges) set.add(from, to);
    return set;
  }

  /** Index of the first span that ends after `n`. */
  private find(n: number): number {
    let low = 0;
    let high = this.segments.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.segments[middle]![1] > n) high = middle;
      else low = middle + 1;
    }
    return low;
  }

  has(n: number): boolean {
    const span = this.segments[this.find(n)];
    return span !== undefined && span[0] <= n;
  }

  add(from: number, to = from + 1): void {
    if (from >= to) return;
    let first = this.find(from);
    if (first > 0 && this.segments[first - 1]![1] === from) first--;
    let last = first;
    let low = from;
    let high = to;
    while (last < this.segments.length && this.segments[last]![0] <= to) {
      const span = this.segments[last]!;
      low = Math.min(low, span[0]);
      high = Math.max(high, span[1]);
      this.size -= span[1] - span[0];
      last++;
    }
    this.segments.splice(first, last - first, [low, high]);
    this.size += high - low;
  }

  delete(n: number): void {
    const at = this.find(n);
    const span = this.segments[at];
    if (span === undefined || span[0] > n) return;
    const rest: [number, number][] = [];
    if (span[0] < n) rest.push([span[0], n]);
    if (n + 1 < span[1]) rest.push([n + 1, span[1]]);
    this.segments.splice(at, 1, ...rest);
    this.size--;
  }

  /** Up to `most` of the smallest numbers in the set. */
  take(most: number): number[] {
    const out: number[] = [];
    for (const [from, to] of this.segments)
      for (let n = from; n < to; n++) {
        if (out.length >= most) return out;
        out.push(n);
      }
    return out;
  }

  covers(count: number): boolean {
    return (
      count === 0 || (this.segments.length > 0 && this.segments[0]![0] <= 0 && this.segments[0]![1] >= count)
    );
  }

  ranges(): Range[] {
    return this.segments.map(([from, to]) => [from, to] as const);
  }
}

/**
 * Splits ranges into windows of task numbers whose JSON stays under `bytes` each, whatever has finished.
 * A window's bounds never move, so rewriting one can't drop what another one held.
 */
export const windows = (ranges: readonly Range[], bytes: number): Map<number, Range[]> => {
  const perRange = 17; // "[100000,100001],"
  const width = Math.max(1, Math.floor((bytes - 64) / perRange)) * 2;
  const out = new Map<number, Range[]>();
  for (const [from, to] of ranges)
    for (let at = from; at < to;) {
      const window = Math.floor(at / width);
      const end = Math.min(to, (window + 1) * width);
      const list = out.get(window);
      if (list === undefined) out.set(window, [[at, end]]);
      else list.push([at, end]);
      at = end;
    }
  return out;
};
