/**
 * An upgrade from the version in production, and the way back, in seeded runs: members of both versions over one state
 * service, each leading in turn, while processes are replaced one by one, leaders end and writes come late. No rule may be
 * broken, everything accepted is served or cancelled, and no waiting job or fan-in set is left in the end.
 */
import assert from "node:assert/strict";
import type { World } from "./model.js";
import { playAll, type Scenario } from "./scenarios.js";

const SMALL = { tasks: 2, cpus: 1 } as const;
const MEMBERS = 3;

/** A job that waits for nothing, sent through any process. */
const root = (w: World, ms = 1500): string => w.submitByUsers(1, SMALL, [ms, ms])[0]!;
const after = (w: World, awaits: readonly string[], ms = 1500): string =>
  w.submitAfter(awaits, SMALL, [ms, ms]);
/** One job, two that need it, one that needs both, and one behind it. */
const pipeline = (w: World, ms = 1500): string[] => {
  const first = root(w, ms);
  const middle = [after(w, [first], ms), after(w, [first], ms + 1000)];
  const last = after(w, middle, ms);
  return [first, ...middle, last, after(w, [last], ms)];
};
const accepted = (w: World, jobs: readonly string[]): boolean =>
  w.until(() => jobs.every((id) => w.isAccepted(id)), 30_000);
/** The member at this place of the order in which the run replaces them. */
const nth = (seed: number, place: number): number => (seed + place) % MEMBERS;

const leadBy = (w: World, version: "old" | "new"): void => {
  // a run that broke a rule stops, and is judged by that
  assert.ok(w.leadBy(version) || w.broken.length > 0, `no ${version} leader came`);
};
/** Both versions lead once, in either order. */
const bothLead = (w: World, seed: number): void => {
  for (const version of seed % 2 === 0 ? (["old", "new"] as const) : (["new", "old"] as const)) {
    leadBy(w, version);
    w.wait(3000);
  }
};

/** One after the other, with a leader of each version in between; one of them comes back old before its turn. */
const upgrade = (w: World, seed: number): void => {
  w.replace(nth(seed, 0), "new");
  w.wait(1000);
  bothLead(w, seed);
  w.replace(nth(seed, 1), "new");
  bothLead(w, seed + 1);
  if (seed % 3 !== 2) {
    w.replace(nth(seed, 0), "old");
    w.wait(2000);
    w.replace(nth(seed, 0), "new");
  }
  w.replace(nth(seed, 2), "new");
  // whoever replaces them keeps count
  w.versions.pipelinesOpen = w.isAllNew();
  leadBy(w, "new");
};

/** As the operations page allows it: no more submissions that wait, and nothing that waits any more. */
const wayBack = (w: World, seed: number): void => {
  w.versions.pipelinesOpen = false;
  assert.ok(w.until(() => w.mayGoBack(), 60_000) || w.broken.length > 0, "jobs still wait");
  for (let place = 0; place < MEMBERS; place++) {
    w.replace(nth(seed, place), "old");
    if (place < MEMBERS - 1) bothLead(w, seed + place);
  }
  leadBy(w, "old");
};

const trouble = (w: World): void => {
  w.usersCancel = false;
  w.versions.usersTryOthers = true;
  w.lateWrites = 0.05;
  w.lostAnswers = 0.05;
};

const SCENARIOS: readonly Scenario[] = [
  {
    name: "an upgrade: members are replaced one by one, and pipelines are sent once all are new",
    rough: 0.4,
    play: (w, seed) => {
      w.beginWith("old");
      w.versions.pipelinesOpen = false;
      w.wait(6000);
      trouble(w);
      const sent = [pipeline(w), pipeline(w)];
      upgrade(w, seed);
      accepted(w, sent.flat());
      w.callOff(sent[1]![seed % 5]!);
      w.wait(4000);
      w.endLeader(300);
      w.wait(8000);
    },
    met: {
      "old leaders": 60,
      "new leaders": 60,
      "processes that went back": 16,
      "new leaders with released jobs of pipelines": 30,
      "waiting jobs accepted": 60,
      releases: 50,
      "records of machines rewritten by old leaders": 16,
      "records of machines rewritten by new leaders": 60,
    },
    guards: [["early", ["too_early"]]],
  },
  {
    name: "a way back once nothing waits, and the upgrade made anew",
    rough: 0.4,
    play: (w, seed) => {
      w.wait(6000);
      trouble(w);
      const sent = [pipeline(w, 1000), pipeline(w, 1000)];
      accepted(w, sent.flat());
      // released before the way back and unfinished long after it
      const first = root(w, 8000);
      const long = Array.from({ length: 4 }, (_, i) => after(w, [first], 25_000 + i * 8000));
      accepted(w, long);
      wayBack(w, seed);
      w.callOff(long[3]!);
      w.wait(20_000);
      const more = pipeline(w);
      upgrade(w, seed + 1);
      accepted(w, more);
      w.wait(5000);
    },
    met: {
      "processes that went back": 72,
      "old leaders with released jobs of pipelines": 48,
      "new leaders with released jobs of pipelines": 60,
      "sets of the earlier version deleted": 50,
      "released jobs called off": 12,
      releases: 150,
      "records of machines rewritten by old leaders": 48,
      "records of machines rewritten by new leaders": 60,
    },
    guards: [
      ["back", ["went_back", "too_early", "ran_twice"]],
      ["useless", ["unserved"]],
    ],
  },
  {
    name: "a process comes back old though jobs wait, and leads; users avoid it",
    rough: 0.4,
    play: (w, seed) => {
      w.wait(6000);
      trouble(w);
      w.endsAfterCommit = 0.2;
      for (let i = 0; i < 2; i++) {
        const sent = [pipeline(w, 2500), pipeline(w, 2500)];
        accepted(w, sent.flat());
        w.versions.usersAvoidOld = true;
        w.replace(nth(seed, i), "old");
        bothLead(w, seed);
        w.callOff(sent[1]![(seed + i) % 5]!);
        leadBy(w, "old");
        w.wait(6000);
        w.replace(nth(seed, i), "new");
        w.versions.usersAvoidOld = !w.isAllNew();
        leadBy(w, "new");
        w.wait(4000);
      }
    },
    met: {
      "processes that went back": 48,
      "old leaders while jobs wait": 60,
      "old leaders with released jobs of pipelines": 36,
      "new leaders with released jobs of pipelines": 100,
      "lost joins found again": 60,
      "sets of the earlier version deleted": 40,
      "cancels passed on": 8,
      releases: 200,
      "records of machines rewritten by old leaders": 36,
      "records of machines rewritten by new leaders": 48,
    },
    guards: [
      ["listed", ["too_early"]],
      ["join", ["unserved"]],
      ["useless", ["unserved"]],
    ],
  },
];

playAll(SCENARIOS, { seeds: 24, first: 9000, tries: 24, servedWithin: 180_000, countsServing: true });
