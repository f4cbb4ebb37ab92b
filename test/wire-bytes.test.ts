/** The exact bytes of responses to users and workers, and of requests to workers, the cloud and the state service. */
import assert from "node:assert/strict";
import http from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, test } from "node:test";
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import type { Command } from "../src/core/records.js";
import * as codec from "../src/io/codec.js";
import { makeLog } from "../src/io/log.js";
import { StateClient } from "../src/io/state-client.js";
import { ApiServer } from "../src/service/api/api-server.js";
import { JobStatusReader } from "../src/service/api/job-status.js";
import { JobCache } from "../src/service/job-cache.js";
import type { Leader } from "../src/service/leader/leader.js";
import type { Member } from "../src/service/members/member.js";
import { FakeStateService } from "./fakes/fake-state-service.js";

const COMMANDS: readonly Command[] = [
  { op: "start", job: "req-000412", index: 4, attempt: 2, gracePeriodSeconds: 0 },
  { op: "stop", job: "req-000377", index: 1, attempt: 1, gracePeriodSeconds: 10 },
  { op: "forget", job: "req-000398", index: 0, attempt: 1, gracePeriodSeconds: 0 },
];
const ORDERS_JSON =
  '"orders":[{"verb":"start","chore":"req-000412/4","try":2},' +
  '{"verb":"halt","chore":"req-000377/1","try":1,"leeway_s":10},' +
  '{"verb":"reap","chore":"req-000398/0","try":1}]';

test("responses to heartbeats, and commands sent to a worker", () => {
  assert.equal(codec.heartbeatAnswer(41, COMMANDS), `{"baton":41,${ORDERS_JSON}}`);
  assert.equal(codec.heartbeatAnswer(41, []), '{"baton":41,"orders":[]}');
  assert.equal(codec.redirectAnswer("hearth-2"), '{"foreman":"hearth-2"}');
  assert.equal(codec.redirectAnswer(null), "{}");
  assert.equal(codec.commandsPath, "/orders");
  assert.equal(codec.commandsBody(41, 3, COMMANDS), `{"baton":41,"shift":3,${ORDERS_JSON}}`);
});

test("requests to the cloud", () => {
  assert.deepEqual(
    [
      codec.machineTypesPath,
      codec.rentPath,
      codec.releasePath,
      codec.machineListPath(null),
      codec.machineListPath("n-1"),
    ],
    ["/flavors", "/rentals", "/rentals/release", "/rentals?most=500", "/rentals?most=500&from=n-1"],
  );
  assert.equal(
    codec.rentBody("r-17", "g8", "a", true, 12),
    '{"rental":"r-17","build":"g8","district":"a","loaners":true,"how_many":12}',
  );
  assert.equal(codec.releaseBody(["n-1", "n-2"]), '{"hearths":["n-1","n-2"]}');
});

test("requests to the state service", () => {
  const { stateServiceApi: state } = codec;
  assert.equal(
    state.commitBody(
      [{ key: "a/b", revision: 0 }],
      [{ put: "a/b", value: { x: 1 }, leaseId: 7 }, { put: "a/c", value: null }, { delete: "c/d" }],
    ),
    '{"when":[{"path":"a/b","stamp":0}],"apply":[{"write":"a/b","value":{"x":1},"permit":7},' +
      '{"write":"a/c","value":null},{"delete":"c/d"}]}',
  );
  assert.equal(state.commitBody([], []), '{"when":[]}');
  assert.equal(state.leaseBody(Duration.seconds(5)), '{"ttl_ms":5000}');
  assert.deepEqual(
    [
      state.keyPath("a/b"),
      state.listPath("c/", null),
      state.listPath("c/", "c/7"),
      state.watchPath("c/", 431, 10_000),
    ],
    ["/store/a/b", "/store?under=c/&most=1000", "/store?under=c/&most=1000&from=c/7"].concat(
      "/watch?under=c/&from=431&wait_ms=10000",
    ),
  );
  assert.deepEqual(
    [state.commitPath, state.leasesPath, state.leaseRenewalPath(7), state.leasePath(7)],
    ["/commit", "/grants", "/grants/7/extend", "/grants/7"],
  );
});

// --- responses to users and workers over HTTP -----------------------------------------------------

const fakeState = new FakeStateService();
const log = makeLog("error", "test");
const progress = new Map<string, { done: number; running: number }>();
const heartbeatAnswers: unknown[] = [];
let isOutageLocal = false;
let server: http.Server;
let jobCache: JobCache;

