/** A member's partition of the workers: answers to heartbeats, updates to the leader, and stored finishes. */
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

test("a worker is redirected to its member once, and served here if it returns", () => {
  const partition = newPartition("a");
  const heartbeatAt = (ms: number, mayAnswer: boolean) =>
    partition.handleHeartbeat(heartbeatWith({ sequence: ms }), mayAnswer, 1, instant(ms));
  assert.deepEqual(heartbeatAt(1, false), { kind: "unsure" });
  assert.deepEqual(heartbeatAt(2, true), { kind: "elsewhere", member: "b" });
  assert.deepEqual(heartbeatAt(3, true), {
    kind: "taken",
    fencingToken: fencingTokenOf(4),
    stopCommands: [],
  });
  partition.setTerm({ ...TERM, number: 5 });
  assert.deepEqual(heartbeatAt(4, true), { kind: "elsewhere", member: "b" });
  // another process of the same name is not the member
  assert.deepEqual(partition.handleHeartbeat(heartbeatWith({}), true, 9, instant(5)), { kind: "unsure" });
});

test("a worker whose token the leader raised is answered with that token: it would ignore a lower one", () => {
  const partition = newPartition("b");
  const handleHeartbeat = (fencingToken: number) =>
    partition.handleHeartbeat(heartbeatWith({ fencingToken }), true, 2, instant(1));
  assert.deepEqual(handleHeartbeat(fencingTokenOf(4, 3)), {
    kind: "taken",
    fencingToken: fencingTokenOf(4, 3),
    stopCommands: [],
  });
  assert.deepEqual(handleHeartbeat(fencingTokenOf(3, 9)), {
    kind: "taken",
    fencingToken: fencingTokenOf(4),
    stopCommands: [],
  });
  assert.deepEqual(handleHeartbeat(fencingTokenOf(5)), {
    kind: "taken",
    fencingToken: fencingTokenOf(4),
    stopCommands: [],
  });
});

test("the answer to a heartbeat tells the worker to stop tasks of jobs that have ended", () => {
  const partition = newPartition("b");
  const task = (job: string, state: "running" | "exited") => ({
    job,
    index: 0,
    attempt: 7,
    state,
    exitReason: null,
  });
  const tasks = [task("req-1", "running"), task("req-2", "running"), task("req-1", "exited")];
  const answer = partition.handleHeartbeat(heartbeatWith({ tasks }), true, 2, instant(1), (job) =>
    job === "req-1" ? "ended" : "unfinished",
  );
  assert.ok(answer.kind === "taken");
  assert.deepEqual(answer.stopCommands, [
    { op: "stop", job: "req-1", index: 0, attempt: 7, gracePeriodSeconds: 0 },
  ]);
});

// guards against a renewed lease of a task that was cancelled before this process began
test("a lease isn't renewed while it is undetermined whether a task's job has ended, but the leader hears of it", () => {
  const partition = newPartition("b");
  const task = (job: string, state: "running" | "exited") => ({
    ...{ job, index: 0, attempt: 7, state, exitReason: null },
  });
  const answerTo = (sequence: number, tasks: ReturnType<typeof task>[]) =>
    partition.handleHeartbeat(heartbeatWith({ sequence, tasks }), true, 2, instant(sequence), (job) =>
      job === "req-1" ? "undetermined" : "unfinished",
    );
  const answer = answerTo(1, [task("req-2", "running"), task("req-1", "running")]);
  assert.deepEqual(answer, { kind: "unsure" });
  const update = partition.takeUpdate(instant(1));
  assert.equal(update.heartbeats.length, 1);
  assert.deepEqual(
    update.contacts.map(({ answerAgeMs }) => answerAgeMs),
    [-1],
  );
  // a task that has exited needs no lease
  assert.equal(answerTo(2, [task("req-2", "running"), task("req-1", "exited")]).kind, "taken");
});

