/** Shard ids, records, versions of the assignment, transitions, repairs and accounting. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Either from "effect/Either";
import fc from "fast-check";
import {
  Assignment,
  beginHandoff,
  countingController,
  countMachines,
  decodeShardState,
  describeRefusal,
  encodeShardState,
  endHandoff,
  OwnerView,
  parseShardId,
  recordOwner,
  Refusal,
  releaseShard,
  repairsOf,
  type ShardId,
  shardOf,
  SHARDS_PER_ZONE,
  shardsOfZone,
  ShardState,
  takeShard,
  zoneOfShard,
} from "../src/index.js";

const MEMBERS = [
  { name: "north", incarnation: 1, zone: "east" },
  { name: "south", incarnation: 2, zone: "west" },
  { name: "inland", incarnation: 3, zone: "east" },
];
const SHARD = shardsOfZone("east")[4]!;
const read = (
  records: readonly (readonly [ShardId, ShardState])[],
  members = MEMBERS,
  number = 7,
): Assignment =>
  Assignment.empty.withTerm({ number, revision: 50, members }).withSnapshot(
    records.map(([shard, state], i) => ({ shard, revision: 60 + i, value: encodeShardState(state) })),
    number,
    99,
  );
const handoff = { id: "move-1", target: "inland", term: 7 };

test("a machine's shard follows from its name and zone, and every shard of a zone is used", () => {
  const used = new Set(Array.from({ length: 4000 }, (_, i) => shardOf(`n-${i}`, "east")));
  assert.equal(used.size, SHARDS_PER_ZONE);
  fc.assert(
    fc.property(fc.string(), fc.string(), (machine, zone) => {
      const shard = shardOf(machine, zone);
      assert.equal(zoneOfShard(shard), zone);
      assert.ok(!shard.includes(" "));
      if (zone !== "" && !zone.startsWith(".")) assert.equal(parseShardId(shard), shard);
    }),
    { seed: 4, numRuns: 300 },
  );
  for (const text of ["", "east", "east.16", "east.7", ".07", "east.07x", "%.01", "a b.01"])
    assert.equal(parseShardId(text), null, text);
});

test("a state is read back as it was written; whatever else is stored is told, and gets an owner anew", () => {
  const count = fc.nat(1e9);
  const name = fc.string({ minLength: 1 });
  const states = fc.oneof(
    fc.record({ epoch: count, owner: name }).map((s) => ShardState.Owned(s)),
    fc
      .record({
        epoch: count,
        owner: name,
        handoff: fc.record({ id: name, target: name, term: count }, { noNullPrototype: true }),
      })
      .chain((s) => fc.constantFrom(ShardState.Draining(s), ShardState.Released(s))),
  );
  fc.assert(
    fc.property(states, (state) => {
      const stored: unknown = JSON.parse(JSON.stringify(encodeShardState(state)));
      assert.deepEqual({ ...Either.getOrThrow(decodeShardState(stored)) }, { ...state });
    }),
    { seed: 5, numRuns: 300 },
  );
  fc.assert(
    fc.property(fc.jsonValue(), (value) => void decodeShardState(value)),
    { seed: 6, numRuns: 300 },
  );
  for (const bad of [
    null,
    7,
    [],
    {},
    { epoch: -1, owner: "a" },
    { epoch: 1 },
    { epoch: 1, owner: "a", phase: "x" },
  ])
    assert.ok(Either.isLeft(decodeShardState(bad)), JSON.stringify(bad));
  const assignment = Assignment.empty
    .withTerm({ number: 7, revision: 50, members: MEMBERS })
    .withSnapshot([{ shard: SHARD, revision: 60, value: { epoch: "x" } }], 7, 99);
  const write = recordOwner(assignment, SHARD);
  assert.equal(write?.state.owner, assignment.defaultOwner(SHARD));
  assert.equal(write?.state.epoch, 61);
});

test("versions share what didn't change, and what comes late changes nothing", () => {
  const [first, second] = shardsOfZone("east") as [ShardId, ShardId];
  const before = read([
    [first, ShardState.Owned({ epoch: 1, owner: "north" })],
    [second, ShardState.Owned({ epoch: 1, owner: "inland" })],
  ]);
  const value = encodeShardState(ShardState.Owned({ epoch: 2, owner: "inland" }));
  const after = before.withChanges([{ shard: first, revision: 120, value }], 7, 120);
  assert.deepEqual(after.shardsChangedSince(before), [first]);
  assert.equal(after.recordOf(second), before.recordOf(second));
  assert.equal(before.ownershipOf(first)?.owner, "north", "the earlier version stays as it was");
  assert.deepEqual(
    after.withChanges([{ shard: first, revision: 110, value: {} }], 7, 110).shardsChangedSince(after),
    [],
  );
  assert.deepEqual(after.withChanges([{ shard: first, revision: 130 }], 7, 130).shardsChangedSince(after), [
    first,
  ]);
});

test("shards are in force only under the term that the leader wrote so, once the records are as recent", () => {
  const term = { number: 7, revision: 50, members: MEMBERS };
  assert.equal(Assignment.empty.withTerm(term).inForce, false);
  assert.equal(Assignment.empty.withTerm(term).withSnapshot([], 7, 49).inForce, false);
  assert.equal(Assignment.empty.withTerm(term).withSnapshot([], 6, 50).inForce, false);
  assert.equal(Assignment.empty.withTerm(term).withSnapshot([], 7, 50).inForce, true);
});

test("each step needs the state before it, and an epoch never comes again", () => {
  const owned = read([[SHARD, ShardState.Owned({ epoch: 3, owner: "north" })]]);
  const begun = beginHandoff(owned, SHARD, { id: "move-1", target: "inland" });
  assert.ok("write" in begun);
  assert.deepEqual({ ...begun.write.state }, { _tag: "Draining", epoch: 3, owner: "north", handoff });
  const draining = read([[SHARD, begun.write.state]]);
  const request = { id: "move-1", term: 7, shard: SHARD, epoch: 3 };
  for (const late of [
    { ...request, id: "move-0" },
    { ...request, epoch: 2 },
    { ...request, term: 6 },
  ])
    assert.ok("refusal" in releaseShard(draining, "north", late), JSON.stringify(late));
  assert.ok("refusal" in releaseShard(draining, "inland", request));
  assert.equal(takeShard(draining, "inland", SHARD), null);
  const released = releaseShard(draining, "north", request);
  assert.ok("write" in released);
  const open = read([[SHARD, released.write.state]]);
  assert.equal(countingController(open, SHARD), null);
  assert.equal(takeShard(open, "south", SHARD), null);
  assert.deepEqual(
    { ...takeShard(open, "inland", SHARD)?.state },
    { _tag: "Owned", epoch: 4, owner: "inland" },
  );
  assert.deepEqual({ ...endHandoff(open, SHARD)?.state }, { _tag: "Owned", epoch: 4, owner: "north" });
  assert.deepEqual({ ...endHandoff(draining, SHARD)?.state }, { _tag: "Owned", epoch: 3, owner: "north" });
  assert.equal(recordOwner(open, SHARD), null);
});

test("repairs: an owner that is gone is replaced by the one that the machines went to, in a new epoch", () => {
  const without = MEMBERS.filter((member) => member.name !== "north");
  const orphaned = read([[SHARD, ShardState.Owned({ epoch: 3, owner: "north" })]], without);
  const [write] = repairsOf(orphaned, new Map(), () => false, 8);
  assert.equal(write?.state.owner, orphaned.ownershipOf(SHARD)?.owner);
  assert.equal(write?.state.epoch, 4);
  const few = repairsOf(read([]), new Map([[SHARD, 3]]), () => false, 8);
  const many = repairsOf(read([]), new Map([[SHARD, 4]]), () => false, 8);
  assert.deepEqual([few.length, many.length], [0, 1], "a small cluster needs no records");
  const old = ShardState.Released({ epoch: 3, owner: "north", handoff: { ...handoff, term: 6 } });
  assert.equal(repairsOf(read([[SHARD, old]]), new Map(), () => false, 8)[0]?.state.epoch, 4);
  assert.deepEqual(
    repairsOf(read([[SHARD, old]]), new Map(), () => true, 8),
    [],
  );
});

test("a second release that fails says nothing of the first: the shard isn't held until another record is read", () => {
  const draining = read([[SHARD, ShardState.Draining({ epoch: 3, owner: "north", handoff })]]);
  const ownerView = OwnerView.create("north", draining);
  assert.ok(ownerView.ownsForCertain(SHARD, true));
  const step = ownerView.answerRelease({ id: "move-1", term: 7, shard: SHARD, epoch: 3 });
  assert.ok("write" in step);
  const sent = ownerView.markReleaseSent(step.write);
  assert.ok(!sent.ownsForCertain(SHARD, true));
  assert.ok(!sent.withAssignment(draining).ownsForCertain(SHARD, true));
  const value = encodeShardState(ShardState.Owned({ epoch: 3, owner: "north" }));
  const back = draining.withChanges([{ shard: SHARD, revision: 200, value }], 7, 200);
  assert.ok(sent.withAssignment(back).ownsForCertain(SHARD, true));
});

test("machines are counted once", () => {
  const machines = Array.from({ length: 300 }, (_, i) => ({
    id: `n-${i}`,
    zone: i % 3 === 0 ? "west" : "east",
  }));
  const counts = countMachines(read([]), machines);
  assert.equal(
    [...counts.values()].reduce((sum, n) => sum + n, 0),
    300,
  );
  const released = read(
    shardsOfZone("east").map((s) => [s, ShardState.Released({ epoch: 1, owner: "north", handoff })] as const),
  );
  assert.deepEqual([...countMachines(released, machines)], [["south", 100]]);
});

test("each refusal has a sentence that names what it is about", () => {
  assert.match(describeRefusal(Refusal.UnknownShard({ shard: "east.99" })), /east\.99/);
  assert.match(describeRefusal(Refusal.WrongEpoch({ shard: SHARD, epoch: 3, present: 5 })), /epoch 5, not 3/);
  assert.match(describeRefusal(Refusal.CommandInDoubt({ machine: "n-7" })), /n-7/);
  assert.match(describeRefusal(Refusal.NoAnswer({ member: "south" })), /south/);
});
