/**
 * Concurrent faults (docs/concurrent-faults.md) around updates that members send the leader through the state service: the
 * leader may miss them. The checks are those of `concurrent-faults.test.ts`.
 */
import * as Duration from "effect/Duration";
import { TIMINGS, type World } from "./model.js";
import { runScenarios, type Scenario } from "./scenarios.js";

const WORKER_LEASE_MS = Duration.toMillis(TIMINGS.workerLease);
/** How long the leader is out of reach: longer than members wait before they relay, shorter than its own lease. */
const MIN_LEADER_CUT_MS = 1600;
const MAX_LEADER_CUT_MS = 2300;
/** By then the leader has to have started the tasks of a machine elsewhere that hangs for longer than its lease. */
const RESTARTED_WITHIN_MS = WORKER_LEASE_MS + 6000;
const TASKS = 16;

const startServices = (world: World): string[] => {
  world.randomCancels = false;
  world.wait(8000);
  const jobs = world.submit(8, { kind: "service", tasks: 2, cpus: 2, priority: "production" });
  world.runUntil(() => world.runningTaskCount(jobs) === TASKS, 40_000);
  world.wait(1500);
  return jobs;
};

/** Machines hang for as long, while nothing can be released: only the end of their leases proves that they stopped. */
const hangMachines = (world: World, jobs: readonly string[], ms: number): void => {
  world.cloudDownUntil = world.now + ms + WORKER_LEASE_MS;
  world.note("machines that hang", world.injectMachineFault("hung", ms, 4, jobs));
};

/** A time that ends just before the lease of a machine that was answered now. */
const almostALease = (world: World): number => WORKER_LEASE_MS - 1000 + world.extraRandom() * 950;

/** Runs until all services are back on machines that are reached, with the cloud available. */
const recover = (world: World): void => {
  world.wait(WORKER_LEASE_MS + 6000);
  world.cloudDownUntil = 0;
  world.wait(8000);
};

const leaderCutMs = (world: World): number =>
  MIN_LEADER_CUT_MS + world.extraRandom() * (MAX_LEADER_CUT_MS - MIN_LEADER_CUT_MS);

const SCENARIOS: readonly Scenario[] = [
  {
    name: "the leader misses relayed updates while it is cut off, and then machines hang for almost a lease",
    faultRate: 0,
    run: (world) => {
      const jobs = startServices(world);
      for (let cut = 0; cut < 3; cut++) {
        const ms = leaderCutMs(world);
        const endsAt = world.now + ms;
        world.isolateLeader(ms, true);
        world.runTo(endsAt - world.extraRandom() * 600);
        hangMachines(world, jobs, almostALease(world));
        recover(world);
      }
    },
    minimumCounts: { "relayed updates missed": 150, "machines that hang": 200 },
    guards: [["relayed_updates", ["ran_twice"]]],
  },
  {
    name: "controllers refuse one another, the leader loses the state service twice, and then machines hang",
    faultRate: 0,
    run: (world) => {
      const jobs = startServices(world);
      for (let round = 0; round < 2; round++) {
        world.refusePeers(9000);
        world.wait(2000 + world.extraRandom() * 1000);
        world.isolateLeader(leaderCutMs(world), false);
        world.wait(3500);
        const ms = leaderCutMs(world);
        const endsAt = world.now + ms;
        world.isolateLeader(ms, false);
        world.runTo(endsAt - world.extraRandom() * 600);
        hangMachines(world, jobs, almostALease(world));
        recover(world);
      }
    },
    minimumCounts: { "updates relayed": 300, "relayed updates missed": 100, "machines that hang": 120 },
    guards: [["relayed_updates", ["ran_twice"]]],
  },
  {
    name: "the members change while relayed updates are missed, and then machines hang",
    faultRate: 0.3,
    run: (world, seed) => {
      const jobs = startServices(world);
      for (let round = 0; round < 2; round++) {
        world.refusePeers(4000);
        world.wait(1000);
        if (seed % 2 === 0) world.crashFollower(300);
        const ms = leaderCutMs(world);
        const endsAt = world.now + ms;
        world.isolateLeader(ms, true);
        world.runTo(endsAt - world.extraRandom() * 600);
        hangMachines(world, jobs, almostALease(world));
        if (seed % 3 === 0) world.crashLeader(500);
        recover(world);
      }
    },
    minimumCounts: { "relayed updates missed": 60, "machines that hang": 100 },
  },
  {
    name: "after relayed updates were missed, the end of a lease is still proven in time",
    faultRate: 0,
    run: (world) => {
      const jobs = startServices(world);
      world.isolateLeader(leaderCutMs(world), true);
      world.wait(MAX_LEADER_CUT_MS);
      hangMachines(world, jobs, 3 * WORKER_LEASE_MS);
      const { attemptsStarted } = world;
      world.wait(RESTARTED_WITHIN_MS);
      world.note("tasks started elsewhere", world.attemptsStarted - attemptsStarted);
    },
    minimumCounts: { "relayed updates missed": 50, "tasks started elsewhere": 150 },
  },
];

runScenarios(SCENARIOS, {
  seedCount: 30,
  firstSeed: 9500,
  maxSeedsWithoutGuard: 40,
  servedWithinMs: 120_000,
  countsWhileServing: false,
});
