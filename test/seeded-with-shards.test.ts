/** Repeats the seeded tests with shards that are handed over continually, under the same rules and guards. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { World } from "./model.js";

World.withShards = true;
await import("./rules.test.js");
await import("./concurrent-faults.test.js");
await import("./concurrent-faults-silence.test.js");
await import("./concurrent-faults-handover.test.js");
await import("./concurrent-faults-users.test.js");
await import("./concurrent-faults-cancels.test.js");
await import("./concurrent-faults-relay.test.js");
await import("./concurrent-faults-copies.test.js");

test("copies of operators' moves arrive at any later step, and no rule is broken", () => {
  let copies = 0;
  for (let seed = 3000; seed < 3012; seed++) {
    const world = new World(seed, null, 1);
    world.keepsMessages = true;
    world.copiesPerSecond = 6;
    assert.deepEqual(world.runTo(120_000).violations, [], `seed ${seed}`);
    copies += world.eventCounts.get("copies of shard moves") ?? 0;
  }
  assert.ok(copies > 100, `only ${copies} copies of moves`);
});

test("seeded runs include completed, refused and abandoned handoffs, and some left by an earlier leader", () => {
  const met = new Map<string, number>();
  for (let seed = 3000; seed < 3012; seed++)
    for (const [what, n] of new World(seed, null, 1).runTo(120_000).eventCounts)
      met.set(what, (met.get(what) ?? 0) + n);
  const least = {
    "shards handed over": 100,
    "handoffs refused": 20,
    "drains given up": 5,
    "handoffs left by another leader": 5,
  };
  for (const [what, n] of Object.entries(least))
    assert.ok((met.get(what) ?? 0) >= n, `${what}: ${met.get(what) ?? 0}`);
});
