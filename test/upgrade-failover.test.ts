/**
 * One process of this version beside a simulated controller of the version in production: as a member under its leader,
 * as its successor, and as the leader of a term with both. Guards against an upgrade that loses jobs that production
 * accepted, or after which production can't read the records.
 */
import assert from "node:assert/strict";
import type { ChildProcess } from "node:child_process";
import http from "node:http";
import type { AddressInfo } from "node:net";
import { after, test } from "node:test";
import { keys, type MachinesRecord } from "../src/core/records.js";
import { decodeTerm } from "../src/io/record-codec.js";
import { startController, until, writeSettings } from "./controller-process.js";
import { FakeStateService } from "./fakes/fake-state-service.js";
import {
  type Json,
  productionReadError,
  jsonClone,
  productionTypes,
  productionRecords,
  productionRecordsUnder,
} from "./production-release.js";
import { ServiceFixture } from "./service-fixture.js";
import type { MessageType } from "./wire-names.js";
import { present } from "./present.js";

let child: ChildProcess | null = null;
const stopFunctions: (() => void)[] = [];
after(() => {
  child?.kill("SIGKILL");
  for (const stop of stopFunctions) stop();
});

/** Records every write, whoever makes it. */
class RecordingStateService extends FakeStateService {
  /** Every write, in order. */
  readonly puts: { key: string; value: unknown }[] = [];
  override async handle(request: http.IncomingMessage): Promise<[number, unknown]> {
    const before = this.revision;
    const answer = await super.handle(request);
    if (request.url === "/commit" && this.revision > before)
      for (const [key, row] of this.rows)
        if (row.revision > before) this.puts.push({ key, value: row.value });
    return answer;
  }
}

