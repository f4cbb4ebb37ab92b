/**
 * Measures what it costs to have workers forget attempts under a raised token: one-task jobs arrive four times a second at a
 * fleet, with the real scheduler and one member's partition, and workers that report as the protocol says. Prints requests,
 * commands, heartbeats, answers that workers drop for a lower token, raises, processor time and heap; run on two trees, it compares
 * them. Not a test, and not run by CI.
 */
import * as Duration from "effect/Duration";
import { WorkerPartition } from "../../src/core/members/worker-partition.js";
import type { Heartbeat, TaskStatus } from "../../src/core/records.js";
import { type Decision, Scheduler } from "../../src/core/scheduler/scheduler.js";
import { leaseTimingsOf } from "../../src/core/leases/term.js";
import { instant } from "../../src/core/time.js";
import { jobSpec } from "../specs.js";
import { TYPES } from "../model.js";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";

const MACHINE_COUNTS = [1500, 4000];
const ROUND_TRIPS_MS = [10, 600];
const MEASURED_MS = 600_000;
const JOB_INTERVAL_MS = 250;
const TASK_MS = 35_000;
const REPORT_MS = 6000;
const LEASE_MS = 34_000;
const MIN_REPORT_INTERVAL_MS = 500;
const STEP_MS = 100;
const LEADER = "a";
const TERM = {
  ...{ number: 1, leader: LEADER, leaderRevision: 5 },
  members: [{ name: LEADER, incarnation: 1, zone: "east" }],
};

class MeasuredWorker {
  readonly tasks = new Map<string, TaskStatus>();
  fencingToken = 0;
  sequence = 0;
  reportAt = 0;
  lastReportAt = -Infinity;
  lastTokenChangeAt = -Infinity;
  awaitsAnswer = false;
  leaseRenewedAt = 0;

  constructor(readonly id: string) {}

  heartbeat(): Heartbeat {
    return {
      ...{ machine: this.id, addr: this.id, type: "small", zone: "east", spot: false, workerEpoch: 1 },
      ...{ sequence: ++this.sequence, fencingToken: this.fencingToken, reclaimNoticeSeconds: null },
      tasks: [...this.tasks.values()],
    };
  }

  changed(now: number): void {
    this.reportAt = Math.min(this.reportAt, Math.max(now, this.lastReportAt + MIN_REPORT_INTERVAL_MS));
  }
}

/** One run of a fleet in virtual time. */
class Measurement {
  private now = 1000;
  private readonly events = new Map<number, (() => void)[]>();
  private readonly workers: MeasuredWorker[];
  private readonly byId = new Map<string, MeasuredWorker>();
  private readonly scheduler: Scheduler;
  private readonly partition = new WorkerPartition(LEADER, 16_000, Duration.seconds(4));
  private readonly random: () => number;
  private readonly counts = new Map<string, number>();
  private longestLeaseAge = 0;
  private cpuMs = 0;

  constructor(
    machines: number,
    private readonly roundTripMs: number,
  ) {
    const generator = xoroshiro128plus(49);
    this.random = () => uniformFloat64(generator);
    this.partition.setTerm(TERM);
    const team = { name: "red", guaranteedCpus: 1e6, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 };
    this.scheduler = new Scheduler(
      {
        timings: leaseTimingsOf({ leaseS: 34, reportS: 6, cancelS: 59 }, Duration.seconds(3)),
        ...{ teams: new Map([["red", team]]), startLatencyObjectives: new Map() },
        fleet: { reuse: 0.5, idleBoots: 0.6, warmFor: Duration.seconds(10) },
      },
      TERM,
      10,
      instant(0),
    );
    this.scheduler.setMachineTypes(TYPES);
    this.workers = Array.from(
      { length: machines },
      (_, i) => new MeasuredWorker(`n-${String(i).padStart(6, "0")}`),
    );
    for (const worker of this.workers) {
      this.byId.set(worker.id, worker);
      worker.reportAt = this.now + this.random() * REPORT_MS;
      const record = { type: "small", zone: "east", spot: false, addr: worker.id };
      this.scheduler.machineRecorded(worker.id, record, instant(0));
    }
  }

  private count(what: string, n = 1): void {
    this.counts.set(what, (this.counts.get(what) ?? 0) + n);
  }

  private after(ms: number, run: () => void): void {
    const at = this.now + Math.max(1, Math.round(ms));
    const events = this.events.get(at);
    if (events === undefined) this.events.set(at, [run]);
    else events.push(run);
  }

  /** Runs the code under measurement and adds its processor time. */
  private timed<T>(run: () => T): T {
    const before = performance.now();
    const result = run();
    this.cpuMs += performance.now() - before;
    return result;
  }

  private report(worker: MeasuredWorker): void {
    worker.lastReportAt = this.now;
    worker.reportAt = this.now + REPORT_MS * (0.75 + this.random() * 0.5);
    worker.awaitsAnswer = true;
    this.count("heartbeats");
    const sentAt = this.now;
    const heartbeat = worker.heartbeat();
    this.after(this.roundTripMs / 2, () => {
      const answer = this.timed(() => this.partition.handleHeartbeat(heartbeat, true, 1, instant(this.now)));
      this.after(this.roundTripMs / 2, () => {
        worker.awaitsAnswer = false;
        if (answer.kind !== "taken" || answer.fencingToken < worker.fencingToken)
          return this.count("answers dropped for a lower token");
        this.longestLeaseAge = Math.max(this.longestLeaseAge, this.now - worker.leaseRenewedAt);
        worker.leaseRenewedAt = sentAt;
        this.seeToken(worker, answer.fencingToken);
      });
    });
  }

