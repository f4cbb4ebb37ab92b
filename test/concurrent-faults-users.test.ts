/**
 * Meetings of two troubles as users see them (docs/concurrent-faults.md): submissions, questions and cancels of ordinary jobs go
 * through any node, and no node may answer anything older than what a user was told.
 */
import * as Duration from "effect/Duration";
import { TIMINGS, type World } from "./model.js";
import { playAll, type Scenario } from "./scenarios.js";

const CANCEL = Duration.toMillis(TIMINGS.cancelDeadline);
const SMALL = { tasks: 1, cpus: 1 } as const;

/** Users ask until every question would count as forgotten. */
const askOnceAllIsOver = (world: World): void => {
  world.calmDown().wait(80_000);
};

const MEETINGS: readonly Scenario[] = [
  {
    name: "users ask at all nodes and repeat the submission right after an answer, some cancelling at once",
    rough: 0.3,
    play: (world, seed) => {
      world.wait(6000);
      world.closeLooks = 1;
      for (let i = 0; i < 8; i++) {
        world.submitByUsers(4, SMALL, [500 + ((seed + i) % 4) * 1000]);
        world.askAboutNothing();
        world.wait(4000);
        if (i === 4) world.endLeader(1000);
      }
      askOnceAllIsOver(world);
    },
    met: {
      "close looks after accepted": 300,
      "close looks after done": 200,
      "close looks after cancelled": 50,
      "cancelled right after they were accepted": 60,
      "questions about jobs that nobody sent": 90,
    },
    guards: [["checked", ["went_back"]]],
  },
  {
    name: "a cancellation, a question and a repeated submission meet the end of a job's last task",
    rough: 0,
    play: (world) => {
      world.wait(6000);
      world.cancelsAtEnd = 0.5;
      world.closeLooks = 0.5;
      for (let i = 0; i < 8; i++) {
        const jobs = world.submitByUsers(4, SMALL, [1200]);
        for (const id of jobs) world.repeatWhenDone(id);
        world.wait(5000);
      }
    },
    met: {
      "called off before it was known": 60,
      "questions at the end of the last task": 300,
      "submissions repeated": 300,
    },
    guards: [["checked", ["went_back"]]],
  },
  {
    name: "users cancel and ask while the state service is slow, or refuses the leader and then everybody for long",
    rough: 0.2,
    play: (world, seed) => {
      world.wait(8000);
      world.closeLooks = 0.5;
      world.slowStateMs = 600;
      const jobs = world.submitByUsers(5, { tasks: 2, cpus: 2 }, [70_000, 70_000]);
      world.until(() => world.running(jobs) >= 6, 30_000);
      world.cancelThroughNode(jobs[0]!);
      world.wait(4000);
      world.slowStateMs = seed % 2 === 0 ? 0 : 300;
      const leader = world.cutLeader(9000, false);
      for (const id of jobs.slice(1, 4)) world.cancelThroughNode(id);
      world.wait(5000);
      if (leader !== null) world.note("leaders refused alone");
      world.outage(CANCEL + 5000).wait(CANCEL + 20_000);
      askOnceAllIsOver(world);
    },
    met: { "leaders refused alone": 9, "released jobs called off": 30, "close looks after cancelled": 12 },
    guards: [["checked", ["went_back"]]],
  },
];

playAll(MEETINGS, { seeds: 12, first: 5000, tries: 60, servedWithin: 120_000, countsServing: false });
