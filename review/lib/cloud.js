/* global Buffer, clearTimeout, setTimeout */
/** Stand-ins of the cloud and of the workers' agents, as the protocol describes them. */
import http from "node:http";
import { ask, nowMs, serveJson, sleep } from "./http.js";

const taskId = ({ chore, try: attempt }) => `${chore}#${attempt}`;

/** One machine's agent. `jobs` has the descriptions that users uploaded, by id. */
export class Worker {
  constructor(id, options) {
    Object.assign(this, { id, ...options });
    this.shift = 1;
    this.tally = 0;
    this.baton = 0;
    this.tasks = new Map();
    this.images = new Set();
    this.nodeIndex = Math.floor(Math.random() * this.nodes.length);
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.alive = true;
    this.changed = false;
    this.refusedBodies = 0;
  }

  async start() {
    const { server, addr } = await serveJson(
      (...request) => this.handle(...request),
      (request) => {
        this.refusedBodies++;
        this.record.line("worker refused a body over 64 KiB", {
          worker: this.id,
          path: request.url,
          bytes: request.headers["content-length"],
        });
      },
    );
    this.server = server;
    this.addr = addr;
    this.leaseFrom = nowMs();
    void this.run();
  }

  stop() {
    this.alive = false;
    this.endAll("machine gone");
    this.agent.destroy();
    this.server?.closeAllConnections();
    this.server?.close();
  }

  report() {
    return {
      hearth: this.id,
      endpoint: this.addr,
      build: this.build,
      district: this.district,
      loaners: this.loaners,
      shift: this.shift,
      tally: ++this.tally,
      baton: this.baton,
      recall_s: null,
      chores: [...this.tasks.values()].map(({ chore, try: attempt, status, cause }) => ({
        chore,
        try: attempt,
        status,
        ...(cause === undefined ? {} : { cause }),
      })),
    };
  }

  endAll(why) {
    for (const task of this.tasks.values()) {
      clearTimeout(task.timer);
      if (task.status !== "ended") this.record.line("task gone", { task: task.chore, worker: this.id, why });
    }
    this.tasks.clear();
  }

  /** Sends reports until the machine is gone. */
  async run() {
    let nextAt = nowMs();
    let lastSentAt = -Infinity;
    while (this.alive) {
      await sleep(20);
      if (this.hung) continue;
      const now = nowMs();
      if (now - this.leaseFrom > this.params.lease_s * 1000) {
        this.endAll("lease expired");
        this.shift++;
        this.tally = 0;
        this.leaseFrom = now;
        this.record.line("worker begins another session", { worker: this.id, shift: this.shift });
        this.changed = true;
      }
      if (now < nextAt && !(this.changed && now - lastSentAt >= 500)) continue;
      this.changed = false;
      lastSentAt = nowMs();
      const wait = await this.sendReport();
      nextAt = wait ?? lastSentAt + this.params.report_s * 1000 * (0.75 + Math.random() * 0.5);
    }
  }

  /** Sends one report; returns when the next one is due if the answer decides that, or null. */
  async sendReport() {
    const sentAt = nowMs();
    const { shift } = this;
    const node = this.nodes[this.nodeIndex];
    const answer = await ask(this.agent, node.front, "POST", "/agent/beat", this.report(), 4000);
    if (!this.alive) return null;
    if (answer?.status === 200 && answer.json !== null) {
      if (answer.body.split("\n").some((line) => Buffer.byteLength(line) > 64 * 1024)) {
        this.record.line("answer with a line over 64 KiB", { worker: this.id, node: node.name });
        return this.nextNode();
      }
      const { baton } = answer.json;
      if (!(baton >= this.baton) || shift !== this.shift) return null;
      if (baton > this.baton) this.seeToken(baton);
      this.leaseFrom = sentAt;
      this.execute(answer.json.orders ?? []);
      return null;
    }
    const foreman = answer?.status === 421 ? answer.json?.foreman : undefined;
    const named = this.nodes.findIndex(({ name }) => name === foreman);
    if (named < 0 || named === this.nodeIndex) return this.nextNode();
    this.nodeIndex = named;
    this.agent.destroy();
    return nowMs() + Math.random() * 500;
  }

  nextNode() {
    this.nodeIndex = (this.nodeIndex + 1) % this.nodes.length;
    this.agent.destroy();
    return nowMs() + 1000;
  }

  seeToken(baton) {
    this.baton = baton;
    const now = nowMs();
    if (now - (this.tokenChangeAt ?? -Infinity) < (this.params.lease_s * 1000) / 2) return;
    this.tokenChangeAt = now;
    this.changed = true;
  }

  async handle(method, url, body) {
    while (this.hung && this.alive) await sleep(50);
    if (!this.alive) return null;
    if (url.pathname === "/status") return [200, this.report()];
    if (url.pathname !== "/orders") return [404, {}];
    this.onOrders?.(this, body);
    if (body.baton === undefined || body.shift === undefined)
      return [400, { error: "baton or shift missing" }];
    if (body.baton < this.baton || body.shift !== this.shift) return [409, this.report()];
    if (body.baton > this.baton) this.seeToken(body.baton);
    this.execute(body.orders ?? []);
    return [200, this.report()];
  }

  execute(orders) {
    for (const order of orders) {
      const id = taskId(order);
      const task = this.tasks.get(id);
      if (order.verb === "reap") {
        if (task?.status === "ended") this.tasks.delete(id);
      } else if (order.verb === "halt") {
        if (task !== undefined && task.status !== "ended") this.end(task, "stopped");
      } else if (order.verb === "start" && task === undefined) this.begin(order);
    }
  }

