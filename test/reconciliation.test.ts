/** Reconciliation: commands without an answer, late heartbeats, and what a new leader makes of either. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Heartbeat } from "../src/core/records.js";
import { termNumberOf, fencingTokenOf } from "../src/core/leases/term.js";
import { instant } from "../src/core/time.js";
import { ClusterFixture, EAST_MACHINES } from "./cluster-fixture.js";
import { jobSpec as spec } from "./specs.js";
import { present } from "./present.js";

test("an unanswered start is neither repeated elsewhere nor reaped until a higher token settles it", () => {
  const fixture = new ClusterFixture([{ id: "n-1", zone: "east" }]);
  fixture.scheduler.jobReleased(spec({}), 20, instant(0));
  fixture.step(["n-1"]);
  fixture.scheduler.machineRecorded(
    "n-2",
    { type: "small", zone: "east", spot: false, addr: "n-2" },
    instant(fixture.now),
  );
  fixture.tasks.set("n-2", new Map());
  for (let i = 0; i < 6; i++) fixture.step(["n-1"]);
  assert.equal(fixture.commandCount("start"), 1);
  // asked under a token of its own that is higher than the start's, it answers without the task
  const question = present(fixture.heartbeatRequests("n-1").at(-1));
  assert.ok(question.fencingToken > present(fixture.sentCommands[0]).fencingToken);
  assert.equal(termNumberOf(question.fencingToken), 1, "nobody else has to hear of it");
  fixture.step();
  fixture.step();
  assert.equal(fixture.commandCount("start"), 2);
  assert.equal(fixture.activeTasks().length, 1);
});

test("after a take-over an old memory of a machine is not taken for the machine", () => {
  const fixture = new ClusterFixture([]);
  const machineState = {
    machine: "n-9",
    addr: "x",
    type: "small",
    zone: "east",
    spot: false,
    workerEpoch: 1,
    sequence: 5,
    fencingToken: 0,
  };
  const staleHeartbeat = { ...machineState, reclaimNoticeSeconds: null, tasks: [] };
  // released by the leader before, so without a record: nobody is there
  fixture.scheduler.heartbeatReceived(staleHeartbeat, "a", instant(50_000), instant(20_000));
  assert.equal(fixture.scheduler.cluster.machines.size, 0);
  fixture.scheduler.machineRecorded(
    "n-9",
    { type: "small", zone: "east", spot: false, addr: "x" },
    instant(50_000),
  );
  fixture.scheduler.heartbeatReceived(staleHeartbeat, "a", instant(50_000), instant(20_000));
  fixture.scheduler.jobReleased(spec({}), 20, instant(50_000));
  const commands = fixture.scheduler
    .step(instant(50_000))
    .flatMap((decision) => (decision.kind === "commands" ? decision.commands : []));
  assert.deepEqual(commands, []);
  fixture.scheduler.heartbeatReceived(
    { ...staleHeartbeat, sequence: 6 },
    "a",
    instant(50_100),
    instant(50_090),
  );
  const starts = fixture.scheduler
    .step(instant(50_200))
    .flatMap((decision) => (decision.kind === "commands" ? decision.commands : []));
  assert.ok(starts.length <= 1);
});

test("a stranger in a late heartbeat is no machine, until it knows the present token", () => {
  const fixture = new ClusterFixture(EAST_MACHINES);
  fixture.scheduler.jobReleased(spec({ id: "req-000001" }), 20, instant(0));
  fixture.step();
  const firstStart = present(fixture.sentCommands[0]);
  const lateHeartbeat: Heartbeat = {
    machine: "n-77",
    addr: "x",
    type: "small",
    zone: "east",
    spot: false,
    workerEpoch: 1,
    sequence: 900,
    fencingToken: 0,
    reclaimNoticeSeconds: null,
    tasks: [{ job: "req-000001", index: 0, attempt: 1, state: "running", exitReason: null }],
  };
  fixture.scheduler.heartbeatReceived(lateHeartbeat, "a", instant(fixture.now));
  assert.equal(fixture.scheduler.cluster.machines.has("n-77"), false);
  for (let i = 0; i < 4; i++) fixture.step(["n-9"]);
  // nor does a machine speak for the present that is recorded, but has not reported under this term
  const machineRecord = { type: "small", zone: "east", spot: false, addr: "n-9" };
  fixture.scheduler.machineRecorded("n-9", machineRecord, instant(fixture.now));
  fixture.scheduler.heartbeatReceived({ ...lateHeartbeat, machine: "n-9" }, "a", instant(fixture.now));
  for (let i = 0; i < 4; i++) fixture.step(["n-9"]);
  // the lower attempt in the copies doesn't get the real task stopped
  assert.equal(fixture.commandCount("stop"), 0);
  assert.deepEqual(
    fixture.activeTasks().map((task) => task.attempt),
    [firstStart.command.attempt],
  );
  fixture.scheduler.heartbeatReceived(
    { ...lateHeartbeat, sequence: 901, fencingToken: fencingTokenOf(1), tasks: [] },
    "a",
    instant(fixture.now),
  );
  assert.equal(fixture.scheduler.cluster.machines.has("n-77"), true);
});

test("a start whose outcome comes before its heartbeat is waited for, not repeated", () => {
  const fixture = new ClusterFixture([{ id: "n-1", zone: "east" }]);
  fixture.scheduler.jobReleased(spec({}), 20, instant(0));
  const commands = fixture.scheduler
    .step(instant(fixture.now))
    .filter((decision) => decision.kind === "commands");
  assert.equal(commands.length, 1);
  const decision = present(commands[0]);
  fixture.scheduler.commandsAnswered(
    "n-1",
    decision.commands,
    decision.fencingToken,
    "done",
    instant(fixture.now),
    {
      workerEpoch: 1,
      sequence: 50,
    },
  );
  const stepAndCountBatches = (): number =>
    fixture.scheduler
      .step(instant((fixture.now += 600)))
      .filter((decision) => decision.kind === "commands" && decision.commands.length > 0).length;
  assert.equal(stepAndCountBatches(), 0);
  fixture.sendHeartbeat("n-1", "east", { sequence: 49 });
  assert.equal(stepAndCountBatches(), 0, "older than the answer");
  fixture.sendHeartbeat("n-1", "east", { sequence: 51 });
  assert.equal(stepAndCountBatches(), 1, "the worker doesn't have it");
});
