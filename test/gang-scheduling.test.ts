/** Gang scheduling: all tasks of a gang start together or none does; gangs are not starved and don't starve others. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Duration from "effect/Duration";
import { instant } from "../src/core/time.js";
import { ClusterFixture, EAST_MACHINES } from "./cluster-fixture.js";
import { jobSpec as spec } from "./specs.js";
import { present } from "./present.js";

test("all tasks of a gang start under one attempt; when one is lost, all are stopped before the next attempt", () => {
  const fixture = new ClusterFixture(EAST_MACHINES);
  const gang = spec({
    kind: "gang",
    tasks: 4,
    saveDuration: Duration.seconds(5),
    checkpointInterval: Duration.seconds(10),
  });
  fixture.scheduler.jobReleased(gang, 20, instant(0));
  fixture.step();
  const firstAttempts = new Set(fixture.activeTasks().map((task) => task.attempt));
  assert.equal(fixture.activeTasks().length, 4);
  assert.equal(firstAttempts.size, 1);
  // the release of one machine is confirmed: its tasks are gone
  const lostMachine = present(fixture.sentCommands[0]).machine;
  present(fixture.tasks.get(lostMachine)).clear();
  fixture.scheduler.releaseAnswered([lostMachine], true, instant(fixture.now));
  fixture.step();
  assert.ok(fixture.commandCount("stop") > 0);
  assert.ok(
    fixture.sentCommands
      .filter((sent) => sent.command.op === "stop")
      .every((sent) => sent.command.gracePeriodSeconds >= 5),
  );
  for (let i = 0; i < 4; i++) fixture.step();
  const secondAttempts = new Set(fixture.activeTasks().map((task) => task.attempt));
  assert.equal(fixture.activeTasks().length, 4);
  assert.equal(secondAttempts.size, 1);
  assert.notDeepEqual(firstAttempts, secondAttempts);
});

test("a gang that doesn't fit starts no task, and smaller jobs don't starve it", () => {
  const fixture = new ClusterFixture(EAST_MACHINES);
  fixture.scheduler.jobReleased(spec({ id: "req-000001", tasks: 6, image: "x" }), 20, instant(0));
  fixture.step();
  assert.equal(fixture.activeTasks().length, 6);
  fixture.scheduler.jobReleased(spec({ id: "req-000002", kind: "gang", tasks: 6 }), 21, instant(fixture.now));
  for (let i = 0; i < 40; i++) fixture.step();
  fixture.scheduler.jobReleased(spec({ id: "req-000003", tasks: 6 }), 22, instant(fixture.now));
  for (const { id } of EAST_MACHINES) {
    fixture.endTasks(id, "done");
    fixture.step();
    fixture.scheduler.finishesStored("req-000001", [[0, 6]]);
    fixture.step();
  }
  fixture.step();
  const starts = fixture.sentCommands
    .filter((sent) => sent.command.op === "start")
    .map((sent) => sent.command.job);
  assert.deepEqual(new Set(starts.slice(0, 6)), new Set(["req-000001"]));
  assert.deepEqual(new Set(starts.slice(6, 12)), new Set(["req-000002"]));
});

test("a gang's waiting time counts from its release: only after a long wait does it hold back smaller jobs", () => {
  const holdsBackLaterJob = (releasedAt: number): boolean => {
    const fixture = new ClusterFixture(EAST_MACHINES);
    fixture.now = 50_000;
    for (const id of ["n-1", "n-2", "n-3"]) fixture.sendHeartbeat(id);
    fixture.scheduler.jobReleased(spec({ id: "req-000001", image: "x" }), 20, instant(fixture.now));
    fixture.step();
    const gang = spec({ id: "req-000002", kind: "gang", tasks: 6 });
    fixture.scheduler.jobReleased(gang, 21, instant(1000), instant(releasedAt));
    fixture.scheduler.jobReleased(spec({ id: "req-000003", tasks: 6 }), 22, instant(fixture.now));
    fixture.step();
    return fixture.activeTasks().length === 1;
  };
  assert.equal(holdsBackLaterJob(1000), true);
  assert.equal(holdsBackLaterJob(50_000), false);
});
