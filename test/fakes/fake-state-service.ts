/** A fake of the state service: a key-value store with leases, transactions on conditions and watches, in memory. */
import type http from "node:http";
import { FakeServer, type Json, readJson } from "./fake-server.js";

/** The state service over HTTP, with outages, refusals and limits that a test sets. */
export class FakeStateService extends FakeServer {
  readonly rows = new Map<string, { value: unknown; stamp: number; permit?: number }>();
  readonly grants = new Map<number, { ttl: number; until: number }>();
  private readonly changes: { key: string; value?: unknown; stamp: number }[] = [];
  private readonly watchers = new Set<() => void>();
  ledger = 0;
  /** What the next requests are answered, in place of the truth. */
  failing: { status: number; carriedOut: boolean }[] = [];
  down = false;
  /** Limits of one transaction, which may fall at any time; the whole of it never has more than 64 KiB. */
  limits = { valueKb: Infinity, txnOps: Infinity };
  /** So many of the next changes are carried out, then further ones get 429 until this is set anew. */
  changesLeft = Infinity;
  /** What was refused for its size or for the rate, by the first key it would have changed. */
  readonly tooLarge: string[] = [];
  readonly tooMany: string[] = [];
  /** Which transactions are refused (400) whatever their size, by the keys that they would write or delete. */
  readonly refuses = new Set<(keys: readonly string[]) => boolean>();
  /** Which writes get 503, as in an outage, by their key and value. */
  holdsBack: (key: string, value: unknown) => boolean = () => false;
  /** What was refused so. */
  readonly refused: (readonly string[])[] = [];

  /** Watches that are open end too. */
  override stop(): void {
    this.down = true;
    super.stop();
  }

  private change(key: string, stamp: number, value?: unknown, permit?: number): void {
    if (value === undefined) this.rows.delete(key);
    else this.rows.set(key, { value, stamp, ...(permit === undefined ? {} : { permit }) });
    this.changes.push(value === undefined ? { key, stamp } : { key, value, stamp });
    for (const wake of this.watchers) wake();
  }

  /** What somebody else writes. */
  put(key: string, value: unknown, permit?: number): void {
    this.change(key, ++this.ledger, value, permit);
  }
  remove(key: string): void {
    this.change(key, ++this.ledger);
  }

  private expire(): void {
    const now = Date.now();
    for (const [permit, grant] of this.grants)
      if (now > grant.until) {
        this.grants.delete(permit);
        for (const [key, row] of this.rows) if (row.permit === permit) this.change(key, ++this.ledger);
      }
  }

  async handle(request: http.IncomingMessage): Promise<[number, unknown]> {
    const url = new URL(request.url ?? "", "http://state");
    const sent = await readJson(request);
    if (this.down) return [503, { error: "down" }];
    const fail = this.failing.shift();
    if (fail !== undefined) {
      if (fail.carriedOut) this.serve(request.method ?? "", url, sent);
      return [fail.status, {}];
    }
    if (url.pathname === "/watch") return this.watch(url);
    return this.serve(request.method ?? "", url, sent);
  }

  private async watch(url: URL): Promise<[number, unknown]> {
    const prefix = url.searchParams.get("under") ?? "";
    const from = Number(url.searchParams.get("from"));
    const until = Date.now() + Number(url.searchParams.get("wait_ms"));
    for (;;) {
      this.expire();
      const news = this.changes.filter((c) => c.stamp > from && c.key.startsWith(prefix));
      if (news.length > 0 || Date.now() >= until || this.down) {
        const rows = news.map((c) =>
          c.value === undefined
            ? { delete: c.key, stamp: c.stamp }
            : { write: c.key, value: c.value, stamp: c.stamp },
        );
        return [200, { ledger: this.ledger, news: rows }];
      }
      await new Promise<void>((done) => {
        const wake = (): void => {
          clearTimeout(timer);
          this.watchers.delete(wake);
          done();
        };
        const timer = setTimeout(wake, 50);
        this.watchers.add(wake);
      });
    }
  }

  private serve(method: string, url: URL, sent: Json): [number, unknown] {
    this.expire();
    const path = url.pathname;
    if (path === "/store") {
      const prefix = url.searchParams.get("under") ?? "";
      const from = url.searchParams.get("from") ?? "";
      const rows = [...this.rows]
        .filter(([key]) => key.startsWith(prefix) && key > from)
        .sort(([a], [b]) => (a < b ? -1 : 1))
        .map(([key, row]) => ({ path: key, value: row.value, stamp: row.stamp }));
      // small pages, so that paging is met
      return [200, { rows: rows.slice(0, 3), more: rows.length > 3, ledger: this.ledger }];
    }
    if (path.startsWith("/store/")) {
      const key = path.slice("/store/".length);
      const row = this.rows.get(key);
      if (row === undefined) return [404, { ledger: this.ledger }];
      return [200, { path: key, value: row.value, stamp: row.stamp }];
    }
    if (path === "/commit") return this.commit(sent);
    if (path === "/grants") {
      const permit = ++this.ledger;
      const ttl = Number(sent["ttl_ms"]);
      this.grants.set(permit, { ttl, until: Date.now() + ttl });
      return [200, { permit }];
    }
    const [, , id, verb] = path.split("/");
    const grant = this.grants.get(Number(id));
    if (grant === undefined) return [404, {}];
    if (verb === "extend") grant.until = Date.now() + grant.ttl;
    else if (method === "DELETE") {
      grant.until = 0;
      this.expire();
    }
    return [200, {}];
  }

  private commit(sent: Json): [number, unknown] {
    const when = (sent["when"] ?? []) as { path: string; stamp: number }[];
    const apply = (sent["apply"] ?? []) as {
      write?: string;
      delete?: string;
      value?: unknown;
      permit?: number;
    }[];
    const first = apply[0]?.write ?? apply[0]?.delete ?? "";
    const { valueKb, txnOps } = this.limits;
    const sizeOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value) ?? "");
    if (
      apply.length > txnOps ||
      when.length > 4 * txnOps ||
      sizeOf(sent) > 64 * 1024 ||
      apply.some((c) => sizeOf(c.value) > valueKb * 1024)
    ) {
      this.tooLarge.push(first);
      return [400, { error: "too large" }];
    }
    const keys = apply.map((c) => c.write ?? c.delete ?? "");
    if ([...this.refuses].some((refuses) => refuses(keys))) {
      this.refused.push(keys);
      return [400, { error: "too large" }];
    }
    if (apply.some((c) => c.write !== undefined && this.holdsBack(c.write, c.value))) return [503, {}];
    if (apply.length > this.changesLeft) {
      this.tooMany.push(first);
      return [429, {}];
    }
    this.changesLeft -= apply.length;
    if (apply.some((c) => c.permit !== undefined && !this.grants.has(c.permit)))
      return [400, { error: "no such lease" }];
    const failed = when.filter((w) => (this.rows.get(w.path)?.stamp ?? 0) !== w.stamp).map((w) => w.path);
    if (failed.length > 0) return [409, { failed, ledger: this.ledger }];
    if (apply.length > 0) this.ledger++;
    for (const c of apply) {
      if (c.write !== undefined) this.change(c.write, this.ledger, c.value, c.permit);
      else if (c.delete !== undefined && this.rows.has(c.delete)) this.change(c.delete, this.ledger);
    }
    return [200, { ledger: this.ledger }];
  }
}
