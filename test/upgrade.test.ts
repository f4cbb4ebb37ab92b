/**
 * During an upgrade the version in production and this one share the state service and talk to one another. What either
 * writes, the other has to read as it was meant. `production/` holds what the version in production writes and reads.
 */
import assert from "node:assert/strict";
import type { ChildProcess } from "node:child_process";
import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import http from "node:http";
import type { AddressInfo } from "node:net";
import { after, test } from "node:test";
import { Ajv, type ValidateFunction } from "ajv";
import avro from "avsc";
import * as Duration from "effect/Duration";
import { WorkerPartition } from "../src/core/members/worker-partition.js";
import { RangeSet } from "../src/core/ranges.js";
import {
  type CommitRecord,
  keys,
  type MachinesRecord,
  type RangesRecord,
  type RentalRecord,
  type Heartbeat,
} from "../src/core/records.js";
import { ownerOf } from "../src/core/leases/term.js";
import { instant } from "../src/core/time.js";
import {
  acceptedOf,
  jobRecord,
  parseSubmission,
  readJob,
  releasedOf,
  typesOf,
  wireTypes,
} from "../src/io/codec.js";
import {
  type Codec,
  commandDeliveryCodec,
  deliveryReceiptCodec,
  syncResponseCodec,
  syncRequestCodec,
  termConfirmationCodec,
  termConfirmationRequestCodec,
} from "../src/io/peer-codec.js";
import { decodeTerm, encodeTerm } from "../src/io/record-codec.js";
import { MachineRecordStore } from "../src/service/leader/machine-record-store.js";
import { fromFragments, fragmentLimits, toFragments } from "../src/service/members/update-relay.js";
import { freePort, startController, until, writeSettings } from "./controller-process.js";
import { FakeCloud } from "./fakes/fake-cloud.js";
import { FakeStateService } from "./fakes/fake-state-service.js";
import { type MessageType, toAvroNames, toCodeNames } from "./wire-names.js";

type Json = Record<string, unknown>;
interface Kept {
  readonly key: string;
  readonly value: unknown;
  readonly meaning?: Json;
}
interface KeptNews {
  readonly trimmed: boolean;
  readonly pieces: readonly { key: string; value: { of: number; data: string } }[];
  readonly meaning: Json;
}

const kept = <T>(name: string): T & { commit: string } =>
  JSON.parse(readFileSync(new URL(`../../../test/production/${name}.json`, import.meta.url), "utf8")) as T & {
    commit: string;
  };
const { records, news, commit } = kept<{ records: Kept[]; news: KeptNews[] }>("records");
const { messages } = kept<{ messages: { type: MessageType; data: string; meaning: Json }[] }>("messages");
const production = kept<{
  messages: Record<MessageType, avro.Schema>;
  records: Record<string, object>;
  keys: { prefixes: string[]; single: string[]; byId: string[] };
}>("schemas");

// --- the version in production, as far as its schemas tell ---------------------------------------------------

const ajv = new Ajv({ strict: false });
const checks = Object.entries(production.records)
  .map(([prefix, schema]): [string, ValidateFunction] => [prefix, ajv.compile(schema)])
  .sort(([a], [b]) => b.length - a.length);
/** What the version in production would say to a record; null: it reads it. */
const misread = (key: string, value: unknown): string | null => {
  const check = checks.find(([prefix]) => (prefix.endsWith("/") ? key.startsWith(prefix) : key === prefix));
  if (check === undefined) return `${key}: not known there`;
  return check[1](value) ? null : `${key}: ${ajv.errorsText(check[1].errors)}`;
};
const theirs = Object.fromEntries(
  Object.entries(production.messages).map(([name, schema]) => [
    name,
    avro.Type.forSchema(schema, { wrapUnions: false }),
  ]),
) as Record<MessageType, avro.Type>;
const ours = {
  Sync: syncRequestCodec,
  SyncAnswer: syncResponseCodec,
  Deliver: commandDeliveryCodec,
  Delivered: deliveryReceiptCodec,
  Word: termConfirmationRequestCodec,
  WordAnswer: termConfirmationCodec,
} as unknown as Record<MessageType, Codec<Json>>;
const plain = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