test("updates contain only changes, and everything again for a new leader", () => {
  const partition = newPartition("b");
  const handleHeartbeat = (sequence: number, ms: number) =>
    partition.handleHeartbeat(heartbeatWith({ sequence }), true, 2, instant(ms));
  handleHeartbeat(5, 1000);
  const first = partition.takeUpdate(instant(1000));
  assert.deepEqual([first.heartbeats.length, first.contacts.length], [1, 1]);
  assert.deepEqual(partition.takeUpdate(instant(1000)), {
    heartbeats: [],
    contacts: [],
    storedFinishes: [],
    commandResults: [],
  });
  handleHeartbeat(6, 2000);
  // an unchanged heartbeat is reported only as a contact
  const second = partition.takeUpdate(instant(2500));
  assert.deepEqual(second.heartbeats, []);
  assert.deepEqual(second.contacts, [{ machine: "n-1", answerAgeMs: 500, heartbeatAgeMs: 500 }]);
  // a delayed copy renews the worker's lease, so the leader needs the time of the answer; it is no sign of life
  handleHeartbeat(3, 9000);
  assert.deepEqual(partition.takeUpdate(instant(9000)).contacts, [
    { machine: "n-1", answerAgeMs: 0, heartbeatAgeMs: 7000 },
  ]);
  partition.commandsAnswered(7, "done", null, instant(9000));
  const lostUpdate = partition.takeUpdate(instant(9000));
  partition.putBack(lostUpdate);
  assert.deepEqual(partition.takeUpdate(instant(9000)).commandResults, [
    { id: 7, outcome: "done", workerEpoch: 0, sequence: 0 },
  ]);
  partition.setTerm({ ...TERM, number: 5 });
  assert.equal(partition.takeUpdate(instant(9000)).heartbeats.length, 0, "the same leader is not told again");
  partition.setTerm({ ...TERM, number: 6, leaderRevision: 11 });
  assert.deepEqual([partition.takeUpdate(instant(9000)).heartbeats.length], [1]);
});

test("finishes are stored in batches, reported once stored, and reported again to a new leader", () => {
  const partition = newPartition("b");
  const task = { job: "req-1", index: 3, attempt: 1, state: "exited", exitReason: "done" } as const;
  partition.recordHeartbeat(heartbeatWith({ tasks: [task] }), instant(9));
  const isOpen = (): boolean => true;
  const takeStoredFinishes = () => partition.takeUpdate(instant(9)).storedFinishes;
  assert.deepEqual(takeStoredFinishes(), []);
  assert.deepEqual(
    partition.finishes.beginWrites("b.2", 8, instant(1000), isOpen),
    [],
    "other finishes of its job may follow",
  );
  assert.deepEqual(
    partition.finishes.beginWrites("b.2", 8, instant(5000), () => false),
    [],
    "its job has ended",
  );
  const [writing] = partition.finishes.beginWrites("b.2", 8, instant(5000), isOpen);
  assert.deepEqual(
    present(writing).puts.map((put) => [put.key, put.ranges]),
    [["ranges/req-1/b.2/0", [[3, 4]]]],
  );
  assert.deepEqual(
    partition.finishes.beginWrites("b.2", 8, instant(5000), isOpen),
    [],
    "a pending write is not repeated",
  );
  partition.finishes.writeAnswered(present(writing), "failed", instant(5000));
  assert.deepEqual(takeStoredFinishes(), []);
  partition.finishes.writeAnswered(
    present(partition.finishes.beginWrites("b.2", 8, instant(5000), isOpen)[0]),
    "stored",
    instant(5000),
  );
  assert.deepEqual(takeStoredFinishes(), [{ job: "req-1", ranges: [[3, 4]] }]);
  assert.deepEqual(takeStoredFinishes(), []);
  partition.setTerm({ ...TERM, number: 5, leaderRevision: 11 });
  assert.deepEqual(takeStoredFinishes(), [{ job: "req-1", ranges: [[3, 4]] }]);
});

test("a delayed write of finishes does not undo later writes", () => {
  const partition = newPartition("b");
  const stored = new Map<string, readonly (readonly [number, number])[]>();
  const finish = (index: number, now: number): void =>
    partition.recordHeartbeat(
      heartbeatWith({
        sequence: now,
        tasks: [{ job: "req-1", index, attempt: 1, state: "exited", exitReason: "done" }],
      }),
      instant(now),
    );
  const beginWrite = (now: number) =>
    present(partition.finishes.beginWrites("b.2", 8, instant(now), () => true)[0]);
  const apply = (batch: ReturnType<typeof beginWrite>): void =>
    batch.puts.forEach((put) => stored.set(put.key, put.ranges));
  finish(3, 10);
  const delayedWrite = beginWrite(5000);
  partition.finishes.writeAnswered(delayedWrite, "failed", instant(5100));
  finish(7, 5200);
  const laterWrite = beginWrite(10_000);
  apply(laterWrite);
  partition.finishes.writeAnswered(laterWrite, "stored", instant(10_100));
  apply(delayedWrite);
  const storedRanges = RangeSet.of([...stored.values()].flat());
  assert.ok(storedRanges.has(3) && storedRanges.has(7), JSON.stringify([...stored]));
});

