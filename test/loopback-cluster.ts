/** Three real controllers on loopback with shards on, against stand-ins for everything round them. */
import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { ListedShard, ShardListing } from "../src/service/shards/shard-operator.js";
import { freePort, MAIN, until, writeSettings } from "./controller-process.js";
import { FakeCloud } from "./fakes/fake-cloud.js";
import { FakeStateService } from "./fakes/fake-state-service.js";

/** The controllers' names. */
export const NAMES = ["north", "south", "inland"] as const;
/** The name of one controller. */
export type Name = (typeof NAMES)[number];

interface Controller {
  readonly front: string;
  readonly operators: string;
  readonly config: string;
  readonly settings: string;
  process: ChildProcess | null;
}

/** How a command of the command line ended. */
export interface Ended {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** The controllers, the state service, the cloud with its workers, and a user. */
export class LoopbackCluster {
  readonly state = new FakeStateService();
  readonly cloud = new FakeCloud(() =>
    [...this.controllers].map(([name, { front }]) => `${name}=${front}`).join(","),
  );
  private readonly controllers = new Map<Name, Controller>();

  async start(machines: number): Promise<void> {
    await this.state.start();
    await this.cloud.start();
    this.cloud.capacity = machines;
    const peers = new Map<Name, string>();
    for (const name of NAMES) peers.set(name, `127.0.0.1:${await freePort()}`);
    for (const name of NAMES) this.controllers.set(name, await this.newController(name, peers, machines));
    for (const name of NAMES) this.startController(name);
    await this.untilInForce();
  }

  private async newController(name: Name, peers: Map<Name, string>, machines: number): Promise<Controller> {
    const front = `127.0.0.1:${await freePort()}`;
    const operators = `127.0.0.1:${await freePort()}`;
    const settings = join(mkdtempSync(join(tmpdir(), "indigowick-")), "own.json");
    const own = { idle_boots: 100, shards: { enabled: true }, operators_socket: operators };
    writeFileSync(settings, JSON.stringify(own));
    const others = NAMES.filter((other) => other !== name);
    const config = writeSettings({
      member: name,
      domain: "east",
      front,
      peer_bind: peers.get(name),
      seeds: others.map((member) => ({ member, domain: "east", addr: peers.get(member) })),
      external: { cloud: this.cloud.addr, state: this.state.addr },
      params: {
        initial_size: 3,
        zones: ["east"],
        teams: [{ name: "red", cpus: 4 * machines, cpus_max: 4 * machines, gpus: 0, gpus_max: 0 }],
        objectives: [],
        workers: { report_s: 0.2, lease_s: 10, cancel_s: 30 },
        state: { rps: 1000, write_rps: 1000, value_kb: 16, txn_ops: 16 },
        cloud: { rps: 50, list_lag_s: 1 },
        machine_limits: { core_share: 1, ram_mb: 200, max_connections: 1000 },
      },
    });
    return { front, operators, config, settings, process: null };
  }

  startController(name: Name, settings?: string): void {
    const controller = this.controllers.get(name)!;
    const args = [MAIN, "--config", controller.config, "--settings", settings ?? controller.settings];
    controller.process = spawn(process.execPath, args, {
      stdio: ["ignore", "ignore", "inherit"],
      env: { ...process.env, LOG_LEVEL: "error" },
    });
  }

  kill(name: Name): void {
    this.controllers.get(name)!.process?.kill("SIGKILL");
  }

  /** Starts it again with shards, or without. */
  restart(name: Name, shards = true): void {
    this.kill(name);
    this.startController(name, shards ? undefined : writeSettings({ idle_boots: 100 }));
  }

  stop(): void {
    for (const name of this.controllers.keys()) this.kill(name);
    this.cloud.stop();
    this.state.stop();
  }

  /** Runs the command line against one controller. */
  cli(at: Name, ...args: string[]): Promise<Ended> {
    return new Promise((done) => {
      const child = spawn(process.execPath, [
        MAIN,
        "shards",
        ...args,
        "--at",
        this.controllers.get(at)!.operators,
      ]);
      let stdout = "";
      let stderr = "";
      child.stdout.on("data", (chunk: Buffer) => (stdout += chunk.toString()));
      child.stderr.on("data", (chunk: Buffer) => (stderr += chunk.toString()));
      child.on("close", (code) => done({ code: code ?? -1, stdout, stderr }));
    });
  }

  async list(at: Name = "north"): Promise<ShardListing> {
    const { code, stdout, stderr } = await this.cli(at, "list", "--json");
    assert.equal(code, 0, stderr);
    return JSON.parse(stdout) as ShardListing;
  }

  /** Shards that have machines, with their owners. */
  async busyShards(): Promise<readonly ListedShard[]> {
    return (await this.list()).shards.filter((shard) => shard.machines > 0);
  }

  untilInForce(inForce = true, at: Name = "north"): Promise<void> {
    return until(`shards are ${inForce ? "" : "not "}in force`, async () => {
      const listing = await this.list(at);
      return listing.inForce === inForce && listing.controllers.length === NAMES.length;
    });
  }

  /** Asks whichever controller answers. */
  async ask(method: string, path: string, body?: unknown): Promise<[number, Record<string, unknown>]> {
    for (const { front } of this.controllers.values())
      try {
        const sent = body === undefined ? {} : { body: JSON.stringify(body) };
        const response = await fetch(`http://${front}${path}`, { method, ...sent });
        if (response.status < 500)
          return [response.status, (await response.json()) as Record<string, unknown>];
      } catch {
        // it is down: the next one
      }
    return [503, {}];
  }

  submit(ref: string, more: object = {}): Promise<void> {
    const job = {
      ...{
        ref,
        roster: "maps",
        crew: "red",
        shape: "array",
        urgency: "normal",
        chores: 4,
        vcpus: 1,
        gpus: 0,
      },
      ...{ mem_gb: 1, bundle: "img", image_gb: 0.1, together: false, apart: false, loaners: false },
      ...{ expected_s: 1, bookmark_s: 0, stash_s: 0 },
      ...more,
    };
    return until(`${ref} accepted`, async () =>
      [200, 201].includes((await this.ask("POST", "/v2/runs", job))[0]),
    );
  }

  async status(ref: string): Promise<unknown> {
    return (await this.ask("GET", `/v2/runs/${ref}`))[1]["status"];
  }
}