// --- what production wrote ------------------------------------------------------------------------------------

const of = <T>(prefix: string): { key: string; value: T; meaning?: Json }[] =>
  records.filter((r) => r.key.startsWith(prefix)) as { key: string; value: T; meaning?: Json }[];

test("what is kept comes from the version that deploy/service.toml names", () => {
  const deployed = readFileSync(new URL("../../../deploy/service.toml", import.meta.url), "utf8");
  for (const file of ["messages", "records", "schemas"]) assert.equal(kept(file).commit, commit);
  assert.equal(/^production = "([0-9a-f]{40})"$/m.exec(deployed)?.[1], commit);
});

test("the kept schemas fit the kept records", () => {
  for (const { key, value } of records) assert.equal(misread(key, value), null);
  for (const { key, value } of news.flatMap((n) => n.pieces)) assert.equal(misread(key, value), null);
  for (const prefix of Object.keys(production.records))
    assert.ok(of(prefix).length > 0 || prefix === "news/", `no record of ${prefix}`);
});

test("records of production are read as they were meant", () => {
  for (const { key, value, meaning } of of<Json>(keys.jobs)) {
    const spec = readJob(key.slice(keys.jobs.length), value);
    assert.ok(spec !== null, key);
    const read = Object.entries(spec).map(([name, x]) => [
      name,
      Duration.isDuration(x) ? Duration.toMillis(x) : x,
    ]);
    assert.deepEqual(Object.fromEntries(read), { ...meaning, dependsOn: [] });
    assert.equal(acceptedOf(value)!.getTime(), value["accepted_ms"]);
    assert.equal(releasedOf(value), null);
    // and are what this version would have written, field by field
    const { accepted_ms: accepted, ...submission } = value;
    const parsed = parseSubmission(JSON.stringify(submission));
    assert.ok(typeof parsed !== "string");
    assert.deepEqual(jobRecord(parsed.wire, new Date(accepted as number)), value);
  }
  for (const { key, value } of of<CommitRecord>("commit/")) {
    assert.equal(keys.commit(key.slice("commit/".length)), key);
    assert.ok(value.outcome === "done" || value.outcome === "cancelled");
  }
  for (const { key, value } of of<RangesRecord>(keys.ranges)) {
    const [, id, writer, window] = key.split("/");
    assert.equal(keys.rangesOf(id!, writer!, Number(window)), key);
    assert.deepEqual(RangeSet.of(value.ranges).ranges(), value.ranges);
  }
  for (const { key, value } of of<MachinesRecord>(keys.machines)) {
    const blocks = new MachineRecordStore();
    blocks.add(key, value.machines);
    const [first, ...rest] = Object.keys(value.machines);
    blocks.remove(first!);
    const left = Object.fromEntries(rest.map((id) => [id, value.machines[id]!]));
    const [rewrite] = blocks.changed(1);
    assert.deepEqual(rewrite!.machines, rest.length === 0 ? null : left);
    assert.equal(rewrite!.key, key);
  }
  for (const { key, value } of of<RentalRecord>(keys.rentals))
    assert.equal(keys.rental(key.slice(keys.rentals.length)), key, JSON.stringify(value));
  for (const { value: stored } of of<object>(keys.term)) {
    const value = decodeTerm(stored);
    assert.deepEqual(encodeTerm(value), stored);
    assert.deepEqual(
      ownerOf({ ...value, members: value.members.slice(0, 1) }, "n-1", "east"),
      value.members[0],
    );
    assert.ok(value.members.some((member) => member.name === value.leader));
  }
  for (const { value } of of<unknown[]>(keys.types)) {
    const rows = wireTypes({ builds: value });
    assert.ok(rows !== null);
    assert.deepEqual(
      typesOf(rows).map((type) => [
        type.name,
        type.cpus,
        type.memoryGb,
        type.price,
        type.spotPrice,
        Duration.toMillis(type.boot),
      ]),
      [["small", 4, 8, 1, 0.3, 1000]],
    );
  }
});

