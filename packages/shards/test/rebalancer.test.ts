/** Which moves are planned: none for small differences, all shards for a drain, few at a time, always towards balance. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  Assignment,
  encodeShardState,
  planMoves,
  type RebalanceInput,
  type ShardId,
  type ShardLoad,
  ShardState,
  shardsOfZone,
  weightOf,
} from "../src/index.js";

const MEMBERS = [
  { name: "a", incarnation: 1, zone: "east" },
  { name: "b", incarnation: 2, zone: "east" },
  { name: "c", incarnation: 3, zone: "west" },
];
const SHARDS = [...shardsOfZone("east"), ...shardsOfZone("west")];
const owned = (ownerOf: (shard: ShardId, index: number) => string, members = MEMBERS): Assignment =>
  Assignment.empty.withTerm({ number: 1, revision: 1, members }).withSnapshot(
    SHARDS.map((shard, i) => ({
      shard,
      revision: 2,
      value: encodeShardState(ShardState.Owned({ epoch: 1, owner: ownerOf(shard, i) })),
    })),
    1,
    9,
  );
const load = (machines: number): ShardLoad => ({
  machines,
  heartbeatsPerSecond: machines / 4,
  commandsPerSecond: 0,
});
const input = (assignment: Assignment, more: Partial<RebalanceInput> = {}): RebalanceInput => ({
  assignment,
  loads: new Map(SHARDS.map((shard) => [shard, load(8)])),
  draining: new Set(),
  isBlocked: () => false,
  hysteresis: 0.3,
  maxMoves: 100,
  ...more,
});
const home = (shard: ShardId, i: number): string =>
  shard.startsWith("west") ? "c" : i % 2 === 0 ? "a" : "b";

/** The assignment after the moves. */
const after = (before: Assignment, moves: readonly { shard: ShardId; target: string }[]): Assignment => {
  const targets = new Map(moves.map((move) => [move.shard, move.target]));
  return owned((shard) => targets.get(shard) ?? before.ownershipOf(shard)!.owner);
};

test("nothing moves where loads differ by less than the hysteresis, nor where shards aren't in force", () => {
  assert.deepEqual(planMoves(input(owned(home))), []);
  const loads = new Map(SHARDS.map((shard, i) => [shard, load(8 + (i % 2))]));
  assert.deepEqual(planMoves(input(owned(home), { loads })), []);
  assert.deepEqual(planMoves(input(Assignment.empty)), []);
});

test("a controller that came back empty gets its share, and then nothing moves any more", () => {
  const before = owned((shard) => (shard.startsWith("west") ? "c" : "a"));
  const moves = planMoves(input(before));
  assert.ok(moves.length > 0 && moves.every((move) => move.source === "a" && move.target === "b"));
  assert.deepEqual(planMoves(input(after(before, moves))), []);
});

test("a drain goes first, takes everything, and gives nothing to those that are drained too", () => {
  const moves = planMoves(input(owned(home), { draining: new Set(["a"]) }));
  assert.equal(moves.filter((move) => move.reason === "drain").length, 8);
  assert.ok(moves.every((move) => move.target !== "a"));
  const both = planMoves(input(owned(home), { draining: new Set(["a", "b"]) }));
  assert.ok(
    both.length === 16 && both.every((move) => move.target === "c"),
    "the other zone, where nobody else is left",
  );
  assert.deepEqual(planMoves(input(owned(home), { draining: new Set(["a", "b", "c"]) })), []);
});

test("shards come home once their zone has a controller again", () => {
  const moves = planMoves(input(owned((shard, i) => (shard.startsWith("west") ? "a" : home(shard, i)))));
  assert.equal(moves.filter((move) => move.reason === "zone" && move.target === "c").length, 16);
});

test("what is blocked isn't proposed, and others are in its place", () => {
  const isBlocked = (shard: ShardId): boolean => shard === SHARDS[0];
  const moves = planMoves(input(owned(home), { draining: new Set(["a"]), isBlocked }));
  assert.equal(moves.filter((move) => move.reason === "drain").length, 7);
  assert.ok(moves.every((move) => move.shard !== SHARDS[0]));
});

test("any loads: bounded, deterministic, each plan calmer than before, and plans come to an end", () => {
  const weights = fc.array(fc.nat(60), { minLength: SHARDS.length, maxLength: SHARDS.length });
  const owners = fc.array(fc.constantFrom("a", "b", "c"), {
    minLength: SHARDS.length,
    maxLength: SHARDS.length,
  });
  fc.assert(
    fc.property(weights, owners, fc.integer({ min: 1, max: 4 }), (machines, names, maxMoves) => {
      const loads = new Map(SHARDS.map((shard, i) => [shard, load(machines[i]!)]));
      let assignment = owned((_, i) => names[i]!);
      for (let round = 0; ; round++) {
        const asked = input(assignment, { loads, maxMoves });
        const moves = planMoves(asked);
        assert.ok(moves.length <= maxMoves);
        assert.deepEqual(planMoves(asked), moves);
        if (moves.length === 0) break;
        assert.ok(round < 2 * SHARDS.length, "it goes on for ever");
        assignment = after(assignment, moves);
      }
      const of = (name: string): number =>
        SHARDS.filter((shard) => assignment.ownershipOf(shard)?.owner === name).reduce(
          (sum, shard) => sum + weightOf(loads.get(shard)!),
          0,
        );
      const heaviest = Math.max(...SHARDS.map((shard) => weightOf(loads.get(shard)!)));
      const gap = Math.abs(of("a") - of("b"));
      assert.ok(gap <= Math.max((0.3 * (of("a") + of("b"))) / 2, 2 * heaviest), `${of("a")} and ${of("b")}`);
    }),
    { seed: 11, numRuns: 60 },
  );
});
