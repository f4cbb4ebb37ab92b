/**
 * Compatibility with the version in production and with the last release, whose records and messages are kept as bytes.
 * Guards against a change after which this version misreads what they wrote, or writes what they can't read. Stored
 * names are compared with literals, so that a rename in the code can't change one unnoticed.
 */
import assert from "node:assert/strict";
import type { ChildProcess } from "node:child_process";
import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import type http from "node:http";
import { after, test } from "node:test";
import { Ajv } from "ajv";
import avro from "avsc";
import * as Duration from "effect/Duration";
import { RangeSet } from "../src/core/ranges.js";
import { keys, type MachineRecord } from "../src/core/records.js";
import { shardKeys } from "../src/core/shards/shard-keys.js";
import {
  acceptanceTimeOf,
  encodeJobRecord,
  parseSubmission,
  decodeFanin,
  decodeJobRecord,
  releaseTimeOf,
  withReleaseTime,
} from "../src/io/codec.js";
import * as peerCodec from "../src/io/peer-codec.js";
import { type MessageType, toAvroNames, toCodeNames, toJobSpecNames } from "./wire-names.js";
import { MachineRecordStore } from "../src/service/leader/machine-record-store.js";
import { fromFragments } from "../src/service/members/update-relay.js";
import { startController, until, writeSettings } from "./controller-process.js";
import { FakeStateService } from "./fakes/fake-state-service.js";
import { ServiceFixture } from "./service-fixture.js";
import { present } from "./present.js";

type Json = Record<string, unknown>;
interface KeyWrite {
  readonly key: string;
  /** Left out: the key was deleted. */
  readonly value?: unknown;
}
interface KeptRecords {
  readonly records: readonly { key: string; value: Json; meaning?: Json }[];
  readonly transactions: readonly { what: string; writes: readonly KeyWrite[] }[];
  readonly news: readonly { trimmed: boolean; pieces: readonly KeyWrite[]; meaning: Json }[];
}
interface KeptSchemas {
  readonly messages: Record<MessageType, avro.Schema>;
  readonly records: Record<string, object>;
  readonly keys: { prefixes: string[]; single: string[]; byId: string[] };
}
interface KeptMessages {
  readonly messages: readonly { type: MessageType; data: string; meaning: Json }[];
}

const readKeptFile = <T>(name: string): T & { commit: string } =>
  JSON.parse(readFileSync(new URL(`../../../test/${name}.json`, import.meta.url), "utf8")) as T & {
    commit: string;
  };
const LAST_RELEASE_DIR = "releases/ff552d5";
const lastRelease = readKeptFile<KeptRecords>(`${LAST_RELEASE_DIR}/records`);
const { messages } = readKeptFile<KeptMessages>(`${LAST_RELEASE_DIR}/messages`);
const schemas = {
  production: readKeptFile<KeptSchemas>("production/schemas"),
  last: readKeptFile<KeptSchemas>(`${LAST_RELEASE_DIR}/schemas`),
};
type Release = keyof typeof schemas;

const codecs = {
  Sync: peerCodec.syncRequestCodec,
  SyncAnswer: peerCodec.syncResponseCodec,
  Deliver: peerCodec.commandDeliveryCodec,
  Delivered: peerCodec.deliveryReceiptCodec,
  Word: peerCodec.termConfirmationRequestCodec,
  WordAnswer: peerCodec.termConfirmationCodec,
} as unknown as Record<MessageType, peerCodec.Codec<Json>>;
const MESSAGE_TYPES = Object.keys(codecs) as MessageType[];

const ajv = new Ajv({ strict: false });
const compileValidators = (release: Release) =>
  Object.entries(schemas[release].records)
    .map(([prefix, schema]) => ({ prefix, check: ajv.compile(schema) }))
    .sort((a, b) => b.prefix.length - a.prefix.length);
const recordValidators: Record<Release, ReturnType<typeof compileValidators>> = {
  production: compileValidators("production"),
  last: compileValidators("last"),
};
/** Why a release can't read a record; null: it can, or it never reads the key. */
const readError = (release: Release, key: string, value: unknown): string | null => {
  const { prefixes, single, byId } = schemas[release].keys;
  const sees = single.includes(key) || [...prefixes, ...byId].some((p) => key.startsWith(p));
  if (!sees) return release === "last" ? `${key}: unknown to that release` : null;
  const found = recordValidators[release].find(({ prefix }) =>
    prefix.endsWith("/") ? key.startsWith(prefix) : key === prefix,
  );
  if (found === undefined) return `${key}: unknown to that release`;
  return found.check(value) ? null : `${key}: ${ajv.errorsText(found.check.errors)}`;
};
const assertReadableByBoth = (key: string, value: unknown): void => {
  for (const release of ["production", "last"] as const) assert.equal(readError(release, key, value), null);
};
const jsonClone = (value: unknown): unknown => JSON.parse(JSON.stringify(value));
const recordsUnder = (prefix: string) => lastRelease.records.filter((r) => r.key.startsWith(prefix));
const idOf = (key: string): string => present(key.split("/")[1]);

