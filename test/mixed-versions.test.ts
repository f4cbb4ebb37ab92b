/**
 * Upgrade from the version in production and rollback to it, in seeded simulations: members of both versions share one
 * state service and lead in turn, while processes are replaced one by one, leaders end and writes arrive late. No
 * invariant may be violated, every accepted job is finished or cancelled, and no blocked job or fan-in set is left.
 */
import assert from "node:assert/strict";
import type { World } from "./model.js";
import { runScenarios, type Scenario } from "./scenarios.js";

const SMALL_JOB = { tasks: 2, cpus: 1 } as const;
const MEMBERS = 3;

/** Submits a job without dependencies through any process. */
const submitRootJob = (world: World, ms = 1500): string => world.submitByUsers(1, SMALL_JOB, [ms, ms])[0]!;
const submitDependentJob = (world: World, awaits: readonly string[], ms = 1500): string =>
  world.submitDependent(awaits, SMALL_JOB, [ms, ms]);
/** Submits one job, two that depend on it, one that depends on both, and one that depends on that. */
const submitPipeline = (world: World, ms = 1500): string[] => {
  const first = submitRootJob(world, ms);
  const middle = [submitDependentJob(world, [first], ms), submitDependentJob(world, [first], ms + 1000)];
  const last = submitDependentJob(world, middle, ms);
  return [first, ...middle, last, submitDependentJob(world, [last], ms)];
};
const untilAccepted = (world: World, jobs: readonly string[]): boolean =>
  world.runUntil(() => jobs.every((id) => world.isAccepted(id)), 30_000);
/** The member at a place in the order of replacement, which depends on the seed. */
const memberAtPlace = (seed: number, place: number): number => (seed + place) % MEMBERS;

const changeLeaderTo = (world: World, version: "old" | "new"): void => {
  // a run that violated an invariant has stopped, and fails for that
  assert.ok(
    world.crashUntilLeaderHas(version) || world.violations.length > 0,
    `no leader of the ${version} version was elected`,
  );
};
/** Lets both versions lead once, in an order that depends on the seed. */
const changeLeaderToEachVersion = (world: World, seed: number): void => {
  for (const version of seed % 2 === 0 ? (["old", "new"] as const) : (["new", "old"] as const)) {
    changeLeaderTo(world, version);
    world.wait(3000);
  }
};

/** Replaces the members one by one, with leaders of both versions in between; in most runs one is rolled back once. */
const upgradeAll = (world: World, seed: number): void => {
  world.restartWithVersion(memberAtPlace(seed, 0), "new");
  world.wait(1000);
  changeLeaderToEachVersion(world, seed);
  world.restartWithVersion(memberAtPlace(seed, 1), "new");
  changeLeaderToEachVersion(world, seed + 1);
  if (seed % 3 !== 2) {
    world.restartWithVersion(memberAtPlace(seed, 0), "old");
    world.wait(2000);
    world.restartWithVersion(memberAtPlace(seed, 0), "new");
  }
  world.restartWithVersion(memberAtPlace(seed, 2), "new");
  // as the operators do: jobs with dependencies are submitted once all members are new
  world.versions.usersSendDependents = world.isAllNew();
  changeLeaderTo(world, "new");
};

/** Rolls back as the operations page allows: no new jobs with dependencies, and none still blocked. */
const rollBackAll = (world: World, seed: number): void => {
  world.versions.usersSendDependents = false;
  assert.ok(
    world.runUntil(() => world.mayDowngrade(), 60_000) || world.violations.length > 0,
    "jobs are still blocked",
  );
  for (let place = 0; place < MEMBERS; place++) {
    world.restartWithVersion(memberAtPlace(seed, place), "old");
    if (place < MEMBERS - 1) changeLeaderToEachVersion(world, seed + place);
  }
  changeLeaderTo(world, "old");
};

const enableFaults = (world: World): void => {
  world.randomCancels = false;
  world.versions.usersRetryElsewhere = true;
  world.lateWriteShare = 0.05;
  world.lostAnswerShare = 0.05;
};

