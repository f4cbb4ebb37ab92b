/**
 * Measures shards: `ownership` counts what changes hands when controllers end, join and are drained; `moves` times moves on
 * loopback; `memory` weighs what a controller keeps. Not a test, and no part of CI.
 */
import {
  Assignment,
  encodeShardState,
  planMoves,
  rendezvousOwner,
  repairsOf,
  type ShardId,
  shardOf,
  type ShardWrite,
} from "#shards";
import { LoopbackCluster, NAMES } from "../loopback-cluster.js";

const MACHINES = [450, 1500, 4000];
const ZONES = ["a", "b", "c"];
const TXN_OPS = 16;
const REQUESTS_OF_A_HANDOFF = 3;

interface Member {
  readonly name: string;
  readonly incarnation: number;
  readonly zone: string;
}
const membersOf = (count: number): Member[] =>
  Array.from({ length: count }, (_, i) => ({ name: `m-${i}`, incarnation: i, zone: ZONES[i % 2]! }));
const machinesOf = (count: number) =>
  Array.from({ length: count }, (_, i) => ({ id: `n-${String(i).padStart(6, "0")}`, zone: ZONES[i % 2]! }));
type Machines = ReturnType<typeof machinesOf>;

/** One cluster whose records are changed as its controllers would change them. */
class Simulation {
  private revision = 10;
  private token = 0;
  assignment = Assignment.empty;
  requests = 0;
  changes = 0;
  private readonly loads: ReadonlyMap<ShardId, number>;

  constructor(
    private readonly machines: Machines,
    members: readonly Member[],
  ) {
    const counts = new Map<ShardId, number>();
    for (const { id, zone } of machines)
      counts.set(shardOf(id, zone), (counts.get(shardOf(id, zone)) ?? 0) + 1);
    this.loads = counts;
    this.term(members);
    this.settle(new Set());
    this.requests = this.changes = 0;
  }

  term(members: readonly Member[]): void {
    const revision = ++this.revision;
    this.assignment = this.assignment
      .withTerm({ number: ++this.token, revision, members })
      .withChanges([], this.token, revision);
  }

  owners(): Map<string, string | null> {
    return new Map(this.machines.map(({ id, zone }) => [id, this.assignment.ownerOfMachine(id, zone)]));
  }

  private write(writes: readonly ShardWrite[]): void {
    const revision = ++this.revision;
    const rows = writes.map(({ shard, state }) => ({ shard, revision, value: encodeShardState(state) }));
    this.assignment = this.assignment.withChanges(rows, this.token, revision);
    this.requests++;
    this.changes += writes.length;
  }

  /** Writes owners down, and moves shards until nothing is left to move. */
  settle(draining: ReadonlySet<string>): void {
    for (;;) {
      const writes = repairsOf(this.assignment, this.loads, () => false, TXN_OPS / 2);
      if (writes.length === 0) break;
      this.write(writes);
    }
    const loads = new Map(
      [...this.loads].map(([shard, machines]) => [
        shard,
        { machines, heartbeatsPerSecond: machines / 5, commandsPerSecond: 0 },
      ]),
    );
    for (;;) {
      const moves = planMoves({
        assignment: this.assignment,
        loads,
        draining,
        isBlocked: () => false,
        hysteresis: 0.3,
        maxMoves: 2,
      });
      if (moves.length === 0) return;
      for (const { shard, target } of moves) {
        const epoch = this.assignment.ownershipOf(shard)!.epoch + 1;
        const state = { _tag: "Owned", epoch, owner: target } as const;
        this.write([{ shard, revision: 0, termRevision: 0, state }]);
        this.requests += REQUESTS_OF_A_HANDOFF - 1;
        this.changes += REQUESTS_OF_A_HANDOFF - 1;
      }
    }
  }
}

const differing = (a: Map<string, string | null>, b: Map<string, string | null>): number =>
  [...a].filter(([machine, owner]) => b.get(machine) !== owner).length;

const hashed = (machines: Machines, members: readonly Member[]) =>
  new Map(machines.map(({ id, zone }) => [id, rendezvousOwner(members, id, zone)?.name ?? null]));

const measureOwnership = (): void => {
  for (const count of [3, 5])
    for (const size of MACHINES) {
      const machines = machinesOf(size);
      const members = membersOf(count);
      const rest = members.filter(({ name }) => name !== "m-0");
      const byHash = differing(hashed(machines, members), hashed(machines, rest));
      const world = new Simulation(machines, members);
      const steps: [string, () => void][] = [
        ["ends", () => world.term(rest)],
        ["  afterwards", () => world.settle(new Set())],
        ["joins", () => world.term(members)],
        ["  afterwards", () => world.settle(new Set())],
        ["drained", () => world.settle(new Set(["m-0"]))],
        ["ends, drained", () => world.term(rest)],
      ];
      console.log(
        `${count} controllers, ${size} machines; by hash: ${byHash} at an end, ${byHash} at a return`,
      );
      for (const [what, step] of steps) {
        const before = world.owners();
        world.requests = world.changes = 0;
        step();
        const moved = differing(before, world.owners());
        console.log(`  ${what}: ${moved} workers, ${world.requests} requests, ${world.changes} changes`);
      }
    }
};

const measureMoves = async (machines: number, rounds: number): Promise<void> => {
  const cluster = new LoopbackCluster();
  await cluster.start(machines);
  await cluster.submit("req-000019", { shape: "daemon", urgency: "critical", chores: machines, vcpus: 4 });
  while ((await cluster.ask("GET", "/v2/runs/req-000019"))[1]["running"] !== machines) await cluster.list();
  const workers = [...cluster.cloud.up.values()].map(({ worker }) => worker);
  for (const worker of workers) worker.longestGapMs = worker.redirects = 0;
  const times: number[] = [];
  for (let round = 0; round < rounds; round++) {
    const shards = await cluster.busyShards();
    const shard = shards[round % shards.length]!;
    const target = NAMES.find((name) => name !== shard.owner)!;
    const { code, stdout, stderr } = await cluster.cli("north", "move", shard.shard, target, "--json");
    if (code === 0) times.push((JSON.parse(stdout) as { tookMs: number }).tookMs);
    else console.log(`refused: ${stderr}${stdout}`);
  }
  times.sort((a, b) => a - b);
  const gaps = workers.map((worker) => worker.longestGapMs).sort((a, b) => a - b);
  const redirects = workers.reduce((sum, worker) => sum + worker.redirects, 0);
  console.log(`${machines} machines, ${times.length} of ${rounds} moves: ms ${times.join(" ")}`);
  console.log(
    `longest gap between answered reports, ms: median ${gaps[gaps.length >> 1]}, most ${gaps.at(-1)}`,
  );
  console.log(`workers told to change controller: ${redirects}`);
  cluster.stop();
};

const measureMemory = (): void => {
  const used = (): number => {
    (globalThis as { gc?: () => void }).gc?.();
    return process.memoryUsage().heapUsed;
  };
  const before = used();
  const world = new Simulation(machinesOf(4000), membersOf(5));
  const remembered = new Map(machinesOf(4000).map(({ id, zone }) => [id, shardOf(id, zone)]));
  const kb = Math.round((used() - before) / 1024);
  console.log(
    `${kb} KB of heap for 4,000 machines, ${world.assignment.recordedShards().length} records, ${remembered.size} remembered`,
  );
};

const [what, machines, rounds] = process.argv.slice(2);
if (what === "ownership") measureOwnership();
else if (what === "memory") measureMemory();
else await measureMoves(Number(machines ?? 12), Number(rounds ?? 12));