before(async () => {
  await fakeState.start();
  const state = new StateClient(fakeState.addr, { rps: 10_000, writeRps: 10_000 }, 1);
  jobCache = new JobCache(log);
  const status = new JobStatusReader(state, jobCache, 16, log);
  const member = {
    handleHeartbeat: () => heartbeatAnswers.shift(),
    reachesStateService: () => true,
  } as unknown as Member;
  const leader = {
    isStateOutageLocal: () => isOutageLocal,
    progressOf: (id: string) => progress.get(id) ?? { done: 0, running: 0 },
  } as unknown as Leader;
  const team = { name: "red", guaranteedCpus: 8, maxCpus: 16, guaranteedGpus: 0, maxGpus: 0 };
  const options = { bind: "127.0.0.1:0", maxConnections: 100, teams: new Map([["red", team]]) };
  const api = new ApiServer(
    { ...options, valueKb: 1, maxConditions: 16 },
    state,
    jobCache,
    status,
    member,
    leader,
    log,
  );
  server = await Effect.runPromise(api.serve());
});
after(() => {
  server.closeAllConnections();
  server.close();
  fakeState.stop();
});

const ask = (method: string, path: string, body = ""): Promise<string> =>
  new Promise((resolve, reject) => {
    const { port } = server.address() as AddressInfo;
    const request = http.request({ host: "127.0.0.1", port, method, path, agent: false }, (response) => {
      let text = "";
      response.setEncoding("utf8");
      response.on("data", (chunk: string) => (text += chunk));
      response.on("end", () => {
        const retryAfter = response.headers["retry-after"];
        resolve(
          `${response.statusCode} ${text}${retryAfter === undefined ? "" : ` retry-after ${retryAfter}`}`,
        );
      });
    });
    request.on("error", reject);
    request.end(body);
  });

const submission = (ref: string, more: object = {}): string =>
  JSON.stringify({
    ...{ ref, roster: "maps", crew: "red", shape: "array", urgency: "normal", chores: 3, vcpus: 1 },
    ...{ gpus: 0, mem_gb: 1, bundle: "img", image_gb: 1, together: false, apart: false, loaners: true },
    ...{ expected_s: 30, bookmark_s: 0, stash_s: 0, ...more },
  });
const submit = (ref: string, more: object = {}): Promise<string> =>
  ask("POST", "/v2/runs", submission(ref, more));

const MACHINE_TYPE = { label: "c8", vcpus: 8, mem_gb: 32, rate: 1, districts: ["a"] };

test("health", async () => {
  assert.equal(await ask("GET", "/up"), '503 {"error":"starting"} retry-after 1');
  jobCache.isReady = true;
  assert.equal(await ask("GET", "/up"), '200 {"ok":true}');
  isOutageLocal = true;
  assert.equal(await ask("GET", "/up"), '503 {"error":"no state service"} retry-after 1');
  isOutageLocal = false;
});

test("heartbeats", async () => {
  const beat = (): Promise<string> =>
    ask(
      "POST",
      "/agent/beat",
      '{"hearth":"n-1","endpoint":"10.0.0.1:90","build":"c8","district":"a","shift":1,"tally":1,"baton":0}',
    );
  heartbeatAnswers.push(
    { kind: "taken", fencingToken: 41, stopCommands: COMMANDS },
    { kind: "elsewhere", member: "hearth-2" },
    { kind: "elsewhere", member: null },
    { kind: "unsure" },
  );
  assert.equal(await beat(), `200 {"baton":41,${ORDERS_JSON}}`);
  assert.equal(await beat(), '421 {"foreman":"hearth-2"}');
  assert.equal(await beat(), "421 {}");
  assert.equal(await beat(), '503 {"error":"not entitled"} retry-after 1');
  assert.equal(await ask("POST", "/agent/beat", "{"), '400 {"error":"not a report"}');
});

test("unknown paths and methods", async () => {
  assert.equal(await ask("GET", "/agent/beat"), '404 {"error":"no such path"}');
  assert.equal(await ask("GET", "/v2/runs"), '405 {"error":"POST a run here"}');
  assert.equal(await ask("GET", "/v2/runs/job-1"), '404 {"error":"no such run"}');
  assert.equal(await ask("GET", "/v2/runs/req-1/cancel/now"), '404 {"error":"no such run"}');
  assert.equal(await ask("DELETE", "/v2/runs/req-1"), '405 {"error":"no such request"}');
  assert.equal(await ask("GET", "/v2/runs/req-1/cancel"), '405 {"error":"no such request"}');
  assert.equal(await ask("POST", "/v2/runs/req-1/pause"), '404 {"error":"no such request"}');
});

