/**
 * Seeded runs of the model with random faults: no rule may be broken, and with a guard disabled the checker has to report
 * a broken rule.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Guard, World } from "./model.js";
import { checkClusterIndices } from "./index-checker.js";

const SEEDS = Array.from({ length: 24 }, (_, i) => 1000 + i);

for (const [name, faultRate] of [
  ["rare faults", 0.3],
  ["frequent faults", 1],
  ["very frequent faults", 3],
] as const)
  test(`no rule is broken in seeded runs: ${name}`, () => {
    let started = 0;
    let committed = 0;
    let terms = 0;
    for (const seed of SEEDS) {
      const world = new World(seed, null, faultRate).runTo(180_000);
      assert.deepEqual(world.violations, [], `seed ${seed}`);
      started += world.attemptsStarted;
      committed += world.jobsCommitted;
      terms += world.termsWritten;
    }
    // enough happened for a rule to be broken
    assert.ok(started > 500, `only ${started} starts`);
    assert.ok(committed > 20, `only ${committed} jobs done`);
    assert.ok(terms > SEEDS.length, `only ${terms} terms`);
  });

const KEPT_REVISIONS_TOO_FEW = 2;

const runWithCombinedFaults = (seed: number, guard: Guard | null, keptRevisions: number): World => {
  const world = new World(seed, guard, 0.3);
  world.combinesFaults = true;
  world.keptRevisions = keptRevisions;
  return world.runTo(180_000);
};

const COMBINED_SEEDS = Array.from({ length: 100 }, (_, i) => 1000 + i);
/** The seeds that are tried until one shows what a disabled guard prevents; some of it shows in one of a hundred only. */
const GUARD_SEEDS = Array.from({ length: 300 }, (_, i) => 1000 + i);

for (const [name, keptRevisions] of [
  ["the state service keeps its whole history", Infinity],
  ["the state service keeps a short history", KEPT_REVISIONS_TOO_FEW],
] as const)
  test(`no rule is broken when several faults begin within seconds: ${name}`, () => {
    let combinations = 0;
    let missedUpdates = 0;
    for (const seed of COMBINED_SEEDS) {
      const world = runWithCombinedFaults(seed, null, keptRevisions);
      assert.deepEqual(world.violations, [], `seed ${seed}`);
      combinations += world.eventCounts.get("combined faults") ?? 0;
      missedUpdates += world.eventCounts.get("relayed updates missed") ?? 0;
    }
    assert.ok(combinations > 200, `only ${combinations} combinations`);
    assert.ok(missedUpdates > 200, `only ${missedUpdates} missed updates`);
  });

/** Copies of any earlier message arrive from some moment on, and some connections to workers are refused. */
const runWithCopies = (seed: number, guard: Guard | null, copiesFromMs: number): World => {
  // a new term would make workers refuse late copies by itself
  const world = new World(seed, guard, copiesFromMs > 0 ? 0.1 : 1);
  world.keepsMessages = true;
  world.refusedConnectionShare = 0.05;
  world.runTo(copiesFromMs).copiesPerSecond = 6;
  return world.runTo(180_000);
};

/** By then tasks of jobs that were cancelled have to be gone, so that copies of their starts break the rule. */
const LATE_COPIES_FROM_MS = 120_000;

const COPY_SEEDS = Array.from({ length: 40 }, (_, i) => 1000 + i);

test("no rule is broken when copies of messages arrive at any later step", () => {
  const totals = new Map<string, number>();
  for (const seed of COPY_SEEDS) {
    const world = runWithCopies(seed, null, seed % 4 === 0 ? LATE_COPIES_FROM_MS : 0);
    assert.deepEqual(world.violations, [], `seed ${seed}`);
    for (const [event, n] of world.eventCounts) totals.set(event, (totals.get(event) ?? 0) + n);
  }
  const forgottenStarts = totals.get("copies of such starts within the session") ?? 0;
  assert.ok(forgottenStarts > 1500, `only ${forgottenStarts} copies of starts whose attempts were forgotten`);
  const deliveries = totals.get("copies of messages to members") ?? 0;
  assert.ok(deliveries > 4000, `only ${deliveries} copies of messages to members`);
});

