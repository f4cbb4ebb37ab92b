/**
 * Jobs that depend on others, in seeded simulations with faults. Each scenario must reach its events a minimum number
 * of times, break no rule, and see every accepted job served or cancelled in the end. With one of its guards disabled,
 * the checker must report a violation.
 */
import * as Duration from "effect/Duration";
import { TIMINGS, type World } from "./model.js";
import { runScenarios, type Scenario } from "./scenarios.js";

const CANCEL_DEADLINE_MS = Duration.toMillis(TIMINGS.cancelDeadline);
const SMALL_JOB = { tasks: 2, cpus: 1 } as const;
const waitForLeader = (world: World): boolean => world.runUntil(() => world.hasLeader(), 30_000);
/** Submits a job without dependencies, whose tasks each run for `ms`. */
const submitRoot = (world: World, ms = 2000): string => world.submit(1, SMALL_JOB, [ms, ms])[0]!;
const submitDependent = (world: World, dependencies: readonly string[], ms = 1000): string =>
  world.submitDependent(dependencies, SMALL_JOB, [ms, ms]);
const submitChain = (world: World, length: number, ms = 1000): string[] => {
  const jobs = [submitRoot(world, ms)];
  while (jobs.length < length) jobs.push(submitDependent(world, [jobs.at(-1)!], ms));
  return jobs;
};
/** Submits one job, several that depend on it, and one that depends on all of these. */
const submitDiamond = (world: World, width: number, ms = 1000): string[] => {
  const first = submitRoot(world, ms);
  const middle = Array.from({ length: width }, (_, i) => submitDependent(world, [first], ms + (i % 3) * 700));
  return [first, ...middle, submitDependent(world, middle, ms)];
};
/** Submits one job that depends on many of different durations. */
const submitFanIn = (world: World, width: number, ms = 1000): string[] => {
  const parents = Array.from({ length: width }, (_, i) => submitRoot(world, ms + (i % 4) * 900));
  return [...parents, submitDependent(world, parents, ms)];
};
const waitUntilAccepted = (world: World, jobs: readonly string[]): boolean =>
  world.runUntil(() => jobs.every((id) => world.isAccepted(id)), 20_000);

