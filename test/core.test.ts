import assert from "node:assert/strict";
import { test } from "node:test";
import * as Duration from "effect/Duration";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { unschedulableReason } from "../src/core/placement/admission.js";
import { ProgressLog } from "../src/core/jobs/progress.js";
import { RateLimiter } from "../src/core/rates/rate-limiter.js";
import { WorkerPartition } from "../src/core/members/worker-partition.js";
import { RangeSet, windows } from "../src/core/ranges.js";
import type { TermRecord, Heartbeat } from "../src/core/records.js";
import {
  isWithinFencingWindow,
  isConfirmedByPeers,
  hasFreshJobView,
  ownerOf,
  leaseTimingsOf,
  fencingTokenOf,
  oldestPeerConfirmation,
} from "../src/core/leases/term.js";
import { instant } from "../src/core/time.js";
import { parseHeartbeat, parseSubmission, readJob } from "../src/io/codec.js";
import { deliveryReceiptCodec, syncRequestCodec } from "../src/io/peer-codec.js";
import { MachineRecordStore } from "../src/service/leader/machine-record-store.js";
import { fromFragments, fragmentLimits, toFragments } from "../src/service/members/update-relay.js";
import { TEAMS, TYPES } from "./model.js";

test("a range set agrees with a plain set, whatever is added and taken out", () => {
  const random = xoroshiro128plus(7);
  for (let round = 0; round < 50; round++) {
    const ranges = new RangeSet();
    const plain = new Set<number>();
    for (let i = 0; i < 60; i++) {
      const from = uniformInt(random, 0, 80);
      const to = from + uniformInt(random, 0, 6);
      if (uniformInt(random, 0, 3) === 0) {
        ranges.delete(from);
        plain.delete(from);
      } else {
        ranges.add(from, to);
        for (let n = from; n < to; n++) plain.add(n);
      }
      assert.deepEqual(
        ranges.take(1000),
        [...plain].sort((a, b) => a - b),
      );
      assert.equal(ranges.size, plain.size);
      assert.equal(ranges.has(from), plain.has(from));
    }
  }
});

test("the windows of a ranges record fit its limit and lose nothing, even for every second of 100,000 tasks", () => {
  const set = RangeSet.of(Array.from({ length: 50_000 }, (_, i) => [2 * i, 2 * i + 1] as const));
  const parts = windows(set.ranges(), 3000);
  for (const ranges of parts.values()) assert.ok(JSON.stringify({ ranges }).length <= 3000);
  assert.deepEqual(RangeSet.of([...parts.values()].flat()).ranges(), set.ranges());
});

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

const term: TermRecord = {
  number: 4,
  leaderRevision: 10,
  leader: "a",
  members: [
    { name: "a", incarnation: 1, zone: "east" },
    { name: "b", incarnation: 2, zone: "west" },
    { name: "c", incarnation: 3, zone: "east" },
  ],
};
const report = (more: Partial<Heartbeat>): Heartbeat => ({
  machine: "n-1",
  addr: "x",
  type: "small",
  zone: "west",
  spot: false,
  workerEpoch: 1,
  sequence: 1,
  fencingToken: fencingTokenOf(4),
  reclaimNoticeSeconds: null,
  tasks: [],
  ...more,
});

test("parts: same zone first, and only a lost member's machines move", () => {
  const machines = Array.from({ length: 200 }, (_, i) => `n-${i}`);
  const without = { ...term, members: term.members.filter((member) => member.name !== "c") };
  const owners = new Map<string, number>();
  for (const machine of machines) {
    const owner = ownerOf(term, machine, "east")!.name;
    owners.set(owner, (owners.get(owner) ?? 0) + 1);
    assert.notEqual(owner, "b");
    if (owner !== "c") assert.equal(ownerOf(without, machine, "east")!.name, owner);
    assert.notEqual(ownerOf(term, machine, "north"), null);
  }
  assert.ok(Math.min(owners.get("a")!, owners.get("c")!) > 50);
});

test("the word of all other nodes, and of no fewer, keeps a node answering", () => {
  const words = new Map([["b", instant(500)]]);
  assert.equal(oldestPeerConfirmation(["b", "c"], words), null);
  words.set("c", instant(300));
  assert.equal(oldestPeerConfirmation(["b", "c"], words), 300);
  assert.equal(oldestPeerConfirmation([], new Map()), null);
});

const newPart = (member: string): WorkerPartition => {
  const part = new WorkerPartition(member, 1000, Duration.seconds(4));
  part.setTerm(term);
  return part;
};

