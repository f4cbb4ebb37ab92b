/** Stand-ins for the outside systems, over real HTTP on loopback: state service, cloud, workers. */
import http from "node:http";
import type { AddressInfo } from "node:net";

type Json = Record<string, unknown>;

const body = async (request: http.IncomingMessage): Promise<Json> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString("utf8");
  return text === "" ? {} : (JSON.parse(text) as Json);
};

/** A request with a connection of its own; null: no answer. */
const post = (url: string, text: string): Promise<{ status: number; text: string } | null> =>
  new Promise((done) => {
    const request = http.request(url, { method: "POST", agent: false, timeout: 4000 }, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("end", () =>
        done({ status: response.statusCode ?? 0, text: Buffer.concat(chunks).toString() }),
      );
      response.on("error", () => done(null));
    });
    request.on("timeout", () => request.destroy());
    request.on("error", () => done(null));
    request.end(text);
  });

abstract class StandIn {
  readonly server: http.Server;
  addr = "";
  constructor() {
    this.server = http.createServer((request, response) => {
      void this.handle(request).then(([status, value]) => {
        const text = JSON.stringify(value);
        response.writeHead(status, { "content-type": "application/json" }).end(text);
      });
    });
  }
  abstract handle(request: http.IncomingMessage): Promise<[number, unknown]>;
  async start(): Promise<void> {
    await new Promise<void>((done) => this.server.listen(0, "127.0.0.1", done));
    this.addr = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }
  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}

export class StateStandIn extends StandIn {
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
    const sent = await body(request);
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

export class CloudStandIn extends StandIn {
  private made = 0;
  readonly rentals = new Map<string, string[]>();
  readonly up = new Map<string, { worker: WorkerStandIn; build: string }>();
  capacity = 4;
  /** What happened to tasks, in order, on whatever machine. */
  readonly events: string[] = [];
  /** Types beside the one that is ever had. */
  otherTypes: readonly string[] = [];

  constructor(private readonly front: () => string) {
    super();
  }

  async handle(request: http.IncomingMessage): Promise<[number, unknown]> {
    const sent = await body(request);
    const path = (request.url ?? "").split("?")[0];
    if (path === "/flavors") {
      const build = { label: "small", vcpus: 4, gpus: 0, mem_gb: 8, cache_gb: 10, pull_gb_per_s: 1 };
      const type = { ...build, rate: 1, spot_price: 0.3, startup_s: 1, districts: ["east"] };
      return [200, { builds: [type, ...this.otherTypes.map((label) => ({ ...type, label }))] }];
    }
    if (path === "/rentals/release") {
      for (const id of sent["hearths"] as string[]) {
        this.up.get(id)?.worker.stop();
        this.up.delete(id);
      }
      return [200, {}];
    }
    if (request.method === "POST") {
      const name = String(sent["rental"]);
      const before = this.rentals.get(name);
      if (before !== undefined) return [200, { hearths: before }];
      const got: string[] = [];
      while (got.length < Number(sent["how_many"]) && this.up.size < this.capacity) {
        const id = `n-${String(++this.made).padStart(6, "0")}`;
        const worker = new WorkerStandIn(id, Boolean(sent["loaners"]), this.front, this.events);
        await worker.start();
        worker.begin();
        this.up.set(id, { worker, build: String(sent["build"]) });
        got.push(id);
      }
      if (got.length === 0) return [503, { error: "no capacity" }];
      this.rentals.set(name, got);
      return [200, { hearths: got }];
    }
    const rows = [...this.up].map(([id, m]) => ({
      ref: id,
      endpoint: m.worker.addr,
      build: m.build,
      district: "east",
      loaners: m.worker.spot,
      status: "running",
      held_s: 1,
    }));
    return [200, { hearths: rows, more: false }];
  }

