/** A stand-in of a worker: reports, commands, tokens, leases, image fetches, arrays, services and gangs. */
import http from "node:http";
import { clearTimeout, setTimeout } from "node:timers";
import { JsonServer, seconds, send } from "./common.js";

const MIN_REPORT_GAP_S = 0.5;
const REPORT_TIMEOUT_S = 4;

export class Worker extends JsonServer {
  shift = 1;
  tally = 0;
  baton = 0;
  tasks = new Map();
  images = new Set();
  fetches = new Map();
  isGone = false;
  isHung = false;
  resumed = null;
  isChanged = false;
  batonReportedAt = -Infinity;
  reportTimer = null;
  inFlight = false;
  sentAt = -Infinity;
  /** When a report was last answered with a valid token, and since when nothing has been on the machine. */
  answeredAt = null;
  emptySince = seconds();
  agent = new http.Agent({ keepAlive: true, maxSockets: 1 });

  constructor(world, machine) {
    super();
    this.world = world;
    this.machine = machine;
    this.node = Math.floor(Math.random() * world.nodes.length);
  }

  begin() {
    this.leaseFrom = seconds();
    this.world.record.add(`${this.machine.id}: up (${this.machine.type.label}, ${this.machine.zone})`);
    this.watchLease();
    this.schedule(0);
  }

  /** The machine hangs: nothing on it goes on, and what reaches it waits. */
  hang(forS) {
    this.resumed = new Promise((resolve) => setTimeout(resolve, forS * 1000));
    this.isHung = true;
    void this.resumed.then(() => {
      this.isHung = false;
      if (this.isGone) return;
      const left = this.leaseFrom + this.world.params.workers.lease_s - seconds();
      this.world.record.add(`${this.machine.id}: goes on, ${left.toFixed(2)} s before the end of its lease`);
      this.checkLease();
      this.schedule(0);
    });
  }

  /** Whether its lease has not ended, also while it hangs. */
  isWithinLease() {
    return !this.isGone && seconds() - this.leaseFrom <= this.world.params.workers.lease_s;
  }

  vanish() {
    this.isGone = true;
    clearTimeout(this.reportTimer);
    clearTimeout(this.leaseTimer);
    for (const task of [...this.tasks.values()]) this.dropTask(task);
    this.agent.destroy();
    this.close();
  }

  // --- reports -----------------------------------------------------------------------------------------------

  report() {
    this.tally++;
    const { id, type, zone } = this.machine;
    const chores = [...this.tasks.values()].map(({ chore, attempt, status, cause, saved }) => ({
      chore,
      try: attempt,
      status,
      ...(cause === null ? {} : { cause }),
      ...(saved ? { saved } : {}),
    }));
    return {
      hearth: id,
      endpoint: this.addr,
      build: type.label,
      district: zone,
      loaners: false,
      shift: this.shift,
      tally: this.tally,
      baton: this.baton,
      recall_s: null,
      chores,
    };
  }

  schedule(inS) {
    if (this.isGone) return;
    clearTimeout(this.reportTimer);
    const at = Math.max(seconds() + inS, this.sentAt + MIN_REPORT_GAP_S);
    this.reportTimer = setTimeout(() => void this.sendReport(), Math.max(0, at - seconds()) * 1000);
  }

  changed() {
    this.isChanged = true;
    if (!this.inFlight) this.schedule(0);
  }

  async sendReport() {
    if (this.inFlight || this.isGone || this.isHung) return;
    this.inFlight = true;
    this.isChanged = false;
    const { shift } = this;
    const node = this.world.nodes[this.node];
    this.sentAt = seconds();
    const { sentAt } = this;
    const answer = await send(node.front, "POST", "/agent/beat", this.report(), {
      timeoutS: REPORT_TIMEOUT_S,
      agent: this.agent,
    });
    this.inFlight = false;
    if (this.isGone || this.isHung) return;
    const { report_s: reportS } = this.world.params.workers;
    let pause = reportS * (0.75 + 0.5 * Math.random());
    if (answer?.status === 200) {
      if (shift === this.shift) this.takeAnswer(answer.json, sentAt);
    } else if (answer?.status === 421 && this.knownOther(answer.json?.foreman) >= 0) {
      this.node = this.knownOther(answer.json.foreman);
      pause = 0.5 * Math.random();
      this.schedule(pause);
      return;
    } else {
      this.node = (this.node + 1) % this.world.nodes.length;
      this.schedule(1);
      return;
    }
    this.schedule(this.isChanged ? 0 : pause);
  }

  knownOther(name) {
    const index = this.world.nodes.findIndex((node) => node.name === name);
    return index === this.node ? -1 : index;
  }

  takeAnswer(answer, sentAt) {
    if (typeof answer?.baton !== "number" || answer.baton < this.baton) return;
    this.leaseFrom = sentAt;
    this.answeredAt = seconds();
    this.seeBaton(answer.baton);
    this.execute(answer.orders ?? [], "answer");
  }

  seeBaton(baton) {
    if (baton <= this.baton) return;
    this.baton = baton;
    if (seconds() - this.batonReportedAt < this.world.params.workers.lease_s / 2) return;
    this.batonReportedAt = seconds();
    this.changed();
  }

  watchLease() {
    this.leaseTimer = setTimeout(() => {
      if (!this.isHung) this.checkLease();
      this.watchLease();
    }, 100);
  }

