/**
 * A whole controller over HTTP while the state service lowers its limits. Guards against writes that are too large under
 * the new limits, or that are given up after a refusal.
 */
import assert from "node:assert/strict";
import type { ChildProcess } from "node:child_process";
import { after, before, test } from "node:test";
import { freePort, startController, until, writeSettings } from "./controller-process.js";
import { FakeCloud } from "./fakes/fake-cloud.js";
import { FakeStateService } from "./fakes/fake-state-service.js";
import { FakeWorker as WorkerStandIn } from "./fakes/fake-worker.js";

const LIVE_MACHINES = 20;
const LOWER_LIMITS = { valueKb: 2, txnOps: 5 };
/** A record of an earlier version: twice as many machines as are live, and too large under the lower limits. */
const OLD_MACHINES_KEY = "machines/0-1";

const state = new FakeStateService();
const cloud = new FakeCloud(() => front);
let front = "";
const children: ChildProcess[] = [];

const platformSettings = async (member: string, on: FakeStateService, from: FakeCloud) => ({
  member,
  domain: "east",
  front: `127.0.0.1:${await freePort()}`,
  peer_bind: `127.0.0.1:${await freePort()}`,
  seeds: [] as object[],
  external: { cloud: from.addr, state: on.addr },
  params: {
    zones: ["east"],
    teams: [{ name: "red", cpus: 100, cpus_max: 200, gpus: 0, gpus_max: 0 }],
    workers: { report_s: 0.2, lease_s: 3, cancel_s: 10 },
    state: {
      rps: 1000,
      write_rps: 1000,
      value_kb: 16,
      txn_ops: 16,
      next: { rps: 900, write_rps: 500, value_kb: LOWER_LIMITS.valueKb, txn_ops: LOWER_LIMITS.txnOps },
    },
    cloud: { rps: 50, list_lag_s: 1 },
    machine_limits: { max_connections: 1000 },
  },
});
const startWithSettings = (settings: Awaited<ReturnType<typeof platformSettings>>): void => {
  const config = writeSettings(settings);
  children.push(startController(config));
};

const ask = async (method: string, path: string, body?: unknown, at = front) => {
  const response = await fetch(`http://${at}${path}`, {
    method,
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
  });
  return { status: response.status, json: (await response.json()) as Record<string, unknown> };
};
const submission = (ref: string, more: object = {}): object => ({
  ref,
  roster: "maps",
  crew: "red",
  shape: "array",
  urgency: "normal",
  chores: 30,
  vcpus: 1,
  mem_gb: 1,
  bundle: "img",
  image_gb: 0.1,
  gpus: 0,
  together: false,
  apart: false,
  loaners: false,
  expected_s: 1,
  bookmark_s: 0,
  stash_s: 0,
  ...more,
});
const submitUntilAccepted = (ref: string, more: object = {}): Promise<void> =>
  until(`${ref} accepted`, async () =>
    [200, 201].includes((await ask("POST", "/v2/runs", submission(ref, more))).status),
  );
const untilDone = (ref: string): Promise<void> =>
  until(`${ref} done`, async () => (await ask("GET", `/v2/runs/${ref}`)).json["status"] === "done");
const recordedMachineIds = (): Set<string> => {
  const blocks = [...state.rows].filter(([key]) => key.startsWith("machines/"));
  return new Set(blocks.flatMap(([, row]) => Object.keys((row.value as { machines: object }).machines)));
};

before(async () => {
  await state.start();
  await cloud.start();
  cloud.maxMachines = LIVE_MACHINES;
  const machines: Record<string, object> = {};
  for (let i = 0; i < 2 * LIVE_MACHINES; i++) {
    const id = `n-${String(i).padStart(60, "0")}`;
    let addr = "10.0.0.1:9000";
    if (i < LIVE_MACHINES) {
      const worker = new WorkerStandIn(id, false, () => front);
      await worker.start();
      worker.startHeartbeats();
      cloud.machines.set(id, { worker, type: "small" });
      ({ addr } = worker);
    }
    machines[id] = { type: "small", zone: "east", spot: false, addr };
  }
  state.put(OLD_MACHINES_KEY, { machines });
  const one = await platformSettings("one", state, cloud);
  front = one.front;
  startWithSettings(one);
  await until("the controller is up", async () => (await ask("GET", "/up")).status === 200);
});
after(() => {
  for (const child of children) child.kill("SIGKILL");
  cloud.stop();
  state.stop();
});

