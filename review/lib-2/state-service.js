/* global setInterval, clearInterval */
/**
 * A stand-in for the state service, by the protocol page: keys with stamps, conditional transactions, grants, watches
 * and both rate limits. Each controller has an address of its own, so that a test can refuse one of them alone.
 */
import { clock, closeServer, listen, serveJson } from "./wire.js";

const KEPT_CHANGES = 10_000;
const PAGE_ITEMS = 1000;
const PAGE_BYTES = 512 * 1024;
const TICK_MS = 10;

/** A rate limit that allows a burst worth one second. */
class Bucket {
  constructor(rate) {
    this.rate = rate;
    this.tokens = rate;
    this.at = clock();
  }

  take(count) {
    const now = clock();
    this.tokens = Math.min(this.rate, this.tokens + ((now - this.at) / 1000) * this.rate);
    this.at = now;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}

/** The whole service. `limits`: `rps`, `write_rps`, `value_kb` and `txn_ops` as in the controllers' settings. */
export class StateService {
  constructor(limits) {
    this.limits = limits;
    this.rows = new Map();
    this.grants = new Map();
    this.changes = [];
    this.ledger = 0;
    this.nextPermit = 1;
    this.waiting = new Set();
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.write_rps);
    this.isDown = false;
    this.refused = new Set();
    this.servers = [];
    this.statuses = new Map();
    this.ticker = setInterval(() => this.tick(), TICK_MS);
  }

  /** The address for one controller. */
  async addressFor(name) {
    const server = serveJson(async (method, url, body) => {
      const answer = await this.handle(name, method, url, body);
      this.statuses.set(answer[0], (this.statuses.get(answer[0]) ?? 0) + 1);
      return answer;
    });
    this.servers.push(server);
    return listen(server);
  }

  /** An outage for all. Afterwards every grant has its full time again. */
  setDown(isDown) {
    if (this.isDown && !isDown)
      for (const grant of this.grants.values()) grant.endsAt = clock() + grant.ttlMs;
    this.isDown = isDown;
  }

  /** Refuses one controller alone; its grants run out meanwhile. */
  setRefused(name, isRefused) {
    if (isRefused) this.refused.add(name);
    else this.refused.delete(name);
  }

  stop() {
    clearInterval(this.ticker);
    for (const server of this.servers) closeServer(server);
  }

  isOut(name) {
    return this.isDown || this.refused.has(name);
  }

  tick() {
    const now = clock();
    if (!this.isDown)
      for (const [permit, grant] of this.grants) if (now >= grant.endsAt) this.endGrant(permit);
    for (const waiter of [...this.waiting]) this.answerWatch(waiter, now);
  }

  endGrant(permit) {
    this.grants.delete(permit);
    const paths = [...this.rows].filter(([, row]) => row.permit === permit).map(([path]) => path);
    if (paths.length === 0) return;
    this.ledger++;
    for (const path of paths) this.change({ delete: path });
  }

  change(change) {
    const stamp = this.ledger;
    if (change.write === undefined) {
      if (!this.rows.delete(change.delete)) return;
      this.changes.push({ delete: change.delete, stamp });
    } else {
      this.rows.set(change.write, { value: change.value, stamp, permit: change.permit ?? null });
      this.changes.push({ write: change.write, value: change.value, stamp });
    }
    if (this.changes.length > KEPT_CHANGES) this.changes.splice(0, this.changes.length - KEPT_CHANGES);
  }

  async handle(name, method, url, body) {
    if (this.isOut(name)) return [503, { error: "out" }];
    if (!this.requests.take(1)) return [429, { error: "too many requests" }];
    if (body === undefined) return [400, { error: "not JSON" }];
    const path = url.pathname;
    if (method === "GET" && path === "/watch") return this.watch(name, url);
    if (method === "GET" && path === "/store") return this.list(url);
    if (method === "GET" && path.startsWith("/store/")) return this.read(path.slice("/store/".length));
    if (method === "POST" && path === "/commit") return this.commit(body);
    if (method === "POST" && path === "/grants") return this.grant(body);
    const [, first, id, verb] = path.split("/");
    if (first !== "grants") return [400, { error: "no such path" }];
    const grant = this.grants.get(Number(id));
    if (grant === undefined) return [404, { ledger: this.ledger }];
    if (method === "POST" && verb === "extend") {
      grant.endsAt = clock() + grant.ttlMs;
      return [200, { permit: Number(id) }];
    }
    if (method === "DELETE" && verb === undefined) {
      this.endGrant(Number(id));
      return [200, {}];
    }
    return [400, { error: "no such request" }];
  }

