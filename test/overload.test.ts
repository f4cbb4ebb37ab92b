/**
 * One controller serves 4,000 workers that keep their connections open, with fewer sockets than workers. Unless it
 * closes connections when most sockets are in use, the heartbeats of the other workers remain unanswered. Attempts are
 * counted rather than timed, so that the result doesn't depend on the processor's load.
 */
import assert from "node:assert/strict";
import type { ChildProcess } from "node:child_process";
import { readFileSync } from "node:fs";
import http from "node:http";
import { after, before, test } from "node:test";
import { startController, until, writeSettings } from "./controller-process.js";
import { FakeStateService } from "./fakes/fake-state-service.js";
import { ServiceFixture } from "./service-fixture.js";

const WORKERS = 4000;
const MAX_CONNECTIONS = 2500;
const CONCURRENT_HEARTBEATS = 100;
const ROUNDS = 2;
/** Heartbeats are retried like a worker's: a controller short of processor time may lose its lease and answer 503. */
const MAX_ATTEMPTS = 100;
const RETRY_INTERVAL_MS = 100;
const STATUS_NO_CONNECTION = 0;

const service = new ServiceFixture(new FakeStateService());
let controllerProcess: ChildProcess | null = null;

before(async () => {
  await service.start();
  const settings = service.settings("one", {
    teams: [{ name: "red", cpus: 100, cpus_max: 0, gpus: 0, gpus_max: 0 }],
    workers: { report_s: 30, lease_s: 300, cancel_s: 600 },
    machine_limits: { max_connections: MAX_CONNECTIONS },
  });
  controllerProcess = startController(writeSettings(settings));
  await until(
    "the controller answers /up",
    async () => (await fetch(`http://${service.frontAddress}/up`)).status === 200,
  );
});
after(() => {
  controllerProcess?.kill("SIGKILL");
  service.stop();
});

/** A worker without tasks, with at most one connection of its own. */
class IdleWorker {
  readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  private sequence = 0;

  constructor(private readonly id: string) {}

  /** Sends a heartbeat, again while the answer is 503; returns the last status. */
  async heartbeatUntilAnswered(): Promise<number> {
    let status = 503;
    for (let attempt = 0; attempt < MAX_ATTEMPTS && status === 503; attempt++) {
      if (attempt > 0) await new Promise((resolve) => setTimeout(resolve, RETRY_INTERVAL_MS));
      status = await this.sendHeartbeat();
    }
    return status;
  }

  private sendHeartbeat(): Promise<number> {
    const body = JSON.stringify({
      hearth: this.id,
      endpoint: "127.0.0.1:9",
      build: "small",
      district: "east",
      loaners: false,
      shift: 1,
      tally: ++this.sequence,
      baton: 0,
      recall_s: null,
      chores: [],
    });
    const [host, port] = service.frontAddress.split(":");
    return new Promise((resolve) => {
      const request = http.request({ host, port, method: "POST", path: "/agent/beat", agent: this.agent });
      request.setTimeout(20_000, () => request.destroy());
      request.on("error", () => resolve(STATUS_NO_CONNECTION));
      request.on("response", (response) => {
        response.resume().on("end", () => resolve(response.statusCode ?? 0));
      });
      request.end(body);
    });
  }
}

test("a controller with 2,500 sockets answers the heartbeats of 4,000 workers", async () => {
  const workers = Array.from(
    { length: WORKERS },
    (_, n) => new IdleWorker(`n-${String(n).padStart(6, "0")}`),
  );
  let failed = 0;
  for (let round = 0; round < ROUNDS; round++) {
    for (let first = 0; first < WORKERS; first += CONCURRENT_HEARTBEATS) {
      const batch = workers.slice(first, first + CONCURRENT_HEARTBEATS);
      const answers = await Promise.all(batch.map((worker) => worker.heartbeatUntilAnswered()));
      failed += answers.filter((status) => status !== 200).length;
    }
  }
  assert.equal(failed, 0);
  // users' requests are answered as well
  const answers = await Promise.all(
    Array.from({ length: 50 }, (_, n) => fetch(`http://${service.frontAddress}/v2/runs/req-${n}`)),
  );
  assert.ok(answers.every(({ status }) => status === 404));
  const status = readFileSync(`/proc/${controllerProcess?.pid}/status`, "utf8");
  console.log(`memory with ${WORKERS} workers: ${/VmRSS:\s*(\d+ kB)/.exec(status)?.[1]}`);
  for (const { agent } of workers) agent.destroy();
});
