/** One controller process against fakes of the state service, the cloud and the workers: the users' API from end to end. */
import assert from "node:assert/strict";
import type { ChildProcess } from "node:child_process";
import { readFileSync } from "node:fs";
import { connect } from "node:net";
import { after, before, test } from "node:test";
import { startController, until, writeSettings } from "./controller-process.js";
import { FakeStateService } from "./fakes/fake-state-service.js";
import { ServiceFixture, SMALL_SITE } from "./service-fixture.js";

const service = new ServiceFixture(new FakeStateService());
const { state, cloud } = service;
let configPath = "";
let controllerProcess: ChildProcess | null = null;

const startProcess = (): void => {
  controllerProcess = startController(configPath);
};
const ask = (method: string, path: string, body?: unknown) => service.request(method, path, body);
const jobBody = (ref: string, overrides: object = {}): object => ({
  ref,
  roster: "maps",
  crew: "red",
  shape: "array",
  urgency: "normal",
  chores: 5,
  vcpus: 1,
  mem_gb: 1,
  bundle: "img",
  image_gb: 0.1,
  gpus: 0,
  together: false,
  apart: false,
  loaners: true,
  expected_s: 1,
  bookmark_s: 0,
  stash_s: 0,
  not_known: "ignored",
  ...overrides,
});

before(async () => {
  await service.start();
  configPath = writeSettings(service.settings("one", SMALL_SITE));
  startProcess();
  await until("the controller answers /up", async () => (await ask("GET", "/up")).status === 200);
  // submissions get 503 until the controller knows the machine types
  await until(
    "the machine types are known",
    async () => (await ask("POST", "/v2/runs", jobBody("req-000001"))).status !== 503,
  );
});
after(() => {
  controllerProcess?.kill("SIGKILL");
  service.stop();
});

const untilDone = (ref: string) =>
  until(`${ref} done`, async () => (await ask("GET", `/v2/runs/${ref}`)).json["status"] === "done");

test("a job is accepted, runs on rented machines and remains done", async () => {
  await untilDone("req-000001");
  const resubmission = await ask("POST", "/v2/runs", jobBody("req-000001"));
  assert.deepEqual(resubmission, { status: 200, json: { ref: "req-000001", status: "done" } });
  const status = await ask("GET", "/v2/runs/req-000001");
  assert.deepEqual(status.json, { ref: "req-000001", status: "done", done: 5, running: 0 });
  assert.ok(state.rows.has("commit/req-000001"));
  assert.ok(!state.rows.has("job/req-000001"));
  assert.ok(![...state.rows.keys()].some((key) => key.startsWith("ranges/req-000001/")));
});

test("malformed submissions get 400, jobs that can never run 422, unknown jobs 404", async () => {
  const rejected: [unknown, number][] = [
    ["{", 400],
    ["[]", 400],
    [jobBody("run-1"), 400],
    [jobBody("req-000002", { chores: 0 }), 400],
    [jobBody("req-000002", { vcpus: undefined }), 400],
    [jobBody("req-000002", { shape: "circle" }), 400],
    [jobBody("req-000002", { bundle: "x".repeat(20_000) }), 400],
    [jobBody("req-000002", { bundle: "x".repeat(70_000) }), 400],
    [jobBody("req-000002", { crew: "green" }), 422],
    [jobBody("req-000002", { vcpus: 5 }), 422],
    [jobBody("req-000002", { district: "north" }), 422],
    [jobBody("req-000002", { shape: "daemon", vcpus: 2 }), 422],
  ];
  for (const [body, status] of rejected)
    assert.equal((await ask("POST", "/v2/runs", body)).status, status, JSON.stringify(body).slice(0, 200));
  assert.equal((await ask("GET", "/v2/runs/req-000002")).status, 404);
  assert.equal((await ask("POST", "/v2/runs/req-000002/cancel")).status, 404);
  assert.equal((await ask("GET", "/v2/runs/nonsense")).status, 404);
});

test("cancelling a service is final, and cancelling a finished job has no effect", async () => {
  const serviceJob = jobBody("req-000009", {
    shape: "daemon",
    urgency: "critical",
    chores: 1,
    loaners: false,
  });
  assert.equal((await ask("POST", "/v2/runs", serviceJob)).status, 201);
  await until(
    "the service runs",
    async () => (await ask("GET", "/v2/runs/req-000009")).json["running"] === 1,
  );
  const answer = { status: 200, json: { ref: "req-000009", status: "aborted" } };
  assert.deepEqual(await ask("POST", "/v2/runs/req-000009/cancel"), answer);
  assert.deepEqual(await ask("POST", "/v2/runs/req-000009/cancel"), answer);
  assert.deepEqual(await ask("POST", "/v2/runs", serviceJob), answer);
  assert.equal((await ask("GET", "/v2/runs/req-000009")).json["status"], "aborted");
  assert.deepEqual(await ask("POST", "/v2/runs/req-000001/cancel"), {
    status: 200,
    json: { ref: "req-000001", status: "done" },
  });
});

