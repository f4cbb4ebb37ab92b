/** A fake of the cloud provider's API: lists machine types, rents machines and releases them. */
import type http from "node:http";
import { FakeServer, readJson } from "./fake-server.js";
import { FakeWorker } from "./fake-worker.js";

/** The cloud's HTTP API with a bounded number of machines; each rented machine is a {@link FakeWorker}. */
export class FakeCloud extends FakeServer {
  private machinesCreated = 0;
  readonly rentals = new Map<string, string[]>();
  readonly machines = new Map<string, { worker: FakeWorker; type: string }>();
  maxMachines = 4;
  /** Task events of all machines in the order they happened: `start TASK`, `done TASK` or `stopped TASK`. */
  readonly taskEvents: string[] = [];
  /** Labels of machine types that are listed in addition to `small`, the type that every worker reports. */
  extraTypeLabels: readonly string[] = [];

  constructor(private readonly controllerAddresses: () => string) {
    super();
  }

  async handle(request: http.IncomingMessage): Promise<[number, unknown]> {
    const body = await readJson(request);
    const path = (request.url ?? "").split("?")[0];
    if (path === "/flavors") {
      const hardware = { label: "small", vcpus: 4, gpus: 0, mem_gb: 8, cache_gb: 10, pull_gb_per_s: 1 };
      const machineType = { ...hardware, rate: 1, spot_price: 0.3, startup_s: 1, districts: ["east"] };
      return [
        200,
        { builds: [machineType, ...this.extraTypeLabels.map((label) => ({ ...machineType, label }))] },
      ];
    }
    if (path === "/rentals/release") {
      for (const id of body["hearths"] as string[]) {
        this.machines.get(id)?.worker.stop();
        this.machines.delete(id);
      }
      return [200, {}];
    }
    if (request.method === "POST") {
      const rentalName = String(body["rental"]);
      const existing = this.rentals.get(rentalName);
      if (existing !== undefined) return [200, { hearths: existing }];
      const rentedIds: string[] = [];
      while (rentedIds.length < Number(body["how_many"]) && this.machines.size < this.maxMachines) {
        const id = `n-${String(++this.machinesCreated).padStart(6, "0")}`;
        const worker = new FakeWorker(
          id,
          Boolean(body["loaners"]),
          this.controllerAddresses,
          this.taskEvents,
        );
        await worker.start();
        worker.startHeartbeats();
        this.machines.set(id, { worker, type: String(body["build"]) });
        rentedIds.push(id);
      }
      if (rentedIds.length === 0) return [503, { error: "no capacity" }];
      this.rentals.set(rentalName, rentedIds);
      return [200, { hearths: rentedIds }];
    }
    const rows = [...this.machines].map(([id, machine]) => ({
      ref: id,
      endpoint: machine.worker.addr,
      build: machine.type,
      district: "east",
      loaners: machine.worker.spot,
      status: "running",
      held_s: 1,
    }));
    return [200, { hearths: rows, more: false }];
  }

  override stop(): void {
    for (const { worker } of this.machines.values()) worker.stop();
    super.stop();
  }
}
