/** What a controller's process knows of unfinished and ended jobs, against a fake state service. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import { keys } from "../src/core/records.js";
import { makeLog } from "../src/io/log.js";
import { StateClient } from "../src/io/state-client.js";
import { JobCache } from "../src/service/job-cache.js";
import { JobReader } from "../src/service/job-reader.js";
import { until } from "./controller-process.js";
import { FakeStateService } from "./fakes/fake-state-service.js";

const log = makeLog("silent", "test");

const jobRecord = (ref: string) => ({
  ...{ ref, roster: "maps", crew: "red", shape: "daemon", urgency: "critical", chores: 1, vcpus: 1, gpus: 0 },
  ...{ mem_gb: 1, bundle: "maps", image_gb: 1, builds: null, district: null, together: false, apart: false },
  ...{ loaners: false, expected_s: 0, bookmark_s: 0, stash_s: 0, due_s: null },
});

const accept = (service: FakeStateService, id: string): void => {
  service.put(keys.job(id), jobRecord(id));
};
const cancel = (service: FakeStateService, id: string): void => {
  service.put(keys.commit(id), { outcome: "cancelled", tasks: 1 });
  service.remove(keys.job(id));
};

/** Runs a new process's cache on a service in which `before` has happened. */
const withNewCache = async (
  before: (service: FakeStateService) => void,
  check: (cache: JobCache, service: FakeStateService) => Promise<void>,
): Promise<void> => {
  const service = new FakeStateService();
  await service.start();
  before(service);
  const state = new StateClient(service.addr, { rps: 10_000, writeRps: 10_000 }, 1);
  const cache = new JobCache(log, { cancelDeadline: Duration.hours(1), maxEndsPerDeadline: 100 });
  const options = { watchTimeout: Duration.millis(100), maxChangesPerDeadline: 100 };
  const running = Effect.runFork(new JobReader(cache, state, log, options).run);
  try {
    await check(cache, service);
  } finally {
    await Effect.runPromise(Fiber.interrupt(running));
    service.stop();
  }
};

// guards against a new process that renews the leases of tasks which were cancelled before it began
test("a new process knows which jobs ended before it began", () =>
  withNewCache(
    (service) => {
      accept(service, "req-000001");
      accept(service, "req-000002");
      cancel(service, "req-000001");
    },
    async (cache) => {
      await until("the jobs are read", () => cache.currentAsOf !== null);
      assert.equal(cache.standingOf("req-000001"), "ended");
      assert.equal(cache.standingOf("req-000002"), "unfinished");
      // accepted after the read
      assert.equal(cache.standingOf("req-000003"), "unfinished");
    },
  ));

// guards against a view that counts as fresh although only the unfinished jobs were read
test("the view of a new process isn't fresh before it has read which jobs ended", () =>
  withNewCache(
    (service) => {
      accept(service, "req-000001");
      cancel(service, "req-000001");
      service.refusesWatch = (prefix) => prefix === keys.commits;
    },
    async (cache, service) => {
      await until("the unfinished jobs are read", () => cache.isReady);
      assert.equal(cache.currentAsOf, null);
      assert.equal(cache.standingOf("req-000001"), "undetermined");
      service.refusesWatch = () => false;
      await until("the ended jobs are read", () => cache.currentAsOf !== null);
      assert.equal(cache.standingOf("req-000001"), "ended");
    },
  ));

// guards against a new process that takes a cancelled job for a new one, since the history no longer shows the cancel
test("if the history is too short, an unknown job is undetermined until the next read settles it", () =>
  withNewCache(
    (service) => {
      for (const id of ["req-000001", "req-000002"]) accept(service, id);
      service.put(keys.job("req-000004"), { ref: "req-000004" });
      cancel(service, "req-000001");
      for (let change = 0; change < 10; change++) service.put("types", [{ label: `small-${change}` }]);
      service.keptRevisions = 4;
    },
    async (cache, service) => {
      await until("the jobs are read", () => cache.currentAsOf !== null);
      service.refusesWatch = () => true;
      assert.equal(cache.standingOf("req-000001"), "undetermined");
      assert.equal(cache.standingOf("req-000002"), "unfinished");
      // its record can't be parsed here, but another version may run it
      assert.equal(cache.standingOf("req-000004"), "unfinished");
      service.refusesWatch = () => false;
      await until("a later read settles it", () => cache.standingOf("req-000001") === "ended");
      assert.equal(cache.standingOf("req-000004"), "unfinished");
    },
  ));

// guards against a cancel that falls between a failed watch and the next list
test("a job that was accepted and cancelled while the watch failed is known to have ended", () =>
  withNewCache(
    () => undefined,
    async (cache, service) => {
      await until("the jobs are read", () => cache.currentAsOf !== null);
      service.refusesWatch = () => true;
      const { currentAsOf } = cache;
      accept(service, "req-000001");
      cancel(service, "req-000001");
      accept(service, "req-000002");
      await until("the jobs are listed again", () => cache.releasedJobs.has("req-000002"));
      assert.equal(cache.currentAsOf, currentAsOf);
      service.refusesWatch = () => false;
      await until("the jobs are read again", () => cache.currentAsOf !== currentAsOf);
      assert.equal(cache.isEnded("req-000001"), true);
    },
  ));
