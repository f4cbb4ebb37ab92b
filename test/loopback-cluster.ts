/** Three controller processes on loopback with shards enabled, and fakes of the outside systems and the workers. */
import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { ListedShard, ShardListing } from "../src/service/shards/shard-operator.js";
import { freePort, MAIN_PATH, until, writeSettings } from "./controller-process.js";
import { FakeCloud } from "./fakes/fake-cloud.js";
import { FakeStateService } from "./fakes/fake-state-service.js";

/** The member names of the controllers. */
export const CONTROLLER_NAMES = ["north", "south", "inland"] as const;
/** The member name of a controller. */
export type ControllerName = (typeof CONTROLLER_NAMES)[number];

interface Controller {
  readonly front: string;
  readonly operatorsAddress: string;
  readonly configFile: string;
  readonly settingsFile: string;
  process: ChildProcess | null;
}

/** The exit code and the output of a command. */
export interface CommandResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Starts and stops the controllers and the fakes, and sends them requests of users and commands of operators. */
export class LoopbackCluster {
  readonly state = new FakeStateService();
  readonly cloud = new FakeCloud(() =>
    [...this.controllers].map(([name, { front }]) => `${name}=${front}`).join(","),
  );
  private readonly controllers = new Map<ControllerName, Controller>();

  async start(machineCount: number): Promise<void> {
    await this.state.start();
    await this.cloud.start();
    this.cloud.maxMachines = machineCount;
    const peers = new Map<ControllerName, string>();
    for (const name of CONTROLLER_NAMES) peers.set(name, `127.0.0.1:${await freePort()}`);
    for (const name of CONTROLLER_NAMES)
      this.controllers.set(name, await this.newController(name, peers, machineCount));
    for (const name of CONTROLLER_NAMES) this.startController(name);
    await this.untilShardsInForce();
  }

  private async newController(
    name: ControllerName,
    peers: Map<ControllerName, string>,
    machineCount: number,
  ): Promise<Controller> {
    const front = `127.0.0.1:${await freePort()}`;
    const operatorsAddress = `127.0.0.1:${await freePort()}`;
    const settingsFile = join(mkdtempSync(join(tmpdir(), "indigowick-")), "own.json");
    const ownSettings = { idle_boots: 100, shards: { enabled: true }, operators_socket: operatorsAddress };
    writeFileSync(settingsFile, JSON.stringify(ownSettings));
    const others = CONTROLLER_NAMES.filter((other) => other !== name);
    const configFile = writeSettings({
      member: name,
      domain: "east",
      front,
      peer_bind: peers.get(name),
      seeds: others.map((member) => ({ member, domain: "east", addr: peers.get(member) })),
      external: { cloud: this.cloud.addr, state: this.state.addr },
      params: {
        initial_size: 3,
        zones: ["east"],
        teams: [{ name: "red", cpus: 4 * machineCount, cpus_max: 4 * machineCount, gpus: 0, gpus_max: 0 }],
        objectives: [],
        workers: { report_s: 0.2, lease_s: 10, cancel_s: 30 },
        state: { rps: 1000, write_rps: 1000, value_kb: 16, txn_ops: 16 },
        cloud: { rps: 50, list_lag_s: 1 },
        machine_limits: { core_share: 1, ram_mb: 200, max_connections: 1000 },
      },
    });
    return {
      front,
      operatorsAddress,
      configFile,
      settingsFile,
      process: null,
    };
  }

  startController(name: ControllerName, settingsFile?: string): void {
    const controller = this.controllers.get(name)!;
    const args = [
      MAIN_PATH,
      "--config",
      controller.configFile,
      "--settings",
      settingsFile ?? controller.settingsFile,
    ];
    controller.process = spawn(process.execPath, args, {
      stdio: ["ignore", "ignore", "inherit"],
      env: { ...process.env, LOG_LEVEL: "error" },
    });
  }

  kill(name: ControllerName): void {
    this.controllers.get(name)!.process?.kill("SIGKILL");
  }

  /** Kills a controller and starts it again, with or without shards. */
  restart(name: ControllerName, withShards = true): void {
    this.kill(name);
    this.startController(name, withShards ? undefined : writeSettings({ idle_boots: 100 }));
  }

  stop(): void {
    for (const name of this.controllers.keys()) this.kill(name);
    this.cloud.stop();
    this.state.stop();
  }

  /** Runs a `shards` command of the command line against one controller. */
  runShardsCommand(at: ControllerName, ...args: string[]): Promise<CommandResult> {
    return new Promise((resolve) => {
      const child = spawn(process.execPath, [
        MAIN_PATH,
        "shards",
        ...args,
        "--at",
        this.controllers.get(at)!.operatorsAddress,
      ]);
      let stdout = "";
      let stderr = "";
      child.stdout.on("data", (chunk: Buffer) => (stdout += chunk.toString()));
      child.stderr.on("data", (chunk: Buffer) => (stderr += chunk.toString()));
      child.on("close", (code) => resolve({ code: code ?? -1, stdout, stderr }));
    });
  }

  async listShards(at: ControllerName = "north"): Promise<ShardListing> {
    const { code, stdout, stderr } = await this.runShardsCommand(at, "list", "--json");
    assert.equal(code, 0, stderr);
    return JSON.parse(stdout) as ShardListing;
  }

  /** The shards that have machines, with their owners. */
  async shardsWithMachines(): Promise<readonly ListedShard[]> {
    return (await this.listShards()).shards.filter((shard) => shard.machines > 0);
  }

  untilShardsInForce(inForce = true, at: ControllerName = "north"): Promise<void> {
    return until(`shards are ${inForce ? "" : "not "}in force`, async () => {
      const listing = await this.listShards(at);
      return listing.inForce === inForce && listing.controllers.length === CONTROLLER_NAMES.length;
    });
  }

  /** Sends a request of a user to the controllers in turn until one answers with a status below 500. */
  async request(method: string, path: string, body?: unknown): Promise<[number, Record<string, unknown>]> {
    for (const { front } of this.controllers.values())
      try {
        const sent = body === undefined ? {} : { body: JSON.stringify(body) };
        const response = await fetch(`http://${front}${path}`, { method, ...sent });
        if (response.status < 500)
          return [response.status, (await response.json()) as Record<string, unknown>];
      } catch {
        // this controller is down: try the next one
      }
    return [503, {}];
  }

  submit(ref: string, overrides: object = {}): Promise<void> {
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
      ...overrides,
    };
    return until(`${ref} accepted`, async () =>
      [200, 201].includes((await this.request("POST", "/v2/runs", job))[0]),
    );
  }

  async jobStatus(ref: string): Promise<unknown> {
    return (await this.request("GET", `/v2/runs/${ref}`))[1]["status"];
  }
}
