/**
 * A stand-in for the cloud, by the protocol page: one machine type, rentals by name, deletions, and a list that lags.
 * A rented machine is up after about a second.
 */
import { clock, closeServer, listen, serveJson, sleep } from "./wire.js";

const BOOT_MS = 1000;

/** `newWorker(id)` makes the worker of a new machine. */
export class Cloud {
  constructor({ build, maxMachines, listLagS, newWorker, log }) {
    Object.assign(this, { build, maxMachines, newWorker, log });
    this.lagMs = listLagS * 1000;
    this.rentals = new Map();
    this.machines = new Map();
    this.count = 0;
  }

  async start() {
    this.server = serveJson((method, url, body) => this.handle(method, url, body ?? {}));
    this.addr = await listen(this.server);
  }

  /** The workers of the machines that exist now. */
  workers() {
    return [...this.machines.values()].filter(({ goneAt }) => goneAt === null).map(({ worker }) => worker);
  }

  stop() {
    for (const worker of this.workers()) worker.remove();
    closeServer(this.server);
  }

  handle(method, url, body) {
    const path = url.pathname;
    if (method === "GET" && path === "/flavors") return [200, { builds: [this.build] }];
    if (method === "POST" && path === "/rentals") return this.rent(body);
    if (method === "POST" && path === "/rentals/release") return this.release(body);
    if (method === "GET" && path === "/rentals") return this.list(url);
    return [400, { error: "no such request" }];
  }

  rent({ rental, build, district, loaners, how_many: howMany }) {
    const known = this.rentals.get(rental);
    if (known !== undefined) return [200, { hearths: known }];
    if (build !== this.build.label || !this.build.districts.includes(district) || !(howMany <= 50))
      return [400, { error: "malformed" }];
    const left = loaners === true ? 0 : this.maxMachines - this.workers().length;
    if (left <= 0) return [503, { error: "no capacity" }];
    const ids = [];
    for (let made = 0; made < Math.min(left, howMany); made++) {
      const id = `n-${String(++this.count).padStart(6, "0")}`;
      const worker = this.newWorker(id, district);
      this.machines.set(id, { worker, district, rentedAt: clock(), goneAt: null });
      void this.boot(worker, id);
      ids.push(id);
    }
    this.rentals.set(rental, ids);
    this.log({ what: "rented", machines: ids });
    return [200, { hearths: ids }];
  }

  async boot(worker, id) {
    await sleep(BOOT_MS);
    if (this.machines.get(id).goneAt === null) await worker.start();
  }

  release({ hearths }) {
    for (const id of hearths) {
      const machine = this.machines.get(id);
      if (machine === undefined || machine.goneAt !== null) continue;
      machine.goneAt = clock();
      machine.worker.remove();
    }
    this.log({ what: "deleted", machines: hearths });
    return [200, {}];
  }

  /** The machines as they were `list_lag_s` ago. */
  list(url) {
    const from = url.searchParams.get("from") ?? "";
    const at = clock() - this.lagMs;
    const rows = [];
    for (const [id, { worker, district, rentedAt, goneAt }] of this.machines) {
      if (id <= from || rentedAt > at || (goneAt !== null && goneAt <= at)) continue;
      rows.push({
        ref: id,
        endpoint: worker.addr,
        build: this.build.label,
        district,
        loaners: false,
        status: at - rentedAt > BOOT_MS ? "running" : "starting",
        held_s: (at - rentedAt) / 1000,
      });
    }
    const most = Number(url.searchParams.get("most") ?? 500);
    return [200, { hearths: rows.slice(0, most), more: rows.length > most }];
  }
}
