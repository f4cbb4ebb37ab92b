/** One process of this version beside a controller of the version in production, which this test plays. */
import assert from "node:assert/strict";
import type { ChildProcess } from "node:child_process";
import http from "node:http";
import type { AddressInfo } from "node:net";
import { after, test } from "node:test";
import { keys, type MachinesRecord } from "../src/core/records.js";
import { decodeTerm } from "../src/io/record-codec.js";
import { freePort, startController, until, writeSettings } from "./controller-process.js";
import { FakeCloud } from "./fakes/fake-cloud.js";
import { FakeStateService } from "./fakes/fake-state-service.js";
import type { MessageType } from "./wire-names.js";
import {
  type Json,
  misreadByProduction,
  plain,
  productionTypes,
  records,
  recordsUnder,
} from "./production-release.js";

let child: ChildProcess | null = null;
const stops: (() => void)[] = [];
after(() => {
  child?.kill("SIGKILL");
  for (const stop of stops) stop();
});

/** Writes down what is written, by whomever. */
class RecordingState extends FakeStateService {
  readonly puts: { key: string; value: unknown }[] = [];
  override async handle(request: http.IncomingMessage): Promise<[number, unknown]> {
    const before = this.ledger;
    const answer = await super.handle(request);
    if (request.url === "/commit" && this.ledger > before)
      for (const [key, row] of this.rows) if (row.stamp > before) this.puts.push({ key, value: row.value });
    return answer;
  }
}