test("submissions that are refused", async () => {
  assert.equal(await submit("req-1"), '503 {"error":"machine types are not known yet"} retry-after 1');
  jobCache.setTypes(codec.parseMachineTypes({ builds: [MACHINE_TYPE] }) ?? []);
  assert.equal(await ask("POST", "/v2/runs", "{"), '400 {"error":"not JSON"}');
  assert.equal(await ask("POST", "/v2/runs", "[]"), '400 {"error":"not an object"}');
  assert.equal(await submit("req-1", { chores: 0 }), '400 {"error":"chores must be >= 1"}');
  assert.equal(await ask("POST", "/v2/runs", "x".repeat(64 * 1024 + 1)), '400 {"error":"body over 64 KiB"}');
  assert.equal(await submit("req-1", { crew: "grey" }), '422 {"error":"no such team: grey"}');
  assert.equal(await submit("req-1", { vcpus: 9 }), '422 {"error":"a task fits no allowed machine type"}');
  assert.equal(await submit("req-1", { bundle: "x".repeat(1024) }), '400 {"error":"too large to be stored"}');
  assert.equal(await submit("req-1", { awaits: ["req-1"] }), '400 {"error":"awaits names the job itself"}');
  assert.equal(
    await submit("req-1", { awaits: ["req-99"] }),
    '422 {"error":"awaits names a job that was never accepted"}',
  );
  assert.equal(fakeState.rows.size, 0);
});

test("a job from submission to cancellation, and one that depends on it", async () => {
  assert.equal(await submit("req-1"), '201 {"ref":"req-1","status":"queued"}');
  assert.equal(await submit("req-1"), '200 {"ref":"req-1","status":"queued"}');
  assert.equal(await submit("req-2", { awaits: ["req-1"] }), '201 {"ref":"req-2","status":"queued"}');
  progress.set("req-1", { done: 1, running: 2 });
  assert.equal(
    await ask("GET", "/v2/runs/req-1"),
    '200 {"ref":"req-1","status":"running","done":1,"running":2}',
  );
  assert.equal(
    await ask("GET", "/v2/runs/req-2"),
    '200 {"ref":"req-2","status":"queued","done":0,"running":0}',
  );
  const stored = JSON.stringify(fakeState.rows.get("job/req-1")?.value).replace(/\d{13}/, "NOW");
  assert.equal(stored, `${submission("req-1").slice(0, -1)},"accepted_ms":NOW}`);
  assert.equal(
    JSON.stringify(fakeState.rows.get("job-fanin/req-2")?.value),
    '{"joined":[],"released":false}',
  );
  assert.ok(fakeState.rows.has("job-waiting/req-2"));
  assert.equal(await ask("POST", "/v2/runs/req-1/cancel"), '200 {"ref":"req-1","status":"aborted"}');
  assert.equal(await ask("POST", "/v2/runs/req-1/cancel"), '200 {"ref":"req-1","status":"aborted"}');
  assert.equal(
    await ask("GET", "/v2/runs/req-1"),
    '200 {"ref":"req-1","status":"aborted","done":0,"running":0}',
  );
  // the job that depends on it is cancelled as well
  assert.equal(
    await ask("GET", "/v2/runs/req-2"),
    '200 {"ref":"req-2","status":"aborted","done":0,"running":0}',
  );
  assert.equal(await submit("req-3", { awaits: ["req-1"] }), '201 {"ref":"req-3","status":"aborted"}');
  assert.equal(await submit("req-3", { awaits: ["req-1"] }), '200 {"ref":"req-3","status":"aborted"}');
  assert.deepEqual([...fakeState.rows.keys()].sort(), ["commit/req-1", "commit/req-2", "commit/req-3"]);
  assert.equal(
    JSON.stringify(fakeState.rows.get("commit/req-2")?.value),
    '{"outcome":"cancelled","tasks":3}',
  );
});

test("done jobs, and jobs that nobody submitted", async () => {
  fakeState.put("commit/req-7", { outcome: "done", tasks: 5 });
  assert.equal(
    await ask("GET", "/v2/runs/req-7"),
    '200 {"ref":"req-7","status":"done","done":5,"running":0}',
  );
  assert.equal(await ask("POST", "/v2/runs/req-7/cancel"), '200 {"ref":"req-7","status":"done"}');
  // its parents are done: the write that accepts it releases it
  assert.equal(await submit("req-8", { awaits: ["req-7"] }), '201 {"ref":"req-8","status":"queued"}');
  assert.ok(fakeState.rows.has("job/req-8"));
  assert.equal(await ask("GET", "/v2/runs/req-9"), '404 {"error":"no such run"}');
  assert.equal(await ask("POST", "/v2/runs/req-9/cancel"), '404 {"error":"no such run"}');
});

test("while the state service is down", async () => {
  fakeState.down = true;
  assert.equal(await ask("GET", "/v2/runs/req-9"), '503 {"error":"503"} retry-after 1');
  assert.equal(await ask("POST", "/v2/runs/req-9/cancel"), '503 {"error":"503"} retry-after 1');
  assert.equal(await submit("req-10"), '503 {"error":"503"} retry-after 1');
  assert.equal(
    await ask("GET", "/v2/runs/req-7"),
    '200 {"ref":"req-7","status":"done","done":5,"running":0}',
  );
  fakeState.down = false;
});