  override stop(): void {
    for (const { worker } of this.up.values()) worker.stop();
    super.stop();
  }
}

/** How long a task runs: for a moment, for seconds if its job's id ends in 8, and until it is halted if that ends in 9. */
const runMs = (chore: string): number | null => {
  const job = chore.split("/")[0]!;
  return job.endsWith("9") ? null : job.endsWith("8") ? 3000 : 50;
};

/** A machine: runs whatever it is told to, and reports. */
export class WorkerStandIn extends StandIn {
  private tally = 0;
  private baton = 0;
  private node = 0;
  private answeredAt: number | null = null;
  /** The longest time between two answered reports, and how often it was sent to another controller. */
  longestGapMs = 0;
  redirects = 0;
  private readonly chores = new Map<string, { chore: string; try: number; status: string; cause?: string }>();
  private timer: NodeJS.Timeout | null = null;
  readonly starts: string[] = [];

  constructor(
    private readonly id: string,
    readonly spot: boolean,
    private readonly front: () => string,
    private readonly events: string[] = [],
  ) {
    super();
  }

  begin(): void {
    this.timer = setInterval(() => void this.handleReport(), 100);
  }
  override stop(): void {
    if (this.timer !== null) clearInterval(this.timer);
    super.stop();
  }

  private report(): Json {
    return {
      hearth: this.id,
      endpoint: this.addr,
      build: "small",
      district: "east",
      loaners: this.spot,
      shift: 1,
      tally: ++this.tally,
      baton: this.baton,
      recall_s: null,
      chores: [...this.chores.values()],
    };
  }

  /** Reports to one of the controllers, `NAME=ADDRESS` each or a single address; goes where it is sent, else to the next. */
  private async handleReport(): Promise<void> {
    const fronts = this.front()
      .split(",")
      .map((entry) => entry.split("="));
    const addr = fronts[this.node % fronts.length]!.at(-1)!;
    // not fetch: it asks again by itself after a 421, and who comes back is taken in
    const reply = await post(`http://${addr}/agent/beat`, JSON.stringify(this.report()));
    if (reply?.status === 200) {
      this.baton = Math.max(this.baton, Number((JSON.parse(reply.text) as Json)["baton"]));
      this.longestGapMs = Math.max(this.longestGapMs, Date.now() - (this.answeredAt ?? Date.now()));
      this.answeredAt = Date.now();
      return;
    }
    const foreman = reply?.status === 421 ? (JSON.parse(reply.text) as Json)["foreman"] : undefined;
    const named = fronts.findIndex(([name]) => name === foreman);
    if (reply?.status === 421) this.redirects++;
    this.node = named >= 0 ? named : this.node + 1;
  }

  async handle(request: http.IncomingMessage): Promise<[number, unknown]> {
    const sent = await body(request);
    if (request.url !== "/orders") return [200, this.report()];
    if (Number(sent["baton"]) < this.baton || sent["shift"] !== 1) return [409, this.report()];
    this.baton = Number(sent["baton"]);
    for (const o of sent["orders"] as { verb: string; chore: string; try: number }[]) {
      const key = `${o.chore}#${o.try}`;
      const chore = this.chores.get(key);
      if (o.verb === "reap") this.chores.delete(key);
      else if (o.verb === "halt" && chore?.status === "running") {
        this.events.push(`stopped ${o.chore}`);
        Object.assign(chore, { status: "ended", cause: "stopped" });
      } else if (o.verb === "start" && chore === undefined) {
        this.starts.push(o.chore);
        this.events.push(`start ${o.chore}`);
        const started: { chore: string; try: number; status: string; cause?: string } = {
          chore: o.chore,
          try: o.try,
          status: "running",
        };
        this.chores.set(key, started);
        const ms = runMs(o.chore);
        if (ms !== null)
          setTimeout(() => {
            if (started.status !== "running") return;
            this.events.push(`done ${o.chore}`);
            Object.assign(started, { status: "ended", cause: "done" });
          }, ms);
      }
    }
    return [200, this.report()];
  }
}