const SCENARIOS: readonly Scenario[] = [
  {
    name: "chains, diamonds and wide fan-ins complete under all kinds of faults",
    faultRate: 1,
    run: (world, seed) => {
      world.wait(8000);
      const pipelines = [submitChain(world, 5), submitDiamond(world, 3), submitFanIn(world, 7)];
      world.wait(6000);
      pipelines.push(submitDiamond(world, 6), submitChain(world, 3));
      for (const jobs of pipelines) world.resubmit(jobs.at(-1)!);
      if (seed % 3 === 0) world.crashLeader(2000);
      world.wait(25_000);
    },
    minimumCounts: {
      "waiting jobs accepted": 250,
      joins: 300,
      releases: 250,
      "submissions repeated": 120,
      "cancellations propagated": 12,
    },
    guards: [["release", ["too_early"]]],
  },
  {
    name: "a leader crashes between a commit and the joins that follow from it",
    faultRate: 0.3,
    run: (world) => {
      world.randomCancels = false;
      world.wait(8000);
      world.crashAfterCommitShare = 0.4;
      submitChain(world, 4);
      submitDiamond(world, 3);
      submitFanIn(world, 5);
      world.wait(35_000);
    },
    minimumCounts: {
      "leaders crashed between commit and join": 60,
      "lost joins recovered": 36,
      releases: 120,
    },
    guards: [["recover_joins", ["unserved"]]],
  },
  {
    name: "writes of joins, cancels and acceptances are delayed, or conflict with another leader's",
    faultRate: 0.5,
    run: (world, seed) => {
      world.wait(8000);
      world.lateWriteShare = 0.25;
      for (let i = 0; i < 3; i++) {
        const jobs = [...submitChain(world, 4), ...submitDiamond(world, 3), ...submitFanIn(world, 6)];
        world.wait(3000 + (seed % 4) * 1000);
        for (const [n, id] of jobs.entries()) if ((n + i + seed) % 6 === 0) world.cancelThroughNode(id);
        world.wait(5000);
        world.crashLeader(300);
        world.wait(6000);
      }
    },
    minimumCounts: {
      "late joins refused": 60,
      "joins refused": 5,
      "lost joins recovered": 3,
      releases: 240,
    },
    guards: [["join_conditions", ["went_back", "too_early"]]],
  },
  {
    name: "users cancel a waiting job as its last parent ends",
    faultRate: 0.3,
    run: (world, seed) => {
      world.randomCancels = false;
      world.wait(8000);
      for (let i = 0; i < 5; i++) {
        const jobs = Array.from({ length: 4 }, () => submitChain(world, 2, 1500));
        waitUntilAccepted(
          world,
          jobs.map(([, last]) => last!),
        );
        // the parent's end is on its way to the state service, and the release follows at once
        for (const [n, [first, last]] of (jobs as [string, string][]).entries()) {
          if (!world.runUntil(() => world.completedTaskCount([first]) >= 2, 15_000)) continue;
          world.wait(((seed + n) % 4) * 150);
          world.cancelThroughNode(last);
        }
        world.wait(2500);
      }
    },
    minimumCounts: {
      "cancels refused as the waiting job changed": 30,
      "joins refused": 18,
      "waiting jobs cancelled": 40,
      releases: 240,
    },
  },
  {
    name: "users cancel a parent as it ends: they learn that it is done, and its dependents go on",
    faultRate: 0.3,
    run: (world) => {
      world.randomCancels = false;
      world.wait(8000);
      for (let i = 0; i < 4; i++) {
        const jobs = Array.from({ length: 4 }, () => submitChain(world, 3, 1000));
        for (const [first] of jobs as [string, string][])
          if (world.runUntil(() => world.completedTaskCount([first]) >= 2, 15_000))
            world.cancelThroughNode(first);
        world.wait(6000);
      }
    },
    minimumCounts: {
      "cancels refused as the job had ended": 120,
      "cancellations propagated": 180,
      releases: 200,
    },
  },
  {
    name: "a last job is submitted late: its parents are done, running, waiting, cancelled or about to end",
    faultRate: 0.3,
    run: (world, seed) => {
      world.randomCancels = false;
      world.wait(8000);
      for (let i = 0; i < 4; i++) {
        const [first, second, third] = submitChain(world, 3, 1500) as [string, string, string];
        const cancelledJob = submitRoot(world, 20_000);
        waitUntilAccepted(world, [second, third]);
        submitDependent(world, [first, third]);
        world.runUntil(() => world.completedTaskCount([first]) >= 2, 15_000);
        // the end of the first job is on its way to the state service
        for (let n = 0; n < 4; n++) {
          submitDependent(world, [first]);
          submitDependent(world, [first, second]);
          world.wait(150 + (seed % 5) * 100);
        }
        world.runUntil(() => world.outcome(first) !== null, 15_000);
        submitDependent(world, [first]);
        world.cancelThroughNode(cancelledJob);
        world.runUntil(() => world.outcome(cancelledJob) !== null, 10_000);
        const child = submitDependent(world, [first, cancelledJob]);
        waitUntilAccepted(world, [child]);
        submitDependent(world, [child]);
      }
      world.wait(10_000);
    },
    minimumCounts: {
      "children refused as a parent changed": 120,
      "children of finished jobs accepted": 180,
      "children of cancelled jobs accepted": 120,
      "waiting jobs accepted": 500,
    },
  },
  {
    name: "a job has more parents than one transaction can compare, and some end while it is being accepted",
    faultRate: 0.3,
    run: (world) => {
      world.randomCancels = false;
      world.wait(8000);
      world.maxStateDelayMs = 300;
      for (let i = 0; i < 4; i++) {
        const parents = Array.from({ length: 13 }, (_, n) => submitRoot(world, n < 8 ? 10_000 : 1000));
        world.runUntil(() => world.completedTaskCount(parents.slice(8)) >= 3, 15_000);
        for (let n = 0; n < 6; n++) {
          submitDependent(world, parents);
          world.wait(200);
        }
        world.wait(5000);
      }
    },
    minimumCounts: { "children accepted while a parent committed": 120, releases: 360 },
  },
  {
    name: "a job is cancelled, and an outage or the loss of the leader delays the cancellation of its dependents",
    faultRate: 0,
    run: (world, seed) => {
      world.randomCancels = false;
      world.wait(8000);
      for (let i = 0; i < 2; i++) {
        // a leader that is cut off learns of none of the submissions
        if (seed % 3 === 1) world.isolateLeader(16_000, false);
        const jobs = [...submitChain(world, 6, 40_000), ...submitDiamond(world, 4, 40_000).slice(1)];
        waitUntilAccepted(world, jobs.slice(1, 6));
        world.wait(2000);
        // there is no leader to pass the cancel on when the user gets the answer
        if (seed % 3 === 0) world.crashLeader(6000);
        world.cancelThroughNode(jobs[0]!);
        if (!world.runUntil(() => world.outcome(jobs[0]!) === "cancelled", 10_000)) continue;
        if (world.isWaiting(jobs[2]!)) world.note("outages before a cancel was passed on");
        world.outage(CANCEL_DEADLINE_MS + 2000 + (seed % 4) * 1000).wait(CANCEL_DEADLINE_MS + 15_000);
        waitForLeader(world);
      }
    },
    minimumCounts: { "outages before a cancel was passed on": 36, "cancellations propagated": 150 },
    guards: [
      ["ancestors", ["orphaned"]],
      ["unknown_ancestors", ["orphaned"]],
      ["recheck_ancestors", ["orphaned"]],
    ],
  },
  {
    name: "a job is cancelled, and indirect dependents of it are submitted until the state service is back",
    faultRate: 0,
    run: (world, seed) => {
      world.randomCancels = false;
      world.wait(8000);
      for (let i = 0; i < 2; i++) {
        const jobs = submitChain(world, 3, 60_000);
        waitUntilAccepted(world, jobs.slice(1));
        world.wait(2000);
        if (seed % 3 === 0) world.crashLeader(6000);
        world.cancelThroughNode(jobs[0]!);
        if (!world.runUntil(() => world.outcome(jobs[0]!) === "cancelled", 10_000)) continue;
        world.outage(CANCEL_DEADLINE_MS + 2000 + (seed % 4) * 1000);
        for (let n = 0; n < 6; n++) jobs.push(submitDependent(world, [jobs[2]!]));
        if (world.isWaiting(jobs[2]!)) world.note("jobs sent inside an outage", 6);
        world.wait(CANCEL_DEADLINE_MS + 15_000);
        waitForLeader(world);
      }
    },
    minimumCounts: { "jobs sent inside an outage": 150, "children of cancelled jobs accepted": 100 },
    guards: [["ancestors_of_parents", ["orphaned"]]],
  },
  {
    name: "leaders change again and again while pipelines run and jobs anywhere in them are cancelled",
    faultRate: 0.8,
    run: (world, seed) => {
      world.wait(8000);
      world.crashAfterCommitShare = 0.1;
      for (let i = 0; i < 5; i++) {
        const jobs = [...submitChain(world, 4), ...submitDiamond(world, 3)];
        world.wait(4000);
        if (i % 2 === 1) world.isolateLeader(8000, seed % 2 === 0);
        else world.crashLeader(seed % 2 === 0 ? 200 : 5000);
        world.cancelThroughNode(jobs[(seed + i) % jobs.length]!);
        if (i === 2) world.outage(6000);
        world.wait(7000);
      }
    },
    minimumCounts: {
      "leaders crashed": 40,
      "leaders crashed between commit and join": 24,
      "cancellations propagated": 80,
      "lost joins recovered": 24,
      releases: 300,
    },
    guards: [["release", ["too_early"]]],
  },
];

// the longest chain needs three minutes
runScenarios(SCENARIOS, {
  seedCount: 24,
  firstSeed: 5000,
  maxSeedsWithoutGuard: 40,
  servedWithinMs: 180_000,
  countsWhileServing: true,
});