test("when the limits fall, no write is too large, and writes refused for the rate are retried", async () => {
  // keeps every live machine in use, with room for one small task each
  await submitUntilAccepted("req-000009", {
    shape: "daemon",
    urgency: "critical",
    chores: LIVE_MACHINES,
    vcpus: 3,
  });
  await submitUntilAccepted("req-000001");
  await until(
    "all replicas run",
    async () => (await ask("GET", "/v2/runs/req-000009")).json["running"] === LIVE_MACHINES,
  );
  state.limits = { ...LOWER_LIMITS };
  state.changesUntilRateLimited = 3;
  const ids = [2, 3, 4, 5, 6, 7].map((n) => `req-00000${n}`);
  const all = ids.map((id) => submitUntilAccepted(id));
  await until("writes beyond the rate are refused", () => state.rateLimitedKeys.length >= 3);
  state.changesUntilRateLimited = Infinity;
  await Promise.all(all);
  for (const id of ["req-000001", ...ids]) await untilDone(id);
  await until("the record of the earlier version is split", () => !state.rows.has(OLD_MACHINES_KEY));
  const covered = recordedMachineIds();
  for (const id of cloud.machines.keys()) assert.ok(covered.has(id), id);
  assert.deepEqual(state.tooLargeKeys, []);
});

test("a write refused as too large is retried after growing pauses, and succeeds once it fits", async () => {
  state.limits = { valueKb: 2, txnOps: 1 };
  await submitUntilAccepted("req-000011");
  const refused = (): number => state.tooLargeKeys.filter((key) => key === "commit/req-000011").length;
  await until("its commit is refused", () => refused() >= 2);
  await new Promise((wait) => setTimeout(wait, 3000));
  // without growing pauses there would be a dozen attempts in this time
  assert.ok(refused() <= 6, `${refused()} attempts`);
  state.limits = { ...LOWER_LIMITS };
  await untilDone("req-000011");
});

test("a job too large under the lower limits is refused, but a resubmission of an accepted one isn't", async () => {
  const large = { bundle: "x".repeat(3000) };
  assert.equal((await ask("POST", "/v2/runs", submission("req-000012", large))).status, 400);
  state.put("commit/req-000013", { outcome: "done", tasks: 30 });
  const answer = await ask("POST", "/v2/runs", submission("req-000013", large));
  assert.deepEqual(answer, { status: 200, json: { ref: "req-000013", status: "done" } });
});

test("a resubmission of an accepted job is answered even while the state service refuses to store it", async () => {
  const refuses = (keys: readonly string[]): boolean => keys.includes("job/req-000014");
  state.rejectionRules.add(refuses);
  assert.equal((await ask("POST", "/v2/runs", submission("req-000014"))).status, 400);
  state.put("commit/req-000014", { outcome: "done", tasks: 30 });
  const answer = await ask("POST", "/v2/runs", submission("req-000014"));
  assert.deepEqual(answer, { status: 200, json: { ref: "req-000014", status: "done" } });
  state.rejectionRules.delete(refuses);
});

test("machine types too many for one value aren't stored, and every controller still knows them", async () => {
  const otherState = new FakeStateService();
  const otherCloud = new FakeCloud(() => "");
  otherCloud.extraTypeLabels = Array.from({ length: 30 }, (_, i) => `type-${i}`);
  await otherState.start();
  await otherCloud.start();
  otherState.limits = { ...LOWER_LIMITS };
  try {
    const one = await platformSettings("one", otherState, otherCloud);
    const two = await platformSettings("two", otherState, otherCloud);
    one.seeds.push({ member: "two", domain: "east", addr: two.peer_bind });
    two.seeds.push({ member: "one", domain: "east", addr: one.peer_bind });
    startWithSettings(one);
    startWithSettings(two);
    // only a controller that knows the types refuses a job that fits none of them
    const unschedulable = submission("req-000021", { builds: ["type-29"], vcpus: 5 });
    for (const at of [one.front, two.front])
      await until(
        "machine types are known",
        async () => (await ask("POST", "/v2/runs", unschedulable, at)).status === 422,
      );
    assert.ok(!otherState.rows.has("types"));
    assert.deepEqual(otherState.tooLargeKeys, []);
  } finally {
    otherCloud.stop();
    otherState.stop();
  }
});
