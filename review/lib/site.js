/* global URL, setTimeout */
/** Starts the controllers of a small site with the deploy file's run command, and users that speak to them. */
import { spawn } from "node:child_process";
import http from "node:http";
import { mkdtempSync, readFileSync, rmSync, writeFileSync, openSync, closeSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { ask, freePort, Record, sleep } from "./http.js";
import { Cloud } from "./cloud.js";
import { StateService } from "./state.js";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));

const runCommand = () => {
  const line = /^run = (.*)$/m.exec(readFileSync(join(ROOT, "deploy/service.toml"), "utf8"));
  return JSON.parse(line[1]).split(" ");
};

/** Exit codes of a case's program, which `run.sh` maps to its own: a program that fails isn't a broken rule. */
export const exitCodes = { held: 0, broken: 10, notRun: 2 };
/** A run that takes longer than this is ended as one that couldn't run. */
const MAX_RUN_MS = 118_000;

/** A small site: controllers, a state service, a cloud with workers. */
export class Site {
  constructor({ folder, params, zones, types, maxMachines, controllers = 3 }) {
    this.record = new Record(join(folder, "record.txt"));
    this.params = params;
    this.dir = mkdtempSync(join(tmpdir(), "review-"));
    this.jobs = new Map();
    this.nodes = [];
    this.restartMs = 3000;
    this.restartEnded = true;
    this.ended = [];
    this.options = { zones, types, maxMachines, controllers };
    process.on("exit", () => this.killAll());
    process.on("uncaughtException", (error) => this.finish(exitCodes.notRun, String(error.stack)));
    setTimeout(() => this.finish(exitCodes.notRun, "the time is over"), MAX_RUN_MS).unref();
    for (const signal of ["SIGINT", "SIGTERM"]) process.on(signal, () => process.exit(exitCodes.notRun));
  }

  async start() {
    const { zones, types, maxMachines, controllers } = this.options;
    for (let at = 0; at < controllers; at++)
      this.nodes.push({
        name: `hearth-${at}`,
        zone: zones[at % zones.length],
        front: `127.0.0.1:${await freePort()}`,
        peer: `127.0.0.1:${await freePort()}`,
        child: null,
        restarts: 0,
      });
    this.state = new StateService(this.params.state);
    for (const node of this.nodes) node.stateAddr = await this.state.start(node.name);
    this.cloud = new Cloud({
      ...{ types, max: maxMachines, nodes: this.nodes },
      ...{ params: this.params, jobs: this.jobs, record: this.record },
    });
    await this.cloud.start();
    for (const node of this.nodes) this.startNode(node);
  }

  startNode(node) {
    const config = join(this.dir, `${node.name}.json`);
    const seeds = this.nodes.filter((other) => other !== node);
    writeFileSync(
      config,
      JSON.stringify({
        member: node.name,
        domain: node.zone,
        front: node.front,
        peer_bind: node.peer,
        seeds: seeds.map(({ name, zone, peer }) => ({ member: name, domain: zone, addr: peer })),
        external: { cloud: this.cloud.addr, state: node.stateAddr },
        params: this.params,
      }),
    );
    const [program, ...args] = runCommand();
    node.log = join(this.dir, `${node.name}.log`);
    const log = openSync(node.log, "a");
    const child = spawn(program, [...args, config], {
      cwd: ROOT,
      stdio: ["ignore", "ignore", log],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? "info" },
    });
    closeSync(log);
    node.child = child;
    this.record.line("controller started", { node: node.name });
    child.on("exit", (code, signal) => {
      if (node.child !== child) return;
      node.child = null;
      if (this.stopping) return;
      this.ended.push({ node: node.name, at: this.record.seconds(), code, signal });
      this.record.say("controller ended by itself", {
        node: node.name,
        code: code ?? -1,
        signal: signal ?? "",
      });
      if (this.restartEnded) setTimeout(() => !this.stopping && this.startNode(node), this.restartMs);
    });
  }

  /** Kills a controller; it comes back after `restartMs`, or never if that is null. */
  kill(node, restartMs) {
    const { child } = node;
    node.child = null;
    child?.kill("SIGKILL");
    this.record.say("controller killed", { node: node.name });
    if (restartMs !== null) setTimeout(() => !this.stopping && this.startNode(node), restartMs);
  }

  killAll() {
    this.stopping = true;
    for (const node of this.nodes) node.child?.kill("SIGKILL");
    rmSync(this.dir, { recursive: true, force: true });
  }

  async untilUp(seconds = 30) {
    for (let tries = 0; tries < seconds * 4; tries++) {
      const answers = await Promise.all(
        this.nodes.map(({ front }) => ask(false, front, "GET", "/up", undefined, 1000)),
      );
      if (answers.every((answer) => answer?.status === 200)) return;
      await sleep(250);
    }
    this.finish(exitCodes.notRun, "the controllers didn't come up");
  }

  finish(code, text) {
    const result = Object.keys(exitCodes).find((name) => exitCodes[name] === code);
    this.record.say("result", { result, text, state: this.state?.counts ?? null });
    this.cloud?.stop();
    this.record.flush();
    process.exit(code);
  }
}

/** A user's way to the controllers: one connection a request, to a node that accepts it, at most three tries. */
export class Users {
  constructor(site) {
    this.site = site;
    this.turn = 0;
  }

  async send(method, path, value, timeoutMs) {
    const { nodes } = this.site;
    for (let tries = 0; tries < 3; tries++) {
      const node = nodes[this.turn++ % nodes.length];
      if (node.child === null) continue;
      const agent = new http.Agent({ keepAlive: false });
      const answer = await ask(agent, node.front, method, path, value, timeoutMs);
      return { node: node.name, ...(answer ?? { status: 0, json: null }) };
    }
    return { node: "-", status: 0, json: null };
  }

  /** Submits a job until it is decided; returns the last answer. */
  async submit(job, seconds = 60) {
    const { run_s: runs, ...body } = job;
    this.site.jobs.set(job.ref, job);
    const { record } = this.site;
    const until = record.seconds() + seconds;
    for (;;) {
      const answer = await this.send("POST", "/v2/runs", body, 5000);
      if ([200, 201, 400, 422].includes(answer.status) || record.seconds() > until) {
        const state = answer.json?.status ?? "";
        record.line("submitted", { ref: job.ref, runs: runs ?? 0, answer: answer.status, state });
        return answer;
      }
      await sleep(1000 * Math.max(1, Number(answer.retryAfter ?? 1)));
    }
  }

  async poll(ref) {
    const answer = await this.send("GET", `/v2/runs/${ref}`, undefined, 2000);
    const state = answer.json?.status ?? "";
    this.site.record.line("polled", { ref, node: answer.node, answer: answer.status, state });
    return answer;
  }

  async cancel(ref) {
    const answer = await this.send("POST", `/v2/runs/${ref}/cancel`, {}, 5000);
    const state = answer.json?.status ?? "";
    this.site.record.line("cancelled", { ref, node: answer.node, answer: answer.status, state });
    return answer;
  }
}

/** A submission with the usual values. `run_s`: how long each task runs, which only workers know. */
export const jobOf = (ref, overrides = {}) => ({
  ref,
  ...{ roster: "maps", crew: "red", shape: "array", urgency: "normal", chores: 1 },
  ...{ vcpus: 1, gpus: 0, mem_gb: 1, bundle: "img-1", image_gb: 0.2, builds: null, district: null },
  ...{ together: false, apart: false, loaners: false, expected_s: 20, bookmark_s: 0, stash_s: 0 },
  run_s: 20,
  ...overrides,
});

export const refOf = (number) => `req-${String(number).padStart(6, "0")}`;
