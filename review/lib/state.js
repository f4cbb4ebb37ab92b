/* global Buffer, clearTimeout, setInterval, setTimeout */
/** A stand-in of the state service, as the protocol describes it: keys, leases, watches, limits and 429. */
import { serveJson, nowMs, sleep, MAX_BODY_BYTES } from "./http.js";

const KEPT_CHANGES = 10_000;

/** Allows `rate` a second, with bursts of one second's worth. */
class Bucket {
  constructor(rate) {
    this.rate = rate;
    this.left = rate;
    this.at = nowMs();
  }
  take(count) {
    const now = nowMs();
    this.left = Math.min(this.rate, this.left + ((now - this.at) / 1000) * this.rate);
    this.at = now;
    if (this.left < count) return false;
    this.left -= count;
    return true;
  }
}

export class StateService {
  constructor(limits) {
    this.limits = limits;
    this.rows = new Map();
    this.leases = new Map();
    this.changes = [];
    this.droppedUpTo = 0;
    this.ledger = 0;
    this.lastPermit = 0;
    this.watchers = new Set();
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.write_rps);
    this.counts = { requests: 0, changes: 0, refused: 0 };
    this.latencyMs = limits.latency_ms ?? 2;
    setInterval(() => this.expireLeases(), 50).unref();
  }

  /** Serves one more address; `node` names the only controller that uses it, and is passed to `intercept`. */
  async start(node) {
    const { addr } = await serveJson((method, url, body) => {
      const serve = () => this.handle(method, url, body);
      return this.intercept === undefined ? serve() : this.intercept({ node, method, url, body, serve });
    });
    return addr;
  }

  expireLeases() {
    for (const [permit, lease] of this.leases) if (nowMs() > lease.endsAt) this.endLease(permit);
  }
  endLease(permit) {
    if (!this.leases.delete(permit)) return;
    const attached = [...this.rows].filter(([, row]) => row.permit === permit);
    if (attached.length === 0) return;
    this.ledger++;
    for (const [key] of attached) this.change(key, undefined);
    this.wake();
  }
  change(key, value, permit) {
    if (value === undefined) {
      this.rows.delete(key);
      this.changes.push({ key, stamp: this.ledger });
    } else {
      this.rows.set(key, { value, stamp: this.ledger, permit });
      this.changes.push({ key, value, stamp: this.ledger });
    }
    if (this.changes.length > KEPT_CHANGES + 1000) {
      for (const dropped of this.changes.splice(0, 1000)) this.droppedUpTo = dropped.stamp;
    }
  }
  wake() {
    for (const watcher of [...this.watchers]) watcher();
  }

  async handle(method, url, body) {
    await sleep(this.latencyMs);
    this.counts.requests++;
    if (!this.requests.take(1)) {
      this.counts.refused++;
      return [429, { error: "requests" }];
    }
    const path = url.pathname;
    if (path === "/watch") return this.watch(url);
    if (path === "/store") return this.list(url);
    if (path.startsWith("/store/")) {
      const key = path.slice("/store/".length);
      const row = this.rows.get(key);
      if (row === undefined) return [404, { ledger: this.ledger }];
      return [200, this.rowOf(key, row)];
    }
    if (path === "/commit") return this.commit(body);
    if (path === "/grants") {
      const permit = ++this.lastPermit;
      this.leases.set(permit, { ttl: body.ttl_ms, endsAt: nowMs() + body.ttl_ms });
      return [200, { permit }];
    }
    const [, , id, action] = path.split("/");
    const lease = this.leases.get(Number(id));
    if (lease === undefined) return [404, {}];
    if (action === "extend") lease.endsAt = nowMs() + lease.ttl;
    else if (method === "DELETE") this.endLease(Number(id));
    return [200, {}];
  }

  rowOf(key, row) {
    return {
      path: key,
      value: row.value,
      stamp: row.stamp,
      ...(row.permit === undefined ? {} : { permit: row.permit }),
    };
  }

  list(url) {
    const under = url.searchParams.get("under") ?? "";
    const from = url.searchParams.get("from") ?? "";
    const most = Math.min(1000, Number(url.searchParams.get("most") ?? 1000));
    const keys = [...this.rows.keys()].filter((key) => key.startsWith(under) && key > from).sort();
    const rows = [];
    let bytes = 0;
    for (const key of keys) {
      const row = this.rowOf(key, this.rows.get(key));
      bytes += Buffer.byteLength(JSON.stringify(row)) + 1;
      if (rows.length >= most || (rows.length > 0 && bytes > 500 * 1024)) break;
      rows.push(row);
    }
    return [200, { rows, more: rows.length < keys.length, ledger: this.ledger }];
  }

  commit(body) {
    const when = body.when ?? [];
    const apply = body.apply ?? [];
    const { txn_ops: ops, value_kb: kb } = this.limits;
    const size = (value) => Buffer.byteLength(JSON.stringify(value));
    if (apply.length > 0 && !this.writes.take(apply.length)) {
      this.counts.refused++;
      return [429, { error: "changes" }];
    }
    if (apply.length > ops || when.length > 4 * ops || size(body) > MAX_BODY_BYTES)
      return [400, { error: "transaction too large" }];
    if (apply.some((change) => change.write !== undefined && size(change.value) > kb * 1024))
      return [400, { error: "value too large" }];
    if (apply.some(({ permit }) => permit !== undefined && permit !== null && !this.leases.has(permit)))
      return [400, { error: "no such lease" }];
    const failed = when
      .filter(({ path, stamp }) => (this.rows.get(path)?.stamp ?? 0) !== stamp)
      .map(({ path }) => path);
    if (failed.length > 0) return [409, { failed, ledger: this.ledger }];
    if (apply.length > 0) {
      this.ledger++;
      this.counts.changes += apply.length;
      for (const change of apply)
        if (change.write !== undefined) this.change(change.write, change.value, change.permit ?? undefined);
        else if (this.rows.has(change.delete)) this.change(change.delete, undefined);
      this.wake();
    }
    return [200, { ledger: this.ledger }];
  }

  /** Newest changes are at the end, so the search goes backwards. */
  changesSince(from, under) {
    const found = [];
    for (let at = this.changes.length - 1; at >= 0 && this.changes[at].stamp > from; at--)
      if (this.changes[at].key.startsWith(under)) found.push(this.changes[at]);
    return found.reverse();
  }

  watch(url) {
    const under = url.searchParams.get("under") ?? "";
    const from = Number(url.searchParams.get("from"));
    const waitMs = Math.min(60_000, Number(url.searchParams.get("wait_ms") ?? 0));
    if (from < this.droppedUpTo) return [410, { error: "too old" }];
    const answer = (found) => [
      200,
      {
        ledger: this.ledger,
        news: found.map(({ key, value, stamp }) =>
          value === undefined ? { delete: key, stamp } : { write: key, value, stamp },
        ),
      },
    ];
    const found = this.changesSince(from, under);
    if (found.length > 0 || waitMs === 0) return answer(found);
    return new Promise((resolve) => {
      const finish = (news) => {
        clearTimeout(timer);
        this.watchers.delete(check);
        resolve(answer(news));
      };
      const check = () => {
        const news = this.changesSince(from, under);
        if (news.length > 0) finish(news);
      };
      const timer = setTimeout(() => finish([]), waitMs);
      this.watchers.add(check);
    });
  }
}