test("messages of production are read as they were meant, also news left in the state service", () => {
  for (const type of Object.keys(ours) as MessageType[])
    assert.ok(
      messages.some((m) => m.type === type),
      type,
    );
  for (const { type, data, meaning } of messages)
    assert.deepEqual(toAvroNames(type, ours[type].decode(Buffer.from(data, "base64"))), meaning, type);
  assert.deepEqual(
    news.map((n) => n.pieces.length),
    [1, 2],
  );
  for (const { pieces, trimmed, meaning } of news) {
    const decoded = fromFragments(pieces.map((p) => p.value));
    assert.ok(decoded !== null);
    const sync = toAvroNames("Sync", plain(decoded));
    const { reports, seen, stored, outcomes } = sync;
    assert.deepEqual(
      !trimmed
        ? sync
        : {
            ...Object.fromEntries(
              Object.entries({ reports, seen, stored, outcomes }).map(([name, list]) => [
                name,
                (list as unknown[]).length,
              ]),
            ),
            sha256: createHash("sha256").update(JSON.stringify(sync)).digest("hex"),
          },
      meaning,
    );
  }
});

// --- what this version writes -----------------------------------------------------------------------------------

test("messages of this version mean the same to production", () => {
  for (const { type, meaning } of messages) {
    const bytes = ours[type].encode(toCodeNames(type, meaning));
    assert.deepEqual(plain(theirs[type].fromBuffer(bytes)), meaning, type);
  }
  // a member that couldn't name all workers it answered vouches for nobody; -1 has meant that before
  const sync = messages.find((m) => m.type === "Sync" && (m.meaning["mark"] as number) >= 0)!.meaning;
  const cut = theirs.Sync.fromBuffer(
    syncRequestCodec.encode(toCodeNames("Sync", { ...sync, mark: -1 }) as never),
  ) as Json;
  assert.equal(cut["mark"], -1);
  // production puts pieces together in order, whatever their size
  for (const limits of [fragmentLimits(16, 16), fragmentLimits(2, 16)]) {
    const pieces = toFragments(toCodeNames("Sync", sync) as never, limits)!;
    const whole = Buffer.concat(pieces.map((p) => Buffer.from(p.data, "base64")));
    for (const [i, p] of pieces.entries()) {
      assert.equal(misread(keys.memberUpdate("north", i), p), null);
      assert.equal(p.of, pieces.length);
    }
    assert.deepEqual(plain(theirs.Sync.fromBuffer(whole)), sync);
  }
});

const report = (tasks: number, sequence: number): Heartbeat => ({
  machine: "n-1",
  addr: "127.0.0.1:1",
  type: "small",
  zone: "east",
  spot: false,
  workerEpoch: 1,
  sequence,
  fencingToken: 1,
  reclaimNoticeSeconds: null,
  tasks: Array.from({ length: tasks }, (_, index) => ({
    job: "req-000001",
    index,
    attempt: 1,
    state: "exited",
    exitReason: "done",
  })),
});

