/** Starts controllers with the deploy file's command beside the stand-ins, and acts as their users. */
import { spawn } from "node:child_process";
import fs from "node:fs";
import os from "node:os";
import path from "node:path";
import process from "node:process";
import { clearTimeout, setTimeout } from "node:timers";
import { fileURLToPath } from "node:url";
import { Cloud } from "./cloud.js";
import { freePort, Proxy, Record, seconds, send, sleep } from "./common.js";
import { StateService } from "./state-service.js";

const ROOT = fileURLToPath(new globalThis.URL("../../", import.meta.url));

/** The words of `run` in deploy/service.toml. */
const runCommand = () => {
  const file = fs.readFileSync(path.join(ROOT, "deploy/service.toml"), "utf8");
  const [program, ...args] = JSON.parse(/^run = (".*")$/m.exec(file)[1]).split(" ");
  return [program === "node" ? process.execPath : program, args];
};

export class World {
  jobs = new Map();
  runTimes = new Map();
  finished = new Set();
  seenOrders = new Set();
  gangs = new Map();
  onMachines = new Set();
  nodes = [];
  isOver = false;
  endedByItself = [];
  /** Tasks that started on one machine while they were on another. */
  ranTwice = [];

  /** `zones`: that of each controller. `params` and `cloud`: as in the settings and for the stand-in. */
  constructor(folder, { zones, params, cloud }) {
    Object.assign(this, { folder, zones, params });
    this.record = new Record(path.join(folder, "record.txt"));
    this.state = new StateService(params.state);
    this.cloud = new Cloud(this, { ...cloud, rps: params.cloud.rps, listLagS: params.cloud.list_lag_s });
  }

  async start() {
    await this.state.listen();
    await this.cloud.listen();
    this.temporary = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
    for (const [index, zone] of this.zones.entries())
      this.nodes.push({
        name: `hearth-${index}`,
        zone,
        front: `127.0.0.1:${await freePort()}`,
        peerBind: `127.0.0.1:${await freePort()}`,
        state: new Proxy(),
        peers: new Map(),
        process: null,
      });
    for (const node of this.nodes) {
      await node.state.listen(() => this.state.addr);
      for (const other of this.nodes)
        if (other !== node) {
          const proxy = new Proxy();
          await proxy.listen(() => other.peerBind);
          node.peers.set(other.name, proxy);
        }
    }
    for (const node of this.nodes) this.startNode(node);
  }

  startNode(node) {
    const config = {
      member: node.name,
      domain: node.zone,
      front: node.front,
      peer_bind: node.peerBind,
      seeds: [...node.peers].map(([member, proxy]) => ({
        member,
        domain: this.nodes.find(({ name }) => name === member).zone,
        addr: proxy.addr,
      })),
      external: { cloud: this.cloud.addr, state: node.state.addr },
      params: { initial_size: this.nodes.length, zones: [...new Set(this.zones)], ...this.params },
    };
    const file = path.join(this.temporary, `${node.name}.json`);
    fs.writeFileSync(file, JSON.stringify(config));
    const [program, args] = runCommand();
    const log = fs.openSync(path.join(this.temporary, `${node.name}.log`), "a");
    node.process = spawn(program, [...args, file], {
      cwd: ROOT,
      stdio: ["ignore", "ignore", log],
      env: { ...process.env, LOG_LEVEL: process.env.REVIEW_LOG ?? "error" },
    });
    node.process.on("exit", (code, signal) => {
      if (this.isOver) return;
      this.endedByItself.push(node.name);
      this.record.add(`${node.name}: ended by itself (${code ?? signal})`);
    });
    this.record.add(`${node.name}: started`);
  }

  stop() {
    this.isOver = true;
    for (const node of this.nodes) {
      node.process?.kill("SIGKILL");
      node.state.close();
      for (const proxy of node.peers.values()) proxy.close();
    }
    this.cloud.close();
    this.state.close();
    if (process.env.REVIEW_LOG === undefined) fs.rmSync(this.temporary, { recursive: true, force: true });
  }

  // --- troubles ----------------------------------------------------------------------------------------------

  /** The controller that the record of the term names as the leader. */
  leader() {
    const name = this.state.rows.get("cluster/leader")?.value?.member;
    return this.nodes.find((node) => node.name === name);
  }

  /** Cuts a controller from the state service and from the other controllers; connections are reset. */
  cutFromStateAndPeers(node) {
    this.record.add(`trouble: ${node.name} loses the state service and the other controllers`);
    for (const proxy of this.linksOf(node)) proxy.cut();
  }

  /** Cuts a controller from the state service alone; connections are reset. */
  cutFromState(node) {
    this.record.add(`trouble: ${node.name} loses the state service`);
    node.state.cut();
  }

  heal(node) {
    for (const proxy of this.linksOf(node)) proxy.heal();
    this.record.add(`trouble over: ${node.name} reaches all again`);
  }

  cloudOutage(isOut) {
    this.cloud.isOut = isOut;
    this.record.add(
      isOut ? "trouble: the cloud's interface is down" : "trouble over: the cloud's interface is up",
    );
  }

  linksOf(node) {
    const others = this.nodes.filter((other) => other !== node).map((other) => other.peers.get(node.name));
    return [node.state, ...node.peers.values(), ...others];
  }

  // --- what the machines see ---------------------------------------------------------------------------------

