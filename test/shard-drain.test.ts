/** What the core does for a handoff: what stands against one, silence towards paused machines, and raised tokens. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Machine } from "../src/core/cluster/cluster.js";
import type { TaskState } from "../src/core/records.js";
import { instant } from "../src/core/time.js";
import { ClusterFixture, EAST_MACHINES } from "./cluster-fixture.js";
import { jobSpec as spec } from "./specs.js";

const GANG_ID = "req-000002";

const machineOf = (scene: ClusterFixture, id: string): Machine => scene.s.cluster.machines.get(id)!;
const drainFacts = (scene: ClusterFixture, ids: readonly string[] = ["n-1", "n-2", "n-3"]) =>
  scene.s.shardDrain.factsOf(ids.map((id) => machineOf(scene, id)));

const startCommandCount = (scene: ClusterFixture): number => scene.commandCount("start");

test("a paused machine gets no commands, but is asked for heartbeats; once resumed it gets its share", () => {
  const scene = new ClusterFixture(EAST_MACHINES);
  for (const { id } of EAST_MACHINES) scene.pausedMachines.add(id);
  scene.s.jobReleased(spec({ id: "req-000001", tasks: 6 }), 20, instant(scene.now));
  for (let i = 0; i < 6; i++) scene.step();
  assert.equal(startCommandCount(scene), 0);
  scene.s.shardDrain.raiseTokens([machineOf(scene, "n-1")]);
  scene.step();
  assert.equal(scene.heartbeatRequests("n-1").length, 1);
  scene.pausedMachines.clear();
  scene.s.shardDrain.resume(EAST_MACHINES.map(({ id }) => machineOf(scene, id)));
  for (let i = 0; i < 3; i++) scene.step();
  assert.equal(startCommandCount(scene), 6);
});

test("a machine is fenced only once it was seen under a token that was raised after the last command", () => {
  const scene = new ClusterFixture(EAST_MACHINES);
  scene.step();
  assert.equal(drainFacts(scene).fenced, true);
  scene.s.shardDrain.raiseTokens([machineOf(scene, "n-2")]);
  assert.deepEqual([drainFacts(scene).fenced, drainFacts(scene).unfencedMachine], [false, "n-2"]);
  assert.equal(drainFacts(scene, ["n-1"]).fenced, true);
  const [question] = (scene.step(), scene.heartbeatRequests("n-2"));
  assert.ok(question !== undefined);
  scene.step();
  assert.equal(drainFacts(scene).fenced, true);
  assert.ok(!scene.s.cluster.awaitingFence.has(machineOf(scene, "n-2")));
});

test("a start without an answer stands against a handoff until it is settled", () => {
  const scene = new ClusterFixture(EAST_MACHINES);
  scene.s.jobReleased(spec({ id: "req-000001", tasks: 1 }), 20, instant(scene.now));
  scene.step(["n-1", "n-2", "n-3"]);
  assert.equal(drainFacts(scene).obstacle?._tag, "CommandInDoubt");
  for (let i = 0; i < 6; i++) scene.step();
  assert.equal(drainFacts(scene).obstacle, null);
});

test("a gang that is being assembled, or saves, stands against a handoff; one that runs doesn't", () => {
  const scene = new ClusterFixture(EAST_MACHINES);
  scene.s.jobReleased(spec({ id: GANG_ID, kind: "gang", tasks: 3, cpus: 4 }), 20, instant(scene.now));
  for (let i = 0; i < 4; i++) scene.step();
  const obstacleWithTasksIn = (state: TaskState): string | undefined => {
    for (const tasks of scene.tasks.values())
      for (const [key, task] of tasks) tasks.set(key, { ...task, state });
    for (const { id } of EAST_MACHINES) scene.sendHeartbeat(id);
    return drainFacts(scene).obstacle?._tag;
  };
  assert.equal(scene.activeTasks().length, 3);
  assert.equal(obstacleWithTasksIn("running"), undefined);
  assert.equal(obstacleWithTasksIn("fetching"), "GangAssembling");
  assert.equal(obstacleWithTasksIn("waiting"), "GangAssembling");
  assert.equal(obstacleWithTasksIn("saving"), "GangSaving");
});

test("a machine that hasn't reported under the present token stands against a handoff; one on its way back doesn't", () => {
  const scene = new ClusterFixture(EAST_MACHINES);
  scene.step();
  const term = {
    number: 2,
    leaderRevision: 10,
    leader: "a",
    members: [{ name: "a", incarnation: 1, zone: "east" }],
  };
  scene.s.renewTerm(term, instant(scene.now));
  assert.equal(drainFacts(scene).fenced, false);
  machineOf(scene, "n-3").releaseRequestedAt = instant(scene.now);
  assert.equal(drainFacts(scene).machines, 2);
});
