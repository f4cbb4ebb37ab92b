/** The largest records and transactions fit the state service's limits, the present ones and the lower ones to come. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Duration from "effect/Duration";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Backoff } from "../src/core/rates/backoff.js";
import { jsonBytes, splitRecord, MAX_TXN_BYTES, maxValueBytes } from "../src/core/packing.js";
import { WorkerPartition } from "../src/core/members/worker-partition.js";
import { splitIntoWindows } from "../src/core/ranges.js";
import type {
  CommitRecord,
  LeaderRecord,
  MachineRecord,
  MemberRecord,
  RentalRecord,
  TermRecord,
  Heartbeat,
} from "../src/core/records.js";
import { fencingTokenOf } from "../src/core/leases/term.js";
import { instant } from "../src/core/time.js";
import {
  type Change,
  type Condition,
  encodeJobRecord,
  parseSubmission,
  stateServiceApi,
} from "../src/io/codec.js";
import { MachineRecordStore, opsOf } from "../src/service/leader/machine-record-store.js";
import { encodeLeader, encodeMember, encodeTerm } from "../src/io/record-codec.js";
import { fromFragments, fragmentLimits, toFragments } from "../src/service/members/update-relay.js";
import { maxRangeRecordBytes } from "../src/service/members/member.js";

const LIMITS = [
  { valueKb: 16, txnOps: 20 },
  { valueKb: 16, txnOps: 16 },
  { valueKb: 2, txnOps: 6 },
  { valueKb: 2, txnOps: 5 },
  { valueKb: 2, txnOps: 20 },
  { valueKb: 16, txnOps: 5 },
];
const LONG_NAME = "a-rather-long-name-of-something-in-a-far-away-place".padEnd(60, "x");
/** The largest integer that a JSON number holds exactly. */
const BIG = 9_007_199_254_740_991;

/** Checks a transaction as the state service does. */
const assertFits = (
  limits: (typeof LIMITS)[number],
  when: readonly Condition[],
  apply: readonly Change[],
) => {
  assert.ok(apply.length <= limits.txnOps, `${apply.length} changes`);
  assert.ok(when.length <= 4 * limits.txnOps, `${when.length} conditions`);
  for (const change of apply)
    if ("put" in change)
      assert.ok(
        jsonBytes(change.value) <= limits.valueKb * 1024,
        `${change.put}: ${jsonBytes(change.value)}`,
      );
  const total = Buffer.byteLength(stateServiceApi.commitBody(when, apply));
  assert.ok(total <= 64 * 1024, `${total} bytes in all`);
};
const machine = (n: number): [string, MachineRecord] => [
  `n-${String(n).padStart(58, "0")}`,
  { type: LONG_NAME, zone: LONG_NAME, spot: false, addr: `255.255.255.255:${60_000 + (n % 5000)}` },
];

test("records of a single entity fit, at their largest", () => {
  const term: TermRecord = {
    number: BIG,
    leaderRevision: BIG,
    leader: LONG_NAME,
    members: Array.from({ length: 9 }, (_, i) => ({
      name: `${i}${LONG_NAME}`,
      incarnation: BIG,
      zone: LONG_NAME,
    })),
  };
  const member: MemberRecord = { zone: LONG_NAME, leaseId: BIG };
  const leader: LeaderRecord = { member: LONG_NAME, leaseId: BIG };
  const rental: RentalRecord = { type: LONG_NAME, zone: LONG_NAME, spot: false, count: 50 };
  const commit: CommitRecord = { outcome: "cancelled", tasks: 100_000 };
  const submission = parseSubmission(
    JSON.stringify({
      ref: `req-${"9".repeat(18)}`,
      roster: LONG_NAME,
      crew: LONG_NAME,
      shape: "ensemble",
      urgency: "critical",
      chores: 100_000,
      vcpus: 0.123456789,
      gpus: 0.123456789,
      mem_gb: 1234.123456789,
      bundle: LONG_NAME,
      image_gb: 1234.123456789,
      builds: Array.from({ length: 12 }, () => LONG_NAME),
      district: LONG_NAME,
      together: false,
      apart: false,
      loaners: false,
      expected_s: 12345.123456789,
      bookmark_s: 12345.123456789,
      stash_s: 12345.123456789,
      due_s: 12345.123456789,
    }),
  );
  assert.ok(typeof submission !== "string");
  const job = encodeJobRecord(submission.wire, new Date());
  for (const limits of LIMITS)
    for (const value of [encodeTerm(term), encodeMember(member), encodeLeader(leader), rental, commit, job])
      assertFits(limits, [{ key: LONG_NAME, revision: BIG }], [{ put: LONG_NAME, value }]);
});

