/**
 * An upgrade from the version in production, and the way back, in seeded runs: members of both versions over one state
 * service, each leading in turn, while processes are replaced one by one, leaders end and writes come late. No rule may be
 * broken, everything accepted is served or cancelled, and no waiting job or fan-in set is left in the end.
 */
import assert from "node:assert/strict";
import type { World } from "./model.js";
import { playAll, type Scenario } from "./scenarios.js";

const SMALL = { tasks: 2, cpus: 1 } as const;
const MEMBERS = 3;

/** A job that waits for nothing, sent through any process. */
const root = (world: World, ms = 1500): string => world.submitByUsers(1, SMALL, [ms, ms])[0]!;
const after = (world: World, awaits: readonly string[], ms = 1500): string =>
  world.submitAfter(awaits, SMALL, [ms, ms]);
/** One job, two that need it, one that needs both, and one behind it. */
const pipeline = (world: World, ms = 1500): string[] => {
  const first = root(world, ms);
  const middle = [after(world, [first], ms), after(world, [first], ms + 1000)];
  const last = after(world, middle, ms);
  return [first, ...middle, last, after(world, [last], ms)];
};
const accepted = (world: World, jobs: readonly string[]): boolean =>
  world.until(() => jobs.every((id) => world.isAccepted(id)), 30_000);
/** The member at this place of the order in which the run replaces them. */
const nth = (seed: number, place: number): number => (seed + place) % MEMBERS;

const leadBy = (world: World, version: "old" | "new"): void => {
  // a run that broke a rule stops, and is judged by that
  assert.ok(world.leadBy(version) || world.broken.length > 0, `no ${version} leader came`);
};
/** Both versions lead once, in either order. */
const bothLead = (world: World, seed: number): void => {
  for (const version of seed % 2 === 0 ? (["old", "new"] as const) : (["new", "old"] as const)) {
    leadBy(world, version);
    world.wait(3000);
  }
};

/** One after the other, with a leader of each version in between; one of them comes back old before its turn. */
const upgrade = (world: World, seed: number): void => {
  world.replace(nth(seed, 0), "new");
  world.wait(1000);
  bothLead(world, seed);
  world.replace(nth(seed, 1), "new");
  bothLead(world, seed + 1);
  if (seed % 3 !== 2) {
    world.replace(nth(seed, 0), "old");
    world.wait(2000);
    world.replace(nth(seed, 0), "new");
  }
  world.replace(nth(seed, 2), "new");
  // whoever replaces them keeps count
  world.versions.pipelinesOpen = world.isAllNew();
  leadBy(world, "new");
};

/** As the operations page allows it: no more submissions that wait, and nothing that waits any more. */
const wayBack = (world: World, seed: number): void => {
  world.versions.pipelinesOpen = false;
  assert.ok(world.until(() => world.mayGoBack(), 60_000) || world.broken.length > 0, "jobs still wait");
  for (let place = 0; place < MEMBERS; place++) {
    world.replace(nth(seed, place), "old");
    if (place < MEMBERS - 1) bothLead(world, seed + place);
  }
  leadBy(world, "old");
};

const trouble = (world: World): void => {
  world.usersCancel = false;
  world.versions.usersTryOthers = true;
  world.lateWrites = 0.05;
  world.lostAnswers = 0.05;
};

const SCENARIOS: readonly Scenario[] = [
  {
    name: "an upgrade: members are replaced one by one, and pipelines are sent once all are new",
    rough: 0.4,
    play: (world, seed) => {
      world.beginWith("old");
      world.versions.pipelinesOpen = false;
      world.wait(6000);
      trouble(world);
      const sent = [pipeline(world), pipeline(world)];
      upgrade(world, seed);
      accepted(world, sent.flat());
      world.cancelThroughNode(sent[1]![seed % 5]!);
      world.wait(4000);
      world.endLeader(300);
      world.wait(8000);
    },
    met: {
      "old leaders": 60,
      "new leaders": 60,
      "processes that went back": 16,
      "new leaders with released jobs of pipelines": 30,
      "waiting jobs accepted": 60,
      releases: 50,
      "records of machines rewritten by old leaders": 16,
      "records of machines rewritten by new leaders": 60,
    },
    guards: [["early", ["too_early"]]],
  },
  {
    name: "a way back once nothing waits, and the upgrade made anew",
    rough: 0.4,
    play: (world, seed) => {
      world.wait(6000);
      trouble(world);
      const sent = [pipeline(world, 1000), pipeline(world, 1000)];
      accepted(world, sent.flat());
      // released before the way back and unfinished long after it
      const first = root(world, 8000);
      const long = Array.from({ length: 4 }, (_, i) => after(world, [first], 25_000 + i * 8000));
      accepted(world, long);
      wayBack(world, seed);
      world.cancelThroughNode(long[3]!);
      world.wait(20_000);
      const more = pipeline(world);
      upgrade(world, seed + 1);
      accepted(world, more);
      world.wait(5000);
    },
    met: {
      "processes that went back": 72,
      "old leaders with released jobs of pipelines": 48,
      "new leaders with released jobs of pipelines": 60,
      "sets of the earlier version deleted": 50,
      "released jobs called off": 12,
      releases: 150,
      "records of machines rewritten by old leaders": 48,
      "records of machines rewritten by new leaders": 60,
    },
    guards: [
      ["back", ["went_back", "too_early", "ran_twice"]],
      ["useless", ["unserved"]],
    ],
  },
  {
    name: "a process comes back old though jobs wait, and leads; users avoid it",
    rough: 0.4,
    play: (world, seed) => {
      world.wait(6000);
      trouble(world);
      world.endsAfterCommit = 0.2;
      for (let i = 0; i < 2; i++) {
        const sent = [pipeline(world, 2500), pipeline(world, 2500)];
        accepted(world, sent.flat());
        world.versions.usersAvoidOld = true;
        world.replace(nth(seed, i), "old");
        bothLead(world, seed);
        world.cancelThroughNode(sent[1]![(seed + i) % 5]!);
        leadBy(world, "old");
        world.wait(6000);
        world.replace(nth(seed, i), "new");
        world.versions.usersAvoidOld = !world.isAllNew();
        leadBy(world, "new");
        world.wait(4000);
      }
    },
    met: {
      "processes that went back": 48,
      "old leaders while jobs wait": 60,
      "old leaders with released jobs of pipelines": 36,
      "new leaders with released jobs of pipelines": 100,
      "lost joins found again": 60,
      "sets of the earlier version deleted": 40,
      "cancels passed on": 8,
      releases: 200,
      "records of machines rewritten by old leaders": 36,
      "records of machines rewritten by new leaders": 48,
    },
    guards: [
      ["listed", ["too_early"]],
      ["join", ["unserved"]],
      ["useless", ["unserved"]],
    ],
  },
];

playAll(SCENARIOS, { seeds: 24, first: 9000, tries: 24, servedWithin: 180_000, countsServing: true });
