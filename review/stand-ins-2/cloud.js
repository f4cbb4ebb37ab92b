/** A stand-in of the cloud: rents machines of a limited number, with boot times and a list that lags. */
import { setTimeout } from "node:timers";
import { Bucket, JsonServer, seconds, sleep } from "./common.js";
import { Worker } from "./worker.js";

const LATENCY_S = 0.02;
const DEAD_LISTED_S = 30;

export class Cloud extends JsonServer {
  machines = new Map();
  rentals = new Map();
  /** Whether the cloud's interface is down. */
  isOut = false;

  /** `capacity`: entries {type, zone, count} of ordinary machines. */
  constructor(world, { types, capacity, rps, listLagS, bootS }) {
    super();
    Object.assign(this, { world, types, capacity, listLagS, bootS, requests: new Bucket(rps, 2) });
  }

  async handle(method, url, body) {
    await sleep(LATENCY_S);
    if (this.isOut) return [503, { error: "trouble" }];
    if (!this.requests.take(1)) return [429, { error: "too many requests" }];
    const { pathname, searchParams } = new globalThis.URL(url, "http://cloud");
    if (pathname === "/flavors") return [200, { builds: this.types }];
    if (pathname === "/rentals/release") return this.release(body.hearths);
    if (method === "POST") return this.rent(body);
    return this.list(searchParams);
  }

  rented(type, zone) {
    let count = 0;
    for (const machine of this.machines.values())
      if (machine.type.label === type && machine.zone === zone && machine.goneAt === null) count++;
    return count;
  }

  rent({ rental, build, district, loaners, how_many: wanted }) {
    const known = this.rentals.get(rental);
    if (known !== undefined) return [200, { hearths: known }];
    const type = this.types.find(({ label }) => label === build);
    if (type === undefined || !type.districts.includes(district)) return [400, { error: "malformed" }];
    const limit = loaners
      ? 0
      : (this.capacity.find((entry) => entry.type === build && entry.zone === district)?.count ?? 0);
    const count = Math.min(wanted, 50, limit - this.rented(build, district));
    if (count <= 0) return [503, { error: "no capacity" }];
    const hearths = [];
    for (let n = 0; n < count; n++) hearths.push(this.create(type, district));
    this.rentals.set(rental, hearths);
    this.world.record.add(`cloud: rental ${rental} ${build} ${district}: ${hearths.join(" ")}`);
    return [200, { hearths }];
  }

  create(type, zone) {
    const id = `n-${String(this.machines.size + 1).padStart(6, "0")}`;
    const machine = { id, type, zone, rentedAt: seconds(), upAt: null, goneAt: null, worker: null };
    this.machines.set(id, machine);
    const boot = (this.bootS ?? type.startup_s) * (0.6 + 0.6 * Math.random());
    setTimeout(async () => {
      if (machine.goneAt !== null || this.world.isOver) return;
      const worker = new Worker(this.world, machine);
      await worker.listen();
      machine.worker = worker;
      machine.upAt = seconds();
      worker.begin();
    }, boot * 1000);
    return id;
  }

  release(ids) {
    for (const id of ids) {
      const machine = this.machines.get(id);
      if (machine === undefined || machine.deletedAt !== undefined) continue;
      machine.deletedAt = seconds();
      if (machine.goneAt === null) {
        machine.goneAt = seconds();
        machine.worker?.vanish("released");
        this.world.record.add(`cloud: ${id} released`);
      }
    }
    return [200, {}];
  }

  /** A machine stops with all that is on it. */
  die(id) {
    const machine = this.machines.get(id);
    machine.goneAt = seconds();
    machine.worker.vanish("died");
    this.world.record.add(
      `trouble: ${id} (${machine.type.label}, ${machine.zone}) stops with all that is on it`,
    );
  }

  list(params) {
    const from = params.get("from") ?? "";
    const at = seconds() - this.listLagS;
    const rows = [];
    for (const machine of this.machines.values()) {
      const { id, type, zone, rentedAt, upAt, goneAt, deletedAt } = machine;
      const unlistedAt = deletedAt ?? (goneAt === null ? Infinity : goneAt + DEAD_LISTED_S);
      if (id <= from || rentedAt > at || unlistedAt <= at) continue;
      const status = upAt !== null && upAt <= at ? "running" : "starting";
      const endpoint = machine.worker?.addr ?? null;
      rows.push({
        ref: id,
        endpoint,
        build: type.label,
        district: zone,
        loaners: false,
        status,
        held_s: at - rentedAt,
      });
    }
    const most = Math.min(500, Number(params.get("most") ?? 500));
    return [200, { hearths: rows.slice(0, most), more: rows.length > most }];
  }

  close() {
    for (const { worker, goneAt } of this.machines.values())
      if (goneAt === null) worker?.vanish("the run is over");
    super.close();
  }
}
