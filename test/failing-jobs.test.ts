/** Jobs that fail on every machine: tried again within bounds, and never at the cost of machines or of other jobs. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Command } from "../src/core/records.js";
import { instant } from "../src/core/time.js";
import { ClusterFixture, EAST } from "./cluster-fixture.js";
import { jobSpec as spec } from "./specs.js";
import { present } from "./present.js";

const BROKEN = "req-000001";

/** Steps through so many seconds in which every task of the broken job fails as soon as it runs. */
const failFor = (fixture: ClusterFixture, seconds: number): void => {
  for (const until = fixture.now + seconds * 1000; fixture.now < until;) {
    fixture.step();
    for (const [machine, tasks] of fixture.tasks)
      for (const [key, task] of tasks)
        if (task.job === BROKEN && task.state === "running")
          present(fixture.tasks.get(machine)).set(key, { ...task, state: "exited", exitReason: "error" });
  }
};

const starts = (fixture: ClusterFixture): Command[] =>
  fixture.sent
    .filter(({ command }) => command.op === "start" && command.job === BROKEN)
    .map(({ command }) => command);

const rented = (fixture: ClusterFixture): number =>
  fixture.scheduler
    .stepAutoscaler(instant(fixture.now))
    .reduce((count, decision) => count + (decision.kind === "rent" ? decision.rent.count : 0), 0);

/** A fixture in which the broken job was started everywhere and is known to fail wherever it runs. */
const sceneWithBroken = (): ClusterFixture => {
  const fixture = new ClusterFixture(EAST);
  fixture.scheduler.machinesListed([], instant(fixture.now));
  fixture.scheduler.jobReleased(spec({ id: BROKEN, tasks: 200 }), 20, instant(fixture.now));
  failFor(fixture, 6);
  return fixture;
};

test("a job that fails everywhere is tried one task at a time, ever more seldom, and never given up", () => {
  const fixture = sceneWithBroken();
  const before = starts(fixture).length;
  failFor(fixture, 120);
  const later = starts(fixture).length - before;
  assert.ok(later >= 2, `${later} further tries`);
  assert.ok(later <= 12, `${later} further tries`);
  failFor(fixture, 120);
  const last = starts(fixture).length - before - later;
  assert.ok(last >= 1 && last <= 4, `${last} tries in the last two minutes`);
});

test("no machine is rented, kept or returned for a job that fails everywhere", () => {
  const fixture = sceneWithBroken();
  assert.equal(rented(fixture), 0);
  failFor(fixture, 40);
  assert.equal(rented(fixture), 0);
  assert.ok([...fixture.scheduler.cluster.machines.values()].every((machine) => machine.cordonedAt === null));
});

test("machines are drained although a job that fails everywhere has tasks to start", () => {
  const isDraining = (broken: boolean): boolean => {
    const fixture = broken ? sceneWithBroken() : new ClusterFixture(EAST);
    // one replica a machine, on half of it: two of them fit on one
    const replicas = { kind: "service", priority: "production", spot: false, tasks: 3 } as const;
    fixture.scheduler.jobReleased(
      spec({ id: "req-000002", image: "x", ...replicas }),
      21,
      instant(fixture.now),
    );
    failFor(fixture, 60);
    // between two tries of the broken job
    while ((fixture.scheduler.cluster.jobs.get(BROKEN)?.retryAt ?? Infinity) <= fixture.now)
      failFor(fixture, 0.5);
    fixture.scheduler.stepAutoscaler(instant(fixture.now));
    return [...fixture.scheduler.cluster.machines.values()].some((machine) => machine.draining);
  };
  assert.equal(isDraining(false), true);
  assert.equal(isDraining(true), true);
});

test("a job of which some task runs for long is not taken for one that fails everywhere", () => {
  const fixture = new ClusterFixture([...EAST, { id: "n-4", zone: "east" }, { id: "n-5", zone: "east" }]);
  fixture.scheduler.jobReleased(spec({ id: BROKEN, tasks: 60 }), 20, instant(fixture.now));
  fixture.step();
  // three of five machines fail what they start
  for (const id of ["n-1", "n-2", "n-3"]) fixture.endTasks(id, "error");
  fixture.step();
  const before = starts(fixture).length;
  for (let i = 0; i < 24; i++) fixture.step();
  fixture.endTasks("n-4", "error");
  fixture.step();
  assert.ok(starts(fixture).length > before, "the others are tried again");
  assert.ok(rented(fixture) > 0 || present(fixture.scheduler.cluster.jobs.get(BROKEN)).pending.size > 1);
});

test("a job that fails everywhere goes before no other, however long it waits", () => {
  const fixture = sceneWithBroken();
  failFor(fixture, 110);
  fixture.scheduler.jobReleased(spec({ id: "req-000003", tasks: 6, image: "y" }), 22, instant(fixture.now));
  const before = fixture.sent.length;
  fixture.step();
  const started = fixture.sent.slice(before).filter(({ command }) => command.op === "start");
  assert.equal(started.filter(({ command }) => command.job === "req-000003").length, 6);
});

test("a new leader rents nothing in place of machines that have yet to report to it", () => {
  const rents = (seconds: number): number => {
    const fixture = new ClusterFixture([]);
    for (const { id, zone } of EAST)
      fixture.scheduler.machineRecorded(id, { type: "small", zone, spot: false, addr: id }, instant(0));
    fixture.scheduler.machinesListed([], instant(0));
    fixture.scheduler.jobReleased(spec({ id: "req-000004", tasks: 6 }), 5, instant(0));
    fixture.now = seconds * 1000;
    return rented(fixture);
  };
  assert.equal(rents(1), 0);
  assert.equal(rents(4), 0);
  // whoever isn't heard by then is probably gone
  assert.ok(rents(12) > 0);
});
