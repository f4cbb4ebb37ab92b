/** Machines that fail, are slow or unreachable: they are cordoned, get no new work, and are released in time. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Duration from "effect/Duration";
import type { Command, TaskStatus } from "../src/core/records.js";
import { Scheduler } from "../src/core/scheduler/scheduler.js";
import { fencingTokenOf } from "../src/core/leases/term.js";
import { instant } from "../src/core/time.js";
import { ZoneMembership } from "../src/core/leases/zone-membership.js";
import { TIMINGS, TEAMS, TYPES } from "./model.js";
import { ClusterFixture, EAST_MACHINES } from "./cluster-fixture.js";
import { jobSpec as spec } from "./specs.js";
import { present } from "./present.js";

test("a machine that fails every task is cordoned; a job that fails everywhere cordons none", () => {
  const oneMachineFails = new ClusterFixture(EAST_MACHINES);
  oneMachineFails.scheduler.jobReleased(spec({ tasks: 6 }), 20, instant(0));
  oneMachineFails.step();
  oneMachineFails.endTasks("n-1", "error");
  oneMachineFails.step();
  for (let i = 0; i < 3; i++) oneMachineFails.step();
  const cordonedIds = (fixture: ClusterFixture): string[] =>
    [...fixture.scheduler.cluster.machines.values()]
      .filter((machine) => machine.cordonedAt !== null)
      .map((machine) => machine.id);
  assert.deepEqual(cordonedIds(oneMachineFails), ["n-1"]);

  const allMachinesFail = new ClusterFixture(EAST_MACHINES);
  allMachinesFail.scheduler.jobReleased(spec({ tasks: 6 }), 20, instant(0));
  for (let i = 0; i < 200; i++) {
    allMachinesFail.step();
    for (const { id } of EAST_MACHINES) allMachinesFail.endTasks(id, "error");
  }
  assert.deepEqual(cordonedIds(allMachinesFail), []);
  // and the job isn't retried in a tight loop
  assert.ok(
    allMachinesFail.commandCount("start") < 60,
    `${allMachinesFail.commandCount("start")} starts in 100 s`,
  );
  assert.ok(allMachinesFail.commandCount("start") > 6);
});

test("a machine that receives no commands gets no new work, is released, and doesn't affect others", () => {
  const fixture = new ClusterFixture(EAST_MACHINES);
  fixture.scheduler.jobReleased(spec({ tasks: 60, image: "x" }), 20, instant(0));
  let releaseReason = "";
  for (let i = 0; i < 60 && releaseReason === ""; i++) {
    // its heartbeats arrive, but commands and answers don't reach it
    fixture.step(["n-2"]);
    for (const { id } of EAST_MACHINES) if (id !== "n-2") fixture.endTasks(id, "done");
    for (const decision of fixture.scheduler.stepAutoscaler(instant(fixture.now)))
      if (decision.kind === "release" && decision.machines.includes("n-2")) releaseReason = decision.reason;
  }
  assert.equal(releaseReason, "doesn't hear");
  const starts = fixture.sentCommands.filter((sent) => sent.command.op === "start" && sent.machine === "n-2");
  assert.ok(starts.length <= 4, `${starts.length} starts sent to a machine that receives none`);
  assert.ok(fixture.commandCount("start") > 20, "the other machines continue to work");
  // tasks that it may have started start elsewhere only once it is released
  const heldIndices = new Set(starts.map((sent) => sent.command.index));
  const startsElsewhere = (): number =>
    fixture.sentCommands.filter(
      (sent) => sent.machine !== "n-2" && heldIndices.has(sent.command.index) && sent.command.op === "start",
    ).length;
  assert.equal(startsElsewhere(), 0);
  fixture.tasks.delete("n-2");
  fixture.scheduler.releaseAnswered(["n-2"], true, instant(fixture.now));
  for (let i = 0; i < 20; i++) {
    fixture.step();
    for (const { id } of EAST_MACHINES) if (id !== "n-2") fixture.endTasks(id, "done");
  }
  assert.equal(startsElsewhere(), heldIndices.size);
});

test("a machine whose heartbeats get no answer is given no work and released before its lease ends", () => {
  const fixture = new ClusterFixture(EAST_MACHINES);
  fixture.scheduler.jobReleased(spec({ tasks: 60, image: "x" }), 20, instant(0));
  const reportRenewalsExcept = (excluded: string): void => {
    const answered = EAST_MACHINES.filter(({ id }) => id !== excluded).map(({ id }) => ({
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
  let releaseReason = "";
  let lateStarts = 0;
  for (let i = 0; i < 80 && releaseReason === ""; i++) {
    // ClusterFixture delivers all heartbeats; this machine's lease, though, is no longer reported as renewed
    reportRenewalsExcept(i < 4 ? "" : "n-2");
    const before = fixture.sentCommands.length;
    fixture.step();
    if (fixture.now > 14_000)
      lateStarts += fixture.sentCommands
        .slice(before)
        .filter((sent) => sent.machine === "n-2" && sent.command.op === "start").length;
    for (const { id } of EAST_MACHINES) fixture.endTasks(id, "done");
    for (const decision of fixture.scheduler.stepAutoscaler(instant(fixture.now)))
      if (decision.kind === "release" && decision.machines.includes("n-2")) releaseReason = decision.reason;
  }
  assert.equal(releaseReason, "reaches no controller");
  assert.equal(lateStarts, 0);
  const lease = Duration.toMillis(TIMINGS.workerLease);
  assert.ok(fixture.now < 2000 + lease, `released at ${fixture.now}`);
  assert.ok(fixture.now > 2000 + lease / 2, `released at ${fixture.now}: too soon for its running tasks`);
});

test("a machine much slower than others at the same job is cordoned, and its tasks are restarted once", () => {
  const fixture = new ClusterFixture([...EAST_MACHINES, { id: "n-4", zone: "east" }]);
  fixture.scheduler.jobReleased(spec({ tasks: 40 }), 20, instant(0));
  for (let i = 0; i < 60; i++) {
    // tasks take 5 s, but on n-2 they don't end
    if (i % 10 === 9) for (const id of ["n-1", "n-3", "n-4"]) fixture.endTasks(id, "done");
    fixture.step();
  }
  const slowIds = [...fixture.scheduler.cluster.machines.values()]
    .filter((machine) => machine.cordonedAsSlow)
    .map((machine) => machine.id);
  assert.deepEqual(slowIds, ["n-2"]);
  const commandsTo = (machine: string, op: Command["op"]): Command[] =>
    fixture.sentCommands
      .filter((sent) => sent.machine === machine && sent.command.op === op)
      .map((sent) => sent.command);
  assert.equal(commandsTo("n-2", "start").length, 2, "no new work");
  assert.equal(commandsTo("n-2", "stop").length, 2);
  for (const { index } of commandsTo("n-2", "stop"))
    assert.equal(
      fixture.sentCommands.filter((sent) => sent.command.op === "start" && sent.command.index === index)
        .length,
      2,
    );
  const released = fixture.scheduler
    .stepAutoscaler(instant(fixture.now))
    .filter((decision) => decision.kind === "release");
  assert.ok(released.some((decision) => decision.machines.includes("n-2") && decision.reason === "slow"));
});

test("after a failover no machine is judged slow, since the start times of its tasks are unknown", () => {
  const fixture = new ClusterFixture([...EAST_MACHINES, { id: "n-4", zone: "east" }]);
  const running = (index: number): TaskStatus => {
    return { job: "req-000001", index, attempt: 7, state: "running", exitReason: null };
  };
  for (const [i, id] of ["n-1", "n-2", "n-3", "n-4"].entries())
    for (const index of [2 * i, 2 * i + 1]) present(fixture.tasks.get(id)).set(`${index}`, running(index));
  for (const id of fixture.tasks.keys()) fixture.sendHeartbeat(id);
  fixture.scheduler.jobReleased(spec({ tasks: 8 }), 20, instant(0));
  fixture.step();
  for (const id of ["n-1", "n-2", "n-3"]) fixture.endTasks(id, "done");
  for (let i = 0; i < 40; i++) fixture.step();
  assert.deepEqual(
    [...fixture.scheduler.cluster.machines.values()].filter((machine) => machine.cordonedAsSlow),
    [],
  );
  assert.equal(fixture.commandCount("stop"), 0);
});

test("machines in a zone without members are kept until shortly before their leases end, also by a new leader", () => {
  const lease = Duration.toMillis(TIMINGS.workerLease);
  const zones = new ZoneMembership();
  const member = (name: string, zone: string) => ({ name, incarnation: 1, zone });
  const fullTerm = {
    number: 1,
    leaderRevision: 5,
    leader: "a",
    members: [member("a", "east"), member("b", "west")],
  };
  zones.termObserved(fullTerm, instant(0));
  const termWithoutB = { number: 2, leaderRevision: 10, leader: "a", members: [member("a", "east")] };
  const lostAt = 100_000;
  zones.termObserved(termWithoutB, instant(lostAt));
  assert.equal(zones.memberlessSince("west"), lostAt);
  assert.equal(zones.memberlessSince("east"), null);
  const options = {
    timings: TIMINGS,
    teams: new Map(TEAMS.map((team) => [team.name, team])),
    fleet: { reuse: 0.5, idleBoots: 1.5, warmFor: Duration.zero },
    startLatencyObjectives: new Map(),
  };
  const scheduler = new Scheduler(options, termWithoutB, 10, instant(lostAt + 2000), zones);
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
  // the last lease renewals may precede the loss by the member lease and a heartbeat interval
  const earliestLeaseStart =
    lostAt - Duration.toMillis(TIMINGS.memberLease) - Duration.toMillis(TIMINGS.heartbeatInterval);
  assert.ok(
    releasedAt <= earliestLeaseStart + lease,
    `released ${releasedAt - earliestLeaseStart - lease} ms after the first leases ended`,
  );
  assert.ok(
    releasedAt > earliestLeaseStart + lease / 2,
    `released after ${releasedAt - earliestLeaseStart} ms of ${lease}`,
  );
});

test("a leader that can't reach a machine queries it through another member before releasing it", () => {
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
  const sequences = new Map<string, number>();
  const heartbeat = (machine: string, via: string, at: number): void => {
    const sequence = (sequences.get(machine) ?? 0) + 1;
    sequences.set(machine, sequence);
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
  const routes = new Set<string | null>();
  for (let t = 200; t < 20_000; t += 100) {
    for (let i = 1; i < 8; i++) if (t % 1000 === 0) heartbeat(`n-${i}`, "b", t);
    for (const member of ["a", "b"])
      scheduler.leaseRenewalsReported(
        { member, incarnation: 1, termNumber: 1, completeUpTo: null, renewals: [] },
        instant(t),
      );
    for (const decision of scheduler.step(instant(t))) {
      if (decision.kind !== "commands" || decision.machine !== "n-0") continue;
      routes.add(decision.via);
      // the leader can't reach it, the other member can
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
  assert.deepEqual(routes, new Set(["a", "b"]));
});