/** A simulated leader of the version in production: it accepts updates and rejects deliveries of commands. */
class ProductionLeader {
  readonly received: { type: MessageType; value: Json }[] = [];
  private readonly server = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on("end", () => {
      const [type, answerType] = present(
        {
          "/sync": ["Sync", "SyncAnswer"] as const,
          "/deliver": ["Deliver", "Delivered"] as const,
          "/word": ["Word", "WordAnswer"] as const,
        }[request.url ?? ""],
      );
      const value = jsonClone(productionTypes[type].fromBuffer(Buffer.concat(chunks))) as Json;
      this.received.push({ type, value });
      const answer = {
        SyncAnswer: {
          token: value["token"],
          ok: true,
          mark: 1000 + this.received.length,
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

  async start(): Promise<void> {
    await new Promise<void>((done) => this.server.listen(0, "127.0.0.1", done));
  }
  get addr(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }
  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** The term as production stores it. */
interface StoredTerm {
  readonly token: number;
  readonly key: number;
  readonly leader: string;
  readonly members: readonly { name: string; incarnation: number; zone: string }[];
}

/** A process of this version, the simulated leader of production, and the fakes that both use. */
class UpgradeFixture extends ServiceFixture<RecordingStateService> {
  readonly leader = new ProductionLeader();
  term: StoredTerm = { token: 4, key: 0, leader: "south", members: [] };

  constructor() {
    super(new RecordingStateService());
  }
  override async start(): Promise<void> {
    await super.start();
    await this.leader.start();
  }
  override stop(): void {
    super.stop();
    this.leader.stop();
  }

  async statusOf(ref: string): Promise<unknown> {
    return (await this.request("GET", `/v2/runs/${ref}`)).json["status"];
  }
  /** The updates that the process sent to the leader of production in the term with both. */
  syncRequests(): Json[] {
    return this.leader.received
      .filter(({ type, value }) => type === "Sync" && value["token"] === 5)
      .map(({ value }) => value);
  }
  /** Sends a message of production to the process. */
  async sendMessage(type: MessageType, answer: MessageType, path: string, value: object): Promise<Json> {
    const response = await fetch(`http://${this.peerAddress}${path}`, {
      method: "POST",
      body: new Uint8Array(productionTypes[type].toBuffer(value)),
    });
    assert.equal(response.status, 200);
    return productionTypes[answer].fromBuffer(Buffer.from(await response.arrayBuffer())) as Json;
  }
}

/** The same machines under ids unknown to the fake cloud, at addresses where nothing listens. */
const withUnreachableAddresses = (value: MachinesRecord): MachinesRecord => ({
  machines: Object.fromEntries(
    Object.entries(value.machines).map(([id, record]) => [`old-${id}`, { ...record, addr: "127.0.0.1:1" }]),
  ),
});

/** The submission of a job that production accepted. */
const sampleSubmission = (): Json => {
  const submission = { ...present(productionRecordsUnder<Json>(keys.job("req-000001"))[0]).value };
  delete submission["accepted_ms"];
  return submission;
};

/** Puts the records of production: the last write of each key. */
const putProductionRecords = (state: FakeStateService): void => {
  for (const { key, value } of productionRecords) {
    if (key.startsWith(keys.cluster)) continue;
    // as it was while three of the jobs were unfinished
    const [kind, id] = key.split("/");
    const isUnfinished = id !== undefined && ["req-000001", "req-000003", "req-000019"].includes(id);
    if (kind === (isUnfinished ? "commit" : "job")) continue;
    state.put(key, key.startsWith(keys.machines) ? withUnreachableAddresses(value as MachinesRecord) : value);
  }
  const [unfinished] = productionRecordsUnder<Json>(keys.job("req-000003"));
  state.put(keys.job("req-000050"), {
    ...present(unfinished).value,
    ref: "req-000050",
    shape: "array",
    chores: 40,
  });
  state.put(keys.rangesOf("req-000050", "south.3.1", 0), { ranges: [[0, 30]] });
  state.put(keys.rangesOf("req-000050", "west.4", 0), { ranges: [[28, 35]] });
};

/** Makes the simulated controller of production the leader. */
const putProductionTerm = (upgrade: UpgradeFixture): void => {
  const { state } = upgrade;
  state.put(keys.member("south"), { zone: "east", permit: 1 });
  const incarnation = state.revision;
  state.put(keys.leader, { member: "south", permit: 1 });
  upgrade.term = {
    ...upgrade.term,
    key: state.revision,
    members: [{ name: "south", incarnation, zone: "east" }],
  };
  state.put(keys.term, upgrade.term);
};

const settingsOf = (upgrade: UpgradeFixture): object =>
  upgrade.settings(
    "north",
    {
      teams: [{ name: "red", cpus: 100, cpus_max: 200, gpus: 0, gpus_max: 0 }],
      workers: { report_s: 0.2, lease_s: 10, cancel_s: 30 },
      state: { rps: 1000, write_rps: 1000, value_kb: 16, txn_ops: 16, next: { value_kb: 2, txn_ops: 5 } },
      machine_limits: { max_connections: 1000 },
    },
    [{ member: "south", domain: "east", addr: upgrade.leader.addr }],
  );

const assertServesUnderProductionLeader = async (upgrade: UpgradeFixture): Promise<void> => {
  await until("the process joined", () => upgrade.state.rows.has(keys.member("north")));
  const joined = present(upgrade.state.rows.get(keys.member("north"))).revision;
  upgrade.term = {
    ...upgrade.term,
    token: 5,
    members: [{ name: "north", incarnation: joined, zone: "east" }, ...upgrade.term.members],
  };
  upgrade.state.put(keys.term, upgrade.term);
  await until("the process sends updates with the leader's mark", () =>
    upgrade.syncRequests().some((s) => (s["mark"] as number) > 1000),
  );
  await until("user requests are answered", async () => (await upgrade.statusOf("req-000050")) === "queued");
  const submission = sampleSubmission();
  const accept = await upgrade.request("POST", "/v2/runs", { ...submission, ref: "req-000051" });
  assert.equal(accept.status, 201);
  const record = present(upgrade.state.rows.get(keys.job("req-000051"))).value as Json;
  assert.deepEqual({ ...submission, ref: "req-000051", accepted_ms: record["accepted_ms"] }, record);
  assert.equal((await upgrade.sendMessage("Word", "WordAnswer", "/word", { token: 5 }))["noneNewer"], true);
  assert.equal((await upgrade.sendMessage("Word", "WordAnswer", "/word", { token: 4 }))["noneNewer"], false);
};

const assertDeliversForProduction = async (upgrade: UpgradeFixture): Promise<void> => {
  // the process delivers commands of that leader, and reports to it that the worker could not be reached
  const item = { id: 71, machine: "n-000001", addr: "127.0.0.1:1", session: 1, token: 5_000_000, orders: [] };
  const deliver = { term: upgrade.term, items: [item] };
  await until(
    "the delivery is accepted",
    async () => (await upgrade.sendMessage("Deliver", "Delivered", "/deliver", deliver))["accepted"] === true,
  );
  await until("the result of the delivery is sent", () =>
    upgrade
      .syncRequests()
      .some((s) => (s["outcomes"] as Json[]).some((o) => o["id"] === 71 && o["outcome"] === "unsent")),
  );
};

const assertContinuesFromRecords = async (upgrade: UpgradeFixture): Promise<void> => {
  // that leader ends; this version continues all unfinished jobs
  upgrade.state.remove(keys.leader);
  upgrade.state.remove(keys.member("south"));
  for (const ref of ["req-000001", "req-000003", "req-000050", "req-000051"])
    await until(`${ref} done`, async () => (await upgrade.statusOf(ref)) === "done");
  // the service needs two zones, and there is one
  await until(
    "half of the service runs",
    async () => (await upgrade.request("GET", "/v2/runs/req-000019")).json["running"] === 1,
  );
  const startEvents = upgrade.cloud.taskEvents.filter((event) => event.startsWith("start req-000050/"));
  assert.deepEqual(
    startEvents.sort(),
    [35, 36, 37, 38, 39].map((index) => `start req-000050/${index}`),
  );
  for (const [ref, outcome] of [
    ["req-000002", "done"],
    ["req-000029", "aborted"],
  ])
    assert.equal(await upgrade.statusOf(present(ref)), outcome);
  await until(
    "ranges of jobs that ended under production are deleted",
    () => ![...upgrade.state.rows.keys()].some((key) => /^ranges\/req-00000[24]\//.test(key)),
  );
  // machines rented by production suffice for the next job, so wait until some are released to make this version rent
  await until("idle machines are released", () => upgrade.cloud.machines.size < upgrade.cloud.maxMachines);
  const more = { ...sampleSubmission(), ref: "req-000052", chores: 3, vcpus: 4 };
  assert.equal((await upgrade.request("POST", "/v2/runs", more)).status, 201);
  await until(
    "the job runs on a newly rented machine",
    async () => (await upgrade.statusOf("req-000052")) === "done",
  );
  assert.equal(decodeTerm(present(upgrade.state.rows.get(keys.term)).value).number > 5, true);
};

const assertLeadsProductionMember = async (upgrade: UpgradeFixture): Promise<void> => {
  // production comes back as a member, and gets only messages that it knows
  const before = upgrade.leader.received.length;
  upgrade.state.put(keys.member("south"), { zone: "east", permit: 2 });
  await until(
    "a term with both",
    () => decodeTerm(present(upgrade.state.rows.get(keys.term)).value).members.length === 2,
  );
  const both = decodeTerm(present(upgrade.state.rows.get(keys.term)).value);
  const answer = await upgrade.sendMessage("Sync", "SyncAnswer", "/sync", {
    token: both.number,
    member: "south",
    incarnation: present(both.members.find((member) => member.name === "south")).incarnation,
    mark: -1,
    version: -1,
    stateOk: true,
    seen: [],
    reports: [],
    stored: [],
    outcomes: [],
  });
  assert.equal(answer["token"], both.number);
  for (const { type } of upgrade.leader.received.slice(before))
    assert.ok(type === "Deliver" || type === "Sync" || type === "Word");
};

const assertReadableByProduction = (written: readonly { key: string; value: unknown }[]): void => {
  assert.ok(written.length > 10);
  for (const { key, value } of written) assert.equal(productionReadError(key, value), null);
  for (const prefix of ["cluster/", "commit/", "machines/", "rental/", "job/"])
    assert.ok(
      written.some(({ key }) => key.startsWith(prefix)),
      prefix,
    );
};

test("this version serves under a leader of production, and continues from its records", async () => {
  const upgrade = new UpgradeFixture();
  await upgrade.start();
  stopFunctions.push(() => upgrade.stop());
  putProductionRecords(upgrade.state);
  putProductionTerm(upgrade);
  child = startController(writeSettings(settingsOf(upgrade)));
  await assertServesUnderProductionLeader(upgrade);
  await assertDeliversForProduction(upgrade);
  await assertContinuesFromRecords(upgrade);
  await assertLeadsProductionMember(upgrade);
  assertReadableByProduction(upgrade.state.puts);
});
