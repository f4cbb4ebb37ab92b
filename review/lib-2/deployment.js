/* global setTimeout, clearTimeout */
/**
 * A small deployment on loopback: controllers started with the `run` command of the deploy file, a stand-in for each
 * outside system, and a relay for each direction between two controllers. Everything that happens goes to the record.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { URL, fileURLToPath } from "node:url";
import { Cloud } from "./cloud.js";
import { StateService } from "./state-service.js";
import { clock, freePort, Relay, request, sleep } from "./wire.js";
import { Worker } from "./worker.js";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const USER_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;

const runCommand = () => {
  const text = readFileSync(join(ROOT, "deploy/service.toml"), "utf8");
  return JSON.parse(/^run = (.*)$/m.exec(text)[1]).split(" ");
};

/** Thrown if a case can't be run as planned; the script then exits with 2. */
export class CannotRun extends Error {}

/** The whole deployment. `options`: `controllers` (name and zone), `params`, `build`, `maxMachines`, `recordFile`. */
export class Deployment {
  constructor(options) {
    this.options = options;
    this.startedAt = clock();
    this.lines = [];
    this.jobs = new Map();
    this.events = [];
    this.endedByItself = false;
    this.folder = mkdtempSync(join(tmpdir(), "review-"));
    this.controllers = new Map();
    this.relays = new Map();
  }

  /** Seconds since the start. */
  now() {
    return (clock() - this.startedAt) / 1000;
  }

  /** Writes a line to the record. */
  note(text) {
    this.lines.push(`${this.now().toFixed(3).padStart(8)}  ${text}`);
  }

  log(event) {
    this.events.push({ at: this.now(), ...event });
    this.note(JSON.stringify(event));
  }

  async start() {
    const { controllers, params, build, maxMachines } = this.options;
    this.state = new StateService(params.state);
    this.nodes = [];
    for (const { member } of controllers)
      this.nodes.push({
        member,
        front: `127.0.0.1:${await freePort()}`,
        peerBind: `127.0.0.1:${await freePort()}`,
      });
    this.cloud = new Cloud({
      build,
      maxMachines,
      listLagS: params.cloud.list_lag_s,
      newWorker: (id, district) => this.newWorker(id, district),
      log: (event) => this.log(event),
    });
    await this.cloud.start();
    for (const from of this.nodes)
      for (const to of this.nodes) {
        if (from === to) continue;
        const relay = new Relay(to.peerBind);
        await relay.open();
        this.relays.set(`${from.member}>${to.member}`, relay);
      }
    for (const { member } of controllers) {
      const relay = new Relay(await this.state.addressFor(member));
      await relay.open();
      this.relays.set(`${member}>state`, relay);
    }
    for (const { member, domain } of controllers) await this.configure(member, domain);
    for (const { member } of controllers) this.startController(member);
  }

  newWorker(id, district) {
    const { params, build } = this.options;
    return new Worker({
      ...{ id, district, build: build.label, vcpus: build.vcpus, nodes: this.nodes },
      settings: params.workers,
      describe: (job) => this.jobs.get(job) ?? null,
      log: (event) => this.log(event),
      note: (text) => this.note(text),
    });
  }

  async configure(member, domain) {
    const { controllers, params } = this.options;
    const node = this.nodes.find((candidate) => candidate.member === member);
    const config = {
      ...{ member, domain, front: node.front, peer_bind: node.peerBind },
      seeds: controllers
        .filter((other) => other.member !== member)
        .map((other) => ({ ...other, addr: this.relays.get(`${member}>${other.member}`).addr })),
      external: { cloud: this.cloud.addr, state: this.relays.get(`${member}>state`).addr },
      params,
    };
    const file = join(this.folder, `${member}.json`);
    writeFileSync(file, JSON.stringify(config));
    this.controllers.set(member, {
      file,
      process: null,
      log: openSync(join(this.folder, `${member}.log`), "a"),
    });
  }