  taskStarts(worker, task) {
    const here = { worker, task };
    for (const other of this.onMachines) {
      if (other.task.chore !== task.chore || other.worker === worker || !other.worker.isWithinLease())
        continue;
      const left = other.worker.leaseFrom + this.params.workers.lease_s - seconds();
      this.ranTwice.push(task.chore);
      this.record.add(
        `RULE ran_twice: ${task.chore} starts on ${worker.machine.id} and is on ${other.worker.machine.id}, ` +
          `whose lease has ${left.toFixed(2)} s left`,
      );
    }
    this.onMachines.add(here);
    task.here = here;
    this.record.add(`${worker.machine.id}: ${task.chore}#${task.attempt} has its image`);
  }

  taskEnds(worker, task, cause) {
    this.onMachines.delete(task.here);
    if (this.isOver) return;
    this.record.add(`${worker.machine.id}: ${task.chore}#${task.attempt} ends: ${cause}`);
  }

  /** Processors that a team's tasks use on all machines. */
  usedCpus(crew) {
    let sum = 0;
    for (const { task } of this.onMachines) if (task.job.crew === crew) sum += task.job.vcpus;
    return sum;
  }

  gangOf(task) {
    const key = `${task.job.ref}#${task.attempt}`;
    if (!this.gangs.has(key)) this.gangs.set(key, new Map());
    return this.gangs.get(key);
  }

  gangRuns(task, members) {
    this.record.add(
      `gang ${task.job.ref}#${task.attempt} runs on ${members.map(({ worker }) => worker.machine.id)}`,
    );
    const runS = this.runTimes.get(task.job.ref);
    if (runS == null) return;
    const timer = setTimeout(() => {
      for (const { worker, task: peer } of members) worker.end(peer, "done");
    }, runS * 1000);
    for (const { task: peer } of members) peer.timer = timer;
  }

  /** A task of a gang is gone: those that run end within `gang_peer_s`, those that wait go on waiting. */
  gangLost(task) {
    const gang = this.gangOf(task);
    gang.delete(task.chore);
    for (const { worker, task: peer } of gang.values())
      if (peer.status === "running") {
        clearTimeout(peer.timer);
        setTimeout(() => worker.end(peer, "peers"), this.params.workers.gang_peer_s * 800);
      }
  }

  // --- users -------------------------------------------------------------------------------------------------

  /** A request through the load balancer: each new connection goes to the next controller. */
  async request(method, url, body, timeoutS) {
    this.turn = ((this.turn ?? -1) + 1) % this.nodes.length;
    for (let n = 0; n < 3; n++) {
      const node = this.nodes[(this.turn + n) % this.nodes.length];
      const answer = await send(node.front, method, url, body, { timeoutS });
      if (answer !== null) return { ...answer, node: node.name };
    }
    return null;
  }

  /** Repeats a request until one of `statuses` comes, as users do; null: it didn't within 60 s. */
  async untilAnswered(what, method, url, body, statuses) {
    const until = seconds() + 60;
    while (seconds() < until && !this.isOver) {
      const answer = await this.request(method, url, body, 5);
      if (answer !== null && statuses.includes(answer.status)) {
        this.record.add(`user: ${what}: ${answer.status} ${answer.json?.status ?? ""} from ${answer.node}`);
        return answer;
      }
      await sleep(1);
    }
    this.record.add(`user: ${what}: no answer`);
    return null;
  }

  /** Submits a job; `runS`: how long its tasks run, null for a service. */
  submit(job, runS) {
    const full = {
      ...{ gpus: 0, builds: null, district: null, together: false, apart: false, loaners: false },
      ...{ expected_s: runS ?? 0, bookmark_s: 0, stash_s: 0, due_s: null },
      ...job,
    };
    this.jobs.set(full.ref, full);
    this.runTimes.set(full.ref, runS);
    return this.untilAnswered(`submits ${full.ref}`, "POST", "/v2/runs", full, [200, 201, 400, 422]);
  }

  cancel(ref) {
    return this.untilAnswered(`cancels ${ref}`, "POST", `/v2/runs/${ref}/cancel`, "", [200, 404]);
  }

  /** What a user is told of a job now, by the controller that the load balancer chooses; null: no answer. */
  async statusOf(ref) {
    const answer = await this.request("GET", `/v2/runs/${ref}`, undefined, 2);
    return answer?.status === 200 ? answer.json.status : null;
  }

  /** Waits until `condition` holds; false: it didn't before `untilS`. */
  async until(condition, untilS) {
    while (seconds() < untilS) {
      if (await condition()) return true;
      await sleep(0.1);
    }
    return false;
  }
}

/** Runs a case: `play` gives true if the rule held, false if it was broken, and throws if the case couldn't run. */
export const runCase = async (world, play) => {
  let code = 2;
  const guard = setTimeout(() => {
    world.record.add("RESULT: the case couldn't run: it took too long");
    process.exit(2);
  }, 119_000);
  const giveUp = (error) => {
    world.record.add(`RESULT: the case couldn't run: ${error?.stack ?? error}`);
    process.exit(2);
  };
  for (const event of ["SIGINT", "SIGTERM", "uncaughtException", "unhandledRejection"])
    process.on(event, giveUp);
  // whatever ends this process, no controller outlives it
  process.on("exit", () => {
    for (const node of world.nodes) node.process?.kill("SIGKILL");
  });
  try {
    await world.start();
    const held = await play();
    if (world.endedByItself.length > 0) throw new Error(`ended by itself: ${world.endedByItself.join(" ")}`);
    code = held ? 0 : 1;
    world.record.add(held ? "RESULT: the rule held" : "RESULT: the rule was broken");
  } catch (error) {
    world.record.add(`RESULT: the case couldn't run: ${error.stack}`);
  }
  clearTimeout(guard);
  try {
    world.stop();
  } finally {
    process.exit(code);
  }
};
