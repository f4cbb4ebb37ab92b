/**
 * Concurrent faults as users see them (docs/concurrent-faults.md): jobs are submitted, queried and cancelled through any
 * controller, and no answer may contradict what a user was told before.
 */
import * as Duration from "effect/Duration";
import { TIMINGS, type World } from "./model.js";
import { runScenarios, type Scenario } from "./scenarios.js";

const CANCEL_DEADLINE_MS = Duration.toMillis(TIMINGS.cancelDeadline);
const SMALL_JOB = { tasks: 1, cpus: 1 } as const;

/** Ends all faults, and waits longer than the 75 s after which a job whose status requests fail counts as forgotten. */
const outwaitForgottenLimit = (world: World): void => {
  world.stopFaults().wait(80_000);
};

const SCENARIOS: readonly Scenario[] = [
  {
    name: "users query all controllers and resubmit right after an answer, and cancel some jobs at once",
    faultRate: 0.3,
    run: (world, seed) => {
      world.wait(6000);
      world.probeShare = 1;
      for (let i = 0; i < 8; i++) {
        world.submitByUsers(4, SMALL_JOB, [500 + ((seed + i) % 4) * 1000]);
        world.queryUnknownJob();
        world.wait(4000);
        if (i === 4) world.crashLeader(1000);
      }
      outwaitForgottenLimit(world);
    },
    minimumCounts: {
      "probes after accepted": 300,
      "probes after done": 200,
      "probes after cancelled": 50,
      "cancelled right after they were accepted": 60,
      "queries of jobs never submitted": 90,
    },
    guards: [["check_commits", ["went_back"]]],
  },
  {
    name: "users cancel, query and resubmit a job as its last task ends",
    faultRate: 0,
    run: (world) => {
      world.wait(6000);
      world.cancelAtEndShare = 0.5;
      world.probeShare = 0.5;
      for (let i = 0; i < 8; i++) {
        const jobs = world.submitByUsers(4, SMALL_JOB, [1200]);
        for (const id of jobs) world.resubmitWhenDone(id);
        world.wait(5000);
      }
    },
    minimumCounts: {
      "cancelled before the commit": 60,
      "queries at the end of the last task": 300,
      "submissions repeated": 300,
    },
    guards: [["check_commits", ["went_back"]]],
  },
  {
    name: "users cancel and query jobs while the state service is slow, then refuses the leader and later all controllers",
    faultRate: 0.2,
    run: (world, seed) => {
      world.wait(8000);
      world.probeShare = 0.5;
      world.maxStateDelayMs = 600;
      const jobs = world.submitByUsers(5, { tasks: 2, cpus: 2 }, [70_000, 70_000]);
      world.runUntil(() => world.runningTaskCount(jobs) >= 6, 30_000);
      world.cancelThroughNode(jobs[0]!);
      world.wait(4000);
      world.maxStateDelayMs = seed % 2 === 0 ? 0 : 300;
      const leader = world.isolateLeader(9000, false);
      for (const id of jobs.slice(1, 4)) world.cancelThroughNode(id);
      world.wait(5000);
      if (leader !== null) world.note("leaders refused alone");
      world.outage(CANCEL_DEADLINE_MS + 5000).wait(CANCEL_DEADLINE_MS + 20_000);
      outwaitForgottenLimit(world);
    },
    minimumCounts: {
      "leaders refused alone": 9,
      "released jobs cancelled": 30,
      "probes after cancelled": 12,
    },
    guards: [["check_commits", ["went_back"]]],
  },
];

runScenarios(SCENARIOS, {
  seedCount: 12,
  firstSeed: 5000,
  maxSeedsWithoutGuard: 60,
  servedWithinMs: 120_000,
  countsWhileServing: false,
});