  grant(body) {
    const ttlMs = body.ttl_ms;
    if (!(ttlMs >= 100 && ttlMs <= 600_000)) return [400, { error: "ttl_ms" }];
    const permit = this.nextPermit++;
    this.grants.set(permit, { ttlMs, endsAt: clock() + ttlMs });
    return [200, { permit }];
  }

  read(path) {
    const row = this.rows.get(path);
    if (row === undefined) return [404, { ledger: this.ledger }];
    return [200, { path, ...row }];
  }

  list(url) {
    const under = url.searchParams.get("under") ?? "";
    const from = url.searchParams.get("from") ?? "";
    const most = Math.min(PAGE_ITEMS, Number(url.searchParams.get("most") ?? PAGE_ITEMS));
    const paths = [...this.rows.keys()].filter((path) => path.startsWith(under) && path > from).sort();
    const rows = [];
    let bytes = 0;
    for (const path of paths) {
      const { value, stamp } = this.rows.get(path);
      const row = { path, value, stamp };
      bytes += JSON.stringify(row).length;
      if (rows.length >= most || (bytes > PAGE_BYTES && rows.length > 0)) break;
      rows.push(row);
    }
    return [200, { rows, more: rows.length < paths.length, ledger: this.ledger }];
  }

  commit(body) {
    const when = body.when ?? [];
    const apply = body.apply ?? [];
    const size = (value) => JSON.stringify(value ?? null).length;
    const { txn_ops: ops, value_kb: valueKb } = this.limits;
    if (apply.length > ops || when.length > 4 * ops || size(body) > 64 * 1024)
      return [400, { error: "too large" }];
    if (apply.some((change) => size(change.value) > valueKb * 1024)) return [400, { error: "too large" }];
    if (!this.writes.take(apply.length)) return [429, { error: "too many changes" }];
    if (apply.some(({ write, permit }) => write !== undefined && permit != null && !this.grants.has(permit)))
      return [400, { error: "no such lease" }];
    const failed = when
      .filter(({ path, stamp }) => (this.rows.get(path)?.stamp ?? 0) !== stamp)
      .map(({ path }) => path);
    if (failed.length > 0) return [409, { failed, ledger: this.ledger }];
    if (apply.length > 0) {
      this.ledger++;
      for (const change of apply) this.change(change);
    }
    return [200, { ledger: this.ledger }];
  }

  watch(name, url) {
    const under = url.searchParams.get("under") ?? "";
    const from = Number(url.searchParams.get("from"));
    const waitMs = Math.min(60_000, Number(url.searchParams.get("wait_ms") ?? 0));
    const oldest = this.changes[0]?.stamp ?? 0;
    if (this.changes.length === KEPT_CHANGES && from < oldest) return [410, { ledger: this.ledger }];
    return new Promise((resolve) => {
      const waiter = { name, under, from, endsAt: clock() + waitMs, resolve };
      this.waiting.add(waiter);
      this.answerWatch(waiter, clock());
    });
  }

  /** Answers a watch that has news or whose time is over; while its controller is refused it waits. */
  answerWatch(waiter, now) {
    if (this.isOut(waiter.name)) return;
    const { under, from, endsAt, resolve } = waiter;
    const news = [];
    for (let at = this.changes.length - 1; at >= 0 && this.changes[at].stamp > from; at--) {
      const change = this.changes[at];
      if ((change.write ?? change.delete).startsWith(under)) news.push(change);
    }
    if (news.length === 0 && now < endsAt) return;
    this.waiting.delete(waiter);
    resolve([200, { ledger: this.ledger, news: news.reverse() }]);
  }
}