// --- names ----------------------------------------------------------------------------------------------------

test("stored keys have exactly these names", () => {
  const names = Object.fromEntries(
    Object.entries(keys).map(([name, key]) => [
      name,
      typeof key === "string" ? key : (key as (...parts: unknown[]) => string)("req-000001", "north.7", 3),
    ]),
  );
  assert.deepEqual(Object.values(names).sort(), [
    "cluster/",
    "cluster/leader",
    "cluster/member/",
    "cluster/member/req-000001",
    "cluster/term",
    "commit/",
    "commit/req-000001",
    "job",
    "job-fanin/",
    "job-fanin/req-000001",
    "job-waiting/",
    "job-waiting/req-000001",
    "job/",
    "job/req-000001",
    "machines/",
    "machines/req-000001",
    "news/",
    "news/req-000001/north.7",
    "ranges/",
    "ranges/req-000001/north.7/3",
    "rental/",
    "rental/req-000001",
    "types",
  ]);
  // and the last release reads each of them
  const { prefixes, single, byId } = schemas.last.keys;
  for (const key of Object.values(names))
    assert.ok(single.includes(key) || [...prefixes, ...byId].some((p) => key.startsWith(p)), key);
});

test("no earlier version lists, watches or reads the keys of shards", () => {
  for (const key of Object.values(shardKeys).map((x) => (typeof x === "string" ? x : x("north"))))
    for (const release of ["production", "last"] as const) {
      const { prefixes, single, byId } = schemas[release].keys;
      assert.ok(key.startsWith(shardKeys.all), key);
      assert.ok(!single.includes(key) && ![...prefixes, ...byId].some((p) => key.startsWith(p)), key);
    }
});

test("message schemas are those of both releases, with the same names in the same order", () => {
  for (const type of MESSAGE_TYPES)
    for (const release of ["production", "last"] as const)
      assert.deepEqual(
        jsonClone(codecs[type].schema),
        schemas[release].messages[type],
        `${type} of ${release}`,
      );
});

// --- what the last release wrote ------------------------------------------------------------------------------

test("the kept records match the kept schemas", () => {
  for (const file of ["records", "messages", "schemas"])
    assert.equal(readKeptFile(`${LAST_RELEASE_DIR}/${file}`).commit, lastRelease.commit);
  const written = [...lastRelease.records, ...lastRelease.transactions.flatMap((t) => t.writes)];
  for (const { key, value } of written) if (value !== undefined) assertReadableByBoth(key, value);
  for (const { key, value } of lastRelease.news.flatMap((n) => n.pieces)) assertReadableByBoth(key, value);
  for (const prefix of Object.keys(schemas.last.records))
    assert.ok(recordsUnder(prefix).length > 0 || prefix === "news/", `no record of ${prefix}`);
});

test("blocked and released jobs of the last release decode to the same fields, and encode to the same bytes", () => {
  const jobs = [...recordsUnder("job/"), ...recordsUnder("job-waiting/")];
  for (const { key, value, meaning } of jobs) {
    const spec = decodeJobRecord(idOf(key), value);
    assert.ok(spec !== null, key);
    const read = Object.entries(spec).map(([name, x]) => [
      name,
      Duration.isDuration(x) ? Duration.toMillis(x) : x,
    ]);
    assert.deepEqual(
      {
        ...Object.fromEntries(read),
        acceptedMs: present(acceptanceTimeOf(value)).getTime(),
        releasedMs: releaseTimeOf(value)?.getTime() ?? null,
      },
      toJobSpecNames(present(meaning)),
      key,
    );
    // this version encodes them to the same bytes
    const { accepted_ms: accepted, released_ms: released, ...submission } = value;
    const parsed = parseSubmission(JSON.stringify(submission));
    assert.ok(typeof parsed !== "string", key);
    const record = encodeJobRecord(parsed.wire, new Date(accepted as number));
    const written = released === undefined ? record : withReleaseTime(record, new Date(released as number));
    assert.equal(JSON.stringify(written), JSON.stringify(value), key);
  }
  assert.ok(recordsUnder("job-waiting/").every(({ value }) => Array.isArray(value["awaits"])));
  assert.ok(recordsUnder("job/").filter(({ value }) => Number.isInteger(value["released_ms"])).length >= 3);
});

