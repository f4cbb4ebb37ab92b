/** Sets of task numbers, held and stored as ranges, since the tasks of an array finish roughly in order (S7). */

/** The numbers from `from` (included) to `to` (excluded). */
export type Range = readonly [from: number, to: number];

/** A set of task numbers, held as sorted ranges that neither overlap nor adjoin. */
export class RangeSet {
  private segments: [number, number][] = [];
  /** How many numbers are in the set. */
  size = 0;

  /** The union of the ranges. */
  static of(ranges: Iterable<Range>): RangeSet {
    const set = new RangeSet();
    for (const [from, to] of ranges) set.add(from, to);
    return set;
  }

  /** Index of the first segment that ends after `number`. */
  private findSegment(number: number): number {
    let low = 0;
    let high = this.segments.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const segment = this.segments[middle];
      if (segment !== undefined && segment[1] > number) high = middle;
      else low = middle + 1;
    }
    return low;
  }

  /** Whether a number is in the set. */
  has(number: number): boolean {
    const segment = this.segments[this.findSegment(number)];
    return segment !== undefined && segment[0] <= number;
  }

  /** Adds the numbers from `from` (included) to `to` (excluded). */
  add(from: number, to = from + 1): void {
    if (from >= to) return;
    let first = this.findSegment(from);
    // a segment that ends where the new range begins is extended
    if (first > 0 && this.segments[first - 1]?.[1] === from) first--;
    let last = first;
    let low = from;
    let high = to;
    let segment = this.segments[last];
    while (segment !== undefined && segment[0] <= to) {
      low = Math.min(low, segment[0]);
      high = Math.max(high, segment[1]);
      this.size -= segment[1] - segment[0];
      last++;
      segment = this.segments[last];
    }
    this.segments.splice(first, last - first, [low, high]);
    this.size += high - low;
  }

  /** Removes a number, which may split a segment in two. */
  delete(number: number): void {
    const at = this.findSegment(number);
    const segment = this.segments[at];
    if (segment === undefined || segment[0] > number) return;
    const remainder: [number, number][] = [];
    if (segment[0] < number) remainder.push([segment[0], number]);
    if (number + 1 < segment[1]) remainder.push([number + 1, segment[1]]);
    this.segments.splice(at, 1, ...remainder);
    this.size--;
  }

  /** The smallest numbers in the set, at most `limit` of them; they stay in the set. */
  smallest(limit: number): number[] {
    const numbers: number[] = [];
    for (const [from, to] of this.segments)
      for (let number = from; number < to; number++) {
        if (numbers.length >= limit) return numbers;
        numbers.push(number);
      }
    return numbers;
  }

  /** Whether the set contains all numbers from 0 to `count - 1`. */
  covers(count: number): boolean {
    const first = this.segments[0];
    return count === 0 || (first !== undefined && first[0] <= 0 && first[1] >= count);
  }

  /** The set as ranges in ascending order. */
  ranges(): Range[] {
    return this.segments.map(([from, to]) => [from, to] as const);
  }
}

/**
 * Splits ranges by fixed windows of task numbers. The JSON of a window stays under `maxBytes` whichever of its tasks
 * have finished: at worst every second one has, which gives one range for two numbers; 64 bytes are for the rest of the
 * record. The bounds of a window never move, so rewriting one window can't drop ranges that another one held.
 */
export const splitIntoWindows = (ranges: readonly Range[], maxBytes: number): Map<number, Range[]> => {
  const bytesPerRange = 17; // "[100000,100001],", a range of six-digit numbers, and one byte to spare
  const windowWidth = Math.max(1, Math.floor((maxBytes - 64) / bytesPerRange)) * 2;
  const rangesByWindow = new Map<number, Range[]>();
  for (const [from, to] of ranges)
    for (let at = from; at < to;) {
      const window = Math.floor(at / windowWidth);
      const end = Math.min(to, (window + 1) * windowWidth);
      const list = rangesByWindow.get(window);
      if (list === undefined) rangesByWindow.set(window, [[at, end]]);
      else list.push([at, end]);
      at = end;
    }
  return rangesByWindow;
};
