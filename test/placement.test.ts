/** Placement: zones, spreading, the order among jobs, and preemption of running tasks. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Duration from "effect/Duration";
import { instant } from "../src/core/time.js";
import { ClusterFixture, EAST_MACHINES } from "./cluster-fixture.js";
import { jobSpec as spec } from "./specs.js";
import { present } from "./present.js";

test("oneZone keeps a job in one zone; spreadOverZones puts at most half of it, rounded up, into each of two", () => {
  const machines = [...EAST_MACHINES, { id: "n-4", zone: "west" }, { id: "n-5", zone: "west" }];
  const zoneOf = new Map(machines.map((machine) => [machine.id, machine.zone]));
  const zonesOfStarts = (fixture: ClusterFixture, job: string): string[] =>
    fixture.sentCommands
      .filter((sent) => sent.command.job === job && sent.command.op === "start")
      .map((sent) => present(zoneOf.get(sent.machine)));
  const oneZone = new ClusterFixture(machines);
  oneZone.scheduler.jobReleased(spec({ oneZone: true, tasks: 9 }), 20, instant(0));
  for (let i = 0; i < 5; i++) oneZone.step();
  assert.equal(new Set(zonesOfStarts(oneZone, "req-000001")).size, 1);
  const spread = new ClusterFixture(machines);
  spread.scheduler.jobReleased(spec({ spreadOverZones: true, tasks: 5, cpus: 1 }), 20, instant(0));
  for (let i = 0; i < 5; i++) spread.step();
  const startZones = zonesOfStarts(spread, "req-000001");
  assert.equal(startZones.length, 5);
  for (const zone of ["east", "west"])
    assert.ok(startZones.filter((startZone) => startZone === zone).length <= 3);
});

test("a production job preempts low-priority tasks, and no more of them than needed", () => {
  const fixture = new ClusterFixture(EAST_MACHINES);
  fixture.scheduler.jobReleased(spec({ priority: "low", tasks: 6 }), 20, instant(0));
  fixture.step();
  assert.equal(fixture.activeTasks().length, 6);
  fixture.scheduler.jobReleased(
    spec({ id: "req-000002", kind: "service", priority: "production", spot: false }),
    21,
    instant(fixture.now),
  );
  for (let i = 0; i < 6; i++) fixture.step();
  assert.equal(fixture.commandCount("stop"), 1);
  assert.equal(fixture.activeTasks().filter((task) => task.job === "req-000002").length, 1);
  assert.equal(fixture.activeTasks().filter((task) => task.job === "req-000001").length, 5);
});

test("replicas of services don't gather on the largest machine, whose loss would take most of them", () => {
  const fixture = new ClusterFixture([...EAST_MACHINES, { id: "n-4", zone: "east", type: "large" }]);
  // the image is cached on all machines first, since placement prefers machines that have it
  fixture.scheduler.jobReleased(spec({ id: "req-000100", tasks: 10 }), 11, instant(0));
  for (let i = 0; i < 3; i++) fixture.step();
  assert.equal(fixture.activeTasks().length, 10);
  for (const machine of fixture.tasks.keys()) fixture.endTasks(machine, "done");
  fixture.step();
  fixture.scheduler.finishesStored("req-000100", [[0, 10]]);
  fixture.step();
  fixture.scheduler.jobEnded("req-000100");
  fixture.step();
  for (let i = 0; i < 8; i++) {
    const id = `req-0000${10 + i}`;
    fixture.scheduler.jobReleased(
      spec({ id, kind: "service", priority: "production", cpus: 1, memoryGb: 1 }),
      20 + i,
      instant(0),
    );
    fixture.step();
    fixture.step();
  }
  assert.equal(fixture.activeTasks().length, 8);
  for (const [machine, tasks] of fixture.tasks) assert.ok(tasks.size <= 2, `${tasks.size} on ${machine}`);
});

test("a large low-priority job starts within four minutes under a steady stream of other jobs", () => {
  const fixture = new ClusterFixture(EAST_MACHINES);
  let n = 0;
  const submitJob = (): void =>
    fixture.scheduler.jobReleased(
      spec({ id: `req-1${String(n).padStart(5, "0")}`, tasks: 6 }),
      100 + n++,
      instant(fixture.now),
    );
  submitJob();
  submitJob();
  fixture.step();
  fixture.scheduler.jobReleased(
    spec({ id: "req-000009", priority: "low", tasks: 500, cpus: 8 }),
    99,
    instant(fixture.now),
  );
  const submittedAt = fixture.now;
  for (let i = 0; i < 480 && !fixture.sentCommands.some((sent) => sent.command.job === "req-000009"); i++) {
    // always more than fits
    if (i % 4 === 0) submitJob();
    if (i % 6 === 0) for (const { id } of EAST_MACHINES) fixture.endTasks(id, "done");
    fixture.step();
  }
  assert.ok(
    fixture.sentCommands.some((sent) => sent.command.job === "req-000009"),
    "it never started",
  );
  assert.ok(fixture.now - submittedAt < 240_000);
});

test("a job beyond its team's guarantee starts within four minutes under a steady stream of guaranteed jobs", () => {
  const fixture = new ClusterFixture([{ id: "n-1", zone: "east" }]);
  const jobWithoutGuarantee = spec({ id: "req-000009", priority: "low", tasks: 500 });
  fixture.scheduler.jobReleased(jobWithoutGuarantee, 10, instant(fixture.now));
  const submittedAt = fixture.now;
  const isStarted = (): boolean =>
    fixture.sentCommands.some(({ command }) => command.job === jobWithoutGuarantee.id);
  for (let n = 0; n < 600 && !isStarted(); n++) {
    // two tasks take the whole machine and all of their team's guarantee
    const job = spec({ id: `req-1${String(n).padStart(5, "0")}`, team: "red", priority: "high", tasks: 2 });
    fixture.scheduler.jobReleased(job, 100 + n, instant(fixture.now));
    fixture.step();
    fixture.endTasks("n-1", "done");
  }
  assert.ok(isStarted(), "it never started");
  assert.ok(fixture.now - submittedAt > 60_000, "guaranteed jobs go first");
  assert.ok(fixture.now - submittedAt < 240_000);
  // starting one of its tasks ends its precedence
  fixture.step();
  assert.ok(
    fixture.sentCommands.filter(
      ({ command }) => command.job === jobWithoutGuarantee.id && command.op === "start",
    ).length <= 2,
  );
});

test("a low-priority job goes first when it would otherwise miss its deadline, counted from its acceptance", () => {
  const firstStartedJob = (acceptedAt: number): string => {
    const fixture = new ClusterFixture(EAST_MACHINES);
    fixture.now = 200_000;
    const jobWithDeadline = spec({
      id: "req-000001",
      priority: "low",
      tasks: 6,
      estimate: Duration.seconds(20),
      deadline: Duration.seconds(90),
    });
    fixture.scheduler.jobReleased(jobWithDeadline, 20, instant(acceptedAt));
    fixture.scheduler.jobReleased(spec({ id: "req-000002", tasks: 6 }), 21, instant(199_000));
    for (const id of ["n-1", "n-2", "n-3"]) fixture.sendHeartbeat(id);
    fixture.step();
    return present(fixture.sentCommands.find((sent) => sent.command.op === "start")).command.job;
  };
  assert.equal(firstStartedJob(195_000), "req-000002");
  assert.equal(firstStartedJob(150_000), "req-000001");
  // the deadline can't be met any more: it waits its turn
  assert.equal(firstStartedJob(105_000), "req-000002");
  // but after a long wait it goes first
  assert.equal(firstStartedJob(90_000), "req-000001");
});

test("tasks with checkpoints are stopped with time to save when their machine is about to be reclaimed", () => {
  const fixture = new ClusterFixture(EAST_MACHINES);
  fixture.scheduler.jobReleased(
    spec({ checkpointInterval: Duration.seconds(10), saveDuration: Duration.seconds(3) }),
    20,
    instant(0),
  );
  fixture.scheduler.jobReleased(
    spec({ id: "req-000002", kind: "service", priority: "production", image: "other" }),
    21,
    instant(0),
  );
  fixture.step();
  for (const { machine } of [...fixture.sentCommands])
    fixture.sendHeartbeat(machine, "east", { reclaimNoticeSeconds: 10 });
  fixture.now += 10;
  const commands = fixture.scheduler
    .step(instant(fixture.now))
    .flatMap((decision) => (decision.kind === "commands" ? decision.commands : []));
  assert.ok(
    commands.some(
      (command) => command.op === "stop" && command.job === "req-000001" && command.gracePeriodSeconds === 3,
    ),
  );
});