  startController(member) {
    const controller = this.controllers.get(member);
    const [command, ...args] = runCommand();
    controller.process = spawn(command === "node" ? process.execPath : command, [...args, controller.file], {
      cwd: ROOT,
      stdio: ["ignore", "ignore", controller.log],
      env: { ...process.env, LOG_LEVEL: process.env["REVIEW_LOG_LEVEL"] ?? "info" },
    });
    this.note(`controller ${member} started, process ${controller.process.pid}`);
    const { process: child } = controller;
    child.once("exit", (code) => {
      // one that the test killed isn't its process any more
      if (controller.process !== child) return;
      this.endedByItself = true;
      this.note(`controller ${member} ended by itself with code ${code}`);
    });
  }

  kill(member) {
    this.controllers.get(member).process?.kill("SIGKILL");
    this.controllers.get(member).process = null;
    this.note(`controller ${member} killed`);
  }

  /** The controller's log so far, as text. */
  logOf(member) {
    return readFileSync(join(this.folder, `${member}.log`), "utf8");
  }

  /** The controller that holds the leader's key now; null if there is none. */
  leader() {
    return this.state.rows.get("cluster/leader")?.value?.member ?? null;
  }

  /** Refuses the connections between controllers, or lets them through again. */
  async setPeersRefused(isRefused) {
    for (const [name, relay] of this.relays) {
      if (name.endsWith(">state")) continue;
      if (isRefused) relay.refuse();
      else await relay.open();
    }
    this.note(`connections between controllers are ${isRefused ? "refused" : "let through again"}`);
  }

  /** Cuts one controller off from the state service. */
  setStateCut(member, isCut) {
    this.relays.get(`${member}>state`).setCut(isCut);
    this.note(`controller ${member} ${isCut ? "loses" : "reaches"} the state service`);
  }

  /** Whether all controllers are healthy and the term names as many members as there are controllers. */
  async isReady() {
    for (const { front } of this.nodes)
      if ((await request("GET", front, "/up", undefined, 1000))?.status !== 200) return false;
    return this.state.rows.get("cluster/term")?.value?.members?.length === this.nodes.length;
  }

  async until(what, limitS, condition) {
    const end = clock() + limitS * 1000;
    for (;;) {
      const value = await condition();
      if (value) return value;
      if (clock() > end) throw new CannotRun(`never within ${limitS} s: ${what}`);
      await sleep(50);
    }
  }

  /** One request of a user, through the given controller. */
  async ask(member, method, path, body) {
    const { front } = this.nodes.find((node) => node.member === member);
    const timeout = method === "GET" ? POLL_TIMEOUT_MS : USER_TIMEOUT_MS;
    const answer = await request(method, front, path, body, timeout);
    const shown = answer === null ? "no answer" : `${answer.status} ${JSON.stringify(answer.body)}`;
    this.note(`user ${method} ${path} via ${member}: ${shown}`);
    return answer;
  }

  /** Submits a job, at the controllers in turn, until it is accepted. `runMs`, `fails`: see `Worker`. */
  async submit(job, runMs, fails = false) {
    this.jobs.set(job.ref, { vcpus: job.vcpus, runMs, fails });
    for (let tries = 0; tries < 60; tries++) {
      const { member } = this.nodes[tries % this.nodes.length];
      const answer = await this.ask(member, "POST", "/v2/runs", job);
      if (answer?.status === 200 || answer?.status === 201) return member;
      await sleep(1000);
    }
    throw new CannotRun(`${job.ref} was not accepted`);
  }

  /** How many of the job's tasks are on machines now. */
  onMachines(job) {
    const on = new Map();
    for (const { chore, machine, what } of this.events) {
      if (chore?.split("/")[0] !== job) continue;
      if (what === "on") on.set(`${chore} ${machine}`, machine);
      else if (what === "off") on.delete(`${chore} ${machine}`);
    }
    return on;
  }

