/**
 * One controller alone with 4,000 workers, each of which keeps its connection while it may. Its sockets are fewer than
 * the workers: they have to take turns, and none may be left unheard. Bounded in count; no verdict depends on the clock.
 */
import assert from "node:assert/strict";
import type { ChildProcess } from "node:child_process";
import { readFileSync } from "node:fs";
import http from "node:http";
import { after, before, test } from "node:test";
import { freePort, startController, until, writeSettings } from "./controller-process.js";
import { FakeCloud } from "./fakes/fake-cloud.js";
import { FakeStateService } from "./fakes/fake-state-service.js";

const WORKERS = 4000;
const MAX_CONNECTIONS = 2500;
/** Workers that heartbeat at the same time. */
const AT_ONCE = 100;
const ROUNDS = 2;
/** A controller that gets too little of the processor to renew its lease answers 503, and is asked again, as by a worker. */
const ATTEMPTS = 100;
const ATTEMPT_EVERY_MS = 100;
const NO_CONNECTION = 0;

const state = new FakeStateService();
const cloud = new FakeCloud(() => front);
let front = "";
let child: ChildProcess | null = null;

before(async () => {
  await state.start();
  await cloud.start();
  front = `127.0.0.1:${await freePort()}`;
  const settings = writeSettings({
    member: "one",
    domain: "east",
    front,
    peer_bind: `127.0.0.1:${await freePort()}`,
    seeds: [],
    external: { cloud: cloud.addr, state: state.addr },
    params: {
      zones: ["east"],
      teams: [{ name: "red", cpus: 100, cpus_max: 0, gpus: 0, gpus_max: 0 }],
      workers: { report_s: 30, lease_s: 300, cancel_s: 600 },
      state: { rps: 1000, write_rps: 1000, value_kb: 16, txn_ops: 16 },
      cloud: { rps: 50, list_lag_s: 1 },
      machine_limits: { max_connections: MAX_CONNECTIONS },
    },
  });
  child = startController(settings);
  await until("the node is up", async () => (await fetch(`http://${front}/up`)).status === 200);
});
after(() => {
  child?.kill("SIGKILL");
  cloud.stop();
  state.stop();
});

/** A worker without tasks, with at most one connection of its own. */
class IdleWorker {
  readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  private seq = 0;

  constructor(private readonly id: string) {}

  /** Reports until it is answered or finds no connection. */
  async reportUntilAnswered(): Promise<number> {
    let status = 503;
    for (let attempt = 0; attempt < ATTEMPTS && status === 503; attempt++) {
      if (attempt > 0) await new Promise((resolve) => setTimeout(resolve, ATTEMPT_EVERY_MS));
      status = await this.report();
    }
    return status;
  }

  private report(): Promise<number> {
    const body = JSON.stringify({
      hearth: this.id,
      endpoint: "127.0.0.1:9",
      build: "small",
      district: "east",
      loaners: false,
      shift: 1,
      tally: ++this.seq,
      baton: 0,
      recall_s: null,
      chores: [],
    });
    const [host, port] = front.split(":");
    return new Promise((resolve) => {
      const request = http.request({ host, port, method: "POST", path: "/agent/beat", agent: this.agent });
      request.setTimeout(20_000, () => request.destroy());
      request.on("error", () => resolve(NO_CONNECTION));
      request.on("response", (response) => {
        response.resume().on("end", () => resolve(response.statusCode ?? 0));
      });
      request.end(body);
    });
  }
}

test("4,000 workers are all heard by a controller with sockets for half of them", async () => {
  const workers = Array.from(
    { length: WORKERS },
    (_, n) => new IdleWorker(`n-${String(n).padStart(6, "0")}`),
  );
  let failed = 0;
  for (let round = 0; round < ROUNDS; round++) {
    for (let at = 0; at < WORKERS; at += AT_ONCE) {
      const some = workers.slice(at, at + AT_ONCE);
      const answers = await Promise.all(some.map((worker) => worker.reportUntilAnswered()));
      failed += answers.filter((status) => status !== 200).length;
    }
  }
  assert.equal(failed, 0);
  // users find room beside them
  const answers = await Promise.all(
    Array.from({ length: 50 }, (_, n) => fetch(`http://${front}/v2/runs/req-${n}`)),
  );
  assert.ok(answers.every(({ status }) => status === 404));
  const status = readFileSync(`/proc/${child?.pid}/status`, "utf8");
  console.log(`memory with ${WORKERS} workers: ${/VmRSS:\s*(\d+ kB)/.exec(status)?.[1]}`);
  for (const { agent } of workers) agent.destroy();
});
