/**
 * Pairs of concurrent faults (docs/concurrent-faults.md) in seeded runs of the model. Each scenario counts how often its
 * faults coincided; no rule may be broken, and every accepted job has to be served afterwards. With one of the named
 * guards disabled the checker has to report a broken rule.
 */
import * as Duration from "effect/Duration";
import { TIMINGS, type World } from "./model.js";
import { runScenarios, type Scenario } from "./scenarios.js";

const WORKER_LEASE_MS = Duration.toMillis(TIMINGS.workerLease);
const CANCEL_DEADLINE_MS = Duration.toMillis(TIMINGS.cancelDeadline);
/** Waits until a leader can act; returns whether one can. */
const waitForLeader = (world: World): boolean => world.runUntil(() => world.hasLeader(), 30_000);
/** Submits jobs with long tasks on several machines, and waits until most of their tasks run. */
const submitLongJobs = (world: World, count: number, taskMs = 60_000): string[] => {
  const jobs = world.submit(count, { tasks: 3, cpus: 4 }, [taskMs, taskMs, taskMs]);
  world.runUntil(() => world.runningTaskCount(jobs) >= count * 2, 25_000);
  return jobs;
};

const SCENARIOS: readonly Scenario[] = [
  {
    name: "leaders change ten times in two minutes, also during an outage of the state service",
    run: (world) => {
      world.wait(15_000);
      const before = { leaders: world.leadersElected, at: world.now };
      for (let i = 0; i < 10; i++) {
        if (i === 3 || i === 7) world.outage(14_000).wait(2000);
        world.crashLeader(i % 3 === 0 ? 100 : 6000);
        world.runTo(before.at + (i + 1) * 12_000);
      }
      waitForLeader(world);
      world.note("leaders", world.leadersElected - before.leaders);
    },
    minimumCounts: { "leaders crashed": 100, leaders: 84, "leaders crashed during an outage": 12 },
    guards: [["confirm", ["ran_twice", "quota"]]],
  },
  {
    name: "an unanswered transaction is applied late, after newer ones of the same controller",
    run: (world) => {
      world.lateWriteShare = 0.3;
      world.cancelAtEndShare = 0.3;
      for (let i = 0; i < 6; i++) {
        world.submit(2, {});
        world.wait(8000);
        world.crashLeader(300);
        world.wait(5000);
      }
      // leaders end right after writing their term, and this write may be delayed
      for (let i = 0; i < 4; i++) {
        const { leadersElected: leaders } = world;
        world.crashLeader(300);
        world.runUntil(() => world.leadersElected > leaders, 8000);
      }
    },
    minimumCounts: {
      "late writes after newer ones": 300,
      "late writes refused": 100,
      "leaders crashed": 50,
      "rentals executed late": 24,
      "releases executed late": 12,
    },
    guards: [
      ["no_commit", ["went_back"]],
      // an earlier leader's term overwrites the current one, and no leader can act
      ["leader_key", ["unserved"]],
      ["adopt_key", ["unserved"]],
      ["finish_key", ["lost_finish"]],
    ],
  },
  {
    name: "more work than capacity, at several priorities, over slow links",
    run: (world) => {
      world.wait(10_000);
      world.maxLinkDelayMs = 1500;
      for (let i = 0; i < 4; i++) {
        world.submit(3, { tasks: 12, cpus: 4, priority: "low", types: i % 2 === 0 ? ["small"] : null });
        world.submit(2, { tasks: 6, cpus: 2, priority: "high", team: "red" });
        world.submit(1, { tasks: 3, cpus: 4, priority: "production" });
        world.wait(6000);
        if (world.pendingTaskCount() > 12) world.note("more tasks waiting than capacity");
      }
      world.crashLeader(1000);
      world.wait(25_000);
    },
    minimumCounts: { "more tasks waiting than capacity": 36, "leaders crashed": 10 },
    guards: [["quota", ["quota"]]],
  },
  {
    name: "the leader ends while machines with long tasks are unreachable or can't hear the new leader",
    run: (world, seed) => {
      world.wait(10_000);
      const jobs = submitLongJobs(world, 3);
      const fault = (["cut", "deaf", "hung"] as const)[seed % 3]!;
      world.note(
        "machines with long tasks",
        world.injectMachineFault(fault, 10_000 + (seed % 5) * 5000, 2, jobs),
      );
      world.wait(500);
      world.crashLeader(20_000);
      if (waitForLeader(world)) world.note("new leaders");
      world.wait(30_000);
    },
    minimumCounts: { "machines with long tasks": 18, "new leaders": 12 },
    guards: [["confirm", ["ran_twice"]]],
  },
  {
    name: "a delayed heartbeat arrives after newer ones, also from an earlier worker epoch or attempt",
    faultRate: 1.5,
    seedCount: 24,
    run: (world) => {
      world.lateHeartbeatShare = 0.15;
      for (let i = 0; i < 5; i++) {
        world.submit(2, { tasks: 4 });
        world.wait(6000);
        world.injectMachineFault("cut", WORKER_LEASE_MS + 2000, 3);
        world.wait(8000);
        world.crashLeader(2000);
        world.wait(4000);
      }
    },
    minimumCounts: {
      "heartbeat copies after newer ones": 400,
      "heartbeat copies from an earlier session": 80,
      "heartbeat copies with an earlier attempt": 15,
    },
    guards: [
      ["sequence", ["ran_twice"]],
      ["session", ["ran_twice"]],
    ],
  },
  {
    name: "leadership changes back and forth, all controllers end, and one returns, also within a second",
    run: (world, seed) => {
      world.wait(12_000);
      submitLongJobs(world, 2, 20_000);
      const before = world.leadersElected;
      for (let i = 0; i < 3; i++) {
        world.crashLeader(200 + (seed % 4) * 200);
        world.wait(700);
        world.crashLeader(200);
        waitForLeader(world);
        world.wait(1500);
      }
      world.crashAll(seed % 3, 100 + (seed % 5) * 200, 5000 + (seed % 3) * 4000);
      world.note("stops of all controllers");
      world.note("running tasks", world.runningTaskCount());
      waitForLeader(world);
      world.note("leaders", world.leadersElected - before);
      world.wait(20_000);
    },
    minimumCounts: { "stops of all controllers": 12, "running tasks": 24, leaders: 36 },
    guards: [["confirm", ["ran_twice", "quota"]]],
  },
  {
    name: "commands or their answers are delayed for seconds, while machines hang and resume",
    run: (world) => {
      world.delayedCommandShare = 0.4;
      for (let i = 0; i < 6; i++) {
        world.submit(2, { tasks: 5, cpus: 1 });
        world.wait(1500);
        world.note("machines that hang", world.injectMachineFault("hung", 5000, 2));
        world.wait(8000);
      }
    },
    minimumCounts: {
      "command batches delayed": 300,
      "command answers delayed": 200,
      "command batches executed late": 80,
      "machines that hang": 60,
    },
    guards: [["unknown_outcome", ["ran_twice"]]],
  },
  {
    name: "a heartbeat is delayed until a new leader has acted, and then reaches that leader",
    run: (world) => {
      world.wait(12_000);
      for (let i = 0; i < 3; i++) {
        world.submit(3, { tasks: 4, cpus: 2 });
        world.wait(2500);
        const deliverHeldBack = world.captureHeartbeats();
        world.crashLeader(8000);
        waitForLeader(world);
        world.submit(2, { tasks: 4 });
        const before = world.attemptsStarted;
        if (world.runUntil(() => world.attemptsStarted > before + 2, 15_000))
          world.note("heartbeats held back", deliverHeldBack());
        world.wait(9000);
      }
    },
    minimumCounts: { "heartbeats held back": 48, "heartbeat copies after newer ones": 24 },
    guards: [["sequence", ["ran_twice"]]],
  },
  {
    name: "a job is cancelled, queried or resubmitted as its last task ends",
    faultRate: 0,
    run: (world) => {
      world.cancelAtEndShare = 0.7;
      world.wait(6000);
      for (let i = 0; i < 8; i++) {
        world.submit(4, { tasks: 1 + (i % 3), cpus: 1 });
        world.wait(6000);
      }
      // again, with delayed writes: the first of two identical requests may be applied last
      world.lateWriteShare = 0.2;
      for (let i = 0; i < 4; i++) {
        world.submit(4, { tasks: 1 + (i % 2), cpus: 1 });
        world.wait(6000);
      }
    },
    minimumCounts: {
      "cancelled before the commit": 60,
      "cancelled after the commit": 60,
      "late writes refused": 50,
    },
    guards: [["no_commit", ["went_back"]]],
  },
  {
    name: "a zone with workers and a controller is cut off for longer than a lease",
    faultRate: 0.3,
    run: (world, seed) => {
      world.runTo(20_000);
      world.submit(4, { tasks: 4, cpus: 2 }, [30_000, 30_000, 30_000, 30_000]);
      world.wait(6000);
      world.note("running tasks", world.runningTaskCount());
      world.cutZone(seed % 2 === 0 ? "west" : "east", 60_000);
      for (let i = 0; i < 4; i++) {
        world.wait(4000);
        const id = world.unfinishedJobs()[0];
        if (id !== undefined) world.note("machines with cancelled tasks", world.cancel(id));
      }
      world.runTo(110_000);
    },
    minimumCounts: { "running tasks": 60, "machines with cancelled tasks": 24 },
    guards: [["fence", ["ran_cancelled", "ran_twice"]]],
  },
  {
    name: "the leader is cut off from the state service and the other controllers, but not from workers, as jobs are cancelled",
    faultRate: 0.2,
    run: (world) => {
      world.wait(12_000);
      const jobs = submitLongJobs(world, 4);
      const oldLeader = world.isolateLeader(CANCEL_DEADLINE_MS + WORKER_LEASE_MS, true);
      world.wait(4000);
      if (oldLeader !== null && waitForLeader(world)) world.note("new leaders");
      for (const id of jobs) world.note("machines with cancelled tasks", world.cancel(id));
      world.wait(CANCEL_DEADLINE_MS + WORKER_LEASE_MS);
    },
    minimumCounts: { "new leaders": 10, "machines with cancelled tasks": 36 },
    guards: [["cancel", ["ran_cancelled"]]],
  },
  {
    name: "the state service is slow, then refuses the leader and later all controllers, while users cancel jobs",
    faultRate: 0.3,
    run: (world, seed) => {
      world.wait(15_000);
      world.maxStateDelayMs = 2500;
      const jobs = submitLongJobs(world, 3);
      world.note("machines with cancelled tasks", world.cancel(jobs[0]!));
      world.wait(6000);
      world.maxStateDelayMs = seed % 2 === 0 ? 0 : 800;
      waitForLeader(world);
      world.faultRate = 0;
      world.note("cancellations unknown to the leader", world.cancelUnseenByLeader(7000, 3000));
    },
    minimumCounts: { "machines with cancelled tasks": 12, "cancellations unknown to the leader": 8 },
    guards: [["fresh_jobs", ["ran_cancelled"]]],
  },
  {
    name: "jobs restricted to one zone lose machines",
    faultRate: 0.3,
    run: (world, seed) => {
      world.wait(8000);
      const westJobs = world.submit(2, { tasks: 4, cpus: 4, zone: "west" }, [15_000, 15_000, 15_000, 15_000]);
      const oneZoneJobs = world.submit(
        2,
        { tasks: 4, cpus: 4, oneZone: true },
        [15_000, 15_000, 15_000, 15_000],
      );
      const services = world.submit(1, { kind: "service", tasks: 2, oneZone: true, priority: "production" });
      const all = [...westJobs, ...oneZoneJobs, ...services];
      for (let i = 0; i < 4; i++) {
        world.runUntil(() => world.runningTaskCount(all) >= 6, 12_000);
        world.note("machines lost", world.killMachines(2, all));
        world.injectMachineFault("hung", WORKER_LEASE_MS + 3000, 1, all);
        if (i === seed % 4) world.crashLeader(2000);
        world.wait(3000);
      }
      world.wait(20_000);
    },
    minimumCounts: { "machines lost": 60 },
    guards: [["zone", ["wrong_place"]]],
  },
  {
    name: "jobs are cancelled while the state service refuses only the leader, shortly before an outage",
    faultRate: 0.3,
    seedCount: 24,
    run: (world, seed) => {
      world.runTo(25_000 + seed);
      world.faultRate = 0;
      world.note("cancelled jobs that ran", world.cancelUnseenByLeader(7000, 600 + (seed % 5) * 400));
    },
    minimumCounts: { "cancelled jobs that ran": 25 },
    guards: [["fresh_jobs", ["ran_cancelled"]]],
  },
  {
    name: "workers can't connect to any controller, while commands still reach them",
    run: (world, seed) => {
      world.wait(10_000);
      for (let i = 0; i < 3; i++) {
        const jobs = submitLongJobs(world, 2, 12_000);
        world.note(
          "mute machines",
          world.injectMachineFault("mute", seed % 2 === 0 ? 6000 : WORKER_LEASE_MS + 6000, 3, jobs),
        );
        world.submit(2, { tasks: 4 });
        world.wait(3000);
        for (const id of jobs) world.note("machines with cancelled tasks", world.cancel(id));
        world.wait(10_000);
      }
    },
    minimumCounts: {
      "mute machines": 60,
      "commands executed while heartbeats are lost": 60,
      "machines with cancelled tasks": 30,
    },
    guards: [["cancel", ["ran_cancelled"]]],
  },
  {
    name: "the leader changes between the finishes of a job's tasks",
    run: (world, seed) => {
      world.randomCancels = false;
      world.wait(8000);
      const jobs = world.submit(3, { tasks: 2 + (seed % 2), cpus: 1 }, [1000, 14_000, 26_000]);
      const hasFirstFinish = world.runUntil(() => world.completedTaskCount(jobs) >= 1, 15_000);
      world.crashLeader(seed % 2 === 0 ? 300 : 8000);
      if (waitForLeader(world) && hasFirstFinish && world.runningTaskCount(jobs) > 0)
        world.note("new leaders between two finishes");
      world.runUntil(() => world.completedTaskCount(jobs) >= 4, 20_000);
      world.crashLeader(300);
      world.runUntil(() => jobs.every((id) => world.outcome(id) !== null), 60_000);
      world.note("done", jobs.filter((id) => world.outcome(id) === "done").length);
    },
    minimumCounts: { "new leaders between two finishes": 10, done: 24 },
  },
  {
    name: "all controllers are down for longer than a worker lease",
    faultRate: 0.3,
    run: (world, seed) => {
      world.wait(10_000);
      submitLongJobs(world, 3);
      world.note("running tasks", world.runningTaskCount());
      const downMs = WORKER_LEASE_MS + 2000 + (seed % 4) * 4000;
      world.crashAll(seed % 3, downMs, downMs + (seed % 2) * 3000);
      world.wait(downMs - 100);
      world.note("tasks still running", world.runningTaskCount());
      if (waitForLeader(world)) world.note("new leaders");
      world.wait(15_000);
    },
    minimumCounts: { "running tasks": 60, "new leaders": 12 },
  },
  {
    name: "a team is at its limit as the leader changes, some of its machines are unreachable and jobs are cancelled",
    faultRate: 0.2,
    run: (world, seed) => {
      world.wait(8000);
      const taskDurations = [40_000, 40_000, 40_000];
      const jobs = world.submit(4, { team: "red", tasks: 3, cpus: 4 }, taskDurations);
      if (world.runUntil(() => world.teamCpus("red") >= 24, 25_000)) world.note("team at its limit");
      const trouble = seed % 2 === 0 ? "cut" : "hung";
      world.note(
        "unreachable machines",
        world.injectMachineFault(trouble, 9000 + (seed % 3) * 4000, 2, jobs),
      );
      world.crashLeader(seed % 3 === 0 ? 300 : 8000);
      world.wait(1000);
      for (const id of jobs.slice(0, 2)) world.note("machines with cancelled tasks", world.cancel(id));
      world.submit(2, { team: "red", tasks: 6, cpus: 2 });
      if (waitForLeader(world)) world.note("new leaders");
      world.wait(25_000);
    },
    minimumCounts: {
      "team at its limit": 8,
      "unreachable machines": 12,
      "new leaders": 12,
      "machines with cancelled tasks": 18,
    },
    guards: [["confirm", ["quota", "ran_twice"]]],
  },
  {
    name: "many jobs are cancelled at once while the machines with their tasks hang",
    faultRate: 0.2,
    run: (world, seed) => {
      world.wait(10_000);
      const jobs = submitLongJobs(world, 5);
      world.note("machines that hang", world.injectMachineFault("hung", 3000 + (seed % 6) * 3000, 8, jobs));
      for (const id of jobs) world.note("machines with cancelled tasks", world.cancel(id));
      if (seed % 2 === 0) world.crashLeader(2000);
      world.wait(CANCEL_DEADLINE_MS + WORKER_LEASE_MS);
    },
    minimumCounts: { "machines that hang": 36, "machines with cancelled tasks": 60 },
    guards: [["cancel", ["ran_cancelled"]]],
  },
];

runScenarios(SCENARIOS, {
  seedCount: 12,
  firstSeed: 3000,
  maxSeedsWithoutGuard: 200,
  servedWithinMs: 120_000,
  countsWhileServing: false,
});