test("ranges and records of machines of this version, also split ones, are read by production", () => {
  const part = new WorkerPartition("north", 100, Duration.zero);
  part.recordHeartbeat(report(40, 1), instant(0));
  for (const [seq, result] of [
    [2, "failed"],
    [3, "stored"],
  ] as const) {
    const writings = part.finishes.toStore("north.7", 16, instant(seq), () => true);
    const puts = writings.flatMap((write) => write.puts);
    assert.ok(puts.length > 1);
    for (const { key, ranges } of puts) {
      assert.equal(misread(key, { ranges }), null);
      // production finds the job by the second part of the key
      assert.equal(key.split("/")[1], "req-000001");
      assert.equal(key.split("/").length, 4);
    }
    for (const write of writings) part.finishes.storeAnswered(write, result, instant(seq));
  }
  const [largest] = of<MachinesRecord>(keys.machines).sort(
    (a, b) => Object.keys(b.value.machines).length - Object.keys(a.value.machines).length,
  );
  const { machines } = largest!.value;
  const blocks = new MachineRecordStore();
  blocks.add(largest!.key, machines);
  const [gone, ...ids] = Object.keys(machines);
  blocks.remove(gone!);
  let n = 0;
  const [split] = blocks.changed(6, {
    valueBytes: 900,
    txnBytes: 50_000,
    newKey: () => keys.machinesOf(`5-${++n}`),
  });
  assert.equal(split!.machines, null);
  assert.ok(split!.pieces.length > 1);
  for (const p of split!.pieces) assert.equal(misread(p.key, { machines: p.machines }), null);
  // production adds up all records of machines that it lists
  assert.deepEqual(
    Object.assign({}, ...split!.pieces.map((p) => p.machines)),
    Object.fromEntries(ids.map((id) => [id, machines[id]])),
  );
});

test("production neither lists, watches nor reads the keys that are new", () => {
  const { prefixes, single, byId } = production.keys;
  const fresh = [keys.blockedJobs, keys.blockedJob("req-000001"), keys.fanins, keys.fanin("req-000001")];
  const shared: string[] = [
    keys.cluster,
    keys.leader,
    keys.term,
    keys.members,
    keys.member("north"),
    keys.types,
    keys.jobs,
    keys.job("req-000001"),
    keys.commit("req-000001"),
    keys.ranges,
    keys.rangesOf("req-000001", "north.7", 0),
    keys.machines,
    keys.machinesOf("5-1"),
    keys.memberUpdates,
    keys.memberUpdate("north", 0),
    keys.rentals,
    keys.rental("r-5-1"),
  ];
  for (const key of fresh) {
    for (const prefix of [...prefixes, ...byId]) assert.ok(!key.startsWith(prefix), `${key} under ${prefix}`);
    assert.ok(!single.includes(key), key);
  }
  for (const key of shared)
    assert.ok(single.includes(key) || [...prefixes, ...byId].some((p) => key.startsWith(p)), key);
  // whatever `keys` gains is sorted into one of the two above; one prefix covers both and is only ever listed here
  const names = Object.values(keys).map((x) =>
    typeof x === "string" ? x : (x as (...args: unknown[]) => string)("req-000001", "north.7", 0),
  );
  const known = [...fresh, ...shared].map((key) => key.split("/")[0]);
  for (const name of names) assert.ok(known.includes(name.split("/")[0]!) || name === keys.unfinished, name);
});

// --- one process of this version beside a controller of production that this test plays ----------------------------

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
      const value = plain(theirs[type].fromBuffer(Buffer.concat(chunks))) as Json;
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
      response.end(theirs[answerType].toBuffer(answer));
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
  const [unfinished] = of<Json>(keys.job("req-000003"));
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
  const submission = { ...of<Json>(keys.job("req-000001"))[0]!.value };
  delete submission["accepted_ms"];
  const accept = await ask("POST", "/v2/runs", { ...submission, ref: "req-000051" });
  assert.equal(accept.status, 201);
  const record = state.rows.get(keys.job("req-000051"))!.value as Json;
  assert.deepEqual({ ...submission, ref: "req-000051", accepted_ms: record["accepted_ms"] }, record);
  const tell = async (type: MessageType, answer: MessageType, path: string, value: object) => {
    const response = await fetch(`http://${peer}${path}`, {
      method: "POST",
      body: new Uint8Array(theirs[type].toBuffer(value)),
    });
    assert.equal(response.status, 200);
    return theirs[answer].fromBuffer(Buffer.from(await response.arrayBuffer())) as Json;
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
  for (const { key, value } of mine) assert.equal(misread(key, value), null);
  for (const prefix of ["cluster/", "commit/", "machines/", "rental/", "job/"])
    assert.ok(
      mine.some(({ key }) => key.startsWith(prefix)),
      prefix,
    );
});
