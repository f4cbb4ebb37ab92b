/**
 * A controller process and workers on loopback: copies of all requests that a worker was sent arrive once more, after its
 * attempts were forgotten and after the controller came back. Guards against attempts that run a second time (S4).
 */
import assert from "node:assert/strict";
import type { ChildProcess } from "node:child_process";
import { after, before, test } from "node:test";
import { startController, until, writeSettings } from "./controller-process.js";
import { FakeStateService } from "./fakes/fake-state-service.js";
import { post } from "./fakes/fake-server.js";
import type { FakeWorker } from "./fakes/fake-worker.js";
import { ServiceFixture, SMALL_SITE } from "./service-fixture.js";

/** Its tasks run until they are stopped; those of the other job take 50 ms. */
const CANCELLED_JOB = "req-000019";
const SHORT_JOB = "req-000010";
const STALE = 409;

const service = new ServiceFixture(new FakeStateService());
let configPath = "";
let controllerProcess: ChildProcess | null = null;

const submit = (ref: string) =>
  until(`${ref} accepted`, async () => {
    const { status } = await service.request("POST", "/v2/runs", {
      ...{ ref, roster: "maps", crew: "red", shape: "array", urgency: "normal", chores: 2, vcpus: 1 },
      ...{ gpus: 0, mem_gb: 1, bundle: "img", image_gb: 0.1, builds: null, district: null, together: false },
      ...{ apart: false, loaners: true, expected_s: 1, bookmark_s: 0, stash_s: 0, due_s: null },
    });
    return status === 200 || status === 201;
  });

const workers = (): FakeWorker[] => [...service.cloud.machines.values()].map(({ worker }) => worker);
const startsOf = (job: string): number =>
  workers()
    .flatMap(({ startedTasks }) => startedTasks)
    .filter((task) => task.startsWith(`${job}/`)).length;
const isForgotten = (job: string): boolean =>
  startsOf(job) > 0 && workers().every((worker) => !worker.hasTaskOf(job));

/** Sends copies of all requests with a start that any worker received; returns the statuses of the answers. */
const copyStarts = async (): Promise<number[]> => {
  const statuses: number[] = [];
  for (const worker of workers())
    for (const body of worker.receivedBodies.filter((text) => text.includes('"verb":"start"')))
      statuses.push((await post(`http://${worker.addr}/orders`, body))?.status ?? 0);
  return statuses;
};

before(async () => {
  await service.start();
  service.cloud.maxMachines = 1;
  configPath = writeSettings(service.settings("one", SMALL_SITE));
  controllerProcess = startController(configPath);
});
after(() => {
  controllerProcess?.kill("SIGKILL");
  service.stop();
});

test("workers refuse copies of answered starts once their attempts were forgotten, also of a cancelled job", async () => {
  await submit(SHORT_JOB);
  await submit(CANCELLED_JOB);
  await until("the tasks run", () => startsOf(CANCELLED_JOB) === 2);
  const cancelled = await service.request("POST", `/v2/runs/${CANCELLED_JOB}/cancel`);
  assert.equal(cancelled.json["status"], "aborted");
  await until("the workers forgot all tasks", () => isForgotten(SHORT_JOB) && isForgotten(CANCELLED_JOB));
  controllerProcess?.kill("SIGKILL");
  controllerProcess = startController(configPath);
  const statuses = await copyStarts();
  assert.ok(statuses.length > 0);
  assert.deepEqual(new Set(statuses), new Set([STALE]));
  assert.deepEqual([startsOf(SHORT_JOB), startsOf(CANCELLED_JOB)], [2, 2]);
});
