/* global setInterval, clearInterval */
/**
 * A stand-in for a worker, by the protocol page: reports, leases and sessions, tokens, orders. What its tasks do is
 * decided by `describe(job)`, which stands for the description that users upload: null if the job wasn't submitted,
 * else `{ vcpus, runMs, fails }`, with `runMs` null for a replica, and `fails` if it has a mistake. Image fetches take `FETCH_MS`.
 */
import { clock, closeServer, listen, request, serveJson, sleep } from "./wire.js";

const FETCH_MS = 300;
/** How long a task of a job with a mistake runs before it fails. */
const FAILURE_MS = 200;
const REPORT_TIMEOUT_MS = 4000;
const MIN_REPORT_GAP_MS = 500;
const TICK_MS = 20;

const describeOrders = (orders) =>
  (orders ?? []).map(({ verb, chore, try: attempt }) => `${verb} ${chore}#${attempt}`).join(", ");

/** One worker on one machine. `log(event)` is called for whatever happens to its tasks, `note(text)` for messages. */
export class Worker {
  constructor({ id, build, district, vcpus, nodes, settings, describe, log, note }) {
    Object.assign(this, { id, build, district, vcpus, nodes, settings, describe, log });
    this.note = (text) => note(`${id} ${text}`);
    this.shift = 1;
    this.tally = 0;
    this.baton = 0;
    this.tasks = new Map();
    this.isCut = false;
    this.isGone = false;
    this.held = [];
    this.leaseFrom = clock();
    this.nodeIndex = Math.floor(Math.random() * nodes.length);
    this.changed = false;
    this.lastReportAt = -Infinity;
    this.lastBatonReportAt = -Infinity;
    this.answeredReports = 0;
  }

  async start() {
    if (this.isGone) return;
    this.server = serveJson((method, url, body) => this.handle(method, url, body));
    this.addr = await listen(this.server);
    if (this.isGone) return closeServer(this.server);
    this.ticker = setInterval(() => this.tick(), TICK_MS);
    void this.reportLoop();
  }

  /** The machine is deleted, with everything on it. */
  remove() {
    this.isGone = true;
    clearInterval(this.ticker);
    for (const task of this.tasks.values()) this.leave(task, "machine deleted");
    this.tasks.clear();
    if (this.server !== undefined) closeServer(this.server);
  }

  /** Cuts the machine off: it sends and hears nothing, and what was sent to it meanwhile is lost (reset) at the end. */
  setCut(isCut) {
    this.isCut = isCut;
    if (isCut) return;
    for (const release of this.held) release();
    this.held = [];
    this.server.closeAllConnections();
  }

  handle(method, url, body) {
    if (this.isGone) return null;
    if (this.isCut)
      return new Promise((resolve) => {
        this.held.push(() => resolve(null));
      });
    if (method === "GET" && url.pathname === "/status") return [200, this.report()];
    if (method !== "POST" || url.pathname !== "/orders") return [404, {}];
    if (body?.baton === undefined || body?.shift === undefined) return [400, {}];
    if (body.baton < this.baton || body.shift !== this.shift) {
      this.note(`/orders baton ${body.baton} shift ${body.shift}: 409`);
      return [409, this.report()];
    }
    this.note(`/orders baton ${body.baton}: 200 ${describeOrders(body.orders)}`);
    this.see(body.baton);
    this.execute(body.orders ?? []);
    return [200, this.report()];
  }

  see(baton) {
    if (baton <= this.baton) return;
    this.baton = baton;
    if (clock() - this.lastBatonReportAt < (this.settings.lease_s * 1000) / 2) return;
    this.lastBatonReportAt = clock();
    this.changed = true;
  }

