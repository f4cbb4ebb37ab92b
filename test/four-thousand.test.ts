/**
 * Fixed limits in the code must allow for 4,000 machines and more. The tests count work and message sizes with 4,000 and
 * 6,000 machines and measure no times, so that they don't depend on the processor's load.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Duration from "effect/Duration";
import { groupByWeight, splitRecord, maxValueBytes } from "../src/core/packing.js";
import type { MachineRecord, TaskStatus, TermRecord, Heartbeat } from "../src/core/records.js";
import { type Decision, Scheduler } from "../src/core/scheduler/scheduler.js";
import { leaseTimingsOf, fencingTokenOf } from "../src/core/leases/term.js";
import { type Instant, instant } from "../src/core/time.js";
import { WorkerPartition } from "../src/core/members/worker-partition.js";
import { syncRequestCodec } from "../src/io/peer-codec.js";
import { MachineRecordStore } from "../src/service/leader/machine-record-store.js";
import { countVisits, largeFleetJob } from "./large-fleet.js";
import { TYPES } from "./model.js";

const FLEET_SIZES = [4000, 6000];
/** Size up to which a controller accepts another's message. */
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
/** The smallest limit on a stored value among all deployments. */
const MIN_VALUE_LIMIT_KB = 4;
/** A machine with 8 processors is full with tasks of a quarter of one. */
const TASKS_PER_MACHINE = 32;

const TERM: TermRecord = {
  number: 2,
  leaderRevision: 500,
  leader: "a",
  members: [
    { name: "a", incarnation: 1, zone: "east" },
    { name: "b", incarnation: 2, zone: "west" },
  ],
};
const TIMINGS = leaseTimingsOf({ leaseS: 34, reportS: 6, cancelS: 59 }, Duration.seconds(3));

const machineName = (n: number): string => `n-${String(n).padStart(6, "0")}`;
const machineRecord = (n: number): MachineRecord => ({
  type: "small",
  zone: n % 2 === 0 ? "east" : "west",
  spot: n % 3 === 0,
  addr: `10.1.${n >> 8}.${n & 255}:9000`,
});

const heartbeatOf = (n: number, sequence: number, fencingToken: number, tasks: TaskStatus[]): Heartbeat => {
  const { type, zone, spot } = machineRecord(n);
  const addr = machineRecord(n).addr ?? "";
  return {
    machine: machineName(n),
    addr,
    type,
    zone,
    spot,
    workerEpoch: 1,
    sequence,
    fencingToken,
    reclaimNoticeSeconds: null,
    tasks,
  };
};

const runningTasks = (n: number): TaskStatus[] =>
  Array.from({ length: TASKS_PER_MACHINE }, (_, i) => ({
    job: "req-000000000000000777",
    index: n * TASKS_PER_MACHINE + i,
    attempt: 1_000_000 + i,
    state: "running" as const,
    exitReason: null,
  }));

/** The scheduler of a new leader that has just read the records of so many machines. */
const newLeader = (machines: number, idleBoots = 0.6): Scheduler => {
  const options = {
    timings: TIMINGS,
    teams: new Map([
      ["red", { name: "red", guaranteedCpus: 1e6, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 }],
    ]),
    fleet: { reuse: 0.5, idleBoots, warmFor: Duration.seconds(10) },
    startLatencyObjectives: new Map(),
  };
  const scheduler = new Scheduler(options, TERM, 500, instant(0));
  scheduler.setMachineTypes(TYPES);
  for (let n = 0; n < machines; n++) scheduler.machineRecorded(machineName(n), machineRecord(n), instant(0));
  scheduler.machinesListed([], instant(0));
  return scheduler;
};

const sendAllHeartbeats = (scheduler: Scheduler, machines: number, sequence: number, now: Instant): void => {
  for (let n = 0; n < machines; n++)
    scheduler.heartbeatReceived(heartbeatOf(n, sequence, fencingTokenOf(TERM.number), []), "a", now);
};