const relay = (partition: WorkerPartition, ms: number): void => {
  partition.updateRelayed(partition.takeUpdate(instant(ms)));
};
const machinesIn = (partition: WorkerPartition, ms: number) => {
  const { heartbeats, contacts } = partition.takeUpdate(instant(ms));
  return {
    heartbeats: heartbeats.map(({ heartbeat }) => heartbeat.machine),
    contacts: contacts.map(({ machine }) => machine),
  };
};

// guards against a lease that is taken for ended although the leader missed the relayed report of its renewal
test("a relayed update counts as reported only once its content was sent again in an answered one", () => {
  const partition = newPartition("b");
  const { machine } = heartbeatWith({});
  partition.handleHeartbeat(heartbeatWith({ sequence: 1 }), true, 2, instant(1000));
  partition.commandsAnswered(7, "done", null, instant(1000));
  relay(partition, 1100);
  assert.equal(partition.isUpdateComplete(), false);
  // what is sent before the leader answers is complete neither
  assert.deepEqual(machinesIn(partition, 1200), { heartbeats: [], contacts: [] });
  assert.equal(partition.isUpdateComplete(), false);
  partition.reportRelayedAgain();
  const update = partition.takeUpdate(instant(1300));
  assert.deepEqual(
    update.heartbeats.map(({ heartbeat }) => heartbeat.machine),
    [machine],
  );
  assert.deepEqual(update.contacts, [{ machine, answerAgeMs: 300, heartbeatAgeMs: 300 }]);
  assert.deepEqual(
    update.commandResults.map(({ id }) => id),
    [7],
  );
  assert.equal(partition.isUpdateComplete(), true);
});

// guards against finished tasks of which the leader never learns, so that their job stays unfinished for ever
test("stored finishes that were relayed are reported again", () => {
  const partition = newPartition("b");
  partition.finishes.addFinish("req-1", 3, instant(0));
  const [write] = partition.finishes.beginWrites("b.2", 8, instant(4000), () => true);
  partition.finishes.writeAnswered(present(write), "stored", instant(4100));
  relay(partition, 4200);
  assert.deepEqual(partition.takeUpdate(instant(4300)).storedFinishes, []);
  partition.reportRelayedAgain();
  assert.deepEqual(partition.takeUpdate(instant(4400)).storedFinishes, [{ job: "req-1", ranges: [[3, 4]] }]);
});

// guards against a report that the leader ignored because its term had changed meanwhile
test("what was relayed under an earlier term of the same leader is reported again in the new one", () => {
  const partition = newPartition("b");
  const { machine } = heartbeatWith({});
  partition.handleHeartbeat(heartbeatWith({ sequence: 1 }), true, 2, instant(1000));
  relay(partition, 1100);
  partition.setTerm({ ...TERM, number: 5 });
  assert.deepEqual(machinesIn(partition, 1200), { heartbeats: [machine], contacts: [machine] });
  assert.equal(partition.isUpdateComplete(), true);
});

test("another leader is sent everything, but no outcomes of an earlier leader's commands", () => {
  const partition = newPartition("b");
  partition.handleHeartbeat(heartbeatWith({ sequence: 1 }), true, 2, instant(1000));
  partition.commandsAnswered(7, "done", null, instant(1000));
  relay(partition, 1100);
  partition.setTerm({ ...TERM, number: 5, leaderRevision: TERM.leaderRevision + 1 });
  partition.reportRelayedAgain();
  const { heartbeats, commandResults } = partition.takeUpdate(instant(1200));
  assert.equal(heartbeats.length, 1);
  assert.deepEqual(commandResults, []);
});