test("this version serves under a leader of production, and goes on from its records", async () => {
  const state = new RecordingState();
  let front = "";
  const cloud = new FakeCloud(() => front);
  const heard: { type: MessageType; value: Json }[] = [];
  // the leader of production
  const south = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on("data", (c: Buffer) => chunks.push(c));
    request.on("end", () => {
      const [type, answerType] = {
        "/sync": ["Sync", "SyncAnswer"] as const,
        "/deliver": ["Deliver", "Delivered"] as const,
        "/word": ["Word", "WordAnswer"] as const,
      }[request.url ?? ""]!;
      const value = plain(productionTypes[type].fromBuffer(Buffer.concat(chunks))) as Json;
      heard.push({ type, value });
      const answer = {
        SyncAnswer: {
          token: value["token"],
          ok: true,
          mark: 1000 + heard.length,
          version: 1,
          stateOk: true,
          progress: [],
        },
        Delivered: { accepted: false },
        WordAnswer: { noneNewer: true },
      }[answerType];
      response.end(productionTypes[answerType].toBuffer(answer));
    });
  });
  await state.start();
  await cloud.start();
  await new Promise<void>((done) => south.listen(0, "127.0.0.1", done));
  stops.push(
    () => state.stop(),
    () => cloud.stop(),
    () => {
      south.closeAllConnections();
      south.close();
    },
  );
  front = `127.0.0.1:${await freePort()}`;
  const peer = `127.0.0.1:${await freePort()}`;

  // what production left: the last write of each key; its machines have names that the cloud here doesn't give,
  // and nobody answers at their addresses
  const nowhere = (value: MachinesRecord): MachinesRecord => ({
    machines: Object.fromEntries(
      Object.entries(value.machines).map(([id, record]) => [`old-${id}`, { ...record, addr: "127.0.0.1:1" }]),
    ),
  });
  for (const { key, value } of records) {
    if (key.startsWith(keys.cluster)) continue;
    // as it was while two of the jobs were unfinished
    const [kind, id] = key.split("/");
    const open = ["req-000001", "req-000003", "req-000019"].includes(id!);
    if (kind === (open ? "commit" : "job")) continue;
    state.put(key, key.startsWith(keys.machines) ? nowhere(value as MachinesRecord) : value);
  }
  const [unfinished] = recordsUnder<Json>(keys.job("req-000003"));
  state.put(keys.job("req-000050"), { ...unfinished!.value, ref: "req-000050", shape: "array", chores: 40 });
  state.put(keys.rangesOf("req-000050", "south.3.1", 0), { ranges: [[0, 30]] });
  state.put(keys.rangesOf("req-000050", "west.4", 0), { ranges: [[28, 35]] });
  state.put(keys.member("south"), { zone: "east", permit: 1 });
  const incarnation = state.ledger;
  state.put(keys.leader, { member: "south", permit: 1 });
  const term = { token: 4, key: state.ledger, leader: "south" };
  state.put(keys.term, { ...term, members: [{ name: "south", incarnation, zone: "east" }] });

  const config = writeSettings({
    member: "north",
    domain: "east",
    front,
    peer_bind: peer,
    seeds: [{ member: "south", domain: "east", addr: `127.0.0.1:${(south.address() as AddressInfo).port}` }],
    external: { cloud: cloud.addr, state: state.addr },
    params: {
      zones: ["east"],
      teams: [{ name: "red", cpus: 100, cpus_max: 200, gpus: 0, gpus_max: 0 }],
      workers: { report_s: 0.2, lease_s: 10, cancel_s: 30 },
      state: { rps: 1000, write_rps: 1000, value_kb: 16, txn_ops: 16, next: { value_kb: 2, txn_ops: 5 } },
      cloud: { rps: 50, list_lag_s: 1 },
      machine_limits: { max_connections: 1000 },
    },
  });
  const mine = state.puts;
  child = startController(config);
  const ask = async (method: string, path: string, body?: object) => {
    const response = await fetch(`http://${front}${path}`, {
      method,
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    return { status: response.status, json: (await response.json()) as Json };
  };
  const statusOf = async (ref: string) => (await ask("GET", `/v2/runs/${ref}`)).json["status"];

  // a member under the leader of production
  await until("it joined", () => state.rows.has(keys.member("north")));
  const joined = state.rows.get(keys.member("north"))!.stamp;
  const members = [
    { name: "north", incarnation: joined, zone: "east" },
    { name: "south", incarnation, zone: "east" },
  ];
  state.put(keys.term, { ...term, token: 5, members });
  const syncs = () => heard.filter((h) => h.type === "Sync" && h.value["token"] === 5).map((h) => h.value);
  await until("it tells its news and echoes the mark", () =>
    syncs().some((s) => (s["mark"] as number) > 1000),
  );
  await until("users are answered", async () => (await statusOf("req-000050")) === "queued");
  const submission = { ...recordsUnder<Json>(keys.job("req-000001"))[0]!.value };
  delete submission["accepted_ms"];
  const accept = await ask("POST", "/v2/runs", { ...submission, ref: "req-000051" });
  assert.equal(accept.status, 201);
  const record = state.rows.get(keys.job("req-000051"))!.value as Json;
  assert.deepEqual({ ...submission, ref: "req-000051", accepted_ms: record["accepted_ms"] }, record);
  const tell = async (type: MessageType, answer: MessageType, path: string, value: object) => {
    const response = await fetch(`http://${peer}${path}`, {
      method: "POST",
      body: new Uint8Array(productionTypes[type].toBuffer(value)),
    });
    assert.equal(response.status, 200);
    return productionTypes[answer].fromBuffer(Buffer.from(await response.arrayBuffer())) as Json;
  };
  assert.equal((await tell("Word", "WordAnswer", "/word", { token: 5 }))["noneNewer"], true);
  assert.equal((await tell("Word", "WordAnswer", "/word", { token: 4 }))["noneNewer"], false);
  // orders of that leader go out; that nobody answers there is news
  const item = { id: 71, machine: "n-000001", addr: "127.0.0.1:1", session: 1, token: 5_000_000, orders: [] };
  const deliver = { term: { ...term, token: 5, members }, items: [item] };
  await until(
    "it delivers",
    async () => (await tell("Deliver", "Delivered", "/deliver", deliver))["accepted"] === true,
  );
  await until("the outcome is told", () =>
    syncs().some((s) => (s["outcomes"] as Json[]).some((o) => o["id"] === 71 && o["outcome"] === "unsent")),
  );

  // that leader ends; all that it accepted and left goes on
  state.remove(keys.leader);
  state.remove(keys.member("south"));
  for (const ref of ["req-000001", "req-000003", "req-000050", "req-000051"])
    await until(`${ref} done`, async () => (await statusOf(ref)) === "done");
  // it asks for two zones and there is one
  await until(
    "half of the service runs",
    async () => (await ask("GET", "/v2/runs/req-000019")).json["running"] === 1,
  );
  const ran = cloud.events.filter((e) => e.startsWith("start req-000050/"));
  assert.deepEqual(
    ran.sort(),
    [35, 36, 37, 38, 39].map((i) => `start req-000050/${i}`),
  );
  for (const [ref, outcome] of [
    ["req-000002", "done"],
    ["req-000029", "aborted"],
  ])
    assert.equal(await statusOf(ref!), outcome);
  await until(
    "ranges that production left of jobs that were over are swept",
    () => ![...state.rows.keys()].some((key) => /^ranges\/req-00000[24]\//.test(key)),
  );
  const more = { ...submission, ref: "req-000052", chores: 3, vcpus: 4 };
  assert.equal((await ask("POST", "/v2/runs", more)).status, 201);
  await until("it rents", async () => (await statusOf("req-000052")) === "done");
  assert.equal(decodeTerm(state.rows.get(keys.term)!.value).number > 5, true);

  // production comes back as a member: it is told in a way that it knows
  const before = heard.length;
  state.put(keys.member("south"), { zone: "east", permit: 2 });
  await until("a term with both", () => decodeTerm(state.rows.get(keys.term)!.value).members.length === 2);
  const now = decodeTerm(state.rows.get(keys.term)!.value);
  const told = await tell("Sync", "SyncAnswer", "/sync", {
    token: now.number,
    member: "south",
    incarnation: now.members.find((member) => member.name === "south")!.incarnation,
    mark: -1,
    version: -1,
    stateOk: true,
    seen: [],
    reports: [],
    stored: [],
    outcomes: [],
  });
  assert.equal(told["token"], now.number);
  for (const { type } of heard.slice(before))
    assert.ok(type === "Deliver" || type === "Sync" || type === "Word");

  // and all that was written by this version is what production reads
  assert.ok(mine.length > 10);
  for (const { key, value } of mine) assert.equal(misreadByProduction(key, value), null);
  for (const prefix of ["cluster/", "commit/", "machines/", "rental/", "job/"])
    assert.ok(
      mine.some(({ key }) => key.startsWith(prefix)),
      prefix,
    );
});
