/**
 * Late copies of commands while processes of two versions serve side by side: the version in production or the last release,
 * and this one, which replaces it and is replaced by it again. Copies of everything that a leader of this version sent start
 * nothing again, whoever leads or relays when they arrive; what earlier leaders have workers forget isn't fenced off (S4).
 */
import assert from "node:assert/strict";
import type { World } from "./model.js";
import type { Version } from "./model/versions.js";
import { runScenarios, type Scenario } from "./scenarios.js";

const MEMBERS = 3;
const LONG_MS = 60_000;

/** Tasks are preempted, cancelled and fail under the present leader. */
const endTasks = (world: World): void => {
  const arrays = world.submit(4, { tasks: 4, cpus: 2, priority: "low" }, Array(4).fill(LONG_MS));
  world.submit(1, { tasks: 6, cpus: 1 });
  world.wait(3000);
  const services = world.submit(3, { kind: "service", priority: "production", tasks: 2, cpus: 4 });
  world.wait(3000);
  for (const id of [...arrays, ...services]) world.cancel(id);
  world.wait(3000);
};

const leadWith = (world: World, version: Version): void => {
  // a run that violated an invariant has stopped, and fails for that
  assert.ok(world.crashUntilLeaderHas(version) || world.violations.length > 0, `no ${version} leader`);
};

/** Replaces the members one by one; leaders of both versions lead in between. */
const replaceAll = (world: World, seed: number, from: Version, to: Version): void => {
  for (let place = 0; place < MEMBERS; place++) {
    world.restartWithVersion((seed + place) % MEMBERS, to);
    for (const version of place === MEMBERS - 1 ? [to] : seed % 2 === 0 ? [from, to] : [to, from]) {
      leadWith(world, version);
      endTasks(world);
    }
  }
};

const scenarioWith = (earlier: Version, description: string): Scenario => ({
  name: `copies arrive during an upgrade from ${description} and a rollback to it`,
  faultRate: 0.3,
  run: (world, seed) => {
    world.setAllVersions(earlier);
    world.randomCancels = false;
    world.keepsMessages = true;
    world.copiesPerSecond = 8;
    world.versions.usersSendDependents = false;
    world.wait(4000);
    replaceAll(world, seed, earlier, "new");
    replaceAll(world, seed + 1, "new", earlier);
  },
  minimumCounts: {
    "new leaders": 30,
    [`${earlier} leaders`]: 30,
    "processes downgraded": 30,
    "copies of requests to workers": 1000,
    "copies of messages to members": 300,
    "copies of such starts within the session": 300,
  },
  guards: [["forget_fence", ["started_again", "cancelled_started_again", "ran_twice"]]],
});

const SUITES: readonly [Scenario, number][] = [
  [scenarioWith("old", "the version in production"), 14_000],
  [scenarioWith("previous", "the last release"), 15_000],
];
for (const [scenario, firstSeed] of SUITES)
  runScenarios([scenario], {
    seedCount: 12,
    firstSeed,
    maxSeedsWithoutGuard: 12,
    servedWithinMs: 120_000,
    countsWhileServing: false,
  });
