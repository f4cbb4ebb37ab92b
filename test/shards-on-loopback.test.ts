/**
 * Three real controllers on loopback with shards on, against stand-ins: moves back and forth under load, refusals, and ends of
 * source and target in the middle of a move. A checker reads the workers' histories.
 */
import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import type { ShardListing } from "../src/service/shards/shard-operator.js";
import { freePort, MAIN, until, writeSettings } from "./controller-process.js";
import { CloudStandIn, StateStandIn } from "./standins.js";
import { checkHistory } from "./worker-history.js";

const NAMES = ["north", "south", "inland"] as const;
type Name = (typeof NAMES)[number];

interface Controller {
  readonly name: Name;
  readonly front: string;
  readonly operators: string;
  readonly config: string;
  readonly settings: string;
  process: ChildProcess | null;
}

const state = new StateStandIn();
const cloud = new CloudStandIn(() => fronts());
const controllers = new Map<Name, Controller>();
const fronts = (): string => [...controllers.values()].map((c) => c.front).join(",");

const start = (name: Name): void => {
  const controller = controllers.get(name)!;
  const args = [MAIN, "--config", controller.config, "--settings", controller.settings];
  controller.process = spawn(process.execPath, args, {
    stdio: ["ignore", "ignore", "inherit"],
    env: { ...process.env, LOG_LEVEL: "error" },
  });
};
const kill = (name: Name): void => void controllers.get(name)!.process?.kill("SIGKILL");

interface Ended {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}
/** Runs the command line against one controller. */
const cli = (at: Name, ...args: string[]): Promise<Ended> =>
  new Promise((done) => {
    const socket = controllers.get(at)!.operators;
    const child = spawn(process.execPath, [MAIN, "shards", ...args, "--at", socket]);
    let stdout = "";
    let stderr = "";
    child.stdout.on("data", (chunk: Buffer) => (stdout += chunk.toString()));
    child.stderr.on("data", (chunk: Buffer) => (stderr += chunk.toString()));
    child.on("close", (code) => done({ code: code ?? -1, stdout, stderr }));
  });
const list = async (at: Name = "north"): Promise<ShardListing> => {
  const { code, stdout, stderr } = await cli(at, "list", "--json");
  assert.equal(code, 0, stderr);
  return JSON.parse(stdout) as ShardListing;
};

const ask = async (
  method: string,
  path: string,
  body?: unknown,
): Promise<[number, Record<string, unknown>]> => {
  for (const { front } of controllers.values())
    try {
      const sent = body === undefined ? {} : { body: JSON.stringify(body) };
      const response = await fetch(`http://${front}${path}`, { method, ...sent });
      if (response.status < 500) return [response.status, (await response.json()) as Record<string, unknown>];
    } catch {
      // it is down: the next one
    }
  return [503, {}];
};
const job = (ref: string, more: object = {}): object => ({
  ...{
    ref,
    roster: "maps",
    crew: "red",
    shape: "array",
    urgency: "normal",
    chores: 4,
    vcpus: 1,
    gpus: 0,
    mem_gb: 1,
  },
  ...{ bundle: "img", image_gb: 0.1, together: false, apart: false, loaners: false },
  ...{ expected_s: 1, bookmark_s: 0, stash_s: 0 },
  ...more,
});
const submit = (ref: string, more: object = {}): Promise<void> =>
  until(`${ref} accepted`, async () =>
    [200, 201].includes((await ask("POST", "/v2/runs", job(ref, more)))[0]),
  );
const status = async (ref: string) => (await ask("GET", `/v2/runs/${ref}`))[1]["status"];

