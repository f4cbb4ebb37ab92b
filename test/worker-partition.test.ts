/** A member and its partition of the workers: heartbeats, updates to the leader, and stored finishes. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Duration from "effect/Duration";
import { WorkerPartition } from "../src/core/members/worker-partition.js";
import { RangeSet } from "../src/core/ranges.js";
import { fencingTokenOf } from "../src/core/leases/term.js";
import { instant } from "../src/core/time.js";
import { TERM, heartbeatWith } from "./term-fixture.js";
import { present } from "./present.js";

const newPartition = (member: string): WorkerPartition => {
  const partition = new WorkerPartition(member, 1000, Duration.seconds(4));
  partition.setTerm(TERM);
  return partition;
};

test("a worker is sent to its partition's member once, and taken in when it comes back", () => {
  const part = newPartition("a");
  const heartbeatAt = (ms: number, entitledNow: boolean) =>
    part.handleHeartbeat(heartbeatWith({ sequence: ms }), entitledNow, 1, instant(ms));
  assert.deepEqual(heartbeatAt(1, false), { kind: "unsure" });
  assert.deepEqual(heartbeatAt(2, true), { kind: "elsewhere", member: "b" });
  assert.deepEqual(heartbeatAt(3, true), {
    kind: "taken",
    fencingToken: fencingTokenOf(4),
    stopCommands: [],
  });
  part.setTerm({ ...TERM, number: 5 });
  assert.deepEqual(heartbeatAt(4, true), { kind: "elsewhere", member: "b" });
  // another process of the same name is not that member
  assert.deepEqual(part.handleHeartbeat(heartbeatWith({}), true, 9, instant(5)), { kind: "unsure" });
});

test("a worker whose token the leader raised is answered with it: a lower one would be dropped", () => {
  const part = newPartition("b");
  const handleReport = (fencingToken: number) =>
    part.handleHeartbeat(heartbeatWith({ fencingToken }), true, 2, instant(1));
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
  const part = newPartition("b");
  const task = (job: string, state: "running" | "exited") => ({
    job,
    index: 0,
    attempt: 7,
    state,
    exitReason: null,
  });
  const tasks = [task("req-1", "running"), task("req-2", "running"), task("req-1", "exited")];
  const answer = part.handleHeartbeat(
    heartbeatWith({ tasks }),
    true,
    2,
    instant(1),
    (job) => job === "req-1",
  );
  assert.ok(answer.kind === "taken");
  assert.deepEqual(answer.stopCommands, [
    { op: "stop", job: "req-1", index: 0, attempt: 7, gracePeriodSeconds: 0 },
  ]);
});

test("updates hold changes alone, and everything again for another leader", () => {
  const part = newPartition("b");
  const handleReport = (sequence: number, ms: number) =>
    part.handleHeartbeat(heartbeatWith({ sequence }), true, 2, instant(ms));
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
  const lostUpdate = part.takeUpdate(instant(9000));
  part.putBack(lostUpdate);
  assert.deepEqual(part.takeUpdate(instant(9000)).commandResults, [
    { id: 7, outcome: "done", workerEpoch: 0, sequence: 0 },
  ]);
  part.setTerm({ ...TERM, number: 5 });
  assert.equal(part.takeUpdate(instant(9000)).heartbeats.length, 0, "the same leader remembers");
  part.setTerm({ ...TERM, number: 6, leaderRevision: 11 });
  assert.deepEqual([part.takeUpdate(instant(9000)).heartbeats.length], [1]);
});

test("finishes are stored together after a while, told once stored, and told anew to another leader", () => {
  const part = newPartition("b");
  const task = { job: "req-1", index: 3, attempt: 1, state: "exited", exitReason: "done" } as const;
  part.recordHeartbeat(heartbeatWith({ tasks: [task] }), instant(9));
  const isOpen = (): boolean => true;
  const takeStoredFinishes = () => part.takeUpdate(instant(9)).storedFinishes;
  assert.deepEqual(takeStoredFinishes(), []);
  assert.deepEqual(
    part.finishes.beginWrites("b.2", 8, instant(1000), isOpen),
    [],
    "others of its job may follow",
  );
  assert.deepEqual(
    part.finishes.beginWrites("b.2", 8, instant(5000), () => false),
    [],
    "its job isn't open",
  );
  const [writing] = part.finishes.beginWrites("b.2", 8, instant(5000), isOpen);
  assert.deepEqual(
    present(writing).puts.map((p) => [p.key, p.ranges]),
    [["ranges/req-1/b.2/0", [[3, 4]]]],
  );
  assert.deepEqual(
    part.finishes.beginWrites("b.2", 8, instant(5000), isOpen),
    [],
    "a write under way is not repeated",
  );
  part.finishes.writeAnswered(present(writing), "failed", instant(5000));
  assert.deepEqual(takeStoredFinishes(), []);
  part.finishes.writeAnswered(
    present(part.finishes.beginWrites("b.2", 8, instant(5000), isOpen)[0]),
    "stored",
    instant(5000),
  );
  assert.deepEqual(takeStoredFinishes(), [{ job: "req-1", ranges: [[3, 4]] }]);
  assert.deepEqual(takeStoredFinishes(), []);
  part.setTerm({ ...TERM, number: 5, leaderRevision: 11 });
  assert.deepEqual(takeStoredFinishes(), [{ job: "req-1", ranges: [[3, 4]] }]);
});

test("a write of finishes that got no answer can't take later ones back when it is carried out late", () => {
  const part = newPartition("b");
  const stored = new Map<string, readonly (readonly [number, number])[]>();
  const finish = (index: number, now: number): void =>
    part.recordHeartbeat(
      heartbeatWith({
        sequence: now,
        tasks: [{ job: "req-1", index, attempt: 1, state: "exited", exitReason: "done" }],
      }),
      instant(now),
    );
  const beginWrite = (now: number) =>
    present(part.finishes.beginWrites("b.2", 8, instant(now), () => true)[0]);
  const apply = (w: ReturnType<typeof beginWrite>): void =>
    w.puts.forEach((p) => stored.set(p.key, p.ranges));
  finish(3, 10);
  const delayedWrite = beginWrite(5000);
  part.finishes.writeAnswered(delayedWrite, "failed", instant(5100));
  finish(7, 5200);
  const laterWrite = beginWrite(10_000);
  apply(laterWrite);
  part.finishes.writeAnswered(laterWrite, "stored", instant(10_100));
  apply(delayedWrite);
  const storedRanges = RangeSet.of([...stored.values()].flat());
  assert.ok(storedRanges.has(3) && storedRanges.has(7), JSON.stringify([...stored]));
});