// a copy of a start runs a forgotten attempt again, also of a cancelled job, before its tasks have to be gone and after
for (const [guard, rule, copiesFromMs] of [
  ["forget_fence", "started_again", 0],
  ["forget_fence", "ran_twice", 0],
  ["forget_fence", "cancelled_started_again", 0],
  ["forget_fence", "ran_cancelled", LATE_COPIES_FROM_MS],
  ["received_batches", "ran_twice", 0],
] as const)
  // with shards the handoffs raise all machines' tokens before the late copies arrive
  if (!World.withShards || copiesFromMs === 0)
    test(`the checker reports ${rule} when copies arrive and the guard "${guard}" is disabled`, () => {
      const findsViolation = GUARD_SEEDS.some((seed) =>
        runWithCopies(seed, guard, copiesFromMs).violations.some((violation) => violation.rule === rule),
      );
      assert.ok(findsViolation, `no run broke ${rule}`);
    });

// guards against faults whose order of events no scenario has
for (const [guard, rule, keptRevisions] of [
  ["earlier_ends", "ran_cancelled", Infinity],
  ["undetermined", "ran_cancelled", KEPT_REVISIONS_TOO_FEW],
  ["relayed_updates", "ran_twice", Infinity],
] as const)
  test(`the checker reports ${rule} when faults are combined and the guard "${guard}" is disabled`, () => {
    const findsViolation = GUARD_SEEDS.some((seed) =>
      runWithCombinedFaults(seed, guard, keptRevisions).violations.some(
        (violation) => violation.rule === rule,
      ),
    );
    assert.ok(findsViolation, `no run broke ${rule}`);
  });

const GUARDS: [Guard, string][] = [
  ["confirm", "ran_twice"],
  ["unknown_outcome", "ran_twice"],
  ["quota", "quota"],
  ["zone", "wrong_place"],
  ["cancel", "ran_cancelled"],
];
for (const [guard, rule] of GUARDS)
  test(`the checker reports a broken rule with the guard "${guard}" disabled`, () => {
    const rules = new Set<string>();
    for (let seed = 1000; seed < 1100; seed++) {
      for (const violation of new World(seed, guard, 2).runTo(180_000).violations) rules.add(violation.rule);
      if (rules.has(rule)) return;
    }
    assert.fail(`no run broke ${rule}: ${[...rules].join(", ") || "nothing at all"}`);
  });

test('a zone with workers and a controller is cut off for longer than a lease: guard "fence"', () => {
  const rulesBrokenByZoneCut = (seed: number, guard: Guard | null): string[] => {
    const world = new World(seed, guard, 0.3).runTo(20_000);
    world.cutZone(seed % 2 === 0 ? "west" : "east", 60_000).runTo(100_000);
    return world.violations.map((b) => b.rule);
  };
  const brokenWithoutGuard: string[] = [];
  for (let seed = 1000; seed < 1040; seed++) {
    assert.deepEqual(rulesBrokenByZoneCut(seed, null), [], `seed ${seed}`);
    brokenWithoutGuard.push(...rulesBrokenByZoneCut(seed, "fence"));
  }
  assert.ok(brokenWithoutGuard.includes("ran_cancelled"), brokenWithoutGuard.join(", "));
  assert.ok(
    brokenWithoutGuard.length >= 8,
    `only ${brokenWithoutGuard.length} broken rules without the guard`,
  );
});

test("the scheduler's indices agree with a recount throughout runs with faults", () => {
  let machinesChecked = 0;
  for (let seed = 2000; seed < 2010; seed++) {
    const world = new World(seed, null, 2);
    while (world.now < 120_000) {
      world.step();
      if (world.now % 1000 !== 0) continue;
      for (const cluster of world.leaderClusters()) {
        checkClusterIndices(cluster);
        machinesChecked += cluster.machines.size;
      }
    }
  }
  assert.ok(machinesChecked > 1000, `only ${machinesChecked} machines checked`);
});

test("once all faults have ended, every accepted job runs or is done", () => {
  let accepted = 0;
  for (const seed of SEEDS) {
    const world = new World(seed, null, 2).runTo(90_000);
    accepted += world.unserved().length;
    world.stopFaults().runTo(world.now + 75_000);
    assert.deepEqual(world.violations, [], `seed ${seed}`);
    assert.deepEqual(world.unserved(), [], `seed ${seed}`);
  }
  assert.ok(accepted > 20, `only ${accepted} jobs were unserved when the faults ended`);
});
