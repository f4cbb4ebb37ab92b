/**
 * Further faults (docs/concurrent-faults.md): controllers whose process is suspended for longer than its leases and
 * resumes with outdated state, and jobs whose tasks fail on every machine until their users cancel them.
 */
import assert from "node:assert/strict";
import * as Duration from "effect/Duration";
import { TIMINGS, type World } from "./model.js";
import { runScenarios, type Scenario } from "./scenarios.js";

const WORKER_LEASE_MS = Duration.toMillis(TIMINGS.workerLease);
const CANCEL_DEADLINE_MS = Duration.toMillis(TIMINGS.cancelDeadline);
const waitForLeader = (world: World): boolean => world.runUntil(() => world.hasLeader(), 30_000);

/** Submits jobs with long tasks, and waits until several of them run. */
const submitLongJobs = (world: World): string[] => {
  const jobs = world.submit(4, { tasks: 3, cpus: 2 }, [90_000, 90_000, 90_000]);
  world.runUntil(() => world.runningTaskCount(jobs) >= 6, 20_000);
  return jobs;
};

const cancelAll = (world: World, jobs: readonly string[], intervalMs: number): void => {
  for (const id of jobs) {
    world.wait(intervalMs);
    world.note("machines with cancelled tasks", world.cancel(id));
  }
};

const SCENARIOS: readonly Scenario[] = [
  {
    name: "leaders are suspended one after another for longer than the worker lease, while jobs are cancelled",
    faultRate: 0.2,
    run: (world, seed) => {
      world.wait(10_000);
      for (let i = 0; i < 3; i++) {
        const jobs = submitLongJobs(world);
        world.freezeLeader(i % 2 === 0 ? CANCEL_DEADLINE_MS + 8000 : WORKER_LEASE_MS + 6000);
        // before there is another leader, and under the next one
        cancelAll(world, jobs.slice(0, 2), 300 + (seed % 3) * 400);
        if (waitForLeader(world)) world.note("new leaders");
        cancelAll(world, jobs.slice(2), 500);
        world.wait(CANCEL_DEADLINE_MS + 12_000);
      }
    },
    minimumCounts: {
      "controllers frozen": 30,
      "new leaders": 30,
      "machines with cancelled tasks": 90,
    },
    guards: [["confirm", ["ran_twice"]]],
  },
  {
    name: "the leader and another controller are suspended at once, and then the next leader",
    faultRate: 0.2,
    run: (world) => {
      world.wait(10_000);
      for (let i = 0; i < 2; i++) {
        const jobs = submitLongJobs(world);
        world.freezeLeader(WORKER_LEASE_MS + CANCEL_DEADLINE_MS, 1);
        if (waitForLeader(world)) world.note("new leaders");
        world.wait(2000);
        world.freezeLeader(WORKER_LEASE_MS);
        cancelAll(world, jobs, 400);
        world.wait(WORKER_LEASE_MS + CANCEL_DEADLINE_MS + 5000);
      }
    },
    minimumCounts: { "controllers frozen": 48, "machines with cancelled tasks": 60 },
  },
  {
    name: "the leader is repeatedly suspended for about the length of its own lease, while jobs are cancelled",
    faultRate: 0.2,
    run: (world, seed) => {
      world.wait(10_000);
      for (let i = 0; i < 6; i++) {
        const jobs = submitLongJobs(world);
        // shorter than its lease (3 s), about as long, and longer
        world.freezeLeader(1500 + ((seed + i) % 4) * 800);
        cancelAll(world, jobs, 300);
        world.wait(6000);
      }
      world.wait(CANCEL_DEADLINE_MS);
    },
    minimumCounts: { "controllers frozen": 60, "machines with cancelled tasks": 150 },
    guards: [["cancel", ["ran_cancelled"]]],
  },
  {
    name: "jobs fail on every machine while leaders end, until users cancel them",
    faultRate: 0.2,
    run: (world) => {
      world.wait(8000);
      const failingJobs = world.submit(3, { tasks: 12, cpus: 2 });
      for (const id of failingJobs) world.failingJobs.add(id);
      for (let i = 0; i < 3; i++) {
        const otherJobs = world.submit(2, { tasks: 4, cpus: 2 }, [4000, 4000, 4000, 4000]);
        world.wait(12_000);
        world.crashLeader(i === 1 ? 300 : 5000);
        if (waitForLeader(world)) world.note("new leaders");
        // other jobs are served meanwhile
        const areOthersOver = world.runUntil(
          () => otherJobs.every((id) => world.outcomeOf(id) !== null),
          60_000,
        );
        if (areOthersOver) world.note("others served");
      }
      // failing jobs remain accepted until a user cancels them
      for (const id of failingJobs) {
        assert.notEqual(world.outcomeOf(id), "done");
        assert.equal(world.unfinishedJobs().includes(id), world.outcomeOf(id) === null);
      }
      for (const id of failingJobs) world.cancel(id);
    },
    minimumCounts: { "attempts that failed": 300, "new leaders": 30, "others served": 36 },
  },
];

runScenarios(SCENARIOS, {
  seedCount: 12,
  firstSeed: 6000,
  maxSeedsWithoutGuard: 60,
  servedWithinMs: 120_000,
  countsWhileServing: false,
});