before(async () => {
  await state.start();
  await cloud.start();
  cloud.capacity = 6;
  const peers = new Map<Name, string>();
  for (const name of NAMES) peers.set(name, `127.0.0.1:${await freePort()}`);
  for (const name of NAMES) {
    const front = `127.0.0.1:${await freePort()}`;
    const operators = `127.0.0.1:${await freePort()}`;
    const settings = join(mkdtempSync(join(tmpdir(), "indigowick-")), "own.json");
    writeFileSync(
      settings,
      JSON.stringify({ idle_boots: 100, shards: { enabled: true }, operators_socket: operators }),
    );
    const seeds = NAMES.filter((other) => other !== name);
    const config = writeSettings({
      member: name,
      domain: "east",
      front,
      peer_bind: peers.get(name),
      seeds: seeds.map((member) => ({ member, domain: "east", addr: peers.get(member) })),
      external: { cloud: cloud.addr, state: state.addr },
      params: {
        initial_size: 3,
        zones: ["east"],
        teams: [{ name: "red", cpus: 16, cpus_max: 24, gpus: 0, gpus_max: 0 }],
        objectives: [],
        workers: { report_s: 0.2, lease_s: 10, cancel_s: 30 },
        state: { rps: 1000, write_rps: 1000, value_kb: 16, txn_ops: 16 },
        cloud: { rps: 50, list_lag_s: 1 },
        machine_limits: { core_share: 1, ram_mb: 200, max_connections: 1000 },
      },
    });
    controllers.set(name, { name, front, operators, config, settings, process: null });
  }
  for (const name of NAMES) start(name);
  await until("all are in a term with shards", async () => {
    const listing = await list();
    return listing.inForce && listing.controllers.length === NAMES.length;
  });
});
after(() => {
  for (const name of NAMES) kill(name);
  cloud.stop();
  state.stop();
});

const GANG = { shape: "ensemble", chores: 2, vcpus: 2 };
const SERVICE = { shape: "daemon", urgency: "critical", chores: 1 };
/** Shards that have machines, with their owners. */
const busyShards = async () => (await list()).shards.filter((shard) => shard.machines > 0);
const other = (owner: string | null): Name => NAMES.find((name) => name !== owner)!;

test("shards move back and forth under load: no task is killed, none runs twice", async () => {
  await submit("req-000019", SERVICE);
  await submit("req-000029", { ...SERVICE, vcpus: 2 });
  await until(
    "the services run",
    async () => (await status("req-000019")) === "running" && (await status("req-000029")) === "running",
  );
  let moved = 0;
  for (let round = 0; round < 6; round++) {
    await submit(`req-0001${round}1`, { chores: 8 });
    await submit(`req-0001${round}2`, GANG);
    const shards = await busyShards();
    const shard = shards[round % shards.length]!;
    const { code, stdout, stderr } = await cli(
      NAMES[round % NAMES.length]!,
      "move",
      shard.shard,
      other(shard.owner),
    );
    if (code === 0) {
      moved++;
      assert.match(stdout, /is owned by/);
    } else assert.match(stderr, /gang|no answer|not answered/);
  }
  assert.ok(moved > 0, "not a single move");
  for (let round = 0; round < 6; round++)
    for (const kind of [1, 2])
      await until(
        `req-0001${round}${kind} done`,
        async () => (await status(`req-0001${round}${kind}`)) === "done",
      );
  for (const service of ["req-000019", "req-000029"]) assert.equal(await status(service), "running");
  assert.deepEqual(checkHistory(cloud.events), []);
  const owners = [...state.rows].filter(([key]) => key.startsWith("shards/owner/"));
  assert.ok(owners.length > 0 && owners.every(([, { value }]) => !("phase" in (value as object))));
});

test("what can't be moved is refused with a sentence, and wrong use has another code", async () => {
  const [shard] = await busyShards();
  const bad: [string[], number, RegExp][] = [
    [["move", "east.99", "north"], 1, /there is no shard east\.99/],
    [["move", "nowhere.01", "north"], 1, /there is no shard nowhere\.01/],
    [["move", shard!.shard, "nobody"], 1, /there is no controller nobody/],
    [["move", shard!.shard, other(shard!.owner), "--epoch", "77"], 1, /is in epoch \d+, not 77/],
    [["move", shard!.shard, shard!.owner!], 1, /owns shard .* already/],
    [["drain", "nobody"], 1, /there is no controller nobody/],
    [["cancel", "east.01"], 1, /no handoff or drain of east\.01/],
    [["cancel", "nobody"], 1, /no handoff or drain of nobody/],
    [["move", shard!.shard], 2, /missing required argument/],
    [["move", shard!.shard, "north", "--epoch", "first"], 2, /a count is wanted/],
    [["split", "east.01"], 2, /unknown command|too many arguments/],
  ];
  for (const [args, code, expected] of bad) {
    const ended = await cli("north", ...args);
    assert.equal(ended.code, code, `${args.join(" ")}: ${ended.stderr}`);
    assert.match(ended.stderr, expected);
  }
});