const SCENARIOS: readonly Scenario[] = [
  {
    name: "an upgrade: members are replaced one by one, and pipelines are submitted once all are new",
    faultRate: 0.4,
    run: (world, seed) => {
      world.setAllVersions("old");
      world.versions.usersSendDependents = false;
      world.wait(6000);
      enableFaults(world);
      const sent = [submitPipeline(world), submitPipeline(world)];
      upgradeAll(world, seed);
      untilAccepted(world, sent.flat());
      world.cancelThroughNode(sent[1]![seed % 5]!);
      world.wait(4000);
      world.crashLeader(300);
      world.wait(8000);
    },
    minimumCounts: {
      "old leaders": 60,
      "new leaders": 60,
      "processes downgraded": 16,
      "new leaders with released jobs of pipelines": 30,
      "waiting jobs accepted": 60,
      releases: 50,
      "records of machines rewritten by old leaders": 16,
      "records of machines rewritten by new leaders": 60,
    },
    guards: [["upgrade_first", ["too_early"]]],
  },
  {
    name: "a rollback once no job is blocked, and a second upgrade",
    faultRate: 0.4,
    run: (world, seed) => {
      world.wait(6000);
      enableFaults(world);
      const sent = [submitPipeline(world, 1000), submitPipeline(world, 1000)];
      untilAccepted(world, sent.flat());
      // released before the rollback, and unfinished until long after it
      const first = submitRootJob(world, 8000);
      const long = Array.from({ length: 4 }, (_, i) => submitDependentJob(world, [first], 25_000 + i * 8000));
      untilAccepted(world, long);
      rollBackAll(world, seed);
      world.cancelThroughNode(long[3]!);
      world.wait(20_000);
      const more = submitPipeline(world);
      upgradeAll(world, seed + 1);
      untilAccepted(world, more);
      world.wait(5000);
    },
    minimumCounts: {
      "processes downgraded": 72,
      "old leaders with released jobs of pipelines": 48,
      "new leaders with released jobs of pipelines": 60,
      "sets left by the earlier version deleted": 50,
      "released jobs cancelled": 12,
      releases: 150,
      "records of machines rewritten by old leaders": 48,
      "records of machines rewritten by new leaders": 60,
    },
    guards: [
      ["downgrade_last", ["went_back", "too_early", "ran_twice"]],
      ["obsolete_sets", ["unserved"]],
    ],
  },
  {
    name: "a process is rolled back while jobs are blocked, and leads; users avoid it",
    faultRate: 0.4,
    run: (world, seed) => {
      world.wait(6000);
      enableFaults(world);
      world.crashAfterCommitShare = 0.2;
      for (let i = 0; i < 2; i++) {
        const sent = [submitPipeline(world, 2500), submitPipeline(world, 2500)];
        untilAccepted(world, sent.flat());
        world.versions.usersAvoidOld = true;
        world.restartWithVersion(memberAtPlace(seed, i), "old");
        changeLeaderToEachVersion(world, seed);
        world.cancelThroughNode(sent[1]![(seed + i) % 5]!);
        changeLeaderTo(world, "old");
        world.wait(6000);
        world.restartWithVersion(memberAtPlace(seed, i), "new");
        world.versions.usersAvoidOld = !world.isAllNew();
        changeLeaderTo(world, "new");
        world.wait(4000);
      }
    },
    minimumCounts: {
      "processes downgraded": 48,
      "old leaders while jobs wait": 60,
      "old leaders with released jobs of pipelines": 36,
      "new leaders with released jobs of pipelines": 100,
      "lost joins recovered": 60,
      "sets left by the earlier version deleted": 40,
      "cancellations propagated": 8,
      releases: 200,
      "records of machines rewritten by old leaders": 36,
      "records of machines rewritten by new leaders": 48,
    },
    guards: [
      ["version_lists", ["too_early"]],
      ["recover_joins", ["unserved"]],
      ["obsolete_sets", ["unserved"]],
    ],
  },
];

runScenarios(SCENARIOS, {
  seedCount: 24,
  firstSeed: 9000,
  maxSeedsWithoutGuard: 24,
  servedWithinMs: 180_000,
  countsWhileServing: true,
});