  private seeToken(worker: MeasuredWorker, token: number): void {
    if (token <= worker.fencingToken) return;
    worker.fencingToken = token;
    if (this.now - worker.lastTokenChangeAt < LEASE_MS / 2) return;
    worker.lastTokenChangeAt = this.now;
    worker.changed(this.now);
  }

  private execute(worker: MeasuredWorker, decision: Extract<Decision, { kind: "commands" }>): boolean {
    if (decision.fencingToken < worker.fencingToken) return false;
    this.seeToken(worker, decision.fencingToken);
    for (const { op, job, index, attempt } of decision.commands) {
      const key = `${job}/${index}#${attempt}`;
      if (op === "start") {
        worker.tasks.set(key, { job, index, attempt, state: "running", exitReason: null });
        this.after(TASK_MS * (0.8 + this.random() * 0.4), () => {
          worker.tasks.set(key, { job, index, attempt, state: "exited", exitReason: "done" });
          worker.changed(this.now);
        });
      } else if (op === "forget") worker.tasks.delete(key);
      worker.changed(this.now);
    }
    return true;
  }

  private send(decision: Extract<Decision, { kind: "commands" }>): void {
    const { commands, fencingToken, machine } = decision;
    this.count(commands.length > 0 ? "requests with commands" : "probes");
    for (const { op } of commands) this.count(`${op} commands`);
    const worker = this.byId.get(machine);
    if (worker === undefined) return;
    this.after(this.roundTripMs / 2, () => {
      const isExecuted = this.execute(worker, decision);
      if (!isExecuted) this.count("requests refused for a lower token");
      const heartbeat = worker.heartbeat();
      this.after(this.roundTripMs / 2, () => {
        this.timed(() => {
          this.partition.recordHeartbeat(heartbeat, instant(this.now));
          this.passUpdate();
          const answeredBy = { workerEpoch: 1, sequence: heartbeat.sequence };
          const outcome = isExecuted ? "done" : "rejected";
          this.scheduler.commandsAnswered(
            machine,
            commands,
            fencingToken,
            outcome,
            instant(this.now),
            answeredBy,
          );
        });
      });
    });
  }

  private passUpdate(): void {
    const update = this.partition.takeUpdate(instant(this.now));
    for (const { heartbeat } of update.heartbeats)
      this.scheduler.heartbeatReceived(heartbeat, LEADER, instant(this.now));
    for (const { machine } of update.contacts) this.scheduler.contactReported(machine, instant(this.now));
    const renewals = update.contacts.map(({ machine }) => ({ machine, at: instant(this.now) }));
    this.scheduler.leaseRenewalsReported(
      { member: LEADER, incarnation: 1, termNumber: 1, completeUpTo: instant(this.now), renewals },
      instant(this.now),
    );
    this.count("heartbeats passed to the scheduler", update.heartbeats.length);
  }

  private stepScheduler(): void {
    const decisions = this.timed(() => {
      this.passUpdate();
      return this.scheduler.step(instant(this.now));
    });
    for (const decision of decisions)
      if (decision.kind === "commands") this.send(decision);
      else if (decision.kind === "commit") {
        this.count("writes to the state service");
        this.after(10, () => {
          this.count("jobs done");
          this.scheduler.jobEnded(decision.job);
        });
      }
  }

  run(): void {
    let jobs = 0;
    const end = this.now + MEASURED_MS;
    while (this.now < end) {
      this.now++;
      const events = this.events.get(this.now) ?? [];
      this.events.delete(this.now);
      for (const run of events) run();
      for (const worker of this.workers)
        if (this.now >= worker.reportAt && !worker.awaitsAnswer) this.report(worker);
      if (this.now % JOB_INTERVAL_MS === 0) {
        const spec = jobSpec({
          id: `req-${++jobs}`,
          team: "red",
          tasks: 1,
          cpus: 2,
          image: `img-${jobs % 10}`,
        });
        this.scheduler.jobReleased(spec, 20 + jobs, instant(this.now));
      }
      if (this.now % STEP_MS === 0) this.stepScheduler();
    }
  }

  print(): void {
    const steps = [...this.scheduler.cluster.machines.values()].map((machine) => machine.fencingTokenStep);
    globalThis.gc?.();
    console.log(
      `${this.workers.length} machines, round trip ${this.roundTripMs} ms, ${MEASURED_MS / 1000} s:`,
      JSON.stringify({
        ...Object.fromEntries([...this.counts].sort()),
        "raises of tokens": steps.reduce((sum, step) => sum + step, 0),
        "raises of the machine with most": Math.max(...steps),
        "longest time between renewals ms": this.longestLeaseAge,
        "processor ms of scheduler and partition": Math.round(this.cpuMs),
        "heap KiB": Math.round(process.memoryUsage().heapUsed / 1024),
      }),
    );
  }
}

for (const machines of MACHINE_COUNTS)
  for (const roundTripMs of ROUND_TRIPS_MS) {
    const measurement = new Measurement(machines, roundTripMs);
    measurement.run();
    measurement.print();
  }
