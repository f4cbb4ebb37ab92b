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

const newPart = (member: string): WorkerPartition => {
  const part = new WorkerPartition(member, 1000, Duration.seconds(4));
  part.setTerm(TERM);
  return part;
};

test("a worker is sent to its partition's member once, and taken in when it comes back", () => {
  const part = newPart("a");
  const at = (ms: number, entitledNow: boolean) =>
    part.handleHeartbeat(heartbeatWith({ sequence: ms }), entitledNow, 1, instant(ms));
  assert.deepEqual(at(1, false), { kind: "unsure" });
  assert.deepEqual(at(2, true), { kind: "elsewhere", member: "b" });
  assert.deepEqual(at(3, true), { kind: "taken", fencingToken: fencingTokenOf(4), stopCommands: [] });
  part.setTerm({ ...TERM, number: 5 });
  assert.deepEqual(at(4, true), { kind: "elsewhere", member: "b" });
  // another process of the same name is not that member
  assert.deepEqual(part.handleHeartbeat(heartbeatWith({}), true, 9, instant(5)), { kind: "unsure" });
});

test("a worker whose token the leader raised is answered with it: a lower one would be dropped", () => {
  const part = newPart("b");
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
  const part = newPart("b");
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
  const part = newPart("b");
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
  const lost = part.takeUpdate(instant(9000));
  part.putBack(lost);
  assert.deepEqual(part.takeUpdate(instant(9000)).commandResults, [
    { id: 7, outcome: "done", workerEpoch: 0, sequence: 0 },
  ]);
  part.setTerm({ ...TERM, number: 5 });
  assert.equal(part.takeUpdate(instant(9000)).heartbeats.length, 0, "the same leader remembers");
  part.setTerm({ ...TERM, number: 6, leaderRevision: 11 });
  assert.deepEqual([part.takeUpdate(instant(9000)).heartbeats.length], [1]);
});

test("finishes are stored together after a while, told once stored, and told anew to another leader", () => {
  const part = newPart("b");
  const task = { job: "req-1", index: 3, attempt: 1, state: "exited", exitReason: "done" } as const;
  part.recordHeartbeat(heartbeatWith({ tasks: [task] }), instant(9));
  const open = (): boolean => true;
  const told = () => part.takeUpdate(instant(9)).storedFinishes;
  assert.deepEqual(told(), []);
  assert.deepEqual(
    part.finishes.beginWrites("b.2", 8, instant(1000), open),
    [],
    "others of its job may follow",
  );
  assert.deepEqual(
    part.finishes.beginWrites("b.2", 8, instant(5000), () => false),
    [],
    "its job isn't open",
  );
  const [writing] = part.finishes.beginWrites("b.2", 8, instant(5000), open);
  assert.deepEqual(
    present(writing).puts.map((p) => [p.key, p.ranges]),
    [["ranges/req-1/b.2/0", [[3, 4]]]],
  );
  assert.deepEqual(
    part.finishes.beginWrites("b.2", 8, instant(5000), open),
    [],
    "a write under way is not repeated",
  );
  part.finishes.writeAnswered(present(writing), "failed", instant(5000));
  assert.deepEqual(told(), []);
  part.finishes.writeAnswered(
    present(part.finishes.beginWrites("b.2", 8, instant(5000), open)[0]),
    "stored",
    instant(5000),
  );
  assert.deepEqual(told(), [{ job: "req-1", ranges: [[3, 4]] }]);
  assert.deepEqual(told(), []);
  part.setTerm({ ...TERM, number: 5, leaderRevision: 11 });
  assert.deepEqual(told(), [{ job: "req-1", ranges: [[3, 4]] }]);
});

test("a write of finishes that got no answer can't take later ones back when it is carried out late", () => {
  const part = newPart("b");
  const stored = new Map<string, readonly (readonly [number, number])[]>();
  const finish = (index: number, now: number): void =>
    part.recordHeartbeat(
      heartbeatWith({
        sequence: now,
        tasks: [{ job: "req-1", index, attempt: 1, state: "exited", exitReason: "done" }],
      }),
      instant(now),
    );
  const write = (now: number) => present(part.finishes.beginWrites("b.2", 8, instant(now), () => true)[0]);
  const apply = (w: ReturnType<typeof write>): void => w.puts.forEach((p) => stored.set(p.key, p.ranges));
  finish(3, 10);
  const late = write(5000);
  part.finishes.writeAnswered(late, "failed", instant(5100));
  finish(7, 5200);
  const next = write(10_000);
  apply(next);
  part.finishes.writeAnswered(next, "stored", instant(10_100));
  apply(late);
  const all = RangeSet.of([...stored.values()].flat());
  assert.ok(all.has(3) && all.has(7), JSON.stringify([...stored]));
});