test("a full transaction of ranges fits, whichever tasks have finished", () => {
  const everySecond = Array.from({ length: 50_000 }, (_, i) => [2 * i, 2 * i + 1] as const);
  for (const limits of LIMITS) {
    const bytes = maxRangeRecordBytes(limits.valueKb, limits.txnOps);
    const all = [...splitIntoWindows(everySecond, bytes).values()].map((ranges) => ({ ranges }));
    const largest = all.sort((a, b) => jsonBytes(b) - jsonBytes(a)).slice(0, limits.txnOps);
    assertFits(
      limits,
      largest.map((_, i) => ({ key: `commit/req-${i}${"9".repeat(17)}`, revision: 0 })),
      largest.map((value, i) => ({ put: `ranges/req-${"9".repeat(18)}/${LONG_NAME}.${BIG}/${i}`, value })),
    );
  }
});

test("machine records are split by their size in bytes", () => {
  const many = Array.from({ length: 300 }, (_, i) => machine(i));
  for (const limits of LIMITS) {
    const pieces = splitRecord(many, maxValueBytes(limits.valueKb), 40);
    assert.deepEqual(Object.assign({}, ...pieces), Object.fromEntries(many));
    for (const machines of pieces) {
      assert.ok(Object.keys(machines).length <= 40);
      assertFits(limits, [], [{ put: LONG_NAME, value: { machines } }]);
    }
    // each piece is nearly full before the next one is begun
    assert.ok(
      pieces.length <=
        2 + Math.max(300 / 40, (jsonBytes(Object.fromEntries(many)) * 1.2) / maxValueBytes(limits.valueKb)),
    );
  }
  assert.deepEqual(splitRecord([], 100), []);
  // a machine that is too large by itself doesn't keep others from being written
  assert.equal(splitRecord([machine(1), machine(2)], 10).length, 2);
});

const partitionWithWorkers = (
  count: number,
): { part: WorkerPartition; heartbeat: (n: number, seq: number) => Heartbeat } => {
  const part = new WorkerPartition("a", 1000, Duration.seconds(4));
  part.setTerm({
    number: 1,
    leaderRevision: 1,
    leader: "b",
    members: [{ name: "a", incarnation: 1, zone: "east" }],
  });
  const heartbeat = (n: number, sequence: number): Heartbeat => ({
    machine: `n-${n}`,
    addr: "10.1.0.232:9000",
    type: LONG_NAME,
    zone: "east",
    spot: true,
    workerEpoch: 1,
    sequence,
    fencingToken: fencingTokenOf(1),
    reclaimNoticeSeconds: null,
    tasks: [0, 1, 2, 3].map((index) => ({
      job: "req-000412",
      index,
      attempt: sequence,
      state: "running",
      exitReason: null,
    })),
  });
  for (let n = 0; n < count; n++) part.handleHeartbeat(heartbeat(n, 1), true, 1, instant(n));
  return { part, heartbeat };
};

test("updates are split into fragments that fit, and the rest goes into the next update", () => {
  for (const limits of LIMITS) {
    const { part } = partitionWithWorkers(700);
    const heartbeats = new Set<string>();
    const seen = new Set<string>();
    let maxItems = 60;
    for (let rounds = 0; heartbeats.size < 700 || seen.size < 700; rounds++) {
      assert.ok(rounds < 200, `${heartbeats.size} heartbeats, ${seen.size} contacts`);
      const update = part.takeUpdate(instant(1000), maxItems);
      // an update that doesn't name all answered workers must not be taken for a complete one
      assert.equal(part.isUpdateComplete(), [...seen, ...update.contacts].length >= 700);
      const sync = {
        termNumber: 1,
        member: "a",
        incarnation: 1,
        leaderClockMark: -1,
        progressVersion: -1,
        reachesStateService: true,
        ...update,
      };
      const pieces = toFragments(sync, fragmentLimits(limits.valueKb, limits.txnOps));
      if (pieces === null) {
        part.putBack(update);
        maxItems = Math.floor(maxItems / 2);
        assert.ok(maxItems >= 1);
        continue;
      }
      assertFits(
        limits,
        [],
        pieces.map((value, i) => ({ put: `news/${LONG_NAME}/${i}`, value, leaseId: BIG })),
      );
      const decoded = fromFragments(pieces)!;
      for (const aged of decoded.heartbeats) heartbeats.add(aged.heartbeat.machine);
      for (const contact of decoded.contacts) seen.add(contact.machine);
    }
  }
});

