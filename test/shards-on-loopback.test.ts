/**
 * Three controller processes on loopback with shards enabled, against fakes: moves under load, refusals, and restarts of
 * the source, the target or the leader during a move. The workers' histories show whether a task was killed or ran twice.
 */
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { until } from "./controller-process.js";
import { LoopbackCluster, type ControllerName, CONTROLLER_NAMES } from "./loopback-cluster.js";
import { historyViolations } from "./worker-history.js";

const cluster = new LoopbackCluster();
const { state, cloud } = cluster;
before(() => cluster.start(6));
after(() => cluster.stop());

const GANG_FIELDS = { shape: "ensemble", chores: 2, vcpus: 2 };
const SERVICE_FIELDS = { shape: "daemon", urgency: "critical", chores: 1 };
const otherThan = (owner: string | null): ControllerName => CONTROLLER_NAMES.find((name) => name !== owner)!;

test("shards are moved under load, and no task is killed or runs twice", async () => {
  await cluster.submit("req-000019", SERVICE_FIELDS);
  await cluster.submit("req-000029", { ...SERVICE_FIELDS, vcpus: 2 });
  await until(
    "the services run",
    async () =>
      (await cluster.jobStatus("req-000019")) === "running" &&
      (await cluster.jobStatus("req-000029")) === "running",
  );
  let moved = 0;
  for (let round = 0; round < 6; round++) {
    await cluster.submit(`req-0001${round}1`, { chores: 8 });
    await cluster.submit(`req-0001${round}8`, { chores: 4 });
    await cluster.submit(`req-0001${round}2`, GANG_FIELDS);
    const shards = await cluster.shardsWithMachines();
    const shard = shards[round % shards.length]!;
    const target = otherThan(shard.owner);
    const at = CONTROLLER_NAMES[round % CONTROLLER_NAMES.length]!;
    const { code, stdout, stderr } = await cluster.runShardsCommand(at, "move", shard.shard, target);
    if (code === 0) {
      moved++;
      assert.match(stdout, /is owned by/);
    } else if (stderr.includes(`${target} owns shard ${shard.shard} already`)) {
      // the rebalancer made the same move after the listing: then the target has to be the owner now
      const listed = (await cluster.listShards()).shards.find((other) => other.shard === shard.shard);
      assert.equal(listed?.owner, target);
    } else
      assert.match(
        stderr,
        /gang|no answer|not answered|did not answer|does not lead|term changed|not in force/,
      );
  }
  assert.ok(moved > 0, "no move succeeded");
  for (let round = 0; round < 6; round++)
    for (const kind of [1, 2, 8])
      await until(
        `req-0001${round}${kind} done`,
        async () => (await cluster.jobStatus(`req-0001${round}${kind}`)) === "done",
      );
  for (const service of ["req-000019", "req-000029"])
    assert.equal(await cluster.jobStatus(service), "running");
  assert.deepEqual(historyViolations(cloud.taskEvents), []);
  const owners = [...state.rows].filter(([key]) => key.startsWith("shards/owner/"));
  assert.ok(owners.length > 0 && owners.every(([, { value }]) => !("phase" in (value as object))));
});

test("a command that can't be carried out exits with 1 and says why, wrong usage exits with 2", async () => {
  const [shard] = await cluster.shardsWithMachines();
  const bad: [string[], number, RegExp][] = [
    [["move", "east.99", "north"], 1, /there is no shard east\.99/],
    [["move", "nowhere.01", "north"], 1, /there is no shard nowhere\.01/],
    [["move", shard!.shard, "nobody"], 1, /there is no controller nobody/],
    [["move", shard!.shard, otherThan(shard!.owner), "--epoch", "77"], 1, /is in epoch \d+, not 77/],
    [["move", shard!.shard, shard!.owner!], 1, /owns shard .* already/],
    [["drain", "nobody"], 1, /there is no controller nobody/],
    [["cancel", "east.01"], 1, /no handoff or drain of east\.01/],
    [["cancel", "nobody"], 1, /no handoff or drain of nobody/],
    [["move", shard!.shard], 2, /missing required argument/],
    [["move", shard!.shard, "north", "--epoch", "first"], 2, /a count is wanted/],
    [["split", "east.01"], 2, /unknown command|too many arguments/],
  ];
  for (const [args, code, expected] of bad) {
    const ended = await cluster.runShardsCommand("north", ...args);
    assert.equal(ended.code, code, `${args.join(" ")}: ${ended.stderr}`);
    assert.match(ended.stderr, expected);
  }
});

