/** Leases and terms: lease timings, which member owns a machine, and when a member may answer requests. */
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

test("a machine is owned by a member of its zone; when a member is lost, only its machines change owner", () => {
  const machines = Array.from({ length: 200 }, (_, i) => `n-${i}`);
  const termWithoutC = { ...TERM, members: TERM.members.filter((member) => member.name !== "c") };
  const machinesByOwner = new Map<string, number>();
  for (const machine of machines) {
    const owner = present(ownerOf(TERM, machine, "east")).name;
    machinesByOwner.set(owner, (machinesByOwner.get(owner) ?? 0) + 1);
    assert.notEqual(owner, "b");
    if (owner !== "c") assert.equal(present(ownerOf(termWithoutC, machine, "east")).name, owner);
    assert.notEqual(ownerOf(TERM, machine, "north"), null);
  }
  assert.ok(Math.min(present(machinesByOwner.get("a")), present(machinesByOwner.get("c"))) > 50);
});

test("a member may answer only while all of its peers confirm it; the oldest confirmation counts", () => {
  const confirmations = new Map([["b", instant(500)]]);
  assert.equal(oldestPeerConfirmation(["b", "c"], confirmations), null);
  confirmations.set("c", instant(300));
  assert.equal(oldestPeerConfirmation(["b", "c"], confirmations), 300);
  assert.equal(oldestPeerConfirmation([], new Map()), null);
});

test("peer confirmations and a member's view of the jobs each expire", () => {
  const timings = leaseTimingsOf({ leaseS: 28, reportS: 4, cancelS: 53 }, Duration.seconds(3));
  const isConfirmed = (confirmedAt: number, now: number) =>
    isConfirmedByPeers(timings, ["b"], new Map([["b", instant(confirmedAt)]]), instant(now));
  assert.equal(isConfirmed(9_000, 10_000), true);
  assert.equal(isConfirmed(0, 10_000), false);
  const isJobViewFresh = (readAt: number | null, now: number) =>
    hasFreshJobView(timings, readAt === null ? null : instant(readAt), instant(now));
  assert.equal(isJobViewFresh(null, 10_000), false);
  // the worker lease and the age of the job view together stay under the cancel deadline
  const maxAgeMs = Duration.toMillis(timings.jobViewMaxAge);
  assert.equal(isJobViewFresh(0, maxAgeMs - 1), true);
  assert.equal(isJobViewFresh(0, maxAgeMs), false);
  assert.ok(maxAgeMs + 28_000 < 53_000);
});