const decisionsOfKind = <K extends Decision["kind"]>(decisions: readonly Decision[], kind: K) =>
  decisions.filter((decision): decision is Extract<Decision, { kind: K }> => decision.kind === kind);

for (const machines of FLEET_SIZES) {
  test(`a new leader receives the heartbeats of ${machines} full machines in messages within the size limit`, () => {
    const partition = new WorkerPartition("a", 3000, Duration.seconds(4));
    partition.setTerm({ ...TERM, members: [TERM.members[0]!] });
    for (let n = 0; n < machines; n++)
      partition.handleHeartbeat(
        heartbeatOf(n, 1, fencingTokenOf(TERM.number), runningTasks(n)),
        true,
        1,
        instant(1000),
      );
    const reportedMachines = new Set<string>();
    let messages = 0;
    let largest = 0;
    while (partition.hasUpdate()) {
      const update = partition.takeUpdate(instant(1000));
      const sync = {
        termNumber: 2,
        member: "a",
        incarnation: 1,
        leaderClockMark: -1,
        progressVersion: -1,
        reachesStateService: true,
        ...update,
      };
      largest = Math.max(largest, syncRequestCodec.encode(sync).length);
      for (const { heartbeat } of update.heartbeats) reportedMachines.add(heartbeat.machine);
      assert.ok(++messages <= machines / 100, `${messages} messages`);
    }
    assert.equal(reportedMachines.size, machines);
    assert.ok(largest < MAX_MESSAGE_BYTES / 4, `${largest} bytes`);
  });

  test(`a new leader of ${machines} machines rents, releases and starts nothing before they had time to report`, () => {
    const scheduler = newLeader(machines);
    scheduler.jobReleased(largeFleetJob(1, { tasks: 25_000, cpus: 0.25, memoryGb: 0.5 }), 400, instant(0));
    for (let now = 250; now <= 6000; now += 250) {
      const decisions = [...scheduler.step(instant(now)), ...scheduler.stepAutoscaler(instant(now))];
      assert.equal(decisionsOfKind(decisions, "rent").length, 0);
      assert.equal(decisionsOfKind(decisions, "release").length, 0);
      const sentCommands = decisionsOfKind(decisions, "commands").flatMap(({ commands }) => commands);
      assert.equal(sentCommands.length, 0, "an earlier leader may have started the tasks already");
    }
  });

  test(`an array of 25,000 tasks starts on ${machines} machines, and a step then doesn't visit all machines`, () => {
    const scheduler = newLeader(machines);
    sendAllHeartbeats(scheduler, machines, 1, instant(1000));
    assert.equal(scheduler.cluster.unconfirmed.size, 0);
    scheduler.jobReleased(largeFleetJob(1, { tasks: 25_000, cpus: 1, memoryGb: 1 }), 600, instant(1000));
    const started = new Set<number>();
    for (let now = 1000; now < 1000 + 50 * 80 && started.size < 25_000; now += 50) {
      for (const { machine, commands, fencingToken } of decisionsOfKind(
        scheduler.step(instant(now)),
        "commands",
      )) {
        for (const command of commands) if (command.op === "start") started.add(command.index);
        scheduler.commandsAnswered(machine, commands, fencingToken, "done", instant(now), {
          workerEpoch: 1,
          sequence: 2,
        });
      }
    }
    assert.equal(started.size, 25_000);
    const counter = countVisits(scheduler.cluster);
    scheduler.step(instant(5000));
    assert.ok(counter.visits < machines, `${counter.visits} visits`);
  });

  test(`${machines} idle machines are released in requests of at most 100, which are not repeated while queued`, () => {
    const scheduler = newLeader(machines);
    sendAllHeartbeats(scheduler, machines, 1, instant(1000));
    scheduler.step(instant(1000));
    const later = instant(60_000);
    sendAllHeartbeats(scheduler, machines, 2, later);
    scheduler.step(later);
    const released = decisionsOfKind(scheduler.stepAutoscaler(later), "release");
    assert.ok(released.every(({ machines: ids }) => ids.length <= 100));
    assert.equal(released.flatMap(({ machines: ids }) => ids).length, machines);
    // the cloud accepts three requests a second: repeating them earlier would only lengthen the queue
    const seconds = machines / 100 / 3;
    for (let second = 6; second <= seconds; second++) {
      const repeated = decisionsOfKind(scheduler.stepAutoscaler(instant(60_000 + second * 1000)), "release");
      assert.equal(repeated.length, 0, `after ${second} s`);
    }
  });

  test(`the records of ${machines} machines fit the smallest value limit, and are deleted with their machines`, () => {
    const entries = Array.from({ length: machines }, (_, n) => [machineName(n), machineRecord(n)] as const);
    const blocks = splitRecord(entries, maxValueBytes(MIN_VALUE_LIMIT_KB), 40);
    const largest = Math.max(...blocks.map((block) => JSON.stringify({ machines: block }).length));
    assert.ok(largest <= MIN_VALUE_LIMIT_KB * 1024, `${largest} bytes`);
    assert.equal(blocks.flatMap((block) => Object.keys(block)).length, machines);
    const store = new MachineRecordStore();
    blocks.forEach((block, i) => store.add(`machines/2-${i}`, block));
    for (const [name] of entries) store.remove(name);
    let sweeps = 0;
    for (
      let rewrites = store.pendingRewrites(16);
      rewrites.length > 0;
      rewrites = store.pendingRewrites(16)
    ) {
      assert.ok(rewrites.every(({ machines: rest }) => rest === null));
      store.markWritten(rewrites);
      sweeps++;
    }
    assert.ok(sweeps <= Math.ceil(blocks.length / 16), `${sweeps} sweeps`);
  });

  test(`when a zone with half of ${machines} machines is silent, each is probed and none is released at once`, () => {
    const scheduler = newLeader(machines, 100);
    sendAllHeartbeats(scheduler, machines, 1, instant(1000));
    const asked = new Set<string>();
    let released = 0;
    for (let now = 1250; now <= 25_000; now += 250) {
      if (now % 5000 === 0)
        for (let n = 0; n < machines; n += 2)
          scheduler.heartbeatReceived(
            heartbeatOf(n, 1 + now, fencingTokenOf(TERM.number), []),
            "a",
            instant(now),
          );
      for (const { machine, commands, fencingToken } of decisionsOfKind(
        scheduler.step(instant(now)),
        "commands",
      )) {
        asked.add(machine);
        const isSilent = machineRecord(Number(machine.slice(2))).zone === "west";
        const heartbeatId = { workerEpoch: 1, sequence: 1 + now };
        scheduler.commandsAnswered(
          machine,
          commands,
          fencingToken,
          isSilent ? "unknown" : "done",
          instant(now),
          heartbeatId,
        );
      }
      const fleet = scheduler.stepAutoscaler(instant(now));
      for (const { machines: ids, reason } of decisionsOfKind(fleet, "release"))
        if (reason === "silent") released += ids.length;
    }
    const silent = [...asked].filter((id) => machineRecord(Number(id.slice(2))).zone === "west");
    assert.equal(silent.length, machines / 2);
    assert.equal(released, 0);
  });
}

test("commands for many machines are sent in messages of bounded size", () => {
  const items = Array.from({ length: 6000 }, (_, n) => ({ n, commandCount: TASKS_PER_MACHINE }));
  const parts = groupByWeight(items, ({ commandCount }) => 2 + commandCount, 10_000);
  assert.deepEqual(parts.flat(), items);
  assert.ok(
    parts.every((part) => part.reduce((sum, { commandCount }) => sum + 2 + commandCount, 0) <= 10_000),
  );
  assert.deepEqual(
    groupByWeight([{ n: 0, commandCount: 20_000 }], ({ commandCount }) => commandCount, 10_000).length,
    1,
  );
});