test("a drained controller has no machines, and cancelling ends the drain", async () => {
  const { code, stderr } = await cluster.runShardsCommand("south", "drain", "inland", "--wait", "120");
  assert.equal(code, 0, stderr);
  const listing = await cluster.listShards("inland");
  const inland = listing.controllers.find((c) => c.name === "inland")!;
  assert.deepEqual([inland.machines, inland.draining], [0, true]);
  const [shard] = await cluster.shardsWithMachines();
  const refused = await cluster.runShardsCommand("north", "move", shard!.shard, "inland");
  assert.match(refused.stderr, /inland is being drained/);
  assert.equal((await cluster.runShardsCommand("north", "cancel", "inland")).code, 0);
  await until(
    "the drain is over",
    async () => !(await cluster.listShards()).controllers.some((c) => c.draining),
  );
});

test("nothing is moved while a controller has shards disabled; enabling them again needs no repair", async () => {
  const [shard] = await cluster.shardsWithMachines();
  cluster.restart("inland", false);
  await cluster.untilShardsInForce(false);
  const refused = await cluster.runShardsCommand("north", "move", shard!.shard, otherThan(shard!.owner));
  assert.equal(refused.code, 1);
  assert.match(refused.stderr, /not every controller of the term uses them/);
  await cluster.submit("req-000301", { chores: 8 });
  await until("the array is done", async () => (await cluster.jobStatus("req-000301")) === "done");
  cluster.restart("inland");
  await cluster.untilShardsInForce();
  await until("every shard has an owner", async () =>
    (await cluster.shardsWithMachines()).every((s) => s.owner !== null),
  );
  assert.deepEqual(historyViolations(cloud.taskEvents), []);
});

/** Which write of the shard's record to hold back, so that the handoff stays in this phase. */
const IS_HELD_WRITE = {
  draining: (value: ShardRecord) => value.phase === "released",
  released: (value: ShardRecord) => value.phase === undefined && value.epoch > 1,
} as const;
interface ShardRecord {
  readonly epoch: number;
  readonly phase?: string;
}

let arrayCount = 0;
for (const heldPhase of ["draining", "released"] as const)
  for (const victim of ["source", "target", "leader"] as const)
    test(`the ${victim} restarts while a shard is ${heldPhase}: an array runs once, and the handoff ends`, async () => {
      const arrayRef = `req-0004${arrayCount++}8`;
      const shards = await cluster.shardsWithMachines();
      const shard = shards[arrayCount % shards.length]!;
      const key = `shards/owner/${shard.shard}`;
      const target = otherThan(shard.owner);
      const leader = (await cluster.listShards()).leader as ControllerName;
      const restarted =
        victim === "source" ? (shard.owner as ControllerName) : victim === "target" ? target : leader;
      const askedController = CONTROLLER_NAMES.find((name) => name !== restarted)!;
      await cluster.submit(arrayRef, { chores: 8 });
      await until("a task of the array was started", () =>
        cloud.taskEvents.some((event) => event.startsWith(`start ${arrayRef}/`)),
      );
      state.failsWrite = (written, value) =>
        written === key && IS_HELD_WRITE[heldPhase](value as ShardRecord);
      const moving = cluster.runShardsCommand(askedController, "move", shard.shard, target, "--wait", "5");
      const phase = (): string | undefined => (state.rows.get(key)?.value as ShardRecord | undefined)?.phase;
      let isOver = false;
      void moving.then(() => (isOver = true));
      await until("the handoff is held, or was refused", () => phase() === heldPhase || isOver);
      cluster.restart(restarted);
      state.failsWrite = () => false;
      await moving;
      await cluster.untilShardsInForce(true, askedController);
      await until("no handoff is left", async () =>
        (await cluster.listShards(askedController)).shards.every(
          (s) => s.state === "owned" || s.state === "default",
        ),
      );
      await until("the array is done", async () => (await cluster.jobStatus(arrayRef)) === "done");
      for (const service of ["req-000019", "req-000029"])
        assert.equal(await cluster.jobStatus(service), "running");
      assert.deepEqual(historyViolations(cloud.taskEvents), []);
    });
