/**
 * Takes in workers' heartbeats: a heartbeat that is newer than the last one tells everything that is on the machine (S2), so it
 * adds, changes and removes the machine's attempts (S4).
 */
import * as Duration from "effect/Duration";
import { noteImage, noteResult } from "./attempt-results.js";
import {
  addAttempt,
  updateAttempt,
  recordHeartbeat,
  attemptKey,
  isSameOrNewer,
  removeAttempt,
  setMachine,
  scheduleReconciliation,
} from "../cluster/cluster.js";
import type { TaskAttempt, Machine } from "../cluster/cluster.js";
import { finishTask } from "../jobs/job-intake.js";
import type { MachineIntake } from "../autoscaling/machine-intake.js";
import type { SlowMachineDetector } from "./slow-machine-detector.js";
import type { TaskStatus, Heartbeat } from "../records.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { termNumberOf } from "../leases/term.js";
import { type Instant, hasElapsed, plus } from "../time.js";

/** Heartbeats that come later than so many intervals after the last one say nothing about when tasks began and ended. */
const IN_TIME = 1.5;

/** Applies each newer heartbeat to the cluster; older ones and late copies change nothing. */
export class HeartbeatHandler {
  constructor(
    private readonly context: SchedulerContext,
    private readonly machines: MachineIntake,
    private readonly slowMachines: SlowMachineDetector,
  ) {}

  /** `at`: when a member took the heartbeat; `via`: which one. */
  apply(heartbeat: Heartbeat, via: string, now: Instant, at: Instant): void {
    const current = termNumberOf(heartbeat.fencingToken) >= this.context.term.number;
    const machine = this.machineOf(heartbeat, current, now);
    if (machine === null || isSameOrNewer(machine, heartbeat)) return;
    const isNewEpoch = heartbeat.workerEpoch > machine.workerEpoch && machine.workerEpoch > 0;
    const isTimely = this.isInTime(machine, at);
    this.update(machine, heartbeat, via, at);
    this.updateNotice(machine, heartbeat.reclaimNoticeSeconds, now);
    const present = new Set<string>();
    for (const task of heartbeat.tasks) {
      const key = attemptKey(task.job, task.index, task.attempt);
      present.add(key);
      this.takeTask(machine, task, machine.attempts.get(key), heartbeat.fencingToken, isTimely, now);
    }
    this.removeMissing(machine, present, heartbeat, isNewEpoch);
    if (current && !machine.confirmed) this.confirm(machine);
  }

  /** A late copy may speak of a machine long gone: an unknown one is believed once it knows the present token (S5). */
  private machineOf(heartbeat: Heartbeat, current: boolean, now: Instant): Machine | null {
    const known = this.context.cluster.machines.get(heartbeat.machine);
    if (known !== undefined) return known;
    if (!current) return null;
    const { type, zone, spot, addr } = heartbeat;
    return this.machines.discovered(heartbeat.machine, { type, zone, spot, addr }, now);
  }

  /** After a gap (an outage, a take-over) it isn't known when its tasks began and ended. */
  private isInTime(machine: Machine, at: Instant): boolean {
    const { heartbeatInterval } = this.context.options.timings;
    return (
      machine.lastHeartbeatAt !== null &&
      !hasElapsed(at, machine.lastHeartbeatAt, Duration.times(heartbeatInterval, IN_TIME))
    );
  }

  private update(machine: Machine, heartbeat: Heartbeat, via: string, at: Instant): void {
    machine.workerEpoch = heartbeat.workerEpoch;
    machine.sequence = heartbeat.sequence;
    machine.fencingToken = Math.max(machine.fencingToken, heartbeat.fencingToken);
    machine.addr = heartbeat.addr;
    machine.relayedBy = via;
    recordHeartbeat(this.context.cluster, machine, at);
  }

  private updateNotice(machine: Machine, reclaimNoticeSeconds: number | null, now: Instant): void {
    const { cluster } = this.context;
    if (reclaimNoticeSeconds === null) {
      if (machine.reclaimAt !== null) cluster.capacityVersion++;
      machine.reclaimAt = null;
    } else if (machine.reclaimAt === null) {
      machine.reclaimAt = plus(now, Duration.seconds(reclaimNoticeSeconds));
      cluster.reconcileQueue.add(machine);
    }
  }

