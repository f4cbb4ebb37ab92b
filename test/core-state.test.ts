/** Rate limits, machine records and the log of progress. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Duration from "effect/Duration";
import { ProgressLog } from "../src/core/jobs/progress.js";
import { RateLimiter } from "../src/core/rates/rate-limiter.js";
import { instant } from "../src/core/time.js";
import { MachineRecordStore } from "../src/service/leader/machine-record-store.js";

test("a budget keeps its rate, and lets the urgent through", () => {
  const budget = new RateLimiter(10, 10);
  let now = 0;
  let taken = 0;
  while (now < 10_000) {
    const wait = Duration.toMillis(budget.take(instant(now)));
    if (wait === 0) taken++;
    else now += wait;
  }
  assert.ok(taken >= 100 && taken <= 111, `${taken}`);
  budget.takeUrgent(instant(now), 10);
  assert.ok(Duration.toMillis(budget.take(instant(now))) > 900);
  budget.recordRefusal(instant(now), Duration.seconds(5));
  assert.ok(Duration.toMillis(budget.take(instant(now))) >= 5000);
});

test("blocks of machines only get smaller, and the last machine takes its block along", () => {
  const record = { type: "small", zone: "east", spot: false, addr: "x" };
  const blocks = new MachineRecordStore();
  blocks.add("machines/1-1", { a: record, b: record });
  blocks.add("machines/1-2", { c: record });
  // an open that got no answer is tried again: the machine is in two blocks
  blocks.add("machines/1-3", { c: record });
  assert.deepEqual(blocks.pendingRewrites(9), []);
  blocks.remove("a");
  blocks.remove("c");
  const changed = blocks.pendingRewrites(2);
  assert.deepEqual(
    changed.map((rewrite) => [rewrite.key, rewrite.machines]),
    [
      ["machines/1-2", null],
      ["machines/1-3", null],
    ],
  );
  blocks.markWritten(changed);
  const rest = blocks.pendingRewrites(9);
  assert.deepEqual(
    rest.map((rewrite) => [rewrite.key, Object.keys(rewrite.machines!)]),
    [["machines/1-1", ["b"]]],
  );
  // it changed again while it was being written
  blocks.remove("b");
  blocks.markWritten(rest);
  assert.equal(blocks.pendingRewrites(9)[0]?.machines, null);
});

test("progress is told as changes, and whole to whoever missed too much", () => {
  const log = new ProgressLog();
  assert.equal(log.changedSince(-1), null);
  for (const job of ["a", "b", "a"]) log.recordChange(job);
  const seen = log.version;
  assert.deepEqual(log.changedSince(seen), new Set());
  log.recordChange("c");
  assert.deepEqual(log.changedSince(seen), new Set(["c"]));
  for (let i = 0; i < 10_000; i++) log.recordChange(`j${i % 7}`);
  assert.equal(log.changedSince(seen), null);
  assert.equal(log.changedSince(log.version - 3)?.size, 3);
});
