/** The scheduler's part in handing over a shard: reasons against a handoff, paused machines, and raised fencing tokens. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Machine } from "../src/core/cluster/cluster.js";
import type { TaskState } from "../src/core/records.js";
import { instant } from "../src/core/time.js";
import { ClusterFixture, EAST_MACHINES } from "./cluster-fixture.js";
import { jobSpec as spec } from "./specs.js";

const GANG_ID = "req-000002";

const machineOf = (fixture: ClusterFixture, id: string): Machine =>
  fixture.scheduler.cluster.machines.get(id)!;
const drainFacts = (fixture: ClusterFixture, ids: readonly string[] = ["n-1", "n-2", "n-3"]) =>
  fixture.scheduler.shardDrain.factsOf(ids.map((id) => machineOf(fixture, id)));

const startCommandCount = (fixture: ClusterFixture): number => fixture.commandCount("start");

test("a paused machine gets no commands but requests for heartbeats; once resumed it gets tasks again", () => {
  const fixture = new ClusterFixture(EAST_MACHINES);
  for (const { id } of EAST_MACHINES) fixture.pausedMachines.add(id);
  fixture.scheduler.jobReleased(spec({ id: "req-000001", tasks: 6 }), 20, instant(fixture.now));
  for (let i = 0; i < 6; i++) fixture.step();
  assert.equal(startCommandCount(fixture), 0);
  fixture.scheduler.shardDrain.raiseTokens([machineOf(fixture, "n-1")]);
  fixture.step();
  assert.equal(fixture.heartbeatRequests("n-1").length, 1);
  fixture.pausedMachines.clear();
  fixture.scheduler.shardDrain.resume(EAST_MACHINES.map(({ id }) => machineOf(fixture, id)));
  for (let i = 0; i < 3; i++) fixture.step();
  assert.equal(startCommandCount(fixture), 6);
});

test("a machine is fenced once it has reported under a token raised after the last command", () => {
  const fixture = new ClusterFixture(EAST_MACHINES);
  fixture.step();
  assert.equal(drainFacts(fixture).fenced, true);
  fixture.scheduler.shardDrain.raiseTokens([machineOf(fixture, "n-2")]);
  assert.deepEqual([drainFacts(fixture).fenced, drainFacts(fixture).unfencedMachine], [false, "n-2"]);
  assert.equal(drainFacts(fixture, ["n-1"]).fenced, true);
  const [question] = (fixture.step(), fixture.heartbeatRequests("n-2"));
  assert.ok(question !== undefined);
  fixture.step();
  assert.equal(drainFacts(fixture).fenced, true);
  assert.ok(!fixture.scheduler.cluster.awaitingFence.has(machineOf(fixture, "n-2")));
});

test("a start command without an answer prevents a handoff until its outcome is known", () => {
  const fixture = new ClusterFixture(EAST_MACHINES);
  fixture.scheduler.jobReleased(spec({ id: "req-000001", tasks: 1 }), 20, instant(fixture.now));
  fixture.step(["n-1", "n-2", "n-3"]);
  assert.equal(drainFacts(fixture).obstacle?._tag, "CommandInDoubt");
  for (let i = 0; i < 6; i++) fixture.step();
  assert.equal(drainFacts(fixture).obstacle, null);
});

test("a gang that assembles or saves a checkpoint prevents a handoff; a running one does not", () => {
  const fixture = new ClusterFixture(EAST_MACHINES);
  fixture.scheduler.jobReleased(
    spec({ id: GANG_ID, kind: "gang", tasks: 3, cpus: 4 }),
    20,
    instant(fixture.now),
  );
  for (let i = 0; i < 4; i++) fixture.step();
  const obstacleWithTasksIn = (state: TaskState): string | undefined => {
    for (const tasks of fixture.tasks.values())
      for (const [key, task] of tasks) tasks.set(key, { ...task, state });
    for (const { id } of EAST_MACHINES) fixture.sendHeartbeat(id);
    return drainFacts(fixture).obstacle?._tag;
  };
  assert.equal(fixture.activeTasks().length, 3);
  assert.equal(obstacleWithTasksIn("running"), undefined);
  assert.equal(obstacleWithTasksIn("fetching"), "GangAssembling");
  assert.equal(obstacleWithTasksIn("waiting"), "GangAssembling");
  assert.equal(obstacleWithTasksIn("saving"), "GangSaving");
});

test("a machine that has not reported under the current token is not fenced; one being released is not counted", () => {
  const fixture = new ClusterFixture(EAST_MACHINES);
  fixture.step();
  const term = {
    number: 2,
    leaderRevision: 10,
    leader: "a",
    members: [{ name: "a", incarnation: 1, zone: "east" }],
  };
  fixture.scheduler.renewTerm(term, instant(fixture.now));
  assert.equal(drainFacts(fixture).fenced, false);
  machineOf(fixture, "n-3").releaseRequestedAt = instant(fixture.now);
  assert.equal(drainFacts(fixture).machines, 2);
});
