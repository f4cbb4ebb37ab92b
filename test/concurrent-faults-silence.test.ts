/**
 * Troubles that were on no list (docs/concurrent-faults.md): controllers that stand still for longer than every lease and wake with
 * an old picture, and jobs that fail on every machine until their users cancel them.
 */
import assert from "node:assert/strict";
import * as Duration from "effect/Duration";
import { TIMINGS, type World } from "./model.js";
import { playAll, type Scenario } from "./scenarios.js";

const LEASE = Duration.toMillis(TIMINGS.workerLease);
const CANCEL = Duration.toMillis(TIMINGS.cancelDeadline);
const led = (world: World): boolean => world.until(() => world.led(), 30_000);

/** Jobs whose tasks run for long; they are at work when this returns. */
const longJobs = (world: World): string[] => {
  const jobs = world.submit(4, { tasks: 3, cpus: 2 }, [90_000, 90_000, 90_000]);
  world.until(() => world.running(jobs) >= 6, 20_000);
  return jobs;
};

const cancelAll = (world: World, jobs: readonly string[], apart: number): void => {
  for (const id of jobs) {
    world.wait(apart);
    world.note("machines with cancelled tasks", world.cancel(id));
  }
};

const MEETINGS: readonly Scenario[] = [
  {
    name: "leaders stand still for longer than every lease, one after the other, while jobs are cancelled",
    rough: 0.2,
    play: (world, seed) => {
      world.wait(10_000);
      for (let i = 0; i < 3; i++) {
        const jobs = longJobs(world);
        world.freezeLeader(i % 2 === 0 ? CANCEL + 8000 : LEASE + 6000);
        // before anybody else leads, and under the next leader
        cancelAll(world, jobs.slice(0, 2), 300 + (seed % 3) * 400);
        if (led(world)) world.note("new leaders");
        cancelAll(world, jobs.slice(2), 500);
        world.wait(CANCEL + 12_000);
      }
    },
    met: { "controllers that stood still": 30, "new leaders": 30, "machines with cancelled tasks": 90 },
    guards: [["confirm", ["ran_twice"]]],
  },
  {
    name: "two controllers stand still at once, one of them leading, and the next leader right after them",
    rough: 0.2,
    play: (world) => {
      world.wait(10_000);
      for (let i = 0; i < 2; i++) {
        const jobs = longJobs(world);
        world.freezeLeader(LEASE + CANCEL, 1);
        if (led(world)) world.note("new leaders");
        world.wait(2000);
        world.freezeLeader(LEASE);
        cancelAll(world, jobs, 400);
        world.wait(LEASE + CANCEL + 5000);
      }
    },
    met: { "controllers that stood still": 48, "machines with cancelled tasks": 60 },
  },
  {
    name: "a leader stands still for some seconds inside its lease, again and again, while others cancel",
    rough: 0.2,
    play: (world, seed) => {
      world.wait(10_000);
      for (let i = 0; i < 6; i++) {
        const jobs = longJobs(world);
        // shorter than its lease, about as long, and longer
        world.freezeLeader(1500 + ((seed + i) % 4) * 800);
        cancelAll(world, jobs, 300);
        world.wait(6000);
      }
      world.wait(CANCEL);
    },
    met: { "controllers that stood still": 60, "machines with cancelled tasks": 150 },
    guards: [["cancel", ["ran_cancelled"]]],
  },
  {
    name: "jobs fail on every machine while leaders end, and are cancelled in the end",
    rough: 0.2,
    play: (world) => {
      world.wait(8000);
      const broken = world.submit(3, { tasks: 12, cpus: 2 });
      for (const id of broken) world.failing.add(id);
      for (let i = 0; i < 3; i++) {
        const others = world.submit(2, { tasks: 4, cpus: 2 }, [4000, 4000, 4000, 4000]);
        world.wait(12_000);
        world.endLeader(i === 1 ? 300 : 5000);
        if (led(world)) world.note("new leaders");
        // jobs that are well are served beside those that fail
        const isOver = world.until(() => others.every((id) => world.outcomeOf(id) !== null), 60_000);
        if (isOver) world.note("others served");
      }
      // they stay accepted, and known, until a user cancels them
      for (const id of broken) {
        assert.notEqual(world.outcomeOf(id), "done");
        assert.equal(world.open().includes(id), world.outcomeOf(id) === null);
      }
      for (const id of broken) world.cancel(id);
    },
    met: { "attempts that failed": 300, "new leaders": 30, "others served": 36 },
  },
];

playAll(MEETINGS, { seeds: 12, first: 6000, tries: 60, servedWithin: 120_000, countsServing: false });
