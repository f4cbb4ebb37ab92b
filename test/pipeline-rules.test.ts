/**
 * Jobs that wait for others, in seeded runs: that the troubles really met is counted, no rule may be broken, everything
 * accepted is served or cancelled afterwards, and where a guard is named the checker has to notice that it is missing.
 */
import * as Duration from "effect/Duration";
import { TIMINGS, type World } from "./model.js";
import { playAll, type Scenario } from "./scenarios.js";

const CANCEL = Duration.toMillis(TIMINGS.cancelDeadline);
const SMALL = { tasks: 2, cpus: 1 } as const;
const led = (world: World): boolean => world.until(() => world.led(), 30_000);
/** A job that waits for nothing, of tasks that each run so long. */
const root = (world: World, ms = 2000): string => world.submit(1, SMALL, [ms, ms])[0]!;
const after = (world: World, awaits: readonly string[], ms = 1000): string =>
  world.submitAfter(awaits, SMALL, [ms, ms]);
const chain = (world: World, length: number, ms = 1000): string[] => {
  const jobs = [root(world, ms)];
  while (jobs.length < length) jobs.push(after(world, [jobs.at(-1)!], ms));
  return jobs;
};
/** One job, several that need it, and one that needs all of these. */
const diamond = (world: World, width: number, ms = 1000): string[] => {
  const first = root(world, ms);
  const middle = Array.from({ length: width }, (_, i) => after(world, [first], ms + (i % 3) * 700));
  return [first, ...middle, after(world, middle, ms)];
};
/** One job that needs many, of different lengths. */
const fan = (world: World, width: number, ms = 1000): string[] => {
  const parents = Array.from({ length: width }, (_, i) => root(world, ms + (i % 4) * 900));
  return [...parents, after(world, parents, ms)];
};
const accepted = (world: World, jobs: readonly string[]): boolean =>
  world.until(() => jobs.every((id) => world.isAccepted(id)), 20_000);

