/** Reconciliation: unanswered commands, late heartbeats, and how a leader (also a new one) treats them. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Heartbeat } from "../src/core/records.js";
import { termNumberOf, fencingTokenOf } from "../src/core/leases/term.js";
import { instant } from "../src/core/time.js";
import { ClusterFixture, EAST_MACHINES } from "./cluster-fixture.js";
import { jobSpec as spec } from "./specs.js";
import { present } from "./present.js";

test("an unanswered start is not repeated until the machine has answered a query with a higher fencing token", () => {
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
  // queried with a token higher than the start's, the machine answers without the task
  const question = present(fixture.heartbeatRequests("n-1").at(-1));
  assert.ok(question.fencingToken > present(fixture.sentCommands[0]).fencingToken);
  assert.equal(termNumberOf(question.fencingToken), 1, "the query takes no new term");
  fixture.step();
  fixture.step();
  assert.equal(fixture.commandCount("start"), 2);
  assert.equal(fixture.activeTasks().length, 1);
});

test("after a failover a stale heartbeat does not make a machine known or get it work", () => {
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
  // the previous leader released the machine, so it has no record: the heartbeat is ignored
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

test("a late heartbeat of an unknown machine is ignored until it carries the current fencing token", () => {
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
  // nor does it count for a machine that has a record but has not reported under this term
  const machineRecord = { type: "small", zone: "east", spot: false, addr: "n-9" };
  fixture.scheduler.machineRecorded("n-9", machineRecord, instant(fixture.now));
  fixture.scheduler.heartbeatReceived({ ...lateHeartbeat, machine: "n-9" }, "a", instant(fixture.now));
  for (let i = 0; i < 4; i++) fixture.step(["n-9"]);
  // the lower attempt number in the late heartbeats doesn't get the real task stopped
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

test("a start that was answered is not repeated until a later heartbeat shows that the task is missing", () => {
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
  assert.equal(stepAndCountBatches(), 0, "the heartbeat is older than the answer");
  fixture.sendHeartbeat("n-1", "east", { sequence: 51 });
  assert.equal(stepAndCountBatches(), 1, "the worker doesn't have the task");
});
