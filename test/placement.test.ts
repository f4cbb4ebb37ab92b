/** Placement: zones, spread, the order among jobs, and preemption of what runs. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Duration from "effect/Duration";
import { instant } from "../src/core/time.js";
import { ClusterFixture, EAST_MACHINES } from "./cluster-fixture.js";
import { jobSpec as spec } from "./specs.js";
import { present } from "./present.js";

test("together keeps a job in one zone, apart puts at most half of it into one", () => {
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

test("production work stops the youngest idle work, and no more of it than needed", () => {
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

test("replicas don't gather on the largest machine: losing it would cost most of them", () => {
  const fixture = new ClusterFixture([...EAST_MACHINES, { id: "n-4", zone: "east", type: "large" }]);
  // the image is cached on all of them: a cached image comes first
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

test("a large job of low priority begins in bounded time under a steady stream of others", () => {
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
    // more than fits, all the time
    if (i % 4 === 0) submitJob();
    if (i % 6 === 0) for (const { id } of EAST_MACHINES) fixture.endTasks(id, "done");
    fixture.step();
  }
  assert.ok(
    fixture.sentCommands.some((sent) => sent.command.job === "req-000009"),
    "it never began",
  );
  assert.ok(fixture.now - submittedAt < 240_000);
});

test("work without a guarantee begins within four minutes under a steady stream of guaranteed jobs", () => {
  const fixture = new ClusterFixture([{ id: "n-1", zone: "east" }]);
  const jobWithoutGuarantee = spec({ id: "req-000009", priority: "low", tasks: 500 });
  fixture.scheduler.jobReleased(jobWithoutGuarantee, 10, instant(fixture.now));
  const submittedAt = fixture.now;
  const isStarted = (): boolean =>
    fixture.sentCommands.some(({ command }) => command.job === jobWithoutGuarantee.id);
  for (let n = 0; n < 600 && !isStarted(); n++) {
    // two tasks take the whole machine, and all of their team's guarantee
    const job = spec({ id: `req-1${String(n).padStart(5, "0")}`, team: "red", priority: "high", tasks: 2 });
    fixture.scheduler.jobReleased(job, 100 + n, instant(fixture.now));
    fixture.step();
    fixture.endTasks("n-1", "done");
  }
  assert.ok(isStarted(), "it never began");
  assert.ok(fixture.now - submittedAt > 60_000, "guaranteed work goes first");
  assert.ok(fixture.now - submittedAt < 240_000);
  // one task of it was enough
  fixture.step();
  assert.ok(
    fixture.sentCommands.filter(
      ({ command }) => command.job === jobWithoutGuarantee.id && command.op === "start",
    ).length <= 2,
  );
});

test("idle work with a deadline goes first when it is about to miss it, and a new leader knows its age", () => {
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
  // too late for its deadline: it waits its turn
  assert.equal(firstStartedJob(105_000), "req-000002");
  // and not for ever
  assert.equal(firstStartedJob(90_000), "req-000001");
});

test("a machine that will be taken saves what can be saved and moves its replica", () => {
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