const SCENARIOS: readonly Scenario[] = [
  {
    name: "chains, diamonds and wide fans run through all that happens on a rough day",
    rough: 1,
    play: (world, seed) => {
      world.wait(8000);
      const sent = [chain(world, 5), diamond(world, 3), fan(world, 7)];
      world.wait(6000);
      sent.push(diamond(world, 6), chain(world, 3));
      for (const jobs of sent) world.repeat(jobs.at(-1)!);
      if (seed % 3 === 0) world.endLeader(2000);
      world.wait(25_000);
    },
    met: {
      "waiting jobs accepted": 250,
      joins: 300,
      releases: 250,
      "submissions repeated": 120,
      "cancels passed on": 12,
    },
    guards: [["release", ["too_early"]]],
  },
  {
    name: "a leader ends between a commit and the joins that follow from it",
    rough: 0.3,
    play: (world) => {
      world.usersCancel = false;
      world.wait(8000);
      world.endsAfterCommit = 0.4;
      chain(world, 4);
      diamond(world, 3);
      fan(world, 5);
      world.wait(35_000);
    },
    met: { "leaders ended between commit and join": 60, "lost joins found again": 36, releases: 120 },
    guards: [["join", ["unserved"]]],
  },
  {
    name: "joins, cancels and acceptances come late, or meet those of another leader",
    rough: 0.5,
    play: (world, seed) => {
      world.wait(8000);
      world.lateWrites = 0.25;
      for (let i = 0; i < 3; i++) {
        const jobs = [...chain(world, 4), ...diamond(world, 3), ...fan(world, 6)];
        world.wait(3000 + (seed % 4) * 1000);
        for (const [n, id] of jobs.entries()) if ((n + i + seed) % 6 === 0) world.cancelThroughNode(id);
        world.wait(5000);
        world.endLeader(300);
        world.wait(6000);
      }
    },
    met: { "late joins refused": 60, "joins refused": 5, "lost joins found again": 3, releases: 240 },
    guards: [["filling", ["went_back", "too_early"]]],
  },
  {
    name: "users call off a waiting job as its last parent ends",
    rough: 0.3,
    play: (world, seed) => {
      world.usersCancel = false;
      world.wait(8000);
      for (let i = 0; i < 5; i++) {
        const jobs = Array.from({ length: 4 }, () => chain(world, 2, 1500));
        accepted(
          world,
          jobs.map(([, last]) => last!),
        );
        // its end is on the way to the state service, and the release follows at once
        for (const [n, [first, last]] of (jobs as [string, string][]).entries()) {
          if (!world.until(() => world.finished([first]) >= 2, 15_000)) continue;
          world.wait(((seed + n) % 4) * 150);
          world.cancelThroughNode(last);
        }
        world.wait(2500);
      }
    },
    met: {
      "cancels that met the parent's end": 30,
      "joins refused": 18,
      "waiting jobs called off": 40,
      releases: 240,
    },
  },
  {
    name: "users call off a parent as it ends: told that it is done, the jobs after it go on",
    rough: 0.3,
    play: (world) => {
      world.usersCancel = false;
      world.wait(8000);
      for (let i = 0; i < 4; i++) {
        const jobs = Array.from({ length: 4 }, () => chain(world, 3, 1000));
        for (const [first] of jobs as [string, string][])
          if (world.until(() => world.finished([first]) >= 2, 15_000)) world.cancelThroughNode(first);
        world.wait(6000);
      }
    },
    met: { "cancels that met the job's end": 120, "cancels passed on": 180, releases: 200 },
  },
  {
    name: "a last job comes late: its parents are done, running, waiting, cancelled or just about to end",
    rough: 0.3,
    play: (world, seed) => {
      world.usersCancel = false;
      world.wait(8000);
      for (let i = 0; i < 4; i++) {
        const [first, second, third] = chain(world, 3, 1500) as [string, string, string];
        const off = root(world, 20_000);
        accepted(world, [second, third]);
        after(world, [first, third]);
        world.until(() => world.finished([first]) >= 2, 15_000);
        // its end is on the way to the state service
        for (let n = 0; n < 4; n++) {
          after(world, [first]);
          after(world, [first, second]);
          world.wait(150 + (seed % 5) * 100);
        }
        world.until(() => world.outcome(first) !== null, 15_000);
        after(world, [first]);
        world.cancelThroughNode(off);
        world.until(() => world.outcome(off) !== null, 10_000);
        const child = after(world, [first, off]);
        accepted(world, [child]);
        after(world, [child]);
      }
      world.wait(10_000);
    },
    met: {
      "children refused as a parent went on": 120,
      "children of finished jobs accepted": 180,
      "children of cancelled jobs accepted": 120,
      "waiting jobs accepted": 500,
    },
  },
  {
    name: "a job needs more jobs than a transaction compares, and some end while it is accepted",
    rough: 0.3,
    play: (world) => {
      world.usersCancel = false;
      world.wait(8000);
      world.slowStateMs = 300;
      for (let i = 0; i < 4; i++) {
        const parents = Array.from({ length: 13 }, (_, n) => root(world, n < 8 ? 10_000 : 1000));
        world.until(() => world.finished(parents.slice(8)) >= 3, 15_000);
        for (let n = 0; n < 6; n++) {
          after(world, parents);
          world.wait(200);
        }
        world.wait(5000);
      }
    },
    met: { "children accepted while a parent committed": 120, releases: 360 },
  },
  {
    name: "a job is cancelled, and an outage or the loss of the leader holds up what has to follow from it",
    rough: 0,
    play: (world, seed) => {
      world.usersCancel = false;
      world.wait(8000);
      for (let i = 0; i < 2; i++) {
        // one of them hears of nothing that is submitted
        if (seed % 3 === 1) world.cutLeader(16_000, false);
        const jobs = [...chain(world, 6, 40_000), ...diamond(world, 4, 40_000).slice(1)];
        accepted(world, jobs.slice(1, 6));
        world.wait(2000);
        // nobody is there to pass it on when the user is told
        if (seed % 3 === 0) world.endLeader(6000);
        world.cancelThroughNode(jobs[0]!);
        if (!world.until(() => world.outcome(jobs[0]!) === "cancelled", 10_000)) continue;
        if (world.isWaiting(jobs[2]!)) world.note("outages before a cancel was passed on");
        world.outage(CANCEL + 2000 + (seed % 4) * 1000).wait(CANCEL + 15_000);
        led(world);
      }
    },
    met: { "outages before a cancel was passed on": 36, "cancels passed on": 150 },
    guards: [
      ["ancestors", ["orphaned"]],
      ["unheard", ["orphaned"]],
      ["overtaken", ["orphaned"]],
    ],
  },
  {
    name: "a job is cancelled, and those that need it through others are sent until the state service is back",
    rough: 0,
    play: (world, seed) => {
      world.usersCancel = false;
      world.wait(8000);
      for (let i = 0; i < 2; i++) {
        const jobs = chain(world, 3, 60_000);
        accepted(world, jobs.slice(1));
        world.wait(2000);
        if (seed % 3 === 0) world.endLeader(6000);
        world.cancelThroughNode(jobs[0]!);
        if (!world.until(() => world.outcome(jobs[0]!) === "cancelled", 10_000)) continue;
        world.outage(CANCEL + 2000 + (seed % 4) * 1000);
        for (let n = 0; n < 6; n++) jobs.push(after(world, [jobs[2]!]));
        if (world.isWaiting(jobs[2]!)) world.note("jobs sent inside an outage", 6);
        world.wait(CANCEL + 15_000);
        led(world);
      }
    },
    met: { "jobs sent inside an outage": 150, "children of cancelled jobs accepted": 100 },
    guards: [["before", ["orphaned"]]],
  },
  {
    name: "leaders change one after the other while pipelines run and are called off anywhere",
    rough: 0.8,
    play: (world, seed) => {
      world.wait(8000);
      world.endsAfterCommit = 0.1;
      for (let i = 0; i < 5; i++) {
        const jobs = [...chain(world, 4), ...diamond(world, 3)];
        world.wait(4000);
        if (i % 2 === 1) world.cutLeader(8000, seed % 2 === 0);
        else world.endLeader(seed % 2 === 0 ? 200 : 5000);
        world.cancelThroughNode(jobs[(seed + i) % jobs.length]!);
        if (i === 2) world.outage(6000);
        world.wait(7000);
      }
    },
    met: {
      "leaders ended": 40,
      "leaders ended between commit and join": 24,
      "cancels passed on": 80,
      "lost joins found again": 24,
      releases: 300,
    },
    guards: [["release", ["too_early"]]],
  },
];

// the longest chain needs three minutes
playAll(SCENARIOS, { seeds: 24, first: 5000, tries: 40, servedWithin: 180_000, countsServing: true });
