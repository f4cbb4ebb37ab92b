import assert from "node:assert/strict";
import { test } from "node:test";
import { type Guard, World } from "./model.js";
import { checkInvariants } from "./invariant-checker.js";

const SEEDS = Array.from({ length: 24 }, (_, i) => 1000 + i);

for (const [name, rough] of [
  ["calm", 0.3],
  ["rough", 1],
  ["very rough", 3],
] as const)
  test(`no rule is broken in seeded runs: ${name}`, () => {
    let started = 0;
    let committed = 0;
    let terms = 0;
    for (const seed of SEEDS) {
      const world = new World(seed, null, rough).run(180_000);
      assert.deepEqual(world.broken, [], `seed ${seed}`);
      started += world.started;
      committed += world.committed;
      terms += world.terms;
    }
    // the runs must have had something to break
    assert.ok(started > 500, `only ${started} starts`);
    assert.ok(committed > 20, `only ${committed} jobs done`);
    assert.ok(terms > SEEDS.length, `only ${terms} terms`);
  });

const GUARDS: [Guard, string][] = [
  ["confirm", "ran_twice"],
  ["doubt", "ran_twice"],
  ["quota", "quota"],
  ["zone", "wrong_place"],
  ["cancel", "ran_cancelled"],
];
for (const [guard, rule] of GUARDS)
  test(`the checker notices when the guard "${guard}" is taken out`, () => {
    const rules = new Set<string>();
    for (let seed = 1000; seed < 1100; seed++) {
      for (const b of new World(seed, guard, 2).run(180_000).broken) rules.add(b.rule);
      if (rules.has(rule)) return;
    }
    assert.fail(`no run broke ${rule}: ${[...rules].join(", ") || "nothing at all"}`);
  });

test('a zone is cut off for longer than a lease, with workers and a controller: guard "fence"', () => {
  const cut = (seed: number, guard: Guard | null): string[] => {
    const world = new World(seed, guard, 0.3).run(20_000);
    world.cutZone(seed % 2 === 0 ? "west" : "east", 60_000).run(100_000);
    return world.broken.map((b) => b.rule);
  };
  const without: string[] = [];
  for (let seed = 1000; seed < 1040; seed++) {
    assert.deepEqual(cut(seed, null), [], `seed ${seed}`);
    without.push(...cut(seed, "fence"));
  }
  assert.ok(without.includes("ran_cancelled"), without.join(", "));
  assert.ok(without.length >= 8, `only ${without.length} runs broke a rule without the guard`);
});

test("the core's indices agree with a recount, whatever happens", () => {
  let seen = 0;
  for (let seed = 2000; seed < 2010; seed++) {
    const world = new World(seed, null, 2);
    while (world.now < 120_000) {
      world.step();
      if (world.now % 1000 !== 0) continue;
      for (const picture of world.pictures()) {
        checkInvariants(picture);
        seen += picture.machines.size;
      }
    }
  }
  assert.ok(seen > 1000, `only ${seen} machines looked at`);
});

test("once all troubles are over, every accepted job runs or is done", () => {
  let accepted = 0;
  for (const seed of SEEDS) {
    const world = new World(seed, null, 2).run(90_000);
    accepted += world.unserved().length;
    world.calmDown().run(world.now + 75_000);
    assert.deepEqual(world.broken, [], `seed ${seed}`);
    assert.deepEqual(world.unserved(), [], `seed ${seed}`);
  }
  assert.ok(accepted > 20, `only ${accepted} jobs were left to serve`);
});