  /** Ends every process and stand-in, and writes the record. */
  stop(verdict) {
    for (const { process: child } of this.controllers.values()) child?.kill("SIGKILL");
    this.cloud?.stop();
    this.state?.stop();
    for (const relay of this.relays.values()) relay.refuse();
    const counts = [...(this.state?.statuses ?? [])]
      .map(([status, count]) => `${status}: ${count}`)
      .join(", ");
    this.note(`answers of the state service by status: ${counts}`);
    this.note(verdict);
    writeFileSync(this.options.recordFile, `${this.lines.join("\n")}\n`);
    if (process.env["REVIEW_KEEP"] === undefined) rmSync(this.folder, { recursive: true, force: true });
    else process.stdout.write(`kept ${this.folder}\n`);
  }
}

/** The settings of the platform's page in the form that all cases share; `changes` replaces some of them. */
export const smallParams = (changes = {}) => ({
  initial_size: 3,
  zones: ["norte", "sur"],
  teams: [{ name: "red", cpus: 16, cpus_max: 64, gpus: 0, gpus_max: 0 }],
  objectives: [],
  workers: { report_s: 6, lease_s: 34, gang_wait_s: 45, gang_peer_s: 4, cancel_s: 59 },
  state: { rps: 180, write_rps: 60, value_kb: 16, txn_ops: 16 },
  cloud: { rps: 4, list_lag_s: 8 },
  machine_limits: { core_share: 0.34, ram_mb: 306, max_connections: 2500 },
  clock_off_ms: 1000,
  ...changes,
});

/** A submission with all required fields; `changes` replaces some of them. */
export const job = (ref, changes = {}) => ({
  ...{ ref, roster: "maps", crew: "red", shape: "array", urgency: "normal", chores: 1 },
  ...{ vcpus: 1, gpus: 0, mem_gb: 1, bundle: "maps", image_gb: 0.1, builds: null, district: null },
  ...{ together: false, apart: false, loaners: false, expected_s: 20, bookmark_s: 0, stash_s: 0 },
  ...{ due_s: null },
  ...changes,
});

const MAX_STARTS = 3;
const START_CHECK_MS = 1500;

/** Whether all controllers are still there a moment after their start; one whose port is taken ends at once. */
const comesUp = async (deployment) => {
  await sleep(START_CHECK_MS);
  return !deployment.endedByItself;
};

/** Runs a case: `play(deployment, isTroubled)` resolves to the text of the broken rule, or null if it held. */
export const runCase = async (options, play) => {
  const isTroubled = process.env["TROUBLE"] !== "0";
  let deployment = new Deployment(options);
  let code = 2;
  let verdict = "";
  const watchdog = setTimeout(() => {
    deployment.stop("could not run: 118 s are over");
    process.exit(2);
  }, 118_000);
  const failed = (error) => {
    deployment.stop(`could not run: ${error.stack}`);
    process.exit(2);
  };
  process.once("uncaughtException", failed);
  const interrupted = () => {
    deployment.stop("could not run: interrupted");
    process.exit(2);
  };
  process.once("SIGINT", interrupted);
  process.once("SIGTERM", interrupted);
  try {
    await deployment.start();
    for (let tries = 1; tries < MAX_STARTS && !(await comesUp(deployment)); tries++) {
      deployment.stop("a port was taken between its choice and its use: started again with others");
      deployment = new Deployment(options);
      await deployment.start();
    }
    const broken = await play(deployment, isTroubled);
    code = broken === null ? 0 : 1;
    verdict = broken === null ? "the rule held" : `the rule was broken: ${broken}`;
  } catch (error) {
    verdict = `could not run: ${error instanceof CannotRun ? error.message : error.stack}`;
  }
  clearTimeout(watchdog);
  deployment.stop(verdict);
  process.stdout.write(`${verdict}\n`);
  process.exit(code);
};