  used() {
    const used = { vcpus: 0, mem_gb: 0 };
    for (const task of this.tasks.values())
      if (task.status !== "ended") {
        used.vcpus += task.job.vcpus;
        used.mem_gb += task.job.mem_gb;
      }
    return used;
  }

  begin({ chore, try: attempt }) {
    const job = this.jobs.get(chore.split("/")[0]);
    const task = { chore, try: attempt, status: "fetching", job };
    this.tasks.set(taskId(task), task);
    this.changed = true;
    this.record.line("start", { task: chore, try: attempt, worker: this.id });
    this.onStart();
    const refuse = (cause) => Object.assign(task, { status: "ended", cause });
    if (job === undefined) return refuse("no_such");
    const twin = [...this.tasks.values()].some(
      (other) => other !== task && other.chore === chore && other.status !== "ended",
    );
    if (twin) return refuse("in_use");
    const used = this.used();
    if (used.vcpus > this.type.vcpus + 1e-6 || used.mem_gb > this.type.mem_gb + 1e-6) return refuse("full");
    const fetchMs = this.images.has(job.bundle) ? 0 : (job.image_gb / this.type.pull_gb_per_s) * 1000;
    task.timer = setTimeout(() => {
      this.images.add(job.bundle);
      task.status = "running";
      this.changed = true;
      this.record.line("running", { task: chore, worker: this.id });
      if (job.shape === "daemon") return;
      task.timer = setTimeout(() => this.end(task, "done"), job.run_s * 1000);
    }, fetchMs);
  }

  end(task, cause) {
    clearTimeout(task.timer);
    Object.assign(task, { status: "ended", cause });
    this.changed = true;
    this.record.line("ended", { task: task.chore, worker: this.id, cause });
  }
}

/** The cloud. `types` are the machine types with `startup_s`, `max` the machines that it has of them in all. */
export class Cloud {
  constructor({ types, max, nodes, params, jobs, record }) {
    Object.assign(this, { types, max, nodes, params, jobs, record });
    this.count = 0;
    /** How many start commands the workers have carried out. */
    this.starts = 0;
    this.rentals = new Map();
    this.machines = new Map();
    this.left = params.cloud.rps * 2;
    this.at = nowMs();
  }

  async start() {
    const { server, addr } = await serveJson((...request) => this.handle(...request));
    this.server = server;
    this.addr = addr;
  }

  stop() {
    for (const { worker } of this.machines.values()) worker?.stop();
  }

  allowed() {
    const { rps } = this.params.cloud;
    const now = nowMs();
    this.left = Math.min(rps * 2, this.left + ((now - this.at) / 1000) * rps);
    this.at = now;
    if (this.left < 1) return false;
    this.left--;
    return true;
  }

  async handle(method, url, body) {
    await sleep(5);
    if (!this.allowed()) return [429, { error: "rate" }];
    if (url.pathname === "/flavors") return [200, { builds: this.types }];
    if (url.pathname === "/rentals/release") return this.release(body);
    if (url.pathname !== "/rentals") return [404, {}];
    return method === "POST" ? this.rent(body) : this.list(url);
  }

  rent({ rental, build, district, loaners, how_many: wanted }) {
    const earlier = this.rentals.get(rental);
    if (earlier !== undefined) return [200, { hearths: earlier }];
    const type = this.types.find(({ label }) => label === build);
    if (type === undefined || !type.districts.includes(district) || !(wanted >= 1 && wanted <= 50))
      return [400, { error: "malformed" }];
    const count = Math.min(wanted, this.max - this.machines.size);
    if (count <= 0) return [503, { error: "no capacity" }];
    const names = Array.from({ length: count }, () => this.boot(type, district, loaners));
    this.rentals.set(rental, names);
    this.record.line("rented", { rental, names: names.join(",") });
    return [200, { hearths: names }];
  }

  boot(type, district, loaners) {
    const id = `n-${String(++this.count).padStart(6, "0")}`;
    const worker = new Worker(id, {
      ...{ build: type.label, district, loaners: loaners === true, type },
      ...{ nodes: this.nodes, params: this.params.workers, jobs: this.jobs, record: this.record },
      onStart: () => this.starts++,
      onOrders: (machine, body) => this.onOrders?.(machine, body),
    });
    const machine = { id, worker, since: nowMs(), up: false };
    this.machines.set(id, machine);
    setTimeout(() => {
      if (!this.machines.has(id)) return;
      void worker.start().then(() => (machine.up = true));
    }, type.startup_s * 1000);
    return id;
  }

  release({ hearths }) {
    if (!Array.isArray(hearths) || hearths.length > 100) return [400, { error: "malformed" }];
    this.onRelease?.(hearths);
    for (const id of hearths) {
      const machine = this.machines.get(id);
      if (machine === undefined) continue;
      this.record.line("returned", { machine: id });
      this.machines.delete(id);
      if (machine.up) machine.worker.stop();
    }
    return [200, {}];
  }

  list(url) {
    const from = url.searchParams.get("from") ?? "";
    const most = Math.min(500, Number(url.searchParams.get("most") ?? 500));
    const lagMs = this.params.cloud.list_lag_s * 1000;
    const listed = [...this.machines.values()]
      .filter(({ id, since }) => id > from && nowMs() - since > lagMs)
      .sort((a, b) => (a.id < b.id ? -1 : 1));
    const rows = listed.slice(0, most).map(({ id, worker, since, up }) => ({
      ref: id,
      endpoint: up ? worker.addr : null,
      build: worker.build,
      district: worker.district,
      loaners: worker.loaners,
      status: up ? "running" : "starting",
      held_s: Math.max(0, (nowMs() - since - lagMs) / 1000),
    }));
    return [200, { hearths: rows, more: listed.length > most }];
  }
}