test("fan-in sets, commits, ranges and machine records of the last release decode to the same fields", () => {
  for (const { key, value, meaning } of recordsUnder("job-fanin/"))
    assert.deepEqual(decodeFanin(value), meaning, `${key} as the last release read it`);
  const released = recordsUnder("job-fanin/").filter(({ meaning }) => present(meaning)["released"] === true);
  assert.ok(released.length >= 2 && released.length < recordsUnder("job-fanin/").length);
  const outcomes = recordsUnder("commit/").map(({ value }) => value["outcome"]);
  for (const outcome of ["done", "cancelled"]) assert.ok(outcomes.includes(outcome), outcome);
  for (const { value } of recordsUnder("ranges/")) {
    const ranges = value["ranges"] as [number, number][];
    assert.deepEqual(RangeSet.of(ranges).ranges(), ranges);
  }
  for (const { key, value } of recordsUnder("machines/")) {
    const machines = value["machines"] as Record<string, MachineRecord>;
    const [removedId, ...rest] = Object.keys(machines);
    const recordStore = new MachineRecordStore();
    recordStore.add(key, machines);
    recordStore.remove(present(removedId));
    const remaining =
      rest.length === 0 ? null : Object.fromEntries(rest.map((id) => [id, present(machines[id])]));
    assert.deepEqual(present(recordStore.pendingRewrites(1)[0]).machines, remaining);
  }
});

test("messages and updates of the last release decode to the same fields, and messages encode to the same bytes", () => {
  for (const type of MESSAGE_TYPES)
    assert.ok(
      messages.some((m) => m.type === type),
      type,
    );
  const avroTypeOf = (release: Release, type: MessageType) =>
    avro.Type.forSchema(schemas[release].messages[type], { wrapUnions: false });
  for (const { type, data, meaning } of messages) {
    const bytes = Buffer.from(data, "base64");
    assert.deepEqual(toAvroNames(type, codecs[type].decode(bytes)), meaning, type);
    assert.equal(codecs[type].encode(toCodeNames(type, meaning)).toString("base64"), data, type);
    for (const release of ["production", "last"] as const)
      assert.deepEqual(
        jsonClone(avroTypeOf(release, type).fromBuffer(bytes)),
        meaning,
        `${type} at ${release}`,
      );
  }
  // an incomplete update has mark -1: it says nothing of the workers that it omits
  assert.ok(
    messages.some(
      ({ type, meaning }) => type === "Sync" && meaning["mark"] === -1 && (meaning["seen"] as []).length > 0,
    ),
  );
  assert.deepEqual(
    lastRelease.news.map((n) => n.pieces.length),
    [1, 2, 4],
  );
  for (const { pieces, trimmed, meaning } of lastRelease.news) {
    const decoded = fromFragments(pieces.map((p) => p.value as { of: number; data: string }));
    assert.ok(decoded !== null);
    const sync = toAvroNames("Sync", jsonClone(decoded));
    const { reports, seen, stored, outcomes, mark } = sync;
    const counts = { reports, seen, stored, outcomes };
    const summary = {
      ...Object.fromEntries(Object.entries(counts).map(([name, list]) => [name, (list as unknown[]).length])),
      mark,
      sha256: createHash("sha256").update(JSON.stringify(sync)).digest("hex"),
    };
    assert.deepEqual(trimmed ? summary : sync, meaning);
  }
});

// --- a process of this version on the records of the last release --------------------------------------------

class RecordingStateService extends FakeStateService {
  readonly transactions: KeyWrite[][] = [];
  override async handle(request: http.IncomingMessage): Promise<[number, unknown]> {
    const before = this.revision;
    const keysBefore = [...this.rows.keys()];
    const answer = await super.handle(request);
    if (request.url !== "/commit" || this.revision === before) return answer;
    const written = [...this.rows].filter(([, row]) => row.revision > before);
    const deleted = keysBefore.filter((key) => !this.rows.has(key));
    this.transactions.push([
      ...written.map(([key, row]) => ({ key, value: row.value })),
      ...deleted.map((key) => ({ key })),
    ]);
    return answer;
  }
}

let child: ChildProcess | null = null;
const stopFunctions: (() => void)[] = [];
after(() => {
  child?.kill("SIGKILL");
  for (const stop of stopFunctions) stop();
});

/** What a transaction writes and deletes for one job, by kind of key, so that different jobs can be compared. */
const operationsOn = (writes: readonly KeyWrite[], id: string): string[] =>
  writes
    .filter(({ key }) => key.split("/")[1] === id)
    .map(({ key, value }) => `${value === undefined ? "delete" : "write"} ${key.split("/")[0]}`)
    .sort();