  checkLease() {
    if (this.isWithinLease()) return;
    this.world.record.add(`${this.machine.id}: lease over, session ${this.shift + 1}`);
    for (const task of [...this.tasks.values()]) this.dropTask(task);
    this.shift++;
    this.leaseFrom = seconds();
    this.changed();
  }

  // --- commands ----------------------------------------------------------------------------------------------

  async handle(method, url, body) {
    if (this.isHung) await this.resumed;
    if (this.isGone) throw new Error("gone");
    if (url === "/status") return [200, this.report()];
    if (body.baton === undefined || body.shift === undefined) return [400, {}];
    if (body.baton < this.baton || body.shift !== this.shift) return [409, this.report()];
    this.seeBaton(body.baton);
    this.execute(body.orders ?? [], "order");
    return [200, this.report()];
  }

  execute(orders, by) {
    for (const { verb, chore, try: attempt, leeway_s: leewayS } of orders) {
      const key = `${chore}#${attempt}`;
      const task = this.tasks.get(key);
      const isFirst = !this.world.seenOrders.has(`${this.machine.id} ${verb} ${key}`);
      this.world.seenOrders.add(`${this.machine.id} ${verb} ${key}`);
      if (isFirst) this.world.record.add(`${this.machine.id}: ${by} ${verb} ${key}`);
      if (verb === "start" && task === undefined) this.start(chore, attempt);
      else if (verb === "halt" && task !== undefined) this.halt(task, leewayS);
      else if (verb === "reap" && task?.status === "ended") this.tasks.delete(key);
    }
  }

  used(field) {
    let sum = 0;
    for (const { status, job } of this.tasks.values()) if (status !== "ended") sum += job[field];
    return sum;
  }

  start(chore, attempt) {
    const job = this.world.jobs.get(chore.split("/")[0]);
    const task = {
      chore,
      attempt,
      job,
      status: "fetching",
      cause: null,
      saved: false,
      timer: null,
      onMachine: false,
    };
    const isHere = [...this.tasks.values()].some(
      (other) => other.chore === chore && other.status !== "ended",
    );
    this.tasks.set(`${chore}#${attempt}`, task);
    const { type } = this.machine;
    const isFull = ["vcpus", "gpus", "mem_gb"].some((field) => job && this.used(field) > type[field] + 1e-6);
    if (job === undefined) this.end(task, "no_such");
    else if (isHere) this.end(task, "in_use");
    else if (isFull) this.end(task, "full");
    else this.fetch(task);
    this.changed();
  }

  fetch(task) {
    const { bundle, image_gb: size } = task.job;
    if (this.images.has(bundle)) {
      this.imageIsHere(task);
      return;
    }
    const waiting = this.fetches.get(bundle);
    if (waiting !== undefined) {
      waiting.push(task);
      return;
    }
    const tasks = [task];
    this.fetches.set(bundle, tasks);
    setTimeout(
      () => {
        this.fetches.delete(bundle);
        this.images.add(bundle);
        if (!this.isGone)
          for (const waitingTask of tasks)
            if (waitingTask.status === "fetching") this.imageIsHere(waitingTask);
      },
      (size / this.machine.type.pull_gb_per_s) * 1000,
    );
  }

  imageIsHere(task) {
    task.onMachine = true;
    this.emptySince = null;
    this.world.taskStarts(this, task);
    if (this.world.finished.has(task.chore)) this.end(task, "done");
    else if (task.job.shape === "ensemble") this.gather(task);
    else this.run(task);
  }

  run(task) {
    task.status = "running";
    const runS = this.world.runTimes.get(task.job.ref);
    if (runS != null) task.timer = setTimeout(() => this.end(task, "done"), runS * 1000);
    this.changed();
  }

  gather(task) {
    task.status = "gathering";
    task.timer = setTimeout(() => this.end(task, "alone"), this.world.params.workers.gang_wait_s * 1000);
    this.changed();
    const gang = this.world.gangOf(task);
    gang.set(task.chore, { worker: this, task });
    if (gang.size < task.job.chores) return;
    const members = [...gang.values()];
    for (const { worker, task: peer } of members) {
      clearTimeout(peer.timer);
      peer.status = "running";
      worker.changed();
    }
    this.world.gangRuns(task, members);
  }

  halt(task, leewayS) {
    if (task.status === "ended") return;
    const saves = task.status === "running" && task.job.bookmark_s > 0 && leewayS >= task.job.stash_s;
    if (saves) {
      clearTimeout(task.timer);
      task.status = "flushing";
      task.saved = true;
      task.timer = setTimeout(() => this.end(task, "stopped"), task.job.stash_s * 1000);
      this.changed();
    } else if (task.status !== "flushing" || leewayS === 0) this.end(task, "stopped");
  }

  end(task, cause) {
    if (task.status === "ended") return;
    clearTimeout(task.timer);
    task.status = "ended";
    task.cause = cause;
    if (cause === "done") this.world.finished.add(task.chore);
    this.leave(task, cause);
    this.changed();
  }

  dropTask(task) {
    clearTimeout(task.timer);
    this.tasks.delete(`${task.chore}#${task.attempt}`);
    if (task.status === "ended") return;
    task.status = "ended";
    this.leave(task, "gone with the machine or its lease");
  }

  leave(task, cause) {
    if (task.onMachine) {
      task.onMachine = false;
      this.world.taskEnds(this, task, cause);
    }
    if (![...this.tasks.values()].some(({ onMachine }) => onMachine)) this.emptySince = seconds();
    if (task.job?.shape === "ensemble" && cause !== "done") this.world.gangLost(task);
  }
}