test("a worker is sent to its part's member once, and taken in when it comes back", () => {
  const part = newPart("a");
  const at = (ms: number, entitledNow: boolean) =>
    part.handleHeartbeat(report({ sequence: ms }), entitledNow, 1, instant(ms));
  assert.deepEqual(at(1, false), { kind: "unsure" });
  assert.deepEqual(at(2, true), { kind: "elsewhere", member: "b" });
  assert.deepEqual(at(3, true), { kind: "taken", fencingToken: fencingTokenOf(4), stopCommands: [] });
  part.setTerm({ ...term, number: 5 });
  assert.deepEqual(at(4, true), { kind: "elsewhere", member: "b" });
  // another process of the same name is not that member
  assert.deepEqual(part.handleHeartbeat(report({}), true, 9, instant(5)), { kind: "unsure" });
});

test("a worker whose token the leader raised is answered with it: a lower one would be dropped", () => {
  const part = newPart("b");
  const handleReport = (fencingToken: number) =>
    part.handleHeartbeat(report({ fencingToken }), true, 2, instant(1));
  assert.deepEqual(handleReport(fencingTokenOf(4, 3)), {
    kind: "taken",
    fencingToken: fencingTokenOf(4, 3),
    stopCommands: [],
  });
  assert.deepEqual(handleReport(fencingTokenOf(3, 9)), {
    kind: "taken",
    fencingToken: fencingTokenOf(4),
    stopCommands: [],
  });
  assert.deepEqual(handleReport(fencingTokenOf(5)), {
    kind: "taken",
    fencingToken: fencingTokenOf(4),
    stopCommands: [],
  });
});

test("whoever answers a worker tells it to stop the tasks of jobs that are over", () => {
  const part = newPart("b");
  const task = (job: string, state: "running" | "exited") => ({
    job,
    index: 0,
    attempt: 7,
    state,
    exitReason: null,
  });
  const tasks = [task("req-1", "running"), task("req-2", "running"), task("req-1", "exited")];
  const answer = part.handleHeartbeat(report({ tasks }), true, 2, instant(1), (job) => job === "req-1");
  assert.ok(answer.kind === "taken");
  assert.deepEqual(answer.stopCommands, [
    { op: "stop", job: "req-1", index: 0, attempt: 7, gracePeriodSeconds: 0 },
  ]);
});

test("news are changes alone, and all of it again for another leader", () => {
  const part = newPart("b");
  const handleReport = (sequence: number, ms: number) =>
    part.handleHeartbeat(report({ sequence }), true, 2, instant(ms));
  handleReport(5, 1000);
  const first = part.takeUpdate(instant(1000));
  assert.deepEqual([first.heartbeats.length, first.contacts.length], [1, 1]);
  assert.deepEqual(part.takeUpdate(instant(1000)), {
    heartbeats: [],
    contacts: [],
    storedFinishes: [],
    commandResults: [],
  });
  handleReport(6, 2000);
  // nothing new in it: only that it was heard and answered
  const second = part.takeUpdate(instant(2500));
  assert.deepEqual(second.heartbeats, []);
  assert.deepEqual(second.contacts, [{ machine: "n-1", answerAgeMs: 500, heartbeatAgeMs: 500 }]);
  // a late copy is answered, which the proof by time must know, but it is no sign of life
  handleReport(3, 9000);
  assert.deepEqual(part.takeUpdate(instant(9000)).contacts, [
    { machine: "n-1", answerAgeMs: 0, heartbeatAgeMs: 7000 },
  ]);
  part.commandsAnswered(7, "done", null, instant(9000));
  const lost = part.takeUpdate(instant(9000));
  part.putBack(lost);
  assert.deepEqual(part.takeUpdate(instant(9000)).commandResults, [
    { id: 7, outcome: "done", workerEpoch: 0, sequence: 0 },
  ]);
  part.setTerm({ ...term, number: 5 });
  assert.equal(part.takeUpdate(instant(9000)).heartbeats.length, 0, "the same leader remembers");
  part.setTerm({ ...term, number: 6, leaderRevision: 11 });
  assert.deepEqual([part.takeUpdate(instant(9000)).heartbeats.length], [1]);
});