test("finishes that are refused give way to others for a while", () => {
  const { part, heartbeat } = partitionWithWorkers(1);
  const done = (job: string, seq: number) =>
    part.recordHeartbeat(
      { ...heartbeat(0, seq), tasks: [{ job, index: 0, attempt: 1, state: "exited", exitReason: "done" }] },
      instant(0),
    );
  done("req-1", 2);
  done("req-2", 3);
  const nextWrites = (at: number) => part.finishes.beginWrites("a.1", 1, instant(at), () => true);
  const [first] = nextWrites(5000);
  assert.equal(first!.job, "req-1");
  part.finishes.writeAnswered(first!, "refused", instant(5000));
  const [second] = nextWrites(5001);
  assert.equal(second!.job, "req-2");
  part.finishes.writeAnswered(second!, "stored", instant(5001));
  assert.deepEqual(nextWrites(20_000), []);
  assert.equal(nextWrites(40_000)[0]!.job, "req-1");
});

test("finishes whose write was refused are retried alone, after the others, until they are stored", () => {
  const { part, heartbeat } = partitionWithWorkers(1);
  let seq = 1;
  const done = (job: string, index: number) =>
    part.recordHeartbeat(
      { ...heartbeat(0, ++seq), tasks: [{ job, index, attempt: 1, state: "exited", exitReason: "done" }] },
      instant(0),
    );
  const nextWrites = (at: number) => part.finishes.beginWrites("a.1", 20, instant(at), () => true);
  done("req-1", 0);
  const [first] = nextWrites(5000);
  part.finishes.writeAnswered(first!, "refused", instant(5000));
  for (const job of ["req-2", "req-3"]) done(job, 0);
  // long after the pause of the refused write
  const others = nextWrites(60_000);
  assert.deepEqual(
    others.map((write) => write.job),
    ["req-2", "req-3"],
  );
  for (const write of others) part.finishes.writeAnswered(write, "stored", instant(60_000));
  const [again, ...more] = nextWrites(60_001);
  assert.deepEqual([again!.job, more], ["req-1", []]);
  part.finishes.writeAnswered(again!, "stored", instant(60_001));
  done("req-1", 5);
  done("req-4", 0);
  assert.deepEqual(
    nextWrites(90_000).map((write) => write.job),
    ["req-1", "req-4"],
  );
});

test("a machine record that was refused gives way to the others for a while", () => {
  const recordStore = new MachineRecordStore();
  for (const key of ["machines/1", "machines/2"]) {
    recordStore.add(key, Object.fromEntries([machine(1), machine(2)]));
  }
  recordStore.remove(machine(1)[0]);
  const [refused] = recordStore.pendingRewrites(1, undefined, instant(0));
  assert.equal(refused!.key, "machines/1");
  recordStore.markRejected([refused!]);
  recordStore.postpone(refused!.key, instant(1000));
  const keysAt = (at: number): string[] =>
    recordStore.pendingRewrites(5, undefined, instant(at)).map((rewrite) => rewrite.key);
  assert.deepEqual(keysAt(500), ["machines/2"]);
  assert.deepEqual(keysAt(1000), ["machines/1", "machines/2"]);
});

test("pauses after refusals double up to 30 s, and start anew after a success", () => {
  const backoff = new Backoff();
  const pauses = Array.from({ length: 12 }, () => Duration.toMillis(backoff.pauseAfterRefusal()));
  assert.deepEqual(pauses.slice(0, 4), [250, 500, 1000, 2000]);
  assert.equal(pauses.at(-1), 30_000);
  backoff.reset();
  assert.equal(Duration.toMillis(backoff.pauseAfterRefusal()), 250);
});

interface Transaction {
  readonly absent: readonly string[];
  readonly puts: readonly { key: string; machines: Readonly<Record<string, MachineRecord>> }[];
  readonly deletes: readonly string[];
}

