/**
 * Measures shards: `ownership` counts the machines that change owners, and the requests and changes to the state
 * service, when controllers end, join and are drained; `moves` times shard moves on loopback; `memory` measures the
 * heap that a controller needs for its shards. Not a test, and not run by CI.
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
import { LoopbackCluster, CONTROLLER_NAMES } from "../loopback-cluster.js";

const MACHINE_COUNTS = [450, 1500, 4000];
const ZONES = ["a", "b", "c"];
const MAX_TXN_OPS = 16;
const REQUESTS_PER_HANDOFF = 3;

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

/** The ownership records of one cluster, changed in memory as its controllers would change them. */
class Simulation {
  private revision = 10;
  private token = 0;
  assignment = Assignment.empty;
  requestCount = 0;
  changeCount = 0;
  private readonly loads: ReadonlyMap<ShardId, number>;

  constructor(
    private readonly machines: Machines,
    members: readonly Member[],
  ) {
    const counts = new Map<ShardId, number>();
    for (const { id, zone } of machines)
      counts.set(shardOf(id, zone), (counts.get(shardOf(id, zone)) ?? 0) + 1);
    this.loads = counts;
    this.startTerm(members);
    this.rebalance(new Set());
    this.requestCount = this.changeCount = 0;
  }

  startTerm(members: readonly Member[]): void {
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
    this.requestCount++;
    this.changeCount += writes.length;
  }

  /** Records missing owners, then moves shards until the planner has no further move. */
  rebalance(draining: ReadonlySet<string>): void {
    for (;;) {
      const writes = repairsOf(this.assignment, this.loads, () => false, MAX_TXN_OPS / 2);
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
        this.requestCount += REQUESTS_PER_HANDOFF - 1;
        this.changeCount += REQUESTS_PER_HANDOFF - 1;
      }
    }
  }
}

const countDifferences = (a: Map<string, string | null>, b: Map<string, string | null>): number =>
  [...a].filter(([machine, owner]) => b.get(machine) !== owner).length;

const rendezvousOwners = (machines: Machines, members: readonly Member[]) =>
  new Map(machines.map(({ id, zone }) => [id, rendezvousOwner(members, id, zone)?.name ?? null]));

const measureOwnership = (): void => {
  for (const count of [3, 5])
    for (const size of MACHINE_COUNTS) {
      const machines = machinesOf(size);
      const members = membersOf(count);
      const remaining = members.filter(({ name }) => name !== "m-0");
      const movedByHash = countDifferences(
        rendezvousOwners(machines, members),
        rendezvousOwners(machines, remaining),
      );
      const simulation = new Simulation(machines, members);
      const steps: [string, () => void][] = [
        ["ends", () => simulation.startTerm(remaining)],
        ["  afterwards", () => simulation.rebalance(new Set())],
        ["joins", () => simulation.startTerm(members)],
        ["  afterwards", () => simulation.rebalance(new Set())],
        ["drained", () => simulation.rebalance(new Set(["m-0"]))],
        ["ends, drained", () => simulation.startTerm(remaining)],
      ];
      console.log(
        `${count} controllers, ${size} machines; by hash: ${movedByHash} at an end, ${movedByHash} at a return`,
      );
      for (const [label, step] of steps) {
        const before = simulation.owners();
        simulation.requestCount = simulation.changeCount = 0;
        step();
        const moved = countDifferences(before, simulation.owners());
        console.log(
          `  ${label}: ${moved} workers, ${simulation.requestCount} requests, ${simulation.changeCount} changes`,
        );
      }
    }
};

const measureMoves = async (machineCount: number, moveCount: number): Promise<void> => {
  const cluster = new LoopbackCluster();
  await cluster.start(machineCount);
  await cluster.submit("req-000019", {
    shape: "daemon",
    urgency: "critical",
    chores: machineCount,
    vcpus: 4,
  });
  while ((await cluster.request("GET", "/v2/runs/req-000019"))[1]["running"] !== machineCount)
    await cluster.listShards();
  const workers = [...cluster.cloud.machines.values()].map(({ worker }) => worker);
  for (const worker of workers) worker.longestHeartbeatGapMs = worker.redirectCount = 0;
  const durationsMs: number[] = [];
  for (let round = 0; round < moveCount; round++) {
    const shards = await cluster.shardsWithMachines();
    const shard = shards[round % shards.length]!;
    const target = CONTROLLER_NAMES.find((name) => name !== shard.owner)!;
    const { code, stdout, stderr } = await cluster.runShardsCommand(
      "north",
      "move",
      shard.shard,
      target,
      "--json",
    );
    if (code === 0) durationsMs.push((JSON.parse(stdout) as { tookMs: number }).tookMs);
    else console.log(`refused: ${stderr}${stdout}`);
  }
  durationsMs.sort((a, b) => a - b);
  const gaps = workers.map((worker) => worker.longestHeartbeatGapMs).sort((a, b) => a - b);
  const redirects = workers.reduce((sum, worker) => sum + worker.redirectCount, 0);
  console.log(
    `${machineCount} machines, ${durationsMs.length} of ${moveCount} moves: ms ${durationsMs.join(" ")}`,
  );
  console.log(
    `longest gap between answered reports, ms: median ${gaps[gaps.length >> 1]}, most ${gaps.at(-1)}`,
  );
  console.log(`workers told to change controller: ${redirects}`);
  cluster.stop();
};

const measureMemory = (): void => {
  const usedHeapBytes = (): number => {
    (globalThis as { gc?: () => void }).gc?.();
    return process.memoryUsage().heapUsed;
  };
  const before = usedHeapBytes();
  const simulation = new Simulation(machinesOf(4000), membersOf(5));
  const shardOfMachine = new Map(machinesOf(4000).map(({ id, zone }) => [id, shardOf(id, zone)]));
  const kb = Math.round((usedHeapBytes() - before) / 1024);
  console.log(
    `${kb} KB of heap for 4,000 machines, ${simulation.assignment.recordedShards().length} records, ${shardOfMachine.size} remembered`,
  );
};

const [measurement, machines, rounds] = process.argv.slice(2);
if (measurement === "ownership") measureOwnership();
else if (measurement === "memory") measureMemory();
else await measureMoves(Number(machines ?? 12), Number(rounds ?? 12));
