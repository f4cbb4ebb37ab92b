/**
 * Takes in workers' reports: a report that is newer than the last one tells everything that is on the machine (S2), so it
 * adds, changes and removes the machine's holds (S4).
 */
import * as Duration from "effect/Duration";
import { noteImage, noteResult } from "./attempt-results.js";
import {
  addHold,
  changeHold,
  heardOf,
  holdKey,
  notOlder,
  removeHold,
  setMachine,
  tidyTask,
} from "./cluster.js";
import type { Hold, Machine } from "./cluster.js";
import { finishTask } from "./job-intake.js";
import type { MachineIntake } from "./machine-intake.js";
import type { SlowMachineDetector } from "./slow-machine-detector.js";
import type { TaskReport, WorkerReport } from "./records.js";
import type { SchedulerContext } from "./scheduler-context.js";
import { termNumberOf } from "./term.js";
import { type Instant, hasElapsed, plus } from "./time.js";

/** Reports that come later than so many intervals after the last one say nothing about when tasks began and ended. */
const IN_TIME = 1.5;

/** Applies each newer report to the cluster; older ones and late copies change nothing. */
export class ReportIntake {
  constructor(
    private readonly scope: SchedulerContext,
    private readonly machines: MachineIntake,
    private readonly pace: SlowMachineDetector,
  ) {}

  /** `at`: when a member took the report; `via`: which one. */
  take(report: WorkerReport, via: string, now: Instant, at: Instant): void {
    const current = termNumberOf(report.token) >= this.scope.term.token;
    const machine = this.machineOf(report, current, now);
    if (machine === null || notOlder(machine, report)) return;
    const newSession = report.session > machine.session && machine.session > 0;
    const inTime = this.isInTime(machine, at);
    this.update(machine, report, via, at);
    this.updateNotice(machine, report.noticeS, now);
    const present = new Set<string>();
    for (const task of report.tasks) {
      const key = holdKey(task.job, task.index, task.attempt);
      present.add(key);
      this.takeTask(machine, task, machine.holds.get(key), report.token, inTime, now);
    }
    this.removeMissing(machine, present, report, newSession);
    if (current && !machine.confirmed) this.confirm(machine);
  }

  /** A late copy may speak of a machine long gone: an unknown one is believed once it knows the present token (S5). */
  private machineOf(report: WorkerReport, current: boolean, now: Instant): Machine | null {
    const known = this.scope.cluster.machines.get(report.machine);
    if (known !== undefined) return known;
    if (!current) return null;
    const { type, zone, spot, addr } = report;
    return this.machines.discovered(report.machine, { type, zone, spot, addr }, now);
  }

  /** After a gap (an outage, a take-over) it isn't known when its tasks began and ended. */
  private isInTime(machine: Machine, at: Instant): boolean {
    const { heartbeatInterval } = this.scope.options.timings;
    return (
      machine.heard !== null && !hasElapsed(at, machine.heard, Duration.times(heartbeatInterval, IN_TIME))
    );
  }

  private update(machine: Machine, report: WorkerReport, via: string, at: Instant): void {
    machine.session = report.session;
    machine.seq = report.seq;
    machine.token = Math.max(machine.token, report.token);
    machine.addr = report.addr;
    machine.via = via;
    heardOf(this.scope.cluster, machine, at);
  }

  private updateNotice(machine: Machine, noticeS: number | null, now: Instant): void {
    const { cluster } = this.scope;
    if (noticeS === null) {
      if (machine.noticeUntil !== null) cluster.chances++;
      machine.noticeUntil = null;
    } else if (machine.noticeUntil === null) {
      machine.noticeUntil = plus(now, Duration.seconds(noticeS));
      cluster.attention.add(machine);
    }
  }

  private takeTask(
    machine: Machine,
    task: TaskReport,
    hold: Hold | undefined,
    token: number,
    inTime: boolean,
    now: Instant,
  ): void {
    const { cluster } = this.scope;
    const job = cluster.jobs.get(task.job);
    if (task.state === "exited" && task.why === "done" && job !== undefined)
      finishTask(cluster, job, task.index);
    if (hold === undefined) this.addReported(machine, task, now);
    else this.changeReported(machine, task, hold, token, inTime, now);
  }

  /** An attempt that this leader didn't start, or whose hold it gave up. */
  private addReported(machine: Machine, task: TaskReport, now: Instant): void {
    const { cluster } = this.scope;
    const job = cluster.jobs.get(task.job);
    addHold(cluster, {
      job: task.job,
      index: task.index,
      attempt: task.attempt,
      machine: machine.id,
      spec: job?.spec ?? null,
      state: task.state,
      why: task.why,
      since: now,
      began: null,
      doubt: null,
      answered: null,
      stopping: task.state === "saving",
      stored: job?.stored.has(task.index) ?? false,
    });
    if (task.state === "running") noteImage(machine, job?.spec ?? null);
  }

  private changeReported(
    machine: Machine,
    task: TaskReport,
    hold: Hold,
    token: number,
    inTime: boolean,
    now: Instant,
  ): void {
    const { cluster } = this.scope;
    const { state, why } = task;
    const before = hold.state;
    const isSettled = hold.doubt !== null && token > hold.doubt;
    if (before === state && !isSettled) return;
    if (before === "running" && why === "done" && inTime) this.pace.done(machine, hold, now);
    const doubt = isSettled ? null : hold.doubt;
    if (before === state) {
      changeHold(cluster, hold, { why, doubt });
    } else {
      const began = state === "running" && inTime ? now : null;
      changeHold(cluster, hold, { state, why, since: now, began, doubt });
    }
    const hasExited = state === "exited" && before !== "exited";
    if (state === "running" || hasExited) noteResult(cluster, machine, hold, now);
  }

  private removeMissing(
    machine: Machine,
    present: ReadonlySet<string>,
    report: WorkerReport,
    newSession: boolean,
  ): void {
    for (const [key, hold] of machine.holds) {
      if (present.has(key)) continue;
      if (newSession || !mayStillStart(hold, report)) removeHold(this.scope.cluster, hold);
    }
  }

  /** A report under this term's token: the machine's holds are complete from now on (S2). */
  private confirm(machine: Machine): void {
    const { cluster } = this.scope;
    setMachine(cluster, machine, { confirmed: true });
    for (const hold of machine.holds.values()) {
      const job = cluster.jobs.get(hold.job);
      if (job !== undefined) tidyTask(cluster, job, hold.index);
    }
  }
}

/**
 * Whether a start that the report doesn't show may still be executed (S4): it is on its way, or it got no answer and the
 * worker has not seen a higher token. In a new session late commands are refused, whatever they are.
 */
const mayStillStart = (hold: Hold, report: WorkerReport): boolean => {
  if (hold.doubt !== null) return !(report.token > hold.doubt);
  const isAnswered = hold.answered !== null && notOlder(report, hold.answered);
  return hold.state === "ordered" && !isAnswered;
};
