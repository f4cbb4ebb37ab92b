/** The rate limiter, the store of machine records and the log of progress changes. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Duration from "effect/Duration";
import { ProgressLog } from "../src/core/jobs/progress.js";
import { RateLimiter } from "../src/core/rates/rate-limiter.js";
import { instant } from "../src/core/time.js";
import { MachineRecordStore } from "../src/service/leader/machine-record-store.js";

test("the rate limiter keeps its rate; urgent calls pass at once and delay the others, as a refusal does", () => {
  const limiter = new RateLimiter(10, 10);
  let now = 0;
  let takenCount = 0;
  while (now < 10_000) {
    const wait = Duration.toMillis(limiter.take(instant(now)));
    if (wait === 0) takenCount++;
    else now += wait;
  }
  assert.ok(takenCount >= 100 && takenCount <= 111, `${takenCount}`);
  limiter.takeUrgent(instant(now), 10);
  assert.ok(Duration.toMillis(limiter.take(instant(now))) > 900);
  limiter.recordRefusal(instant(now), Duration.seconds(5));
  assert.ok(Duration.toMillis(limiter.take(instant(now))) >= 5000);
});

test("a machine block is rewritten as machines leave it and deleted with its last machine", () => {
  const record = { type: "small", zone: "east", spot: false, addr: "x" };
  const store = new MachineRecordStore();
  store.add("machines/1-1", { a: record, b: record });
  store.add("machines/1-2", { c: record });
  // a rental request without an answer is repeated: the machine is in two blocks
  store.add("machines/1-3", { c: record });
  assert.deepEqual(store.pendingRewrites(9), []);
  store.remove("a");
  store.remove("c");
  const firstRewrites = store.pendingRewrites(2);
  assert.deepEqual(
    firstRewrites.map((rewrite) => [rewrite.key, rewrite.machines]),
    [
      ["machines/1-2", null],
      ["machines/1-3", null],
    ],
  );
  store.markWritten(firstRewrites);
  const remainingRewrites = store.pendingRewrites(9);
  assert.deepEqual(
    remainingRewrites.map((rewrite) => [rewrite.key, Object.keys(rewrite.machines!)]),
    [["machines/1-1", ["b"]]],
  );
  // the block changes again while it is being written
  store.remove("b");
  store.markWritten(remainingRewrites);
  assert.equal(store.pendingRewrites(9)[0]?.machines, null);
});

test("the progress log lists the jobs changed since a version, or null if that version is too old", () => {
  const log = new ProgressLog();
  assert.equal(log.changedSince(-1), null);
  for (const job of ["a", "b", "a"]) log.recordChange(job);
  const seenVersion = log.version;
  assert.deepEqual(log.changedSince(seenVersion), new Set());
  log.recordChange("c");
  assert.deepEqual(log.changedSince(seenVersion), new Set(["c"]));
  for (let i = 0; i < 10_000; i++) log.recordChange(`j${i % 7}`);
  assert.equal(log.changedSince(seenVersion), null);
  assert.equal(log.changedSince(log.version - 3)?.size, 3);
});
