/**
 * During an upgrade the version in production and this one share the state service and exchange messages. Guards
 * against changes after which either can't read, or misreads, what the other writes.
 */
import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import { test } from "node:test";
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
  acceptanceTimeOf,
  encodeJobRecord,
  parseSubmission,
  decodeJobRecord,
  releaseTimeOf,
  toMachineTypes,
  parseMachineTypes,
} from "../src/io/codec.js";
import { syncRequestCodec } from "../src/io/peer-codec.js";
import { decodeTerm, encodeTerm } from "../src/io/record-codec.js";
import { MachineRecordStore } from "../src/service/leader/machine-record-store.js";
import { fromFragments, fragmentLimits, toFragments } from "../src/service/members/update-relay.js";
import { type MessageType, toAvroNames, toCodeNames, toJobSpecNames } from "./wire-names.js";
import {
  type Json,
  codecsByAvroName,
  productionCommit,
  readKeptFile,
  productionMessages,
  productionReadError,
  productionUpdates,
  jsonClone,
  productionSchemas,
  productionTypes,
  productionRecords,
  productionRecordsUnder,
} from "./production-release.js";
import { present } from "./present.js";

test("the kept files come from the version that deploy/service.toml names", () => {
  const deployed = readFileSync(new URL("../../../deploy/service.toml", import.meta.url), "utf8");
  for (const file of ["messages", "records", "schemas"])
    assert.equal(readKeptFile(file).commit, productionCommit);
  assert.equal(/^production = "([0-9a-f]{40})"$/m.exec(deployed)?.[1], productionCommit);
});

test("the kept records match the kept schemas", () => {
  for (const { key, value } of productionRecords) assert.equal(productionReadError(key, value), null);
  for (const { key, value } of productionUpdates.flatMap((n) => n.pieces))
    assert.equal(productionReadError(key, value), null);
  for (const prefix of Object.keys(productionSchemas.records))
    assert.ok(productionRecordsUnder(prefix).length > 0 || prefix === "news/", `no record of ${prefix}`);
});

test("records of production decode to the same fields, and encode to the same record", () => {
  for (const { key, value, meaning } of productionRecordsUnder<Json>(keys.jobs)) {
    const spec = decodeJobRecord(key.slice(keys.jobs.length), value);
    assert.ok(spec !== null, key);
    const read = Object.entries(spec).map(([name, x]) => [
      name,
      Duration.isDuration(x) ? Duration.toMillis(x) : x,
    ]);
    assert.deepEqual(Object.fromEntries(read), { ...toJobSpecNames(present(meaning)), dependsOn: [] });
    assert.equal(present(acceptanceTimeOf(value)).getTime(), value["accepted_ms"]);
    assert.equal(releaseTimeOf(value), null);
    // this version encodes them to the same record
    const { accepted_ms: accepted, ...submission } = value;
    const parsed = parseSubmission(JSON.stringify(submission));
    assert.ok(typeof parsed !== "string");
    assert.deepEqual(encodeJobRecord(parsed.wire, new Date(accepted as number)), value);
  }
  for (const { key, value } of productionRecordsUnder<CommitRecord>("commit/")) {
    assert.equal(keys.commit(key.slice("commit/".length)), key);
    assert.ok(value.outcome === "done" || value.outcome === "cancelled");
  }
  for (const { key, value } of productionRecordsUnder<RangesRecord>(keys.ranges)) {
    const [, id, writer, window] = key.split("/");
    assert.equal(keys.rangesOf(present(id), present(writer), Number(window)), key);
    assert.deepEqual(RangeSet.of(value.ranges).ranges(), value.ranges);
  }
  for (const { key, value } of productionRecordsUnder<MachinesRecord>(keys.machines)) {
    const recordStore = new MachineRecordStore();
    recordStore.add(key, value.machines);
    const [first, ...rest] = Object.keys(value.machines);
    recordStore.remove(present(first));
    const remaining = Object.fromEntries(rest.map((id) => [id, present(value.machines[id])]));
    const [rewrite] = recordStore.pendingRewrites(1);
    assert.deepEqual(present(rewrite).machines, rest.length === 0 ? null : remaining);
    assert.equal(present(rewrite).key, key);
  }
  for (const { key, value } of productionRecordsUnder<RentalRecord>(keys.rentals))
    assert.equal(keys.rental(key.slice(keys.rentals.length)), key, JSON.stringify(value));
  for (const { value: stored } of productionRecordsUnder<object>(keys.term)) {
    const value = decodeTerm(stored);
    assert.deepEqual(encodeTerm(value), stored);
    assert.deepEqual(
      ownerOf({ ...value, members: value.members.slice(0, 1) }, "n-1", "east"),
      value.members[0],
    );
    assert.ok(value.members.some((member) => member.name === value.leader));
  }
  for (const { value } of productionRecordsUnder<unknown[]>(keys.types)) {
    const rows = parseMachineTypes({ builds: value });
    assert.ok(rows !== null);
    assert.deepEqual(
      toMachineTypes(rows).map((type) => [
        type.name,
        type.cpus,
        type.memoryGb,
        type.price,
        type.spotPrice,
        Duration.toMillis(type.bootTime),
      ]),
      [["small", 4, 8, 1, 0.3, 1000]],
    );
  }
});

