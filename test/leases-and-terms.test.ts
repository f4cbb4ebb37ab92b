/** Leases and terms: their timings, the owner of a worker, and who may answer. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Duration from "effect/Duration";
import {
  isWithinFencingWindow,
  isConfirmedByPeers,
  hasFreshJobView,
  ownerOf,
  leaseTimingsOf,
  oldestPeerConfirmation,
} from "../src/core/leases/term.js";
import { instant } from "../src/core/time.js";
import { TERM } from "./term-fixture.js";
import { present } from "./present.js";

test("lease timings: fencing window < lease, and fencing window + lease_s < cancel_s", () => {
  for (const [leaseS, cancelS] of [
    [34, 59],
    [28, 53],
    [10, 11],
  ] as const) {
    const ttl = Duration.seconds(3);
    const timings = leaseTimingsOf({ leaseS, reportS: 3, cancelS }, ttl);
    assert.ok(Duration.lessThan(timings.fencingWindow, ttl));
    assert.ok(Duration.toSeconds(timings.fencingWindow) + leaseS < cancelS);
    assert.equal(
      isWithinFencingWindow(timings, instant(0), instant(Duration.toMillis(timings.fencingWindow) - 1)),
      true,
    );
    assert.equal(
      isWithinFencingWindow(timings, instant(0), instant(Duration.toMillis(timings.fencingWindow))),
      false,
    );
    assert.equal(isWithinFencingWindow(timings, null, instant(0)), false);
  }
});

test("parts: same zone first, and only a lost member's machines move", () => {
  const machines = Array.from({ length: 200 }, (_, i) => `n-${i}`);
  const without = { ...TERM, members: TERM.members.filter((member) => member.name !== "c") };
  const owners = new Map<string, number>();
  for (const machine of machines) {
    const owner = present(ownerOf(TERM, machine, "east")).name;
    owners.set(owner, (owners.get(owner) ?? 0) + 1);
    assert.notEqual(owner, "b");
    if (owner !== "c") assert.equal(present(ownerOf(without, machine, "east")).name, owner);
    assert.notEqual(ownerOf(TERM, machine, "north"), null);
  }
  assert.ok(Math.min(present(owners.get("a")), present(owners.get("c"))) > 50);
});

test("the word of all other nodes, and of no fewer, keeps a node answering", () => {
  const words = new Map([["b", instant(500)]]);
  assert.equal(oldestPeerConfirmation(["b", "c"], words), null);
  words.set("c", instant(300));
  assert.equal(oldestPeerConfirmation(["b", "c"], words), 300);
  assert.equal(oldestPeerConfirmation([], new Map()), null);
});

test("the others' word holds as long as each is fresh; what was read of cancels, for a while only", () => {
  const timings = leaseTimingsOf({ leaseS: 28, reportS: 4, cancelS: 53 }, Duration.seconds(3));
  const byWord = (word: number, now: number) =>
    isConfirmedByPeers(timings, ["b"], new Map([["b", instant(word)]]), instant(now));
  assert.equal(byWord(9_000, 10_000), true);
  assert.equal(byWord(0, 10_000), false);
  const knows = (read: number | null, now: number) =>
    hasFreshJobView(timings, read === null ? null : instant(read), instant(now));
  assert.equal(knows(null, 10_000), false);
  // lease and window together stay under the time that a cancel has
  const last = Duration.toMillis(timings.jobViewMaxAge);
  assert.equal(knows(0, last - 1), true);
  assert.equal(knows(0, last), false);
  assert.ok(last + 28_000 < 53_000);
});
