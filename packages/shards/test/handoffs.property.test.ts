/** Random histories of moves, faults and restarts; fast-check shrinks a failing one. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { ShardId } from "../src/index.js";
import { type Guard, World } from "./world.js";

const NODES = [
  ["north", "east"],
  ["south", "west"],
  ["inland", "east"],
] as const;
/** Two machines in one shard of the zone east, one in another shard of east, and one in west. */
const MACHINES = new Map([
  ["n-4", "east"],
  ["n-9", "east"],
  ["n-13", "east"],
  ["n-15", "west"],
]);
/** Within this time after the last fault every handoff ends. */
const RECOVERY_MS = 20_000;

class Step implements fc.Command<object, World> {
  constructor(
    private readonly text: string,
    private readonly apply: (world: World) => void,
  ) {}
  check = (): boolean => true;
  run(_model: object, world: World): void {
    this.apply(world);
    world.check();
    assert.deepEqual(world.invariants.violations, []);
  }
  toString = (): string => this.text;
}

const node = fc.constantFrom(...NODES.map(([name]) => name));
const shard = fc.nat(20).map((index) => (world: World): ShardId => {
  const chosen = world.shards[index % world.shards.length];
  if (chosen === undefined) throw new Error("the world has no shards");
  return chosen;
});
const ms = (max: number) => fc.integer({ min: 1, max });
const move = fc
  .tuple(shard, node)
  .map(([shardIn, target]) => new Step(`move(${target})`, (world) => world.move(shardIn(world), target)));
const wait = ms(2500).map((duration) => new Step(`advance(${duration})`, (world) => world.advance(duration)));
const steps = [
  // entries are repeated to be drawn more often
  wait,
  wait,
  wait,
  move,
  move,
  move,
  ms(400).map((duration) => new Step(`advance(${duration})`, (world) => world.advance(duration))),
  fc
    .tuple(node, ms(4000))
    .map(
      ([name, duration]) =>
        new Step(`freeze(${name}, ${duration})`, (world) => world.faults.freeze(name, duration)),
    ),
  fc
    .tuple(node, ms(6000))
    .map(
      ([name, duration]) =>
        new Step(`refuseState(${name}, ${duration})`, (world) => world.faults.refuseState(name, duration)),
    ),
  fc
    .double({ min: 0, max: 0.5, noNaN: true })
    .map(
      (slow) =>
        new Step(`workers(${slow.toFixed(2)})`, (world) =>
          Object.assign(world.network, { slowWorkerShare: slow }),
        ),
    ),
  fc
    .tuple(node, ms(4000))
    .map(
      ([name, duration]) =>
        new Step(`loseAnswers(${name}, ${duration})`, (world) => world.faults.loseAnswers(name, duration)),
    ),
  fc
    .tuple(node, ms(8000))
    .map(
      ([name, duration]) =>
        new Step(`delayReads(${name}, ${duration})`, (world) => world.faults.delayReads(name, duration)),
    ),
  fc
    .constantFrom("n-13", "n-15")
    .map((id) => new Step(`silenceWorker(${id})`, (world) => world.faults.silenceWorker(id))),
  node.map((name) => new Step(`crash(${name})`, (world) => world.faults.crash(name))),
  fc
    .tuple(node, fc.integer({ min: 0, max: 9 }))
    .map(
      ([name, old]) =>
        new Step(`restart(${name}${old === 0 ? ", old" : ""})`, (world) =>
          world.faults.restart(name, old !== 0),
        ),
    ),
  fc
    .record({
      loss: fc.double({ min: 0, max: 0.4, noNaN: true }),
      slow: fc.double({ min: 0, max: 0.5, noNaN: true }),
    })
    .map(
      ({ loss, slow }) =>
        new Step(`network(${loss.toFixed(2)}, ${slow.toFixed(2)})`, (world) =>
          Object.assign(world.network, { lossShare: loss, slowShare: slow, duplicateShare: slow }),
        ),
    ),
];

interface RunTotals {
  executedCount: number;
  readonly outcomes: Map<string, number>;
}

const historyProperty = (disabled: Guard | null, totals: RunTotals) =>
  fc.property(fc.commands(steps, { maxCommands: 60, size: "max" }), fc.nat(1e9), (commands, seed) => {
    const world = new World(seed, disabled, NODES, MACHINES);
    for (const [name] of NODES) world.faults.restart(name, true);
    world.advance(5000);
    fc.modelRun(() => ({ model: {}, real: world }), commands);
    world.faults.clear();
    world.advance(RECOVERY_MS);
    totals.executedCount += world.invariants.executedCount;
    for (const outcome of world.moveOutcomes)
      totals.outcomes.set(outcome, (totals.outcomes.get(outcome) ?? 0) + 1);
    assert.deepEqual(world.invariants.violations, []);
    assert.deepEqual(world.unfinished(), [], "every handoff ends once there are no more faults");
  });

test("no shard has two owners, no machine is counted twice, no old command is carried out, every handoff ends", () => {
  const totals: RunTotals = { executedCount: 0, outcomes: new Map() };
  fc.assert(historyProperty(null, totals), { seed: 27, numRuns: 200, endOnFailure: true });
  // the runs did enough work to be meaningful
  assert.ok(totals.executedCount > 10_000, `${totals.executedCount} commands`);
  for (const outcome of ["done", "CommandInDoubt", "TermChanged", "NotTaken", "MachineNotHeard", "NotHolder"])
    assert.ok((totals.outcomes.get(outcome) ?? 0) > 0, `${outcome}: ${JSON.stringify([...totals.outcomes])}`);
});

/**
 * Each guard, the violation reported without it, and a seed that finds one within few runs. The guard "fencingToken" is
 * tested by the search of all interleavings.
 */
const GUARDS: readonly (readonly [Guard, RegExp, number])[] = [
  ["revision", /epoch|counted by|carried out|handoff/, 3],
  ["term", /epoch|counted by/, 306],
  ["pause", /carried out/, 1],
  ["releasing", /counted by/, 9],
  ["settle", /counted by/, 1],
  ["window", /counted by/, 2],
  ["fresh", /counted by|carried out/, 1],
  ["patience", /handoff/, 2],
  ["repair", /handoff/, 1],
];
for (const [guard, expected, seed] of GUARDS)
  test(`without the guard "${guard}" a property fails`, () => {
    const property = historyProperty(guard, { executedCount: 0, outcomes: new Map() });
    const result = fc.check(property, { seed, numRuns: 120, endOnFailure: true });
    assert.ok(result.failed, `not noticed in ${result.numRuns} runs`);
    const { errorInstance } = result;
    assert.match(errorInstance instanceof Error ? errorInstance.message : String(errorInstance), expected);
  });
