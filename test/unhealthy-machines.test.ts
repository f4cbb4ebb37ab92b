/** Machines that fail, are slow or are cut off: cordoned, given no new work, and returned in time. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Duration from "effect/Duration";
import type { Command, TaskStatus } from "../src/core/records.js";
import { Scheduler } from "../src/core/scheduler/scheduler.js";
import { fencingTokenOf } from "../src/core/leases/term.js";
import { instant } from "../src/core/time.js";
import { ZoneMembership } from "../src/core/leases/zone-membership.js";
import { TIMINGS, TEAMS, TYPES } from "./model.js";
import { ClusterFixture, EAST } from "./cluster-fixture.js";
import { jobSpec as spec } from "./specs.js";
import { present } from "./present.js";

test("a machine that fails every task is cordoned; a job that fails everywhere cordons none", () => {
  const sick = new ClusterFixture(EAST);
  sick.scheduler.jobReleased(spec({ tasks: 6 }), 20, instant(0));
  sick.step();
  sick.endTasks("n-1", "error");
  sick.step();
  for (let i = 0; i < 3; i++) sick.step();
  const aside = (fixture: ClusterFixture): string[] =>
    [...fixture.scheduler.cluster.machines.values()]
      .filter((machine) => machine.cordonedAt !== null)
      .map((machine) => machine.id);
  assert.deepEqual(aside(sick), ["n-1"]);

  const faulty = new ClusterFixture(EAST);
  faulty.scheduler.jobReleased(spec({ tasks: 6 }), 20, instant(0));
  for (let i = 0; i < 200; i++) {
    faulty.step();
    for (const { id } of EAST) faulty.endTasks(id, "error");
  }
  assert.deepEqual(aside(faulty), []);
  // and it isn't retried in a tight loop
  assert.ok(faulty.ops("start") < 60, `${faulty.ops("start")} starts in 100 s`);
  assert.ok(faulty.ops("start") > 6);
});

test("a machine that hears nothing gets no new work, troubles no other, and is returned", () => {
  const fixture = new ClusterFixture(EAST);
  fixture.scheduler.jobReleased(spec({ tasks: 60, image: "x" }), 20, instant(0));
  let why = "";
  for (let i = 0; i < 60 && why === ""; i++) {
    // its heartbeats go on, but orders and answers don't reach it
    fixture.step(["n-2"]);
    for (const { id } of EAST) if (id !== "n-2") fixture.endTasks(id, "done");
    for (const decision of fixture.scheduler.stepAutoscaler(instant(fixture.now)))
      if (decision.kind === "release" && decision.machines.includes("n-2")) why = decision.reason;
  }
  assert.equal(why, "doesn't hear");
  const starts = fixture.sent.filter((sent) => sent.command.op === "start" && sent.machine === "n-2");
  assert.ok(starts.length <= 4, `${starts.length} starts sent to a machine that hears nothing`);
  assert.ok(fixture.ops("start") > 20, "the others work on");
  // what it may hold starts elsewhere only once it is gone
  const held = new Set(starts.map((sent) => sent.command.index));
  const elsewhere = (): number =>
    fixture.sent.filter(
      (sent) => sent.machine !== "n-2" && held.has(sent.command.index) && sent.command.op === "start",
    ).length;
  assert.equal(elsewhere(), 0);
  fixture.tasks.delete("n-2");
  fixture.scheduler.releaseAnswered(["n-2"], true, instant(fixture.now));
  for (let i = 0; i < 20; i++) {
    fixture.step();
    for (const { id } of EAST) if (id !== "n-2") fixture.endTasks(id, "done");
  }
  assert.equal(elsewhere(), held.size);
});

test("a machine whose heartbeats reach nobody, though it answers commands, gets no new work and goes before its lease ends", () => {
  const fixture = new ClusterFixture(EAST);
  fixture.scheduler.jobReleased(spec({ tasks: 60, image: "x" }), 20, instant(0));
  const renewedAll = (but: string): void => {
    const answered = EAST.filter(({ id }) => id !== but).map(({ id }) => ({
      machine: id,
      at: instant(fixture.now),
    }));
    const now = instant(fixture.now);
    const termNumber = fixture.scheduler.term.number;
    fixture.scheduler.leaseRenewalsReported(
      { member: "a", incarnation: 1, termNumber, completeUpTo: now, renewals: answered },
      now,
    );
  };
  let why = "";
  let startsLate = 0;
  for (let i = 0; i < 80 && why === ""; i++) {
    // ClusterFixture's machines report by whatever way; only answers to reports of their own renew their leases
    renewedAll(i < 4 ? "" : "n-2");
    const before = fixture.sent.length;
    fixture.step();
    if (fixture.now > 14_000)
      startsLate += fixture.sent
        .slice(before)
        .filter((sent) => sent.machine === "n-2" && sent.command.op === "start").length;
    for (const { id } of EAST) fixture.endTasks(id, "done");
    for (const decision of fixture.scheduler.stepAutoscaler(instant(fixture.now)))
      if (decision.kind === "release" && decision.machines.includes("n-2")) why = decision.reason;
  }
  assert.equal(why, "reaches no controller");
  assert.equal(startsLate, 0);
  const lease = Duration.toMillis(TIMINGS.workerLease);
  assert.ok(fixture.now < 2000 + lease, `released at ${fixture.now}`);
  assert.ok(fixture.now > 2000 + lease / 2, `released at ${fixture.now}: too soon for what runs there`);
});

test("a machine much slower than others at the same job is cordoned, and its tasks start anew once", () => {
  const fixture = new ClusterFixture([...EAST, { id: "n-4", zone: "east" }]);
  fixture.scheduler.jobReleased(spec({ tasks: 40 }), 20, instant(0));
  for (let i = 0; i < 60; i++) {
    // tasks take 5 s, but on n-2 they don't end
    if (i % 10 === 9) for (const id of ["n-1", "n-3", "n-4"]) fixture.endTasks(id, "done");
    fixture.step();
  }
  const aside = [...fixture.scheduler.cluster.machines.values()]
    .filter((machine) => machine.cordonedAsSlow)
    .map((machine) => machine.id);
  assert.deepEqual(aside, ["n-2"]);
  const on = (machine: string, op: Command["op"]): Command[] =>
    fixture.sent
      .filter((sent) => sent.machine === machine && sent.command.op === op)
      .map((sent) => sent.command);
  assert.equal(on("n-2", "start").length, 2, "no new work");
  assert.equal(on("n-2", "stop").length, 2);
  for (const { index } of on("n-2", "stop"))
    assert.equal(
      fixture.sent.filter((sent) => sent.command.op === "start" && sent.command.index === index).length,
      2,
    );
  const released = fixture.scheduler
    .stepAutoscaler(instant(fixture.now))
    .filter((decision) => decision.kind === "release");
  assert.ok(released.some((d) => d.machines.includes("n-2") && d.reason === "slow"));
});

test("after a failover no machine is judged slow: when its tasks began isn't known", () => {
  const fixture = new ClusterFixture([...EAST, { id: "n-4", zone: "east" }]);
  const running = (index: number): TaskStatus => {
    return { job: "req-000001", index, attempt: 7, state: "running", exitReason: null };
  };
  for (const [i, id] of ["n-1", "n-2", "n-3", "n-4"].entries())
    for (const index of [2 * i, 2 * i + 1]) present(fixture.tasks.get(id)).set(`${index}`, running(index));
  for (const id of fixture.tasks.keys()) fixture.report(id);
  fixture.scheduler.jobReleased(spec({ tasks: 8 }), 20, instant(0));
  fixture.step();
  for (const id of ["n-1", "n-2", "n-3"]) fixture.endTasks(id, "done");
  for (let i = 0; i < 40; i++) fixture.step();
  assert.deepEqual(
    [...fixture.scheduler.cluster.machines.values()].filter((machine) => machine.cordonedAsSlow),
    [],
  );
  assert.equal(fixture.ops("stop"), 0);
});

test("behind a cut machines are kept until just before their leases end, also by a leader that never heard them", () => {
  const lease = Duration.toMillis(TIMINGS.workerLease);
  const zones = new ZoneMembership();
  const member = (name: string, zone: string) => ({ name, incarnation: 1, zone });
  const both = {
    number: 1,
    leaderRevision: 5,
    leader: "a",
    members: [member("a", "east"), member("b", "west")],
  };
  zones.termObserved(both, instant(0));
  const alone = { number: 2, leaderRevision: 10, leader: "a", members: [member("a", "east")] };
  const lostAt = 100_000;
  zones.termObserved(alone, instant(lostAt));
  assert.equal(zones.memberlessSince("west"), lostAt);
  assert.equal(zones.memberlessSince("east"), null);
  const options = {
    timings: TIMINGS,
    teams: new Map(TEAMS.map((team) => [team.name, team])),
    fleet: { reuse: 0.5, idleBoots: 1.5, warmFor: Duration.zero },
    startLatencyObjectives: new Map(),
  };
  const scheduler = new Scheduler(options, alone, 10, instant(lostAt + 2000), zones);
  scheduler.setMachineTypes(TYPES);
  for (let i = 0; i < 6; i++)
    scheduler.machineRecorded(
      `n-${i}`,
      { type: "small", zone: "west", spot: false, addr: "x" },
      instant(lostAt),
    );
  let releasedAt = 0;
  for (let t = lostAt + 2000; releasedAt === 0 && t < lostAt + 3 * lease; t += 250)
    for (const decision of scheduler.stepAutoscaler(instant(t)))
      if (decision.kind === "release") releasedAt = t;
  // the last answers may be older than the loss by a heartbeat and by the member's own lease
  const oldest =
    lostAt - Duration.toMillis(TIMINGS.memberLease) - Duration.toMillis(TIMINGS.heartbeatInterval);
  assert.ok(
    releasedAt <= oldest + lease,
    `released ${releasedAt - oldest - lease} ms after the first leases`,
  );
  assert.ok(releasedAt > oldest + lease / 2, `released after ${releasedAt - oldest} ms of ${lease}`);
});

test("a leader that lost its workers alone asks them through another member before it gives them up", () => {
  const member = (name: string, zone: string) => ({ name, incarnation: 1, zone });
  const term = {
    number: 1,
    leaderRevision: 10,
    leader: "a",
    members: [member("a", "east"), member("b", "east")],
  };
  const options = {
    timings: TIMINGS,
    teams: new Map(TEAMS.map((team) => [team.name, team])),
    fleet: { reuse: 0.5, idleBoots: 100, warmFor: Duration.zero },
    startLatencyObjectives: new Map(),
  };
  const scheduler = new Scheduler(options, term, 10, instant(0));
  scheduler.setMachineTypes(TYPES);
  const seqs = new Map<string, number>();
  const heartbeat = (machine: string, via: string, at: number): void => {
    const sequence = (seqs.get(machine) ?? 0) + 1;
    seqs.set(machine, sequence);
    const known = { machine, addr: "x", type: "small", zone: "east", spot: false };
    scheduler.heartbeatReceived(
      {
        ...known,
        workerEpoch: 1,
        sequence,
        fencingToken: fencingTokenOf(1),
        reclaimNoticeSeconds: null,
        tasks: [],
      },
      via,
      instant(at),
    );
  };
  for (let i = 0; i < 8; i++) {
    scheduler.machineRecorded(`n-${i}`, { type: "small", zone: "east", spot: false, addr: "x" }, instant(0));
    heartbeat(`n-${i}`, i === 0 ? "a" : "b", 100);
  }
  const ways = new Set<string | null>();
  for (let t = 200; t < 20_000; t += 100) {
    for (let i = 1; i < 8; i++) if (t % 1000 === 0) heartbeat(`n-${i}`, "b", t);
    for (const member of ["a", "b"])
      scheduler.leaseRenewalsReported(
        { member, incarnation: 1, termNumber: 1, completeUpTo: null, renewals: [] },
        instant(t),
      );
    for (const decision of scheduler.step(instant(t))) {
      if (decision.kind !== "commands" || decision.machine !== "n-0") continue;
      ways.add(decision.via);
      // this node can't reach it, the other one can
      if (decision.via === "b") heartbeat("n-0", "b", t);
      scheduler.commandsAnswered(
        "n-0",
        decision.commands,
        decision.fencingToken,
        decision.via === "b" ? "done" : "unknown",
        instant(t),
      );
    }
    for (const decision of scheduler.stepAutoscaler(instant(t)))
      assert.notEqual(decision.kind, "release", `released after ${t} ms`);
  }
  assert.deepEqual(ways, new Set(["a", "b"]));
});
