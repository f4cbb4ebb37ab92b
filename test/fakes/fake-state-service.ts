/** An in-memory fake of the state service: a key-value store with leases, conditional transactions and watches. */
import type http from "node:http";
import { FakeServer, type Json, readJson } from "./fake-server.js";

/** The state service's HTTP API; a test can set limits and inject outages and refusals. */
export class FakeStateService extends FakeServer {
  readonly rows = new Map<string, { value: unknown; revision: number; leaseId?: number }>();
  readonly leases = new Map<number, { ttlMs: number; expiresAt: number }>();
  private readonly changeLog: { key: string; value?: unknown; revision: number }[] = [];
  private readonly watchers = new Set<() => void>();
  revision = 0;
  /** The statuses that the next requests get, one each; with `carriedOut` the request takes effect all the same. */
  injectedFailures: { status: number; carriedOut: boolean }[] = [];
  down = false;
  /** Limits of one transaction, which a test may lower at any time; its whole body never has more than 64 KiB. */
  limits = { valueKb: Infinity, txnOps: Infinity };
  /** The number of changes that are still carried out; those beyond it get 429 until a test sets it again. */
  changesUntilRateLimited = Infinity;
  /** The first key of each transaction that was refused for its size (400) or for its rate (429). */
  readonly tooLargeKeys: string[] = [];
  readonly rateLimitedKeys: string[] = [];
  /** Predicates on the keys that a transaction writes or deletes: it gets 400 if one holds, whatever its size. */
  readonly rejectionRules = new Set<(keys: readonly string[]) => boolean>();
  /** Whether a write of this value to this key gets 503, as in an outage. */
  failsWrite: (key: string, value: unknown) => boolean = () => false;
  /** How many revisions back a watch may begin; an earlier one gets 410. */
  keptRevisions = Infinity;
  /** Whether a watch of this prefix gets 503. */
  refusesWatch: (prefix: string) => boolean = () => false;
  /** The keys of each transaction that `rejectionRules` refused. */
  readonly rejectedTransactions: (readonly string[])[] = [];

  /** Ends the open watches as well. */
  override stop(): void {
    this.down = true;
    super.stop();
  }

  private applyChange(key: string, revision: number, value?: unknown, leaseId?: number): void {
    if (value === undefined) this.rows.delete(key);
    else
      this.rows.set(key, {
        value,
        revision,
        ...(leaseId === undefined ? {} : { leaseId }),
      });
    this.changeLog.push(value === undefined ? { key, revision } : { key, value, revision });
    for (const wake of this.watchers) wake();
  }

  /** Writes a key as another client of the state service would. */
  put(key: string, value: unknown, leaseId?: number): void {
    this.applyChange(key, ++this.revision, value, leaseId);
  }
  remove(key: string): void {
    this.applyChange(key, ++this.revision);
  }

  private expireLeases(): void {
    const now = Date.now();
    for (const [leaseId, lease] of this.leases)
      if (now > lease.expiresAt) {
        this.leases.delete(leaseId);
        for (const [key, row] of this.rows)
          if (row.leaseId === leaseId) this.applyChange(key, ++this.revision);
      }
  }

  async handle(request: http.IncomingMessage): Promise<[number, unknown]> {
    const url = new URL(request.url ?? "", "http://state");
    const body = await readJson(request);
    if (this.down) return [503, { error: "down" }];
    const failure = this.injectedFailures.shift();
    if (failure !== undefined) {
      if (failure.carriedOut) this.serve(request.method ?? "", url, body);
      return [failure.status, {}];
    }
    if (url.pathname === "/watch") return this.watch(url);
    return this.serve(request.method ?? "", url, body);
  }

  private async watch(url: URL): Promise<[number, unknown]> {
    const prefix = url.searchParams.get("under") ?? "";
    const fromRevision = Number(url.searchParams.get("from"));
    const deadline = Date.now() + Number(url.searchParams.get("wait_ms"));
    if (fromRevision < this.revision - this.keptRevisions) return [410, { ledger: this.revision }];
    for (;;) {
      this.expireLeases();
      if (this.refusesWatch(prefix)) return [503, {}];
      const newChanges = this.changeLog.filter(
        (change) => change.revision > fromRevision && change.key.startsWith(prefix),
      );
      if (newChanges.length > 0 || Date.now() >= deadline || this.down) {
        const rows = newChanges.map((change) =>
          change.value === undefined
            ? { delete: change.key, stamp: change.revision }
            : { write: change.key, value: change.value, stamp: change.revision },
        );
        return [200, { ledger: this.revision, news: rows }];
      }
      await new Promise<void>((resolve) => {
        const wake = (): void => {
          clearTimeout(timer);
          this.watchers.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, 50);
        this.watchers.add(wake);
      });
    }
  }

