/**
 * Concurrent faults (docs/concurrent-faults.md) around a change of leader, or of the member that serves a partition:
 * messages in transit, unanswered writes and jobs cancelled at that moment. The checks are those of
 * `concurrent-faults.test.ts`.
 */
import * as Duration from "effect/Duration";
import { TIMINGS, type World } from "./model.js";
import { runScenarios, type Scenario } from "./scenarios.js";

const WORKER_LEASE_MS = Duration.toMillis(TIMINGS.workerLease);
const CANCEL_DEADLINE_MS = Duration.toMillis(TIMINGS.cancelDeadline);
const waitForLeader = (world: World): boolean => world.runUntil(() => world.hasLeader(), 30_000);

const SCENARIOS: readonly Scenario[] = [
  {
    name: "new machines boot within two seconds and get work at once, while writes are delayed and the leader ends",
    faultRate: 0.2,
    run: (world) => {
      world.fastBoots = true;
      world.wait(8000);
      for (let i = 0; i < 3; i++) {
        world.lateWriteShare = 0.5;
        world.maxStateDelayMs = 1500;
        world.submit(3, { tasks: 6, cpus: 4 }, [9000, 9000, 9000, 9000, 9000, 9000]);
        world.runUntil(() => world.busyNewMachines(2000) > 0, 12_000);
        world.note("new machines at work", world.busyNewMachines(2000));
        world.crashLeader(300);
        world.lateWriteShare = 0;
        world.maxStateDelayMs = 0;
        if (waitForLeader(world)) world.note("new leaders");
        world.wait(9000);
      }
    },
    minimumCounts: { "new machines at work": 18, "leaders crashed": 24, "new leaders": 24 },
    guards: [["record", ["ran_twice"]]],
  },
  {
    name: "four one-task jobs a second are submitted for two minutes, and a quarter of them cancelled",
    faultRate: 0.2,
    seedCount: 3,
    run: (world, seed) => {
      world.wait(8000);
      for (let i = 0; i < 480; i++) {
        const isLong = (i + seed) % 4 === 0;
        const [id] = world.submit(1, { tasks: 1, cpus: 1 }, [isLong ? 60_000 : 1500]);
        world.wait(250);
        // cancelled before it is placed, while its start command is in transit, or while it runs
        const cancelled = i >= 8 * (i % 3) ? world.unfinishedJobs().find((job) => job === id) : undefined;
        if (isLong && cancelled !== undefined) {
          world.wait((i % 3) * 150);
          world.note("machines with cancelled tasks", world.cancel(cancelled));
          world.note("cancelled jobs");
        }
        if (i === 240) world.crashLeader(500);
      }
    },
    minimumCounts: { "cancelled jobs": 240, "machines with cancelled tasks": 60 },
    guards: [["cancel", ["ran_cancelled"]]],
  },
  {
    name: "jobs are cancelled while the partition of a member that ended passes to others",
    faultRate: 0.2,
    run: (world, seed) => {
      world.wait(10_000);
      for (let i = 0; i < 4; i++) {
        const jobs = world.submit(4, { tasks: 3, cpus: 2 }, [60_000, 60_000, 60_000]);
        world.runUntil(() => world.runningTaskCount(jobs) >= 8, 20_000);
        world.crashFollower(i % 2 === 0 ? 200 : 6000);
        for (const id of jobs) {
          // before the others notice, as the member's lease ends, and after its partition was reassigned
          world.wait(400 + ((seed + i) % 4) * 500);
          world.note("machines with cancelled tasks", world.cancel(id));
        }
        world.wait(CANCEL_DEADLINE_MS / 3);
      }
      world.wait(CANCEL_DEADLINE_MS);
    },
    minimumCounts: { "followers crashed": 44, "machines with cancelled tasks": 200 },
    guards: [["cancel", ["ran_cancelled"]]],
  },
  {
    name: "a delayed heartbeat reaches every controller just as a new leader begins",
    faultRate: 0.2,
    run: (world, seed) => {
      world.wait(12_000);
      for (let i = 0; i < 3; i++) {
        const deliverHeldBack = world.captureAllHeartbeats();
        const jobs = world.submit(4, { tasks: 4, cpus: 1 }, [20_000, 20_000, 20_000, 20_000]);
        world.runUntil(() => world.runningTaskCount(jobs) >= 8, 20_000);
        // machines with tasks can't report them to the new leader at once
        world.injectMachineFault("cut", 4000, 6, jobs);
        const { leadersElected: leaders } = world;
        world.crashLeader(seed % 2 === 0 ? 300 : 8000);
        if (!world.runUntil(() => world.leadersElected > leaders, 15_000)) continue;
        for (let n = 0; n < 4; n++) {
          world.note("heartbeats delivered as a leader begins", deliverHeldBack());
          world.wait(250);
        }
        world.wait(9000);
      }
    },
    minimumCounts: {
      "heartbeats delivered as a leader begins": 200,
      "leaders crashed": 30,
      "heartbeat copies after newer ones": 300,
    },
    guards: [["sequence", ["ran_twice"]]],
  },
  {
    name: "a command of a leader that ended or lost its lease arrives after commands of the new leader",
    faultRate: 0.2,
    run: (world, seed) => {
      world.wait(10_000);
      for (let i = 0; i < 5; i++) {
        world.lateCommandShare = 0.6;
        world.submit(3, { tasks: 6, cpus: 1 });
        world.wait(600);
        if ((seed + i) % 2 === 0) world.crashLeader(300);
        else if (world.isolateLeader(12_000, true) !== null) world.note("leaders cut off");
        world.lateCommandShare = 0.2;
        waitForLeader(world);
        world.wait(12_000);
      }
    },
    minimumCounts: {
      "leaders crashed": 24,
      "leaders cut off": 18,
      "late command batches": 100,
      "command batches of an earlier leader": 30,
    },
    guards: [["confirm", ["ran_twice"]]],
  },
  {
    name: "a transaction is applied, its answer is lost, and other controllers read what it wrote",
    faultRate: 0.3,
    run: (world) => {
      world.wait(6000);
      world.lostAnswerShare = 0.4;
      for (let i = 0; i < 5; i++) {
        world.submit(2, { tasks: 3, cpus: 1 });
        world.submitByUsers(2, { tasks: 2, cpus: 1 });
        world.wait(5000);
        world.crashLeader(300);
        world.wait(5000);
      }
    },
    minimumCounts: {
      "answers lost": 200,
      "writes read by others whose answer was lost": 200,
      "leaders crashed": 40,
    },
    guards: [["adopt_key", ["unserved"]]],
  },
  {
    name: "every team is at its limit as jobs on machines that are cut off or hang are cancelled, and the leader changes",
    faultRate: 0.2,
    seedCountWithShards: 18,
    run: (world, seed) => {
      world.teams = [
        { name: "red", guaranteedCpus: 8, maxCpus: 16, guaranteedGpus: 0, maxGpus: 0 },
        { name: "blue", guaranteedCpus: 8, maxCpus: 16, guaranteedGpus: 0, maxGpus: 0 },
      ];
      world.randomCancels = false;
      world.wait(8000);
      const runningJobs = ["red", "blue"].flatMap((team) =>
        world.submit(2, { team, tasks: 3, cpus: 4 }, [90_000, 90_000, 90_000]),
      );
      const queuedJobs = ["red", "blue"].flatMap((team) =>
        world.submit(1, { team, tasks: 3, cpus: 4 }, [9000, 9000, 9000]),
      );
      // another task (4 processors) would exceed the limit (16)
      const isFull = (): boolean => ["red", "blue"].every((team) => world.teamCpus(team) > 12);
      if (world.runUntil(isFull, 40_000)) world.note("all teams at their limits");
      const fault = seed % 2 === 0 ? "cut" : "hung";
      world.note(
        "machines cut off or hung",
        world.injectMachineFault(fault, seed % 3 === 0 ? WORKER_LEASE_MS + 4000 : 7000, 3, [
          ...runningJobs,
          ...queuedJobs,
        ]),
      );
      for (const id of runningJobs) world.note("machines with cancelled tasks", world.cancel(id));
      world.crashLeader(seed % 4 < 2 ? 300 : 8000);
      if (waitForLeader(world)) world.note("new leaders");
      world.submit(2, { team: "red", tasks: 6, cpus: 2 });
      world.submit(2, { team: "blue", tasks: 6, cpus: 2 });
      world.wait(CANCEL_DEADLINE_MS + 5000);
    },
    minimumCounts: {
      "all teams at their limits": 10,
      "machines cut off or hung": 24,
      "machines with cancelled tasks": 30,
      "new leaders": 11,
    },
    guards: [["confirm", ["quota", "ran_twice"]]],
  },
];

runScenarios(SCENARIOS, {
  seedCount: 12,
  firstSeed: 4000,
  maxSeedsWithoutGuard: 60,
  servedWithinMs: 120_000,
  countsWhileServing: false,
});