  report() {
    this.tally++;
    return {
      hearth: this.id,
      endpoint: this.addr,
      build: this.build,
      district: this.district,
      loaners: false,
      shift: this.shift,
      tally: this.tally,
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

  execute(orders) {
    for (const order of orders) {
      const key = `${order.chore}#${order.try}`;
      const task = this.tasks.get(key);
      if (order.verb === "reap" && task?.status === "ended") this.tasks.delete(key);
      else if (order.verb === "halt" && task !== undefined && task.status !== "ended")
        this.end(task, "stopped");
      else if (order.verb === "start" && task === undefined) this.begin(key, order);
    }
  }

  /** The processors that no task takes now. */
  freeCpus() {
    const taken = [...this.tasks.values()].filter((task) => task.status !== "ended");
    return taken.reduce((free, task) => free - task.vcpus, this.vcpus);
  }

  begin(key, { chore, try: attempt }) {
    const description = this.describe(chore.split("/")[0]);
    const others = [...this.tasks.values()].filter((task) => task.status !== "ended");
    const task = {
      key,
      chore,
      try: attempt,
      status: "fetching",
      vcpus: description?.vcpus ?? 0,
      isOn: false,
    };
    this.tasks.set(key, task);
    this.changed = true;
    const used = others.reduce((sum, other) => sum + other.vcpus, 0);
    if (description === null) this.refuse(task, "no_such");
    else if (others.some((other) => other.chore === chore)) this.refuse(task, "in_use");
    else if (used + task.vcpus > this.vcpus) this.refuse(task, "full");
    else task.readyAt = clock() + FETCH_MS;
  }

  refuse(task, cause) {
    Object.assign(task, { status: "ended", cause });
  }

  /** The task has its image: it is on the machine from now on. */
  run(task) {
    const { runMs, fails } = this.describe(task.chore.split("/")[0]) ?? { runMs: 0, fails: false };
    task.status = "running";
    task.isOn = true;
    task.endsAt = runMs === null ? Infinity : clock() + (fails ? FAILURE_MS : runMs);
    task.cause = undefined;
    task.endsWith = fails ? "error" : "done";
    this.log({ machine: this.id, chore: task.chore, try: task.try, what: "on" });
    this.changed = true;
  }

  leave(task, cause) {
    if (!task.isOn) return;
    task.isOn = false;
    this.log({ machine: this.id, chore: task.chore, try: task.try, what: "off", cause });
  }

  end(task, cause) {
    this.leave(task, cause);
    Object.assign(task, { status: "ended", cause });
    this.changed = true;
  }

  /** A running task fails, as on a faulty machine. Gives its name, or null if none of the job runs here. */
  fail(job) {
    for (const task of this.tasks.values())
      if (task.isOn && task.chore.split("/")[0] === job) {
        this.end(task, "error");
        return task.chore;
      }
    return null;
  }

  tick() {
    const now = clock();
    for (const task of this.tasks.values()) {
      if (task.status === "fetching" && now >= task.readyAt) this.run(task);
      else if (task.status === "running" && now >= task.endsAt) this.end(task, task.endsWith);
    }
    if (now - this.leaseFrom <= this.settings.lease_s * 1000) return;
    for (const task of this.tasks.values()) this.leave(task, "lease expired");
    this.tasks.clear();
    this.shift++;
    this.leaseFrom = now;
    this.changed = true;
    this.log({ machine: this.id, what: "session", shift: this.shift });
  }

  /** Waits until the next report is due: after the interval, give or take a quarter, or soon after a change. */
  async untilDue() {
    const dueAt = clock() + this.settings.report_s * 1000 * (0.75 + Math.random() / 2);
    while (!this.isGone && clock() < dueAt) {
      if (this.changed && clock() - this.lastReportAt >= MIN_REPORT_GAP_MS) return;
      await sleep(TICK_MS);
    }
  }

  async reportLoop() {
    await sleep(Math.random() * 300);
    while (!this.isGone) {
      const pauseMs = await this.reportOnce();
      if (pauseMs === null) await this.untilDue();
      else await sleep(pauseMs);
    }
  }

  /** Sends one report; gives null if it was answered 200, else the pause before the next try. */
  async reportOnce() {
    this.changed = false;
    const sentAt = clock();
    this.lastReportAt = sentAt;
    const { shift } = this;
    const node = this.nodes[this.nodeIndex % this.nodes.length];
    const wasCut = this.isCut;
    const answer = wasCut ? null : await request("POST", node.front, "/agent/beat", this.report(), 4000);
    // an attempt that begins in a cut, or whose answer falls into one, hangs until its timeout
    if (wasCut || this.isCut) {
      this.changed = true;
      await sleep(REPORT_TIMEOUT_MS - (clock() - sentAt));
      this.nodeIndex++;
      return 1000;
    }
    this.note(
      `report ${this.tally} to ${node.member}: ${answer?.status ?? "no answer"} ${JSON.stringify(answer?.body)}`,
    );
    if (answer?.status === 200) {
      this.apply(answer.body, sentAt, shift);
      return null;
    }
    this.changed = true;
    const named = answer?.status === 421 ? answer.body?.foreman : undefined;
    const index = this.nodes.findIndex(({ member }) => member === named);
    if (index >= 0 && index !== this.nodeIndex % this.nodes.length) {
      this.nodeIndex = index;
      return Math.random() * 500;
    }
    this.nodeIndex++;
    return 1000;
  }

  apply(body, sentAt, shift) {
    if (shift !== this.shift || !(body?.baton >= this.baton)) return;
    this.see(body.baton);
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    this.answeredReports++;
    this.execute(body.orders ?? []);
  }
}
