/** Jobs that fail on every machine: they are retried at a bounded rate, and cost neither machines nor other jobs. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Command } from "../src/core/records.js";
import { instant } from "../src/core/time.js";
import { ClusterFixture, EAST_MACHINES } from "./cluster-fixture.js";
import { jobSpec as spec } from "./specs.js";
import { present } from "./present.js";

const FAILING_JOB = "req-000001";

/** Steps the scheduler for this many seconds; each task of the failing job fails as soon as it runs. */
const stepWhileFailing = (fixture: ClusterFixture, seconds: number): void => {
  for (const until = fixture.now + seconds * 1000; fixture.now < until;) {
    fixture.step();
    for (const [machine, tasks] of fixture.tasks)
      for (const [key, task] of tasks)
        if (task.job === FAILING_JOB && task.state === "running")
          present(fixture.tasks.get(machine)).set(key, { ...task, state: "exited", exitReason: "error" });
  }
};

const startCommands = (fixture: ClusterFixture): Command[] =>
  fixture.sentCommands
    .filter(({ command }) => command.op === "start" && command.job === FAILING_JOB)
    .map(({ command }) => command);

const rentedCount = (fixture: ClusterFixture): number =>
  fixture.scheduler
    .stepAutoscaler(instant(fixture.now))
    .reduce((count, decision) => count + (decision.kind === "rent" ? decision.rent.count : 0), 0);

/** A fixture in which the failing job was started on all machines and is known to fail on each of them. */
const fixtureWithFailingJob = (): ClusterFixture => {
  const fixture = new ClusterFixture(EAST_MACHINES);
  fixture.scheduler.machinesListed([], instant(fixture.now));
  fixture.scheduler.jobReleased(spec({ id: FAILING_JOB, tasks: 200 }), 20, instant(fixture.now));
  stepWhileFailing(fixture, 6);
  return fixture;
};

test("a job that fails everywhere is retried one task at a time, with increasing delays, and never given up", () => {
  const fixture = fixtureWithFailingJob();
  const before = startCommands(fixture).length;
  stepWhileFailing(fixture, 120);
  const startsIn2Minutes = startCommands(fixture).length - before;
  assert.ok(startsIn2Minutes >= 2, `${startsIn2Minutes} further starts`);
  assert.ok(startsIn2Minutes <= 12, `${startsIn2Minutes} further starts`);
  stepWhileFailing(fixture, 120);
  const startsInLast2Minutes = startCommands(fixture).length - before - startsIn2Minutes;
  assert.ok(
    startsInLast2Minutes >= 1 && startsInLast2Minutes <= 4,
    `${startsInLast2Minutes} starts in the last two minutes`,
  );
});

test("no machine is rented or cordoned because of a job that fails everywhere", () => {
  const fixture = fixtureWithFailingJob();
  assert.equal(rentedCount(fixture), 0);
  stepWhileFailing(fixture, 40);
  assert.equal(rentedCount(fixture), 0);
  assert.ok([...fixture.scheduler.cluster.machines.values()].every((machine) => machine.cordonedAt === null));
});

test("idle machines are drained even while a job that fails everywhere has pending tasks", () => {
  const drainsMachine = (withFailingJob: boolean): boolean => {
    const fixture = withFailingJob ? fixtureWithFailingJob() : new ClusterFixture(EAST_MACHINES);
    // each machine gets one replica, which takes half of it: two would fit on one machine
    const replicas = { kind: "service", priority: "production", spot: false, tasks: 3 } as const;
    fixture.scheduler.jobReleased(
      spec({ id: "req-000002", image: "x", ...replicas }),
      21,
      instant(fixture.now),
    );
    stepWhileFailing(fixture, 60);
    // until the failing job waits for its next retry
    while ((fixture.scheduler.cluster.jobs.get(FAILING_JOB)?.retryAt ?? Infinity) <= fixture.now)
      stepWhileFailing(fixture, 0.5);
    fixture.scheduler.stepAutoscaler(instant(fixture.now));
    return [...fixture.scheduler.cluster.machines.values()].some((machine) => machine.draining);
  };
  assert.equal(drainsMachine(false), true);
  assert.equal(drainsMachine(true), true);
});

test("a job with a task that has run for long is not treated as failing everywhere", () => {
  const fixture = new ClusterFixture([
    ...EAST_MACHINES,
    { id: "n-4", zone: "east" },
    { id: "n-5", zone: "east" },
  ]);
  fixture.scheduler.jobReleased(spec({ id: FAILING_JOB, tasks: 60 }), 20, instant(fixture.now));
  fixture.step();
  // three of the five machines fail the tasks that they start
  for (const id of ["n-1", "n-2", "n-3"]) fixture.endTasks(id, "error");
  fixture.step();
  const before = startCommands(fixture).length;
  for (let i = 0; i < 24; i++) fixture.step();
  fixture.endTasks("n-4", "error");
  fixture.step();
  assert.ok(startCommands(fixture).length > before, "the failed tasks are started again");
  assert.ok(
    rentedCount(fixture) > 0 || present(fixture.scheduler.cluster.jobs.get(FAILING_JOB)).pending.size > 1,
  );
});

test("a job that fails everywhere never goes before another job, however long it has waited", () => {
  const fixture = fixtureWithFailingJob();
  stepWhileFailing(fixture, 110);
  fixture.scheduler.jobReleased(spec({ id: "req-000003", tasks: 6, image: "y" }), 22, instant(fixture.now));
  const before = fixture.sentCommands.length;
  fixture.step();
  const started = fixture.sentCommands.slice(before).filter(({ command }) => command.op === "start");
  assert.equal(started.filter(({ command }) => command.job === "req-000003").length, 6);
});

test("a new leader rents no replacements for machines that have not reported to it yet", () => {
  const rentedCountAfter = (seconds: number): number => {
    const fixture = new ClusterFixture([]);
    for (const { id, zone } of EAST_MACHINES)
      fixture.scheduler.machineRecorded(id, { type: "small", zone, spot: false, addr: id }, instant(0));
    fixture.scheduler.machinesListed([], instant(0));
    fixture.scheduler.jobReleased(spec({ id: "req-000004", tasks: 6 }), 5, instant(0));
    fixture.now = seconds * 1000;
    return rentedCount(fixture);
  };
  assert.equal(rentedCountAfter(1), 0);
  assert.equal(rentedCountAfter(4), 0);
  // machines that have not reported by then are probably gone
  assert.ok(rentedCountAfter(12) > 0);
});
