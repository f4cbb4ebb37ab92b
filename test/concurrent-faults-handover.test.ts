/**
 * More meetings of two troubles (docs/concurrent-faults.md): what is on its way or only half known when leaders and parts change
 * hands, as in `concurrent-faults.test.ts`.
 */
import * as Duration from "effect/Duration";
import { TIMINGS, type World } from "./model.js";
import { playAll, type Scenario } from "./scenarios.js";

const LEASE = Duration.toMillis(TIMINGS.workerLease);
const CANCEL = Duration.toMillis(TIMINGS.cancelDeadline);
const led = (world: World): boolean => world.until(() => world.led(), 30_000);

const MEETINGS: readonly Scenario[] = [
  {
    name: "new machines are up within two seconds and get work at once while writes lag, and the leader ends",
    rough: 0.2,
    play: (world) => {
      world.quickBoots = true;
      world.wait(8000);
      for (let i = 0; i < 3; i++) {
        world.lateWrites = 0.5;
        world.slowStateMs = 1500;
        world.submit(3, { tasks: 6, cpus: 4 }, [9000, 9000, 9000, 9000, 9000, 9000]);
        world.until(() => world.newAtWork(2000) > 0, 12_000);
        world.note("new machines at work", world.newAtWork(2000));
        world.endLeader(300);
        world.lateWrites = 0;
        world.slowStateMs = 0;
        if (led(world)) world.note("new leaders");
        world.wait(9000);
      }
    },
    met: { "new machines at work": 18, "leaders ended": 24, "new leaders": 24 },
    guards: [["record", ["ran_twice"]]],
  },
  {
    name: "one-task jobs come four a second for minutes, a quarter of them cancelled",
    rough: 0.2,
    seeds: 3,
    play: (world, seed) => {
      world.wait(8000);
      for (let i = 0; i < 480; i++) {
        const isLong = (i + seed) % 4 === 0;
        const [id] = world.submit(1, { tasks: 1, cpus: 1 }, [isLong ? 60_000 : 1500]);
        world.wait(250);
        // called off before it is placed, on its way to a machine, or as it runs
        const called = i >= 8 * (i % 3) ? world.open().find((job) => job === id) : undefined;
        if (isLong && called !== undefined) {
          world.wait((i % 3) * 150);
          world.note("machines with cancelled tasks", world.cancel(called));
          world.note("cancelled jobs");
        }
        if (i === 240) world.endLeader(500);
      }
    },
    met: { "cancelled jobs": 240, "machines with cancelled tasks": 60 },
    guards: [["cancel", ["ran_cancelled"]]],
  },
  {
    name: "jobs are cancelled in the seconds in which one controller's work changes hands",
    rough: 0.2,
    play: (world, seed) => {
      world.wait(10_000);
      for (let i = 0; i < 4; i++) {
        const jobs = world.submit(4, { tasks: 3, cpus: 2 }, [60_000, 60_000, 60_000]);
        world.until(() => world.running(jobs) >= 8, 20_000);
        world.endMember(i % 2 === 0 ? 200 : 6000);
        for (const id of jobs) {
          // before the others know, as the lease ends, and as the part is with its new member
          world.wait(400 + ((seed + i) % 4) * 500);
          world.note("machines with cancelled tasks", world.cancel(id));
        }
        world.wait(CANCEL / 3);
      }
      world.wait(CANCEL);
    },
    met: { "members ended": 44, "machines with cancelled tasks": 200 },
    guards: [["cancel", ["ran_cancelled"]]],
  },
  {
    name: "an old report reaches every controller just as a new leader begins",
    rough: 0.2,
    play: (world, seed) => {
      world.wait(12_000);
      for (let i = 0; i < 3; i++) {
        const deliver = world.holdBackAllHeartbeats();
        const jobs = world.submit(4, { tasks: 4, cpus: 1 }, [20_000, 20_000, 20_000, 20_000]);
        world.until(() => world.running(jobs) >= 8, 20_000);
        // new machines, and those with tasks, can't tell the new leader at once what they have
        world.strike("cut", 4000, 6, jobs);
        const { leaders } = world;
        world.endLeader(seed % 2 === 0 ? 300 : 8000);
        if (!world.until(() => world.leaders > leaders, 15_000)) continue;
        for (let n = 0; n < 4; n++) {
          world.note("reports as a leader begins", deliver());
          world.wait(250);
        }
        world.wait(9000);
      }
    },
    met: { "reports as a leader begins": 200, "leaders ended": 30, "copies after newer ones": 300 },
    guards: [["seq", ["ran_twice"]]],
  },
  {
    name: "a command of a leader that has ended or been deposed arrives after the new leader's",
    rough: 0.2,
    play: (world, seed) => {
      world.wait(10_000);
      for (let i = 0; i < 5; i++) {
        world.lateCommands = 0.6;
        world.submit(3, { tasks: 6, cpus: 1 });
        world.wait(600);
        if ((seed + i) % 2 === 0) world.endLeader(300);
        else if (world.cutLeader(12_000, true) !== null) world.note("leaders deposed");
        world.lateCommands = 0.2;
        led(world);
        world.wait(12_000);
      }
    },
    met: {
      "leaders ended": 24,
      "leaders deposed": 18,
      "late orders": 100,
      "orders of an earlier leader": 30,
    },
    guards: [["confirm", ["ran_twice"]]],
  },
  {
    name: "a transaction is carried out at once and only its answer is lost, while other nodes read what it wrote",
    rough: 0.3,
    play: (world) => {
      world.wait(6000);
      world.lostAnswers = 0.4;
      for (let i = 0; i < 5; i++) {
        world.submit(2, { tasks: 3, cpus: 1 });
        world.submitByUsers(2, { tasks: 2, cpus: 1 });
        world.wait(5000);
        world.endLeader(300);
        world.wait(5000);
      }
    },
    met: { "answers lost": 200, "writes read by others whose answer was lost": 200, "leaders ended": 40 },
    guards: [["adopt", ["unserved"]]],
  },
  {
    name: "every team is at its limit while jobs are cancelled whose machines are cut off or hang, and the leader changes",
    rough: 0.2,
    seedsWithShards: 18,
    play: (world, seed) => {
      world.teams = [
        { name: "red", guaranteedCpus: 8, maxCpus: 16, guaranteedGpus: 0, maxGpus: 0 },
        { name: "blue", guaranteedCpus: 8, maxCpus: 16, guaranteedGpus: 0, maxGpus: 0 },
      ];
      world.usersCancel = false;
      world.wait(8000);
      const fill = ["red", "blue"].flatMap((team) =>
        world.submit(2, { team, tasks: 3, cpus: 4 }, [90_000, 90_000, 90_000]),
      );
      const next = ["red", "blue"].flatMap((team) =>
        world.submit(1, { team, tasks: 3, cpus: 4 }, [9000, 9000, 9000]),
      );
      // not one more of these tasks is allowed
      const isFull = (): boolean => ["red", "blue"].every((team) => world.usageOf(team) > 12);
      if (world.until(isFull, 40_000)) world.note("all teams at their limits");
      const trouble = seed % 2 === 0 ? "cut" : "hung";
      world.note(
        "machines struck",
        world.strike(trouble, seed % 3 === 0 ? LEASE + 4000 : 7000, 3, [...fill, ...next]),
      );
      for (const id of fill) world.note("machines with cancelled tasks", world.cancel(id));
      world.endLeader(seed % 4 < 2 ? 300 : 8000);
      if (led(world)) world.note("new leaders");
      world.submit(2, { team: "red", tasks: 6, cpus: 2 });
      world.submit(2, { team: "blue", tasks: 6, cpus: 2 });
      world.wait(CANCEL + 5000);
    },
    met: {
      "all teams at their limits": 10,
      "machines struck": 24,
      "machines with cancelled tasks": 30,
      "new leaders": 11,
    },
    guards: [["confirm", ["quota", "ran_twice"]]],
  },
];

playAll(MEETINGS, { seeds: 12, first: 4000, tries: 60, servedWithin: 120_000, countsServing: false });