const keptOperations = (what: string): string[] => {
  const { writes } = present(lastRelease.transactions.find((t) => t.what === what));
  return operationsOn(writes, idOf(present(writes[0]).key));
};

test("this version takes over blocked jobs, fan-in sets and released jobs from the last release", async () => {
  const service = new ServiceFixture(new RecordingStateService());
  const { state, cloud } = service;
  await service.start();
  stopFunctions.push(() => service.stop());
  const putRecord = (key: string, fits: (value: Json) => boolean = () => true): void => {
    const found = lastRelease.records.find((r) => r.key === key && fits(r.value));
    assert.ok(found !== undefined, key);
    state.put(key, found.value);
  };
  const joined = (count: number) => (value: Json) => (value["joined"] as string[]).length === count;
  putRecord("types");
  for (const id of ["01", "04", "19"]) putRecord(`commit/req-0000${id}`);
  // released and its fan-in set still there: the leader ended right after the release
  putRecord("job/req-000002");
  putRecord("job-fanin/req-000002", (value) => value["released"] === true);
  // waits for that one and for a parent that has already joined
  putRecord("job-waiting/req-000003");
  putRecord("job-fanin/req-000003", joined(1));
  // all parents are done, but the leader ended before the last one joined
  putRecord("job-waiting/req-000030");
  putRecord("job-fanin/req-000030", joined(1));
  state.put("commit/req-000029", { outcome: "done", tasks: 2 });
  putRecord("job-waiting/req-000031");
  putRecord("job-fanin/req-000031");
  // a parent is cancelled, but the cancel has reached neither this job nor the one that depends on it
  putRecord("job-waiting/req-000010");
  putRecord("job-fanin/req-000010", joined(1));
  putRecord("job-waiting/req-000011");
  putRecord("job-fanin/req-000011", joined(0));
  // the fan-in set of a job that an earlier version committed without deleting the set
  putRecord("commit/req-000005");
  putRecord("job-fanin/req-000005", joined(1));

  const config = writeSettings(
    service.settings("north", {
      teams: [{ name: "red", cpus: 100, cpus_max: 200, gpus: 0, gpus_max: 0 }],
      workers: { report_s: 0.2, lease_s: 10, gang_wait_s: 10, gang_peer_s: 2, cancel_s: 30 },
      state: { rps: 1000, write_rps: 1000, value_kb: 16, txn_ops: 16, next: { value_kb: 1, txn_ops: 6 } },
      machine_limits: { max_connections: 1000 },
    }),
  );
  child = startController(config);
  const statusOf = async (id: string) => (await service.request("GET", `/v2/runs/${id}`)).json["status"];
  for (const id of ["02", "03", "30", "31"])
    await until(`${id} is done`, async () => (await statusOf(`req-0000${id}`)) === "done");
  for (const id of ["10", "11"])
    await until(`${id} is cancelled`, async () => (await statusOf(`req-0000${id}`)) === "aborted");
  const keysLeft = (prefix: string): string[] =>
    [...state.rows.keys()].filter((key) => key.startsWith(prefix));
  await until("all keys of the jobs are deleted", () => keysLeft("job").length === 0);

  // no task starts before the parent's commit, and none of a cancelled job ever starts
  const firstEventIndex = (event: string): number => cloud.taskEvents.findIndex((e) => e.startsWith(event));
  const lastDone = cloud.taskEvents.map((e) => e.startsWith("done req-000002/")).lastIndexOf(true);
  assert.ok(firstEventIndex("start req-000003/") > lastDone && lastDone >= 0);
  for (const id of ["10", "11", "01", "04"]) assert.equal(firstEventIndex(`start req-0000${id}/`), -1, id);

  // each step is the same transaction as in the last release, with keys that both releases read
  const shapes = (id: string): string[][] =>
    state.transactions.map((t) => operationsOn(t, id)).filter((shape) => shape.length > 0);
  const includes = (id: string, what: string): void =>
    assert.ok(
      shapes(id).some((shape) => JSON.stringify(shape) === JSON.stringify(keptOperations(what))),
      `${id}: ${what}: ${JSON.stringify(shapes(id))}`,
    );
  for (const id of ["req-000003", "req-000030", "req-000031"])
    includes(id, "the add that fills a set releases its job");
  for (const id of ["req-000002", "req-000003"]) includes(id, "the commit of a released job deletes its set");
  for (const id of ["req-000010", "req-000011"]) includes(id, "a cancel is passed on to a waiting job");
  for (const { key, value } of state.transactions.flat())
    if (value !== undefined) assertReadableByBoth(key, value);
});
