/** A fake of the cloud: it lists machine types, and rents out machines that are fake workers. */
import type http from "node:http";
import { FakeServer, readJson } from "./fake-server.js";
import { FakeWorker } from "./fake-worker.js";

/** The cloud over HTTP, with a bounded capacity; each machine that it rents out is a {@link FakeWorker}. */
export class FakeCloud extends FakeServer {
  private made = 0;
  readonly rentals = new Map<string, string[]>();
  readonly up = new Map<string, { worker: FakeWorker; build: string }>();
  capacity = 4;
  /** What happened to tasks, in order, on whatever machine. */
  readonly events: string[] = [];
  /** Types beside the one that is ever had. */
  otherTypes: readonly string[] = [];

  constructor(private readonly front: () => string) {
    super();
  }

  async handle(request: http.IncomingMessage): Promise<[number, unknown]> {
    const sent = await readJson(request);
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
        const worker = new FakeWorker(id, Boolean(sent["loaners"]), this.front, this.events);
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