  private serve(method: string, url: URL, body: Json): [number, unknown] {
    this.expireLeases();
    const path = url.pathname;
    if (path === "/store") {
      const prefix = url.searchParams.get("under") ?? "";
      const afterKey = url.searchParams.get("from") ?? "";
      const rows = [...this.rows]
        .filter(([key]) => key.startsWith(prefix) && key > afterKey)
        .sort(([a], [b]) => (a < b ? -1 : 1))
        .map(([key, row]) => ({ path: key, value: row.value, stamp: row.revision }));
      // pages of three rows, so that clients have to follow pages
      return [200, { rows: rows.slice(0, 3), more: rows.length > 3, ledger: this.revision }];
    }
    if (path.startsWith("/store/")) {
      const key = path.slice("/store/".length);
      const row = this.rows.get(key);
      if (row === undefined) return [404, { ledger: this.revision }];
      return [200, { path: key, value: row.value, stamp: row.revision }];
    }
    if (path === "/commit") return this.commit(body);
    if (path === "/grants") {
      const leaseId = ++this.revision;
      const ttlMs = Number(body["ttl_ms"]);
      this.leases.set(leaseId, { ttlMs, expiresAt: Date.now() + ttlMs });
      return [200, { permit: leaseId }];
    }
    const [, , id, action] = path.split("/");
    const lease = this.leases.get(Number(id));
    if (lease === undefined) return [404, {}];
    if (action === "extend") lease.expiresAt = Date.now() + lease.ttlMs;
    else if (method === "DELETE") {
      lease.expiresAt = 0;
      this.expireLeases();
    }
    return [200, {}];
  }

  private commit(body: Json): [number, unknown] {
    const conditions = (body["when"] ?? []) as { path: string; stamp: number }[];
    const changes = (body["apply"] ?? []) as {
      write?: string;
      delete?: string;
      value?: unknown;
      permit?: number;
    }[];
    const firstKey = changes[0]?.write ?? changes[0]?.delete ?? "";
    const { valueKb, txnOps } = this.limits;
    const sizeInBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value) ?? "");
    if (
      changes.length > txnOps ||
      conditions.length > 4 * txnOps ||
      sizeInBytes(body) > 64 * 1024 ||
      changes.some((change) => sizeInBytes(change.value) > valueKb * 1024)
    ) {
      this.tooLargeKeys.push(firstKey);
      return [400, { error: "too large" }];
    }
    const keys = changes.map((change) => change.write ?? change.delete ?? "");
    if ([...this.rejectionRules].some((rejects) => rejects(keys))) {
      this.rejectedTransactions.push(keys);
      return [400, { error: "too large" }];
    }
    if (changes.some((change) => change.write !== undefined && this.failsWrite(change.write, change.value)))
      return [503, {}];
    if (changes.length > this.changesUntilRateLimited) {
      this.rateLimitedKeys.push(firstKey);
      return [429, {}];
    }
    this.changesUntilRateLimited -= changes.length;
    if (changes.some((change) => change.permit !== undefined && !this.leases.has(change.permit)))
      return [400, { error: "no such lease" }];
    const failed = conditions
      .filter((condition) => (this.rows.get(condition.path)?.revision ?? 0) !== condition.stamp)
      .map((condition) => condition.path);
    if (failed.length > 0) return [409, { failed, ledger: this.revision }];
    if (changes.length > 0) this.revision++;
    for (const change of changes) {
      if (change.write !== undefined)
        this.applyChange(change.write, this.revision, change.value, change.permit);
      else if (change.delete !== undefined && this.rows.has(change.delete))
        this.applyChange(change.delete, this.revision);
    }
    return [200, { ledger: this.revision }];
  }
}
