/**
 * Meetings of two troubles (docs/concurrent-faults.md), each brought about in seeded runs: that both troubles really met is
 * counted, no rule may be broken, everything accepted is served afterwards, and where a guard is named the checker
 * has to notice that it is missing.
 */
import * as Duration from "effect/Duration";
import { TIMINGS, type World } from "./model.js";
import { playAll, type Scenario } from "./scenarios.js";

const LEASE = Duration.toMillis(TIMINGS.workerLease);
const CANCEL = Duration.toMillis(TIMINGS.cancelDeadline);
/** Somebody leads and acts again. */
const led = (world: World): boolean => world.until(() => world.led(), 30_000);
/** Tasks that run for long, on several machines. */
const longJobs = (world: World, count: number, ms = 60_000): string[] => {
  const jobs = world.submit(count, { tasks: 3, cpus: 4 }, [ms, ms, ms]);
  world.until(() => world.running(jobs) >= count * 2, 25_000);
  return jobs;
};

const MEETINGS: readonly Scenario[] = [
  {
    name: "leaders change ten times in two minutes, also inside an outage",
    play: (world) => {
      world.wait(15_000);
      const before = { leaders: world.leaders, at: world.now };
      for (let i = 0; i < 10; i++) {
        if (i === 3 || i === 7) world.outage(14_000).wait(2000);
        world.endLeader(i % 3 === 0 ? 100 : 6000);
        world.run(before.at + (i + 1) * 12_000);
      }
      led(world);
      world.note("leaders", world.leaders - before.leaders);
    },
    met: { "leaders ended": 100, leaders: 84, "leaders ended inside an outage": 12 },
    guards: [["confirm", ["ran_twice", "quota"]]],
  },
  {
    name: "a transaction without an answer is carried out late, after newer ones of the same controller",
    play: (world) => {
      world.lateWrites = 0.3;
      world.cancelsAtEnd = 0.3;
      for (let i = 0; i < 6; i++) {
        world.submit(2, {});
        world.wait(8000);
        world.endLeader(300);
        world.wait(5000);
      }
      // leaders that end as soon as they have written their term, perhaps for later
      for (let i = 0; i < 4; i++) {
        const { leaders } = world;
        world.endLeader(300);
        world.until(() => world.leaders > leaders, 8000);
      }
    },
    met: {
      "late writes after newer ones": 300,
      "late writes refused": 100,
      "leaders ended": 50,
      "rentals carried out late": 24,
      "releases carried out late": 12,
    },
    guards: [
      ["absent", ["went_back"]],
      // an earlier leader's term overwrites the present one, and nobody acts any more
      ["stamp", ["unserved"]],
      ["adopt", ["unserved"]],
      ["key", ["lost_finish"]],
    ],
  },
  {
    name: "more work than room, urgent and not, over slow links",
    play: (world) => {
      world.wait(10_000);
      world.slowLinksMs = 1500;
      for (let i = 0; i < 4; i++) {
        world.submit(3, { tasks: 12, cpus: 4, priority: "low", types: i % 2 === 0 ? ["small"] : null });
        world.submit(2, { tasks: 6, cpus: 2, priority: "high", team: "red" });
        world.submit(1, { tasks: 3, cpus: 4, priority: "production" });
        world.wait(6000);
        if (world.waiting() > 12) world.note("more waiting than room");
      }
      world.endLeader(1000);
      world.wait(25_000);
    },
    met: { "more waiting than room": 36, "leaders ended": 10 },
    guards: [["quota", ["quota"]]],
  },
  {
    name: "a leader ends while machines with long tasks can't be reached, or don't hear the new leader",
    play: (world, seed) => {
      world.wait(10_000);
      const jobs = longJobs(world, 3);
      const trouble = (["cut", "deaf", "hung"] as const)[seed % 3]!;
      world.note("machines with long tasks", world.strike(trouble, 10_000 + (seed % 5) * 5000, 2, jobs));
      world.wait(500);
      world.endLeader(20_000);
      if (led(world)) world.note("new leaders");
      world.wait(30_000);
    },
    met: { "machines with long tasks": 18, "new leaders": 12 },
    guards: [["confirm", ["ran_twice"]]],
  },
  {
    name: "an old report arrives after newer ones, also from an earlier session or attempt",
    rough: 1.5,
    seeds: 24,
    play: (world) => {
      world.lateHeartbeats = 0.15;
      for (let i = 0; i < 5; i++) {
        world.submit(2, { tasks: 4 });
        world.wait(6000);
        world.strike("cut", LEASE + 2000, 3);
        world.wait(8000);
        world.endLeader(2000);
        world.wait(4000);
      }
    },
    met: {
      "copies after newer ones": 400,
      "copies from an earlier session": 80,
      "copies with an earlier attempt": 15,
    },
    guards: [
      ["seq", ["ran_twice"]],
      ["session", ["ran_twice"]],
    ],
  },
  {
    name: "controllers hand over and back, all end, and one returns, also within a second",
    play: (world, seed) => {
      world.wait(12_000);
      longJobs(world, 2, 20_000);
      const before = world.leaders;
      for (let i = 0; i < 3; i++) {
        world.endLeader(200 + (seed % 4) * 200);
        world.wait(700);
        world.endLeader(200);
        led(world);
        world.wait(1500);
      }
      world.endAll(seed % 3, 100 + (seed % 5) * 200, 5000 + (seed % 3) * 4000);
      world.note("all ended");
      world.note("tasks at that time", world.running());
      led(world);
      world.note("leaders", world.leaders - before);
      world.wait(20_000);
    },
    met: { "all ended": 12, "tasks at that time": 24, leaders: 36 },
    guards: [["confirm", ["ran_twice", "quota"]]],
  },
  {
    name: "a command or its answer is held up for seconds, and the machine then goes on",
    play: (world) => {
      world.delayedCommands = 0.4;
      for (let i = 0; i < 6; i++) {
        world.submit(2, { tasks: 5, cpus: 1 });
        world.wait(1500);
        world.note("machines that hang", world.strike("hung", 5000, 2));
        world.wait(8000);
      }
    },
    met: {
      "orders held up": 300,
      "answers held up": 200,
      "orders carried out late": 80,
      "machines that hang": 60,
    },
    guards: [["doubt", ["ran_twice"]]],
  },
  {
    name: "a report is held back until a new leader has acted, and then arrives there",
    play: (world) => {
      world.wait(12_000);
      for (let i = 0; i < 3; i++) {
        world.submit(3, { tasks: 4, cpus: 2 });
        world.wait(2500);
        const deliver = world.holdBackHeartbeats();
        world.endLeader(8000);
        led(world);
        world.submit(2, { tasks: 4 });
        const before = world.started;
        if (world.until(() => world.started > before + 2, 15_000)) world.note("reports held back", deliver());
        world.wait(9000);
      }
    },
    met: { "reports held back": 48, "copies after newer ones": 24 },
    guards: [["seq", ["ran_twice"]]],
  },
  {
    name: "a cancellation, a question or a repeated submission meets the end of a job's last task",
    rough: 0,
    play: (world) => {
      world.cancelsAtEnd = 0.7;
      world.wait(6000);
      for (let i = 0; i < 8; i++) {
        world.submit(4, { tasks: 1 + (i % 3), cpus: 1 });
        world.wait(6000);
      }
      // the same once more with the first of two identical requests coming last
      world.lateWrites = 0.2;
      for (let i = 0; i < 4; i++) {
        world.submit(4, { tasks: 1 + (i % 2), cpus: 1 });
        world.wait(6000);
      }
    },
    met: { "called off before it was known": 60, "called off once done": 60, "late writes refused": 50 },
    guards: [["absent", ["went_back"]]],
  },
  {
    name: "a zone with workers and a controller is cut off for longer than a lease",
    rough: 0.3,
    play: (world, seed) => {
      world.run(20_000);
      world.submit(4, { tasks: 4, cpus: 2 }, [30_000, 30_000, 30_000, 30_000]);
      world.wait(6000);
      world.note("tasks at that time", world.running());
      world.cutZone(seed % 2 === 0 ? "west" : "east", 60_000);
      for (let i = 0; i < 4; i++) {
        world.wait(4000);
        const id = world.open()[0];
        if (id !== undefined) world.note("machines with cancelled tasks", world.cancel(id));
      }
      world.run(110_000);
    },
    met: { "tasks at that time": 60, "machines with cancelled tasks": 24 },
    guards: [["fence", ["ran_cancelled", "ran_twice"]]],
  },
  {
    name: "a leader is cut from the state service and the others, its workers and users are not, and jobs are cancelled",
    rough: 0.2,
    play: (world) => {
      world.wait(12_000);
      const jobs = longJobs(world, 4);
      const old = world.cutLeader(CANCEL + LEASE, true);
      world.wait(4000);
      if (old !== null && led(world)) world.note("new leaders");
      for (const id of jobs) world.note("machines with cancelled tasks", world.cancel(id));
      world.wait(CANCEL + LEASE);
    },
    met: { "new leaders": 10, "machines with cancelled tasks": 36 },
    guards: [["cancel", ["ran_cancelled"]]],
  },
  {
    name: "the state service is slow, or refuses the leader and then everybody for long, while users cancel",
    rough: 0.3,
    play: (world, seed) => {
      world.wait(15_000);
      world.slowStateMs = 2500;
      const jobs = longJobs(world, 3);
      world.note("machines with cancelled tasks", world.cancel(jobs[0]!));
      world.wait(6000);
      world.slowStateMs = seed % 2 === 0 ? 0 : 800;
      led(world);
      world.rough = 0;
      world.note("cancelled behind the leader's back", world.gap(7000, 3000));
    },
    met: { "machines with cancelled tasks": 12, "cancelled behind the leader's back": 8 },
    guards: [["read", ["ran_cancelled"]]],
  },
  {
    name: "jobs bound to one zone, arrays too, lose machines",
    rough: 0.3,
    play: (world, seed) => {
      world.wait(8000);
      const west = world.submit(2, { tasks: 4, cpus: 4, zone: "west" }, [15_000, 15_000, 15_000, 15_000]);
      const one = world.submit(2, { tasks: 4, cpus: 4, oneZone: true }, [15_000, 15_000, 15_000, 15_000]);
      const replica = world.submit(1, { kind: "service", tasks: 2, oneZone: true, priority: "production" });
      const all = [...west, ...one, ...replica];
      for (let i = 0; i < 4; i++) {
        world.until(() => world.running(all) >= 6, 12_000);
        world.note("machines lost", world.killSome(2, all));
        world.strike("hung", LEASE + 3000, 1, all);
        if (i === seed % 4) world.endLeader(2000);
        world.wait(3000);
      }
      world.wait(20_000);
    },
    met: { "machines lost": 60 },
    guards: [["zone", ["wrong_place"]]],
  },
  {
    name: "jobs are cancelled as the state service refuses the leader alone, and soon it is out for longer",
    rough: 0.3,
    seeds: 24,
    play: (world, seed) => {
      world.run(25_000 + seed);
      world.rough = 0;
      world.note("cancelled jobs that ran", world.gap(7000, 600 + (seed % 5) * 400));
    },
    met: { "cancelled jobs that ran": 25 },
    guards: [["read", ["ran_cancelled"]]],
  },
  {
    name: "workers can't open connections to any controller, while direct orders still reach them",
    play: (world, seed) => {
      world.wait(10_000);
      for (let i = 0; i < 3; i++) {
        const jobs = longJobs(world, 2, 12_000);
        world.note("mute machines", world.strike("mute", seed % 2 === 0 ? 6000 : LEASE + 6000, 3, jobs));
        world.submit(2, { tasks: 4 });
        world.wait(3000);
        for (const id of jobs) world.note("machines with cancelled tasks", world.cancel(id));
        world.wait(10_000);
      }
    },
    met: {
      "mute machines": 60,
      "orders carried out by mute machines": 60,
      "machines with cancelled tasks": 30,
    },
    guards: [["cancel", ["ran_cancelled"]]],
  },
  {
    name: "jobs of two or three tasks end far apart across a change of leader",
    play: (world, seed) => {
      world.usersCancel = false;
      world.wait(8000);
      const jobs = world.submit(3, { tasks: 2 + (seed % 2), cpus: 1 }, [1000, 14_000, 26_000]);
      const first = world.until(() => world.finished(jobs) >= 1, 15_000);
      world.endLeader(seed % 2 === 0 ? 300 : 8000);
      if (led(world) && first && world.running(jobs) > 0) world.note("leaders between two ends");
      world.until(() => world.finished(jobs) >= 4, 20_000);
      world.endLeader(300);
      world.until(() => jobs.every((id) => world.outcome(id) !== null), 60_000);
      world.note("done", jobs.filter((id) => world.outcome(id) === "done").length);
    },
    met: { "leaders between two ends": 10, done: 24 },
  },
  {
    name: "all controllers are away for longer than a lease",
    rough: 0.3,
    play: (world, seed) => {
      world.wait(10_000);
      longJobs(world, 3);
      world.note("tasks at that time", world.running());
      const away = LEASE + 2000 + (seed % 4) * 4000;
      world.endAll(seed % 3, away, away + (seed % 2) * 3000);
      world.wait(away - 100);
      world.note("tasks left", world.running());
      if (led(world)) world.note("new leaders");
      world.wait(15_000);
    },
    met: { "tasks at that time": 60, "new leaders": 12 },
  },
  {
    name: "a team is at its limit when the leader changes, some of its machines can't be asked, and a job is cancelled",
    rough: 0.2,
    play: (world, seed) => {
      world.wait(8000);
      const long = [40_000, 40_000, 40_000];
      const jobs = world.submit(4, { team: "red", tasks: 3, cpus: 4 }, long);
      if (world.until(() => world.usageOf("red") >= 24, 25_000)) world.note("at the limit");
      const trouble = seed % 2 === 0 ? "cut" : "hung";
      world.note("machines that can't be asked", world.strike(trouble, 9000 + (seed % 3) * 4000, 2, jobs));
      world.endLeader(seed % 3 === 0 ? 300 : 8000);
      world.wait(1000);
      for (const id of jobs.slice(0, 2)) world.note("machines with cancelled tasks", world.cancel(id));
      world.submit(2, { team: "red", tasks: 6, cpus: 2 });
      if (led(world)) world.note("new leaders");
      world.wait(25_000);
    },
    met: {
      "at the limit": 8,
      "machines that can't be asked": 12,
      "new leaders": 12,
      "machines with cancelled tasks": 18,
    },
    guards: [["confirm", ["quota", "ran_twice"]]],
  },
  {
    name: "many jobs are cancelled at once while machines with their tasks hang",
    rough: 0.2,
    play: (world, seed) => {
      world.wait(10_000);
      const jobs = longJobs(world, 5);
      world.note("machines that hang", world.strike("hung", 3000 + (seed % 6) * 3000, 8, jobs));
      for (const id of jobs) world.note("machines with cancelled tasks", world.cancel(id));
      if (seed % 2 === 0) world.endLeader(2000);
      world.wait(CANCEL + LEASE);
    },
    met: { "machines that hang": 36, "machines with cancelled tasks": 60 },
    guards: [["cancel", ["ran_cancelled"]]],
  },
];

playAll(MEETINGS, { seeds: 12, first: 3000, tries: 200, servedWithin: 120_000, countsServing: false });