test("a job of a pipeline starts once all jobs that it depends on are done", async () => {
  const rejected: [unknown, number][] = [
    [{ awaits: "req-000001" }, 400],
    [{ awaits: [7] }, 400],
    [{ awaits: ["run-1"] }, 400],
    [{ awaits: ["req-000101"] }, 400],
    [{ awaits: Array.from({ length: 4000 }, (_, i) => `req-${i}`) }, 400],
    [{ awaits: ["req-000001", "req-000199"] }, 422],
  ];
  for (const [overrides, status] of rejected)
    assert.equal((await ask("POST", "/v2/runs", jobBody("req-000101", overrides as object))).status, status);
  // null and an empty list both mean no dependencies
  for (const [ref, awaits] of [
    ["req-000101", null],
    ["req-000102", []],
  ] as const)
    assert.equal((await ask("POST", "/v2/runs", jobBody(ref, { awaits }))).status, 201);
  const lastJob = jobBody("req-000104", { awaits: ["req-000103", "req-000101"] });
  const middleJob = jobBody("req-000103", { awaits: ["req-000101", "req-000102", "req-000101"] });
  assert.equal((await ask("POST", "/v2/runs", middleJob)).status, 201);
  assert.equal((await ask("POST", "/v2/runs", lastJob)).status, 201);
  assert.ok(
    ["queued", "running", "done"].includes(String((await ask("POST", "/v2/runs", lastJob)).json["status"])),
  );
  await untilDone("req-000104");
  assert.equal((await ask("GET", "/v2/runs/req-000103")).json["status"], "done");
  // a job whose dependencies are all done is released when it is accepted
  assert.equal(
    (await ask("POST", "/v2/runs", jobBody("req-000105", { awaits: ["req-000104"] }))).status,
    201,
  );
  await untilDone("req-000105");
  const eventIndices = (prefix: string): number[] =>
    cloud.taskEvents.flatMap((e, i) => (e.startsWith(prefix) ? [i] : []));
  for (const [dependent, ...dependencies] of [
    ["req-000103", "req-000101", "req-000102"],
    ["req-000104", "req-000103"],
    ["req-000105", "req-000104"],
  ] as const)
    for (const dependency of dependencies) {
      assert.equal(eventIndices(`done ${dependency}/`).length, 5);
      assert.ok(
        Math.min(...eventIndices(`start ${dependent}/`)) > Math.max(...eventIndices(`done ${dependency}/`)),
        `${dependent} ${dependency}`,
      );
    }
  await until("the records of waiting jobs are deleted", () =>
    Promise.resolve(![...state.rows.keys()].some((key) => /^job-(waiting|fanin)\/req-00010/.test(key))),
  );
});

test("cancelling a job cancels all jobs that depend on it, directly or indirectly, and those submitted later", async () => {
  assert.equal((await ask("POST", "/v2/runs", jobBody("req-000119", { chores: 1 }))).status, 201);
  const submitAfter = (ref: string, ...awaits: string[]) => ask("POST", "/v2/runs", jobBody(ref, { awaits }));
  assert.equal((await submitAfter("req-000112", "req-000119")).json["status"], "queued");
  assert.equal((await submitAfter("req-000113", "req-000112", "req-000001")).json["status"], "queued");
  assert.deepEqual((await ask("GET", "/v2/runs/req-000113")).json, {
    ref: "req-000113",
    status: "queued",
    done: 0,
    running: 0,
  });
  assert.equal((await ask("POST", "/v2/runs/req-000119/cancel")).json["status"], "aborted");
  for (const ref of ["req-000112", "req-000113"]) {
    await until(
      `${ref} is cancelled`,
      async () => (await ask("GET", `/v2/runs/${ref}`)).json["status"] === "aborted",
    );
    assert.equal((await ask("POST", `/v2/runs/${ref}/cancel`)).json["status"], "aborted");
  }
  // a job that depends on a cancelled one is accepted and cancelled at once
  const late = await submitAfter("req-000114", "req-000113");
  assert.deepEqual(late, { status: 201, json: { ref: "req-000114", status: "aborted" } });
  assert.equal((await submitAfter("req-000114", "req-000113")).status, 200);
  // a waiting job can be cancelled by itself, and cancelling a finished job doesn't affect jobs that depend on it
  assert.equal((await ask("POST", "/v2/runs", jobBody("req-000129", { chores: 1 }))).status, 201);
  assert.equal((await submitAfter("req-000122", "req-000129")).status, 201);
  assert.equal((await ask("POST", "/v2/runs/req-000122/cancel")).json["status"], "aborted");
  assert.notEqual((await ask("GET", "/v2/runs/req-000129")).json["status"], "aborted");
  await ask("POST", "/v2/runs/req-000129/cancel");
  assert.equal((await ask("POST", "/v2/runs/req-000001/cancel")).json["status"], "done");
  assert.equal((await submitAfter("req-000123", "req-000001")).status, 201);
  await untilDone("req-000123");
  assert.ok(![...state.rows.keys()].some((key) => /^job-waiting\/req-00011/.test(key)));
});