test("finishes are stored together after a while, told once stored, and told anew to another leader", () => {
  const part = newPart("b");
  const task = { job: "req-1", index: 3, attempt: 1, state: "exited", exitReason: "done" } as const;
  part.recordHeartbeat(report({ tasks: [task] }), instant(9));
  const open = (): boolean => true;
  const told = () => part.takeUpdate(instant(9)).storedFinishes;
  assert.deepEqual(told(), []);
  assert.deepEqual(part.finishes.toStore("b.2", 8, instant(1000), open), [], "others of its job may follow");
  assert.deepEqual(
    part.finishes.toStore("b.2", 8, instant(5000), () => false),
    [],
    "its job isn't open",
  );
  const [writing] = part.finishes.toStore("b.2", 8, instant(5000), open);
  assert.deepEqual(
    writing!.puts.map((p) => [p.key, p.ranges]),
    [["ranges/req-1/b.2/0", [[3, 4]]]],
  );
  assert.deepEqual(
    part.finishes.toStore("b.2", 8, instant(5000), open),
    [],
    "a write under way is not repeated",
  );
  part.finishes.storeAnswered(writing!, "failed", instant(5000));
  assert.deepEqual(told(), []);
  part.finishes.storeAnswered(
    part.finishes.toStore("b.2", 8, instant(5000), open)[0]!,
    "stored",
    instant(5000),
  );
  assert.deepEqual(told(), [{ job: "req-1", ranges: [[3, 4]] }]);
  assert.deepEqual(told(), []);
  part.setTerm({ ...term, number: 5, leaderRevision: 11 });
  assert.deepEqual(told(), [{ job: "req-1", ranges: [[3, 4]] }]);
});

test("a write of finishes that got no answer can't take later ones back when it is carried out late", () => {
  const part = newPart("b");
  const stored = new Map<string, readonly (readonly [number, number])[]>();
  const finish = (index: number, now: number): void =>
    part.recordHeartbeat(
      report({
        sequence: now,
        tasks: [{ job: "req-1", index, attempt: 1, state: "exited", exitReason: "done" }],
      }),
      instant(now),
    );
  const write = (now: number) => part.finishes.toStore("b.2", 8, instant(now), () => true)[0]!;
  const apply = (w: ReturnType<typeof write>): void => w.puts.forEach((p) => stored.set(p.key, p.ranges));
  finish(3, 10);
  const late = write(5000);
  part.finishes.storeAnswered(late, "failed", instant(5100));
  finish(7, 5200);
  const next = write(10_000);
  apply(next);
  part.finishes.storeAnswered(next, "stored", instant(10_100));
  apply(late);
  const all = RangeSet.of([...stored.values()].flat());
  assert.ok(all.has(3) && all.has(7), JSON.stringify([...stored]));
});

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
  budget.takeFirst(instant(now), 10);
  assert.ok(Duration.toMillis(budget.take(instant(now))) > 900);
  budget.refused(instant(now), Duration.seconds(5));
  assert.ok(Duration.toMillis(budget.take(instant(now))) >= 5000);
});

const submission = {
  ref: "req-000412",
  roster: "train",
  crew: "red",
  shape: "ensemble",
  urgency: "urgent",
  chores: 4,
  vcpus: 2,
  gpus: 0,
  mem_gb: 4,
  bundle: "img",
  image_gb: 1,
  district: null,
  together: false,
  apart: true,
  loaners: false,
  expected_s: 20,
  bookmark_s: 0,
  stash_s: 0,
  due_s: 90,
};

const without = (...names: string[]): object =>
  Object.fromEntries(Object.entries(submission).filter(([name]) => !names.includes(name)));

test("a submission that lacks a field is malformed; a record that an earlier version accepted so is read", () => {
  const optional = ["builds", "district", "due_s"];
  for (const name of Object.keys(submission)) {
    const rest = without(name);
    const isFine = typeof parseSubmission(JSON.stringify(rest)) !== "string";
    assert.equal(isFine, optional.includes(name), name);
    const isNull = typeof parseSubmission(JSON.stringify({ ...rest, [name]: null })) !== "string";
    assert.equal(isNull, optional.includes(name), `${name}: null`);
  }
  const old = without("gpus", "loaners", "stash_s");
  assert.equal(readJob("req-000412", old)?.gpus, 0);
  assert.equal(readJob("req-000413", old), null);
});

test("submissions: null and omitted are the same, and the limits of teams and machines decide", () => {
  const parsed = parseSubmission(JSON.stringify(submission));
  assert.ok(typeof parsed !== "string");
  assert.equal(parsed.spec.kind, "gang");
  assert.equal(parsed.spec.gpus, 0);
  assert.equal(Duration.toSeconds(parsed.spec.deadline!), 90);
  const teams = new Map(TEAMS.map((team) => [team.name, team]));
  const why = (more: object) => unschedulableReason({ ...parsed.spec, ...more }, teams, TYPES);
  assert.equal(why({}), null);
  assert.match(why({ team: "green" })!, /no such team/);
  assert.match(why({ cpus: 17 })!, /no allowed machine/);
  assert.match(why({ cpus: 10, types: ["small"] })!, /no allowed machine/);
  assert.match(why({ tasks: 13 })!, /limit/);
  assert.equal(why({ tasks: 13, kind: "array" }), null);
  assert.equal(why({ tasks: 13, team: "blue" }), null);
});