test("a drained controller has no machines left, and cancelling ends the drain", async () => {
  const { code, stderr } = await cli("south", "drain", "inland", "--wait", "120");
  assert.equal(code, 0, stderr);
  const listing = await list("inland");
  const inland = listing.controllers.find((c) => c.name === "inland")!;
  assert.deepEqual([inland.machines, inland.draining], [0, true]);
  const [shard] = await busyShards();
  const refused = await cli("north", "move", shard!.shard, "inland");
  assert.match(refused.stderr, /inland is being drained/);
  assert.equal((await cli("north", "cancel", "inland")).code, 0);
  await until("the drain is over", async () => !(await list()).controllers.some((c) => c.draining));
});

test("beside a controller without shards nothing is moved, and the way back needs no repair", async () => {
  const before = await busyShards();
  const [shard] = before;
  const inland = controllers.get("inland")!;
  const withShards = inland.settings;
  kill("inland");
  controllers.set("inland", { ...inland, settings: writeSettings({ idle_boots: 100 }) });
  start("inland");
  await until("shards are not in force", async () => {
    const listing = await list();
    return !listing.inForce && listing.controllers.length === NAMES.length;
  });
  const refused = await cli("north", "move", shard!.shard, other(shard!.owner));
  assert.equal(refused.code, 1);
  assert.match(refused.stderr, /not every controller of the term uses them/);
  await submit("req-000301", { chores: 8 });
  await until("the array is done", async () => (await status("req-000301")) === "done");
  kill("inland");
  controllers.set("inland", { ...inland, settings: withShards });
  start("inland");
  await until("shards are in force again", async () => {
    const listing = await list();
    return listing.inForce && listing.controllers.length === NAMES.length;
  });
  await until("every shard has an owner", async () => (await busyShards()).every((s) => s.owner !== null));
  assert.deepEqual(checkHistory(cloud.events), []);
});

test("source, target and leader end in the middle of moves: every job is done once, and every handoff ends", async () => {
  for (const [round, victim] of (["source", "target", "leader"] as const).entries()) {
    await submit(`req-0002${round}1`, { chores: 8 });
    const shards = await busyShards();
    const shard = shards[round % shards.length]!;
    const target = other(shard.owner);
    const leader = (await list()).leader as Name;
    const dies = victim === "source" ? (shard.owner as Name) : victim === "target" ? target : leader;
    const at = NAMES.find((name) => name !== dies)!;
    const moving = cli(at, "move", shard.shard, target, "--wait", "5");
    await until("the handoff is under way, or over", async () => {
      const record = state.rows.get(`shards/owner/${shard.shard}`)?.value as { phase?: string } | undefined;
      return record?.phase !== undefined || (await Promise.race([moving.then(() => true), false]));
    });
    kill(dies);
    start(dies);
    await moving;
    await until("all are back", async () => {
      const listing = await list(at);
      return listing.inForce && listing.controllers.length === NAMES.length;
    });
    await until("no handoff is left", async () => {
      const listing = await list(at);
      return listing.shards.every((s) => s.state === "owned" || s.state === "default");
    });
    await until("the array is done", async () => (await status(`req-0002${round}1`)) === "done");
  }
  for (const service of ["req-000019", "req-000029"]) assert.equal(await status(service), "running");
  assert.deepEqual(checkHistory(cloud.events), []);
});