test("a job with an indirect dependency that was cancelled is accepted as cancelled, even before the controller knows of it", async () => {
  // no machine is large enough for it
  state.put("job/req-000151", { ...jobBody("req-000151", { vcpus: 9999 }), accepted_ms: Date.now() });
  const submitAfter = (ref: string, ...awaits: string[]) => ask("POST", "/v2/runs", jobBody(ref, { awaits }));
  assert.equal((await submitAfter("req-000152", "req-000151")).json["status"], "queued");
  assert.equal((await submitAfter("req-000153", "req-000152")).json["status"], "queued");
  // its job record still exists, so the controller takes the job for unfinished
  state.put("commit/req-000151", { outcome: "cancelled", tasks: 5 });
  const late = await submitAfter("req-000154", "req-000153");
  assert.deepEqual(late, { status: 201, json: { ref: "req-000154", status: "aborted" } });
  assert.equal((await ask("GET", "/v2/runs/req-000152")).json["status"], "aborted");
  state.remove("job/req-000151");
});

test("waiting jobs whose dependencies' outcomes were not passed on are released or cancelled later", async () => {
  const record = (ref: string, awaits: string[]) => ({
    ...jobBody(ref, { awaits, chores: 1 }),
    accepted_ms: Date.now(),
  });
  // records as left by a controller that ended after a commit, before passing on the outcome
  state.put("commit/req-000131", { outcome: "done", tasks: 1 });
  state.put("job-fanin/req-000132", { joined: [], released: false });
  state.put("job-waiting/req-000132", record("req-000132", ["req-000131"]));
  state.put("commit/req-000141", { outcome: "cancelled", tasks: 1 });
  state.put("job-fanin/req-000142", { joined: [], released: false });
  state.put("job-waiting/req-000142", record("req-000142", ["req-000141", "req-000131"]));
  state.put("job-fanin/req-000143", { joined: [], released: false });
  state.put("job-waiting/req-000143", record("req-000143", ["req-000142"]));
  await untilDone("req-000132");
  await until(
    "the last job is cancelled",
    async () =>
      state.rows.has("commit/req-000143") &&
      (await ask("GET", "/v2/runs/req-000143")).json["status"] === "aborted",
  );
});

test("during an outage of the state service users get 503 at once, and a job reported as done remains so", async () => {
  state.down = true;
  assert.equal((await ask("POST", "/v2/runs", jobBody("req-000003"))).status, 503);
  assert.equal((await ask("GET", "/v2/runs/req-000004")).status, 503);
  assert.equal((await ask("GET", "/v2/runs/req-000001")).json["status"], "done");
  state.down = false;
});

test("malformed input from workers, controllers and the state service does not affect other jobs", async () => {
  const post = (addr: string, path: string, body: string) =>
    fetch(`http://${addr}${path}`, { method: "POST", body });
  for (const body of ["", "{", "null", '{"hearth":"n-1"}', "x".repeat(100_000)])
    assert.equal((await post(service.frontAddress, "/agent/beat", body)).status, 400);
  const { peer_bind } = JSON.parse(readFileSync(configPath, "utf8")) as { peer_bind: string };
  for (const path of ["/sync", "/deliver", "/word"])
    assert.equal((await post(peer_bind, path, "\u0000\u0001nonsense")).status, 400);
  // an unreadable job record gets 503, not 404, because the job exists; other jobs are unaffected
  state.put("job/req-000077", { ref: 7 });
  assert.equal((await ask("GET", "/v2/runs/req-000077")).status, 503);
  assert.equal((await ask("GET", "/v2/runs/req-000001")).json["status"], "done");
  assert.equal((await ask("GET", "/v2/runs/req-000078")).status, 404);
  state.remove("job/req-000077");
});

test("requests beyond the limit on concurrent ones get 503 at once, with a Retry-After header", async () => {
  const [host, port] = service.frontAddress.split(":") as [string, string];
  const slowClients = Array.from({ length: 400 }, () => {
    const socket = connect(Number(port), host);
    socket.on("error", () => undefined);
    // the rest of the body is never sent
    socket.write("POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{");
    return socket;
  });
  try {
    let answer: Response | null = null;
    await until("the limit on requests is reached", async () => {
      answer = await fetch(`http://${service.frontAddress}/v2/runs/req-000001`);
      await answer.text();
      return answer.status === 503;
    });
    assert.ok(Number(answer!.headers.get("retry-after")) >= 1);
    assert.equal((await ask("GET", "/up")).status, 200);
  } finally {
    for (const socket of slowClients) socket.destroy();
  }
  await until(
    "requests are accepted again",
    async () => (await ask("GET", "/v2/runs/req-000001")).status === 200,
  );
});

test("a controller that is killed and restarted finishes the jobs accepted before", async () => {
  assert.equal((await ask("POST", "/v2/runs", jobBody("req-000010", { chores: 12 }))).status, 201);
  controllerProcess!.kill("SIGKILL");
  startProcess();
  await untilDone("req-000010");
  await untilDone("req-000010");
});