test("machine records: every live machine is in one, whichever transactions are applied late, in any order", () => {
  let splits = 0;
  let lateSplits = 0;
  for (let seed = 0; seed < 150; seed++) {
    const random = xoroshiro128plus(seed);
    const upTo = (n: number): number => uniformInt(random, 0, n - 1);
    const store = new Map<string, readonly string[]>();
    const live = new Set<string>();
    const sent: Transaction[] = [];
    const recordStore = new MachineRecordStore();
    const limits = [
      { valueKb: 2, txnOps: 5 },
      { valueKb: 2, txnOps: 6 },
      { valueKb: 16, txnOps: 20 },
    ][seed % 3]!;
    let names = 0;
    const newKey = (): string => `machines/1-${++names}`;
    const room = { valueBytes: maxValueBytes(limits.valueKb), txnBytes: MAX_TXN_BYTES, newKey };
    /** The failed conditions; none: the transaction was applied. */
    const apply = (t: Transaction): string[] => {
      const failed = t.absent.filter((key) => store.has(key));
      if (failed.length > 0) return failed;
      for (const { key, machines } of t.puts) store.set(key, Object.keys(machines));
      for (const key of t.deletes) store.delete(key);
      return [];
    };
    const check = (what: string): void => {
      const covered = new Set([...store.values()].flat());
      for (const id of live) assert.ok(covered.has(id), `seed ${seed}, ${what}: ${id} is in no record`);
    };
    let made = 0;
    // records of an earlier version, with more machines than fit under the limits
    for (let b = 0; b < 4; b++) {
      const machines = Object.fromEntries(Array.from({ length: 2 + upTo(30) }, () => machine(++made)));
      const key = newKey();
      store.set(key, Object.keys(machines));
      recordStore.add(key, machines);
      for (const id of Object.keys(machines)) live.add(id);
    }
    for (let step = 0; step < 120; step++) {
      const what = upTo(10);
      if (what < 4 && live.size > 0) {
        const id = [...live][upTo(live.size)]!;
        live.delete(id);
        recordStore.remove(id);
      } else if (what < 5) {
        const [machines] = splitRecord(
          Array.from({ length: 1 + upTo(12) }, () => machine(++made)),
          room.valueBytes,
        );
        const key = newKey();
        recordStore.add(key, machines!);
        const open: Transaction = { absent: [key], puts: [{ key, machines: machines! }], deletes: [] };
        sent.push(open);
        // without an answer no task is started on the machines of this record
        if (upTo(3) > 0 && apply(open).length === 0) for (const id of Object.keys(machines!)) live.add(id);
      } else if (what < 8) {
        const rewrites = recordStore.pendingRewrites(limits.txnOps, room);
        const pieces = rewrites.flatMap((rewrite) => rewrite.pieces);
        splits += rewrites.filter((rewrite) => rewrite.pieces.length > 0).length;
        const t: Transaction = {
          absent: pieces.map((p) => p.key),
          puts: [
            ...pieces,
            ...rewrites.flatMap((rewrite) =>
              rewrite.machines === null ? [] : [{ key: rewrite.key, machines: rewrite.machines }],
            ),
          ],
          deletes: rewrites.flatMap((rewrite) => (rewrite.machines === null ? [rewrite.key] : [])),
        };
        assert.equal(
          t.puts.length + t.deletes.length,
          rewrites.reduce((sum, rewrite) => sum + opsOf(rewrite), 0),
        );
        assertFits(
          limits,
          [{ key: "cluster/leader", revision: BIG }, ...t.absent.map((key) => ({ key, revision: 0 }))],
          [
            ...t.puts.map(({ key, machines }) => ({ put: key, value: { machines } })),
            ...t.deletes.map((key) => ({ delete: key })),
          ],
        );
        const outcome = upTo(5);
        if (outcome === 0) {
          // rejected as too large: this copy is never applied, though earlier ones may be
          recordStore.markRejected(rewrites);
        } else {
          sent.push(t);
          // applied and answered, applied without an answer, or neither for now
          if (outcome <= 3) {
            const failed = apply(t);
            if (outcome <= 2 && failed.length === 0) recordStore.markWritten(rewrites);
            else if (outcome <= 2)
              recordStore.markWritten(
                rewrites.filter((rewrite) => rewrite.pieces.some((p) => failed.includes(p.key))),
              );
          }
        }
      } else if (sent.length > 0) {
        const late = sent[upTo(sent.length)]!;
        if (apply(late).length === 0 && late.absent.length > 1) lateSplits++;
      }
      check(`step ${step}`);
    }
    // once all writes are answered, no record holds machines that are gone
    for (const id of live) recordStore.remove(id);
    for (let i = 0; i < 400; i++) {
      const rewrites = recordStore.pendingRewrites(limits.txnOps, room);
      if (rewrites.length === 0) break;
      recordStore.markWritten(rewrites);
    }
    assert.deepEqual(recordStore.pendingRewrites(limits.txnOps, room), []);
  }
  assert.ok(splits > 100 && lateSplits > 10, `${splits} splits, ${lateSplits} late`);
});
