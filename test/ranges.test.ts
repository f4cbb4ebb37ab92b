/** Sets of task ranges, and their division into windows for storage. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { RangeSet, splitIntoWindows } from "../src/core/ranges.js";

test("a range set holds the same numbers as a plain set, whatever is added and deleted", () => {
  const random = xoroshiro128plus(7);
  for (let round = 0; round < 50; round++) {
    const ranges = new RangeSet();
    const plain = new Set<number>();
    for (let i = 0; i < 60; i++) {
      const from = uniformInt(random, 0, 80);
      const to = from + uniformInt(random, 0, 6);
      if (uniformInt(random, 0, 3) === 0) {
        ranges.delete(from);
        plain.delete(from);
      } else {
        ranges.add(from, to);
        for (let n = from; n < to; n++) plain.add(n);
      }
      assert.deepEqual(
        ranges.smallest(1000),
        [...plain].sort((a, b) => a - b),
      );
      assert.equal(ranges.size, plain.size);
      assert.equal(ranges.has(from), plain.has(from));
    }
  }
});

test("the windows of a range set fit the size limit and lose nothing, even with every second of 100,000 tasks", () => {
  const set = RangeSet.of(Array.from({ length: 50_000 }, (_, i) => [2 * i, 2 * i + 1] as const));
  const parts = splitIntoWindows(set.ranges(), 3000);
  for (const ranges of parts.values()) assert.ok(JSON.stringify({ ranges }).length <= 3000);
  assert.deepEqual(RangeSet.of([...parts.values()].flat()).ranges(), set.ranges());
});
