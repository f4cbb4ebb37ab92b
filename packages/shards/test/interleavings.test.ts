/**
 * Searches all interleavings of one handoff, within stated bounds: messages may be delivered in any order, be lost or be
 * duplicated, processes may read the records early or late, and one party may crash. The exact number of states is checked as
 * well, since a search that covers fewer states than before proves less.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { shardOf } from "../src/index.js";
import { type Bounds, Interleavings } from "./interleavings.js";

const SHARD = shardOf("n-4", "east");
const NONE: Bounds = { crashes: [], losses: 0, copies: 0, commands: 0, timeouts: 0 };

const SEARCHES: readonly (readonly [string, Bounds, number])[] = [
  [
    "a lost answer, a copy, a command and a timeout",
    { ...NONE, losses: 1, copies: 1, commands: 1, timeouts: 1 },
    49947,
  ],
  ["the source ends once", { ...NONE, crashes: ["source"] }, 74482],
  ["the target ends once", { ...NONE, crashes: ["target"] }, 53761],
  ["the leader ends once", { ...NONE, crashes: ["leader"] }, 45583],
];
for (const [what, bounds, states] of SEARCHES)
  test(`all interleavings of one handoff: ${what}`, () => {
    const found = new Interleavings(bounds).explore(SHARD);
    console.log(`${what}: ${found.states} states, ends: ${JSON.stringify([...found.finalOwners].sort())}`);
    assert.deepEqual(found.violations, []);
    assert.equal(found.states, states);
    // both outcomes occur: the target gets the shard, or the source keeps it
    assert.ok((found.finalOwners.get("north") ?? 0) > 0 && (found.finalOwners.get("inland") ?? 0) > 0);
  });

for (const guard of ["pause", "fencingToken", "revision"] as const)
  test(`without the guard "${guard}" the search finds a broken property`, () => {
    const bounds = { ...NONE, commands: 1, copies: 1, timeouts: 1 };
    assert.notDeepEqual(new Interleavings(bounds, guard).explore(SHARD).violations, []);
  });
