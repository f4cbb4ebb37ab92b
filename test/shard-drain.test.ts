/** What the core does for a handoff: what stands against one, silence towards paused machines, and raised tokens. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Machine } from "../src/core/cluster/cluster.js";
import type { TaskState } from "../src/core/records.js";
import { instant } from "../src/core/time.js";
import { ClusterFixture, EAST } from "./cluster-fixture.js";
import { jobSpec as spec } from "./specs.js";

const GANG = "req-000002";

const machine = (scene: ClusterFixture, id: string): Machine => scene.s.cluster.machines.get(id)!;
const facts = (scene: ClusterFixture, ids: readonly string[] = ["n-1", "n-2", "n-3"]) =>
  scene.s.shardDrain.factsOf(ids.map((id) => machine(scene, id)));

const started = (scene: ClusterFixture): number => scene.ops("start");

test("a paused machine gets no commands, but is asked for heartbeats; once resumed it gets its share", () => {
  const scene = new ClusterFixture(EAST);
  for (const { id } of EAST) scene.paused.add(id);
  scene.s.jobReleased(spec({ id: "req-000001", tasks: 6 }), 20, instant(scene.now));
  for (let i = 0; i < 6; i++) scene.step();
  assert.equal(started(scene), 0);
  scene.s.shardDrain.raiseTokens([machine(scene, "n-1")]);
  scene.step();
  assert.equal(scene.questions("n-1").length, 1);
  scene.paused.clear();
  scene.s.shardDrain.resume(EAST.map(({ id }) => machine(scene, id)));
  for (let i = 0; i < 3; i++) scene.step();
  assert.equal(started(scene), 6);
});

test("a machine is fenced only once it was seen under a token that was raised after the last command", () => {
  const scene = new ClusterFixture(EAST);
  scene.step();
  assert.equal(facts(scene).fenced, true);
  scene.s.shardDrain.raiseTokens([machine(scene, "n-2")]);
  assert.deepEqual([facts(scene).fenced, facts(scene).unfencedMachine], [false, "n-2"]);
  assert.equal(facts(scene, ["n-1"]).fenced, true);
  const [question] = (scene.step(), scene.questions("n-2"));
  assert.ok(question !== undefined);
  scene.step();
  assert.equal(facts(scene).fenced, true);
  assert.ok(!scene.s.cluster.awaitingFence.has(machine(scene, "n-2")));
});

test("a start without an answer stands against a handoff until it is settled", () => {
  const scene = new ClusterFixture(EAST);
  scene.s.jobReleased(spec({ id: "req-000001", tasks: 1 }), 20, instant(scene.now));
  scene.step(["n-1", "n-2", "n-3"]);
  assert.equal(facts(scene).obstacle?._tag, "CommandInDoubt");
  for (let i = 0; i < 6; i++) scene.step();
  assert.equal(facts(scene).obstacle, null);
});

test("a gang that is being assembled, or saves, stands against a handoff; one that runs doesn't", () => {
  const scene = new ClusterFixture(EAST);
  scene.s.jobReleased(spec({ id: GANG, kind: "gang", tasks: 3, cpus: 4 }), 20, instant(scene.now));
  for (let i = 0; i < 4; i++) scene.step();
  const shows = (state: TaskState): string | undefined => {
    for (const tasks of scene.tasks.values())
      for (const [key, task] of tasks) tasks.set(key, { ...task, state });
    for (const { id } of EAST) scene.report(id);
    return facts(scene).obstacle?._tag;
  };
  assert.equal(scene.live().length, 3);
  assert.equal(shows("running"), undefined);
  assert.equal(shows("fetching"), "GangAssembling");
  assert.equal(shows("waiting"), "GangAssembling");
  assert.equal(shows("saving"), "GangSaving");
});

test("a machine that hasn't reported under the present token stands against a handoff; one on its way back doesn't", () => {
  const scene = new ClusterFixture(EAST);
  scene.step();
  const term = {
    number: 2,
    leaderRevision: 10,
    leader: "a",
    members: [{ name: "a", incarnation: 1, zone: "east" }],
  };
  scene.s.renewTerm(term, instant(scene.now));
  assert.equal(facts(scene).fenced, false);
  machine(scene, "n-3").releaseRequestedAt = instant(scene.now);
  assert.equal(facts(scene).machines, 2);
});
