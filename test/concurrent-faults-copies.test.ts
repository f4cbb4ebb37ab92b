/**
 * Concurrent faults (docs/concurrent-faults.md) around late copies of commands: every request to a worker, message to a
 * member, update to the leader and move of a shard is kept, and copies of any of them arrive at any later time (S4). The
 * checks are those of `concurrent-faults.test.ts`; besides, no worker may start an attempt again that it has forgotten.
 */
import * as Duration from "effect/Duration";
import { TIMINGS, World } from "./model.js";
import { runScenarios, type Scenario } from "./scenarios.js";

const CANCEL_DEADLINE_MS = Duration.toMillis(TIMINGS.cancelDeadline);
const LONG_MS = 60_000;

const SMALL = { tasks: 4, cpus: 2, priority: "low" } as const;
const URGENT = { kind: "service", priority: "production", tasks: 2, cpus: 4 } as const;

const COPIES_PER_SECOND = 8;

const enableCopies = (world: World, copiesPerSecond = COPIES_PER_SECOND): void => {
  world.randomCancels = false;
  world.keepsMessages = true;
  world.copiesPerSecond = copiesPerSecond;
};

/** Submits arrays that run for long, so that urgent services have to preempt them. */
const submitLongArrays = (world: World, count = 5): string[] =>
  world.submit(count, SMALL, [LONG_MS, LONG_MS, LONG_MS, LONG_MS]);

/** Tasks are preempted, cancelled, and fail, one after the other. */
const endTasks = (world: World): void => {
  const arrays = submitLongArrays(world);
  world.runUntil(() => world.runningTaskCount(arrays) >= 12, 20_000);
  const urgent = world.submit(5, URGENT);
  // their tasks take random times, and one in twenty fails
  const short = world.submit(2, { tasks: 8, cpus: 1 });
  world.wait(6000);
  for (const id of [...arrays.slice(0, 4), ...urgent.slice(0, 4), short[0]!]) world.cancel(id);
  world.wait(4000);
};

const SCENARIOS: readonly Scenario[] = [
  {
    name: "copies arrive while tasks are preempted, cancelled and fail",
    run: (world) => {
      enableCopies(world);
      world.wait(5000);
      endTasks(world);
      endTasks(world);
      world.wait(8000);
    },
    minimumCounts: {
      "copies of requests to workers": 1000,
      "copies of messages to members": 1000,
      "copies of updates to leaders": 1500,
      "copies of such starts within the session": 400,
    },
    guards: [
      ["forget_fence", ["ran_twice"]],
      ["forget_fence", ["cancelled_started_again"]],
    ],
  },
  {
    name: "copies arrive after cancelled tasks had to be gone",
    faultRate: 0.2,
    run: (world) => {
      enableCopies(world, 0);
      world.wait(5000);
      endTasks(world);
      world.wait(CANCEL_DEADLINE_MS);
      world.copiesPerSecond = COPIES_PER_SECOND;
      world.wait(10_000);
    },
    // handoffs raise the tokens of all machines meanwhile, so that the copies are refused also without the guard
    minimumCounts: { "copies of such starts within the session": World.withShards ? 30 : 150 },
    guards: World.withShards ? [] : [["forget_fence", ["ran_cancelled"]]],
  },
  {
    name: "copies arrive as a controller, the leader or machines come back within a second",
    run: (world, seed) => {
      enableCopies(world);
      world.wait(5000);
      for (let round = 0; round < 3; round++) {
        endTasks(world);
        if (seed % 3 !== 0) world.crashFollower(100 + world.extraRandom() * 800);
        world.injectMachineFault("hung", 200 + world.extraRandom() * 700, 4);
        world.wait(1000);
        if (seed % 3 !== 1) world.crashLeader(100 + world.extraRandom() * 800);
        world.wait(3000);
      }
    },
    minimumCounts: {
      "copies of such starts within the session": 500,
      "leaders crashed": 20,
      "followers crashed": 20,
    },
    guards: [["forget_fence", ["ran_twice", "started_again", "cancelled_started_again"]]],
  },
  {
    name: "copies of messages arrive after members could not act or could not reach the worker",
    run: (world, seed) => {
      enableCopies(world);
      world.refusedConnectionShare = 0.15;
      world.wait(5000);
      for (let round = 0; round < 2; round++) {
        endTasks(world);
        const other = world.nodes[seed % world.nodes.length]!;
        other.stateCutUntil = world.now + 3500;
        world.wait(6000);
      }
    },
    minimumCounts: { "connections refused by workers": 300, "copies recognised by members": 1000 },
    guards: [["received_batches", ["ran_twice"]]],
  },
  {
    name: "copies arrive while commands are held up and answers are lost, over slow links",
    run: (world) => {
      enableCopies(world);
      world.delayedCommandShare = 0.1;
      world.lateCommandShare = 0.1;
      world.maxLinkDelayMs = 300;
      world.wait(5000);
      endTasks(world);
      world.refusePeers(5000);
      endTasks(world);
    },
    minimumCounts: {
      "late command batches": 100,
      "command batches delayed": 100,
      "copies of such starts within the session": 300,
    },
    guards: [["forget_fence", ["started_again", "cancelled_started_again", "ran_twice"]]],
  },
];

runScenarios(SCENARIOS, {
  seedCount: 20,
  firstSeed: 12_000,
  maxSeedsWithoutGuard: 60,
  servedWithinMs: 120_000,
  countsWhileServing: false,
});
