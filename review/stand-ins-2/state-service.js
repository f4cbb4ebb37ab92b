/** A stand-in of the state service: keys, conditional transactions, leases, watches, limits. */
import { performance } from "node:perf_hooks";
import { setInterval, setTimeout, clearTimeout, clearInterval } from "node:timers";
import { Buffer } from "node:buffer";
import { Bucket, JsonServer, sleep } from "./common.js";

const KEPT_CHANGES = 10_000;
const LATENCY_S = 0.002;

const bytesOf = (value) => Buffer.byteLength(JSON.stringify(value));

export class StateService extends JsonServer {
  rows = new Map();
  leases = new Map();
  changes = [];
  watchers = new Set();
  ledger = 0;
  lastPermit = 0;

  constructor(limits) {
    super();
    this.limits = limits;
    this.requests = new Bucket(limits.rps, 1);
    this.writes = new Bucket(limits.write_rps, 1);
    this.timer = setInterval(() => this.expire(), 25);
  }

  close() {
    clearInterval(this.timer);
    super.close();
  }

  async handle(method, url, body) {
    await sleep(LATENCY_S);
    if (!this.requests.take(1)) return [429, { error: "too many requests" }];
    const { pathname, searchParams } = new globalThis.URL(url, "http://state");
    if (pathname === "/watch") return this.watch(searchParams);
    if (pathname === "/store") return this.list(searchParams);
    if (pathname.startsWith("/store/")) return this.read(pathname.slice("/store/".length));
    if (pathname === "/commit") return this.commit(body);
    if (pathname === "/grants") {
      const permit = ++this.lastPermit;
      this.leases.set(permit, { ttlMs: body.ttl_ms, endsAt: performance.now() + body.ttl_ms });
      return [200, { permit }];
    }
    const [, , id, verb] = pathname.split("/");
    const lease = this.leases.get(Number(id));
    if (lease === undefined) return [404, {}];
    if (verb === "extend") lease.endsAt = performance.now() + lease.ttlMs;
    else this.endLease(Number(id));
    return [200, {}];
  }

  expire() {
    for (const [id, lease] of this.leases) if (performance.now() > lease.endsAt) this.endLease(id);
  }

  endLease(id) {
    this.leases.delete(id);
    const attached = [...this.rows].filter(([, row]) => row.permit === id).map(([key]) => key);
    if (attached.length === 0) return;
    this.ledger++;
    for (const key of attached) this.change(key);
    this.wake();
  }

  change(key, row) {
    if (row === undefined) {
      this.rows.delete(key);
      this.changes.push({ key, news: { delete: key, stamp: this.ledger } });
    } else {
      this.rows.set(key, { ...row, stamp: this.ledger });
      this.changes.push({ key, news: { write: key, value: row.value, stamp: this.ledger } });
    }
    if (this.changes.length > 2 * KEPT_CHANGES) this.changes.splice(0, KEPT_CHANGES);
  }

  wake() {
    for (const watcher of this.watchers) watcher();
  }

  read(key) {
    const row = this.rows.get(key);
    if (row === undefined) return [404, { ledger: this.ledger }];
    return [200, { path: key, value: row.value, stamp: row.stamp, permit: row.permit ?? null }];
  }

  list(params) {
    const under = params.get("under");
    const from = params.get("from");
    const keys = [...this.rows.keys()].filter(
      (key) => key.startsWith(under) && (from === null || key > from),
    );
    keys.sort();
    const rows = [];
    let bytes = 0;
    for (const key of keys) {
      if (rows.length >= Math.min(1000, Number(params.get("most") ?? 1000)) || bytes > 400 * 1024) break;
      const { value, stamp } = this.rows.get(key);
      rows.push({ path: key, value, stamp });
      bytes += bytesOf(value) + key.length + 40;
    }
    return [200, { rows, more: rows.length < keys.length, ledger: this.ledger }];
  }

  commit({ when = [], apply = [] }) {
    const { txn_ops: ops, value_kb: kb } = this.limits;
    if (
      apply.length > ops ||
      when.length > 4 * ops ||
      bytesOf({ when, apply }) > 64 * 1024 ||
      apply.some((change) => "write" in change && bytesOf(change.value) > kb * 1024)
    )
      return [400, { error: "too large" }];
    if (apply.length > 0 && !this.writes.take(apply.length)) return [429, { error: "too many changes" }];
    if (apply.some((change) => change.permit != null && !this.leases.has(change.permit)))
      return [400, { error: "no such lease" }];
    const failed = when
      .filter(({ path, stamp }) => (this.rows.get(path)?.stamp ?? 0) !== stamp)
      .map(({ path }) => path);
    if (failed.length > 0) return [409, { failed, ledger: this.ledger }];
    if (apply.length > 0) {
      this.ledger++;
      for (const change of apply)
        if ("write" in change) this.change(change.write, { value: change.value, permit: change.permit });
        else if (this.rows.has(change.delete)) this.change(change.delete);
      this.wake();
    }
    return [200, { ledger: this.ledger }];
  }

  async watch(params) {
    const under = params.get("under");
    const from = Number(params.get("from"));
    const endsAt = performance.now() + Number(params.get("wait_ms") ?? 0);
    for (;;) {
      if (this.changes.length >= KEPT_CHANGES && from < this.changes[0].news.stamp - 1) return [410, {}];
      const news = this.changes
        .filter(({ key, news: { stamp } }) => stamp > from && key.startsWith(under))
        .map(({ news: entry }) => entry);
      const left = endsAt - performance.now();
      if (news.length > 0 || left <= 0) return [200, { ledger: this.ledger, news }];
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.watchers.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, left);
        this.watchers.add(wake);
      });
    }
  }
}