  private takeTask(
    machine: Machine,
    task: TaskStatus,
    attempt: TaskAttempt | undefined,
    token: number,
    isTimely: boolean,
    now: Instant,
  ): void {
    const { cluster } = this.context;
    const job = cluster.jobs.get(task.job);
    if (task.state === "exited" && task.exitReason === "done" && job !== undefined)
      finishTask(cluster, job, task.index);
    if (attempt === undefined) this.addReported(machine, task, now);
    else this.changeReported(machine, task, attempt, token, isTimely, now);
  }

  /** An attempt that this leader didn't start, or whose hold it gave up. */
  private addReported(machine: Machine, task: TaskStatus, now: Instant): void {
    const { cluster } = this.context;
    const job = cluster.jobs.get(task.job);
    addAttempt(cluster, {
      job: task.job,
      index: task.index,
      attempt: task.attempt,
      machine: machine.id,
      spec: job?.spec ?? null,
      state: task.state,
      exitReason: task.exitReason,
      stateSince: now,
      runningSince: null,
      unacknowledgedToken: null,
      acknowledgedBy: null,
      stopping: task.state === "saving",
      stored: job?.stored.has(task.index) ?? false,
    });
    if (task.state === "running") noteImage(machine, job?.spec ?? null);
  }

  private changeReported(
    machine: Machine,
    task: TaskStatus,
    attempt: TaskAttempt,
    token: number,
    isTimely: boolean,
    now: Instant,
  ): void {
    const { cluster } = this.context;
    const { state, exitReason } = task;
    const before = attempt.state;
    const isSettled = attempt.unacknowledgedToken !== null && token > attempt.unacknowledgedToken;
    if (before === state && !isSettled) return;
    if (before === "running" && exitReason === "done" && isTimely)
      this.slowMachines.done(machine, attempt, now);
    const unacknowledgedToken = isSettled ? null : attempt.unacknowledgedToken;
    if (before === state) {
      updateAttempt(cluster, attempt, { exitReason, unacknowledgedToken });
    } else {
      const runningSince = state === "running" && isTimely ? now : null;
      updateAttempt(cluster, attempt, {
        state,
        exitReason,
        stateSince: now,
        runningSince,
        unacknowledgedToken,
      });
    }
    const hasExited = state === "exited" && before !== "exited";
    if (state === "running" || hasExited) noteResult(cluster, machine, attempt, now);
  }

  private removeMissing(
    machine: Machine,
    present: ReadonlySet<string>,
    heartbeat: Heartbeat,
    isNewEpoch: boolean,
  ): void {
    for (const [key, attempt] of machine.attempts) {
      if (present.has(key)) continue;
      if (isNewEpoch || !mayStillStart(attempt, heartbeat)) removeAttempt(this.context.cluster, attempt);
    }
  }

  /** A heartbeat under this term's token: the machine's holds are complete from now on (S2). */
  private confirm(machine: Machine): void {
    const { cluster } = this.context;
    setMachine(cluster, machine, { confirmed: true });
    for (const attempt of machine.attempts.values()) {
      const job = cluster.jobs.get(attempt.job);
      if (job !== undefined) scheduleReconciliation(cluster, job, attempt.index);
    }
  }
}

/**
 * Whether a start that the heartbeat doesn't show may still be executed (S4): it is on its way, or it got no answer and the
 * worker has not seen a higher token. In a new epoch late commands are refused, whatever they are.
 */
const mayStillStart = (attempt: TaskAttempt, heartbeat: Heartbeat): boolean => {
  if (attempt.unacknowledgedToken !== null) return !(heartbeat.fencingToken > attempt.unacknowledgedToken);
  const isAnswered = attempt.acknowledgedBy !== null && isSameOrNewer(heartbeat, attempt.acknowledgedBy);
  return attempt.state === "dispatched" && !isAnswered;
};