test("reports that are no reports are refused, and never end a process", () => {
  const good = {
    hearth: "n",
    endpoint: "10.0.0.1:9",
    build: "b",
    district: "d",
    shift: 1,
    tally: 1,
    baton: 0,
  };
  const task = { chore: "req-1/2", try: 3, status: "running" };
  assert.equal(parseHeartbeat({ ...good, chores: [task] })?.tasks[0]?.index, 2);
  for (const bad of [
    null,
    3,
    {},
    { ...good, shift: 1.5 },
    { ...good, tally: -1 },
    { ...good, endpoint: "x" },
    { ...good, endpoint: "10.0.0.1:99999999" },
    { ...good, hearth: "n".repeat(1000) },
    { ...good, chores: {} },
    { ...good, chores: [null] },
    { ...good, chores: [{ ...task, chore: 7 }] },
    { ...good, chores: [{ ...task, chore: "req-1/x" }] },
    { ...good, chores: [{ ...task, try: "3" }] },
    { ...good, chores: [{ ...task, status: "dancing" }] },
  ])
    assert.equal(parseHeartbeat(bad), null, JSON.stringify(bad).slice(0, 100));
});

test("what controllers tell one another survives the wire", () => {
  const heartbeat = report({
    reclaimNoticeSeconds: 3.5,
    tasks: [{ job: "req-1", index: 99_999, attempt: 4_000_000_001, state: "exited", exitReason: "done" }],
  });
  const sync = {
    termNumber: 2 ** 40,
    member: "a",
    incarnation: 12,
    leaderClockMark: -1,
    progressVersion: 7,
    reachesStateService: true,
    contacts: [{ machine: "n-1", answerAgeMs: 12.5, heartbeatAgeMs: -1 }],
    commandResults: [{ id: 3_000_000_000_001, outcome: "unknown" as const, workerEpoch: 1, sequence: 2 }],
    heartbeats: [{ heartbeat, ageMs: 7 }],
    storedFinishes: [{ job: "req-1", ranges: [[0, 7] as const] }],
  };
  assert.deepEqual(
    JSON.parse(JSON.stringify(syncRequestCodec.decode(syncRequestCodec.encode(sync)))),
    JSON.parse(JSON.stringify(sync)),
  );
  assert.equal(deliveryReceiptCodec.decode(deliveryReceiptCodec.encode({ accepted: true })).accepted, true);
  const pieces = toFragments(sync, fragmentLimits(16, 16))!;
  assert.deepEqual(JSON.parse(JSON.stringify(fromFragments(pieces))), JSON.parse(JSON.stringify(sync)));
  assert.equal(fromFragments([{ of: 2, data: pieces[0]!.data }]), null);
  assert.equal(fromFragments([{ of: 1, data: "????" }]), null);
});

test("blocks of machines only get smaller, and the last machine takes its block along", () => {
  const record = { type: "small", zone: "east", spot: false, addr: "x" };
  const blocks = new MachineRecordStore();
  blocks.add("machines/1-1", { a: record, b: record });
  blocks.add("machines/1-2", { c: record });
  // an open that got no answer is tried again: the machine is in two blocks
  blocks.add("machines/1-3", { c: record });
  assert.deepEqual(blocks.changed(9), []);
  blocks.remove("a");
  blocks.remove("c");
  const changed = blocks.changed(2);
  assert.deepEqual(
    changed.map((rewrite) => [rewrite.key, rewrite.machines]),
    [
      ["machines/1-2", null],
      ["machines/1-3", null],
    ],
  );
  blocks.written(changed);
  const rest = blocks.changed(9);
  assert.deepEqual(
    rest.map((rewrite) => [rewrite.key, Object.keys(rewrite.machines!)]),
    [["machines/1-1", ["b"]]],
  );
  // it changed again while it was being written
  blocks.remove("b");
  blocks.written(rest);
  assert.equal(blocks.changed(9)[0]?.machines, null);
});

test("progress is told as changes, and whole to whoever missed too much", () => {
  const log = new ProgressLog();
  assert.equal(log.since(-1), null);
  for (const job of ["a", "b", "a"]) log.changed(job);
  const seen = log.version;
  assert.deepEqual(log.since(seen), new Set());
  log.changed("c");
  assert.deepEqual(log.since(seen), new Set(["c"]));
  for (let i = 0; i < 10_000; i++) log.changed(`j${i % 7}`);
  assert.equal(log.since(seen), null);
  assert.equal(log.since(log.version - 3)?.size, 3);
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
