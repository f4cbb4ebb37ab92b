/**
 * Meetings of two troubles as users see them (docs/meetings.md): submissions, questions and cancels of ordinary jobs go
 * through any node, and no node may answer anything older than what a user was told.
 */
import * as Duration from "effect/Duration";
import { TIMINGS, type World } from "./model.js";
import { playAll, type Scenario } from "./scenarios.js";

const CANCEL = Duration.toMillis(TIMINGS.cancelDeadline);
const SMALL = { tasks: 1, cpus: 1 } as const;

/** Users ask until every question would count as forgotten. */
const askOnceAllIsOver = (w: World): void => {
  w.calmDown().wait(80_000);
};

const MEETINGS: readonly Scenario[] = [
  {
    name: "users ask at all nodes and repeat the submission right after an answer, some cancelling at once",
    rough: 0.3,
    play: (w, seed) => {
      w.wait(6000);
      w.closeLooks = 1;
      for (let i = 0; i < 8; i++) {
        w.submitByUsers(4, SMALL, [500 + ((seed + i) % 4) * 1000]);
        w.askAboutNothing();
        w.wait(4000);
        if (i === 4) w.endLeader(1000);
      }
      askOnceAllIsOver(w);
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
    play: (w) => {
      w.wait(6000);
      w.cancelsAtEnd = 0.5;
      w.closeLooks = 0.5;
      for (let i = 0; i < 8; i++) {
        const jobs = w.submitByUsers(4, SMALL, [1200]);
        for (const id of jobs) w.repeatWhenDone(id);
        w.wait(5000);
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
    play: (w, seed) => {
      w.wait(8000);
      w.closeLooks = 0.5;
      w.slowStateMs = 600;
      const jobs = w.submitByUsers(5, { tasks: 2, cpus: 2 }, [70_000, 70_000]);
      w.until(() => w.running(jobs) >= 6, 30_000);
      w.callOff(jobs[0]!);
      w.wait(4000);
      w.slowStateMs = seed % 2 === 0 ? 0 : 300;
      const leader = w.cutLeader(9000, false);
      for (const id of jobs.slice(1, 4)) w.callOff(id);
      w.wait(5000);
      if (leader !== null) w.note("leaders refused alone");
      w.outage(CANCEL + 5000).wait(CANCEL + 20_000);
      askOnceAllIsOver(w);
    },
    met: { "leaders refused alone": 9, "released jobs called off": 30, "close looks after cancelled": 12 },
    guards: [["checked", ["went_back"]]],
  },
];

playAll(MEETINGS, { seeds: 12, first: 5000, tries: 60, servedWithin: 120_000, countsServing: false });
