/** A controller process that begins after a job was cancelled, against fakes of the outside systems. */
import assert from "node:assert/strict";
import type { ChildProcess } from "node:child_process";
import { after, before, test } from "node:test";
import { keys } from "../src/core/records.js";
import { startController, until, writeSettings } from "./controller-process.js";
import { FakeStateService } from "./fakes/fake-state-service.js";
import { ServiceFixture, SMALL_SITE } from "./service-fixture.js";

const service = new ServiceFixture(new FakeStateService());
const { state } = service;
let controllerProcess: ChildProcess | null = null;
let tally = 0;

const job = (ref: string): object => ({
  ...{ ref, roster: "maps", crew: "red", shape: "daemon", urgency: "critical", chores: 1, vcpus: 1 },
  ...{ gpus: 0, mem_gb: 1, bundle: "img", image_gb: 0.1, builds: null, district: null, together: false },
  ...{ apart: false, loaners: true, expected_s: 0, bookmark_s: 0, stash_s: 0, due_s: null },
});

const beat = (tasks: readonly string[]) =>
  service.request("POST", "/agent/beat", {
    ...{ hearth: "n-000001", endpoint: "127.0.0.1:9", build: "small", district: "east", loaners: true },
    ...{ shift: 1, tally: ++tally, baton: 0, recall_s: null },
    chores: tasks.map((chore) => ({ chore, try: 2_000_001, status: "running" })),
  });

before(async () => {
  await service.start();
  state.put(keys.job("req-000001"), job("req-000001"));
  state.put(keys.job("req-000002"), job("req-000002"));
  state.put(keys.commit("req-000001"), { outcome: "cancelled", tasks: 1 });
  state.remove(keys.job("req-000001"));
  const settings = service.settings("one", {
    ...SMALL_SITE,
    workers: { report_s: 1, lease_s: 10, cancel_s: 30 },
  });
  controllerProcess = startController(writeSettings(settings));
});
after(() => {
  controllerProcess?.kill("SIGKILL");
  service.stop();
});

// guards against leases of cancelled tasks that are renewed by controllers which began after the cancel
test("the first answer to a heartbeat stops tasks of jobs that were cancelled before the process began", async () => {
  await until("the controller answers workers", async () => (await beat([])).status === 200);
  const answer = await beat(["req-000001/0", "req-000002/0"]);
  assert.equal(answer.status, 200);
  assert.deepEqual(answer.json["orders"], [
    { verb: "halt", chore: "req-000001/0", try: 2_000_001, leeway_s: 0 },
  ]);
});