test("messages of production, and updates in the state service, decode to the same fields", () => {
  for (const type of Object.keys(codecsByAvroName) as MessageType[])
    assert.ok(
      productionMessages.some((m) => m.type === type),
      type,
    );
  for (const { type, data, meaning } of productionMessages)
    assert.deepEqual(
      toAvroNames(type, codecsByAvroName[type].decode(Buffer.from(data, "base64"))),
      meaning,
      type,
    );
  assert.deepEqual(
    productionUpdates.map((n) => n.pieces.length),
    [1, 2],
  );
  for (const { pieces, trimmed, meaning } of productionUpdates) {
    const decoded = fromFragments(pieces.map((p) => p.value));
    assert.ok(decoded !== null);
    const sync = toAvroNames("Sync", jsonClone(decoded));
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

test("messages of this version decode to the same fields in production", () => {
  for (const { type, meaning } of productionMessages) {
    const bytes = codecsByAvroName[type].encode(toCodeNames(type, meaning));
    assert.deepEqual(jsonClone(productionTypes[type].fromBuffer(bytes)), meaning, type);
  }
  // an incomplete update has mark -1, which production reads in the same way
  const sync = present(
    productionMessages.find((m) => m.type === "Sync" && (m.meaning["mark"] as number) >= 0),
  ).meaning;
  const incomplete = productionTypes.Sync.fromBuffer(
    syncRequestCodec.encode(toCodeNames("Sync", { ...sync, mark: -1 }) as never),
  ) as Json;
  assert.equal(incomplete["mark"], -1);
  // production joins fragments in order, whatever their size
  for (const limits of [fragmentLimits(16, 16), fragmentLimits(2, 16)]) {
    const pieces = present(toFragments(toCodeNames("Sync", sync) as never, limits));
    const whole = Buffer.concat(pieces.map((p) => Buffer.from(p.data, "base64")));
    for (const [i, p] of pieces.entries()) {
      assert.equal(productionReadError(keys.memberUpdate("north", i), p), null);
      assert.equal(p.of, pieces.length);
    }
    assert.deepEqual(jsonClone(productionTypes.Sync.fromBuffer(whole)), sync);
  }
});

const heartbeatWithExitedTasks = (tasks: number, sequence: number): Heartbeat => ({
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

test("production reads ranges and machine records of this version, also split ones", () => {
  const partition = new WorkerPartition("north", 100, Duration.zero);
  partition.recordHeartbeat(heartbeatWithExitedTasks(40, 1), instant(0));
  for (const [seq, result] of [
    [2, "failed"],
    [3, "stored"],
  ] as const) {
    const writes = partition.finishes.beginWrites("north.7", 16, instant(seq), () => true);
    const puts = writes.flatMap((write) => write.puts);
    assert.ok(puts.length > 1);
    for (const { key, ranges } of puts) {
      assert.equal(productionReadError(key, { ranges }), null);
      // production takes the job id from the second part of the key
      assert.equal(key.split("/")[1], "req-000001");
      assert.equal(key.split("/").length, 4);
    }
    for (const write of writes) partition.finishes.writeAnswered(write, result, instant(seq));
  }
  const [largest] = productionRecordsUnder<MachinesRecord>(keys.machines).sort(
    (a, b) => Object.keys(b.value.machines).length - Object.keys(a.value.machines).length,
  );
  const { machines } = present(largest).value;
  const recordStore = new MachineRecordStore();
  recordStore.add(present(largest).key, machines);
  const [gone, ...ids] = Object.keys(machines);
  recordStore.remove(present(gone));
  let n = 0;
  const [split] = recordStore.pendingRewrites(6, {
    valueBytes: 900,
    txnBytes: 50_000,
    newKey: () => keys.machinesOf(`5-${++n}`),
  });
  assert.equal(present(split).machines, null);
  assert.ok(present(split).pieces.length > 1);
  for (const p of present(split).pieces)
    assert.equal(productionReadError(p.key, { machines: p.machines }), null);
  // production merges all machine records that it lists
  assert.deepEqual(
    Object.assign({}, ...present(split).pieces.map((p) => p.machines)),
    Object.fromEntries(ids.map((id) => [id, machines[id]])),
  );
});

test("production neither lists, watches nor reads the keys that this version added", () => {
  const { prefixes, single, byId } = productionSchemas.keys;
  const addedKeys = [keys.blockedJobs, keys.blockedJob("req-000001"), keys.fanins, keys.fanin("req-000001")];
  const sharedKeys: string[] = [
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
  for (const key of addedKeys) {
    for (const prefix of [...prefixes, ...byId]) assert.ok(!key.startsWith(prefix), `${key} under ${prefix}`);
    assert.ok(!single.includes(key), key);
  }
  for (const key of sharedKeys)
    assert.ok(single.includes(key) || [...prefixes, ...byId].some((p) => key.startsWith(p)), key);
  // every key is in one of the two lists above, but for one prefix that covers both and that only this version lists
  const names = Object.values(keys).map((x) =>
    typeof x === "string" ? x : (x as (...args: unknown[]) => string)("req-000001", "north.7", 0),
  );
  const knownPrefixes = [...addedKeys, ...sharedKeys].map((key) => key.split("/")[0]);
  for (const name of names)
    assert.ok(knownPrefixes.includes(present(name.split("/")[0])) || name === keys.unfinished, name);
});
