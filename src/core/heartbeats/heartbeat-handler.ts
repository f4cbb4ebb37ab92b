/**
 * Takes in workers' heartbeats: one that is newer than the last tells everything that is on the machine (S2), so it adds,
 * changes and removes the machine's attempts (S4).
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
const TIMELY_INTERVALS = 1.5;

/** A heartbeat that is being taken in. */
interface Intake {
  readonly machine: Machine;
  readonly heartbeat: Heartbeat;
  /** Whether it tells when tasks began and ended. */
  readonly isTimely: boolean;
  readonly now: Instant;
}

/** Applies each newer heartbeat to the cluster; older ones and late copies change nothing. */
export class HeartbeatHandler {
  /** `machines` takes in unknown machines; `slowMachines` hears of the tasks that finish. */
  constructor(
    private readonly context: SchedulerContext,
    private readonly machines: MachineIntake,
    private readonly slowMachines: SlowMachineDetector,
  ) {}

  /** `at`: when a member took the heartbeat; `via`: which one. */
  apply(heartbeat: Heartbeat, via: string, now: Instant, at: Instant): void {
    const isCurrent = termNumberOf(heartbeat.fencingToken) >= this.context.term.number;
    const machine = this.machineOf(heartbeat, isCurrent, now);
    if (machine === null || isSameOrNewer(machine, heartbeat)) return;
    const isNewEpoch = heartbeat.workerEpoch > machine.workerEpoch && machine.workerEpoch > 0;
    const intake: Intake = { machine, heartbeat, isTimely: this.isTimely(machine, at), now };
    this.update(machine, heartbeat, via, at);
    this.updateNotice(machine, heartbeat.reclaimNoticeSeconds, now);
    const present = new Set<string>();
    for (const task of heartbeat.tasks) {
      const key = attemptKey(task.job, task.index, task.attempt);
      present.add(key);
      this.applyTask(intake, task, machine.attempts.get(key));
    }
    this.removeMissing(machine, present, heartbeat, isNewEpoch);
    if (isCurrent && !machine.confirmed) this.confirm(machine);
  }

  /** A late copy may speak of a machine long gone: an unknown one is believed once it knows the present token (S5). */
  private machineOf(heartbeat: Heartbeat, isCurrent: boolean, now: Instant): Machine | null {
    const known = this.context.cluster.machines.get(heartbeat.machine);
    if (known !== undefined) return known;
    if (!isCurrent) return null;
    const { type, zone, spot, addr } = heartbeat;
    return this.machines.discovered(heartbeat.machine, { type, zone, spot, addr }, now);
  }

  /** After a gap (an outage, a take-over) it isn't known when its tasks began and ended. */
  private isTimely(machine: Machine, at: Instant): boolean {
    const { heartbeatInterval } = this.context.options.timings;
    return (
      machine.lastHeartbeatAt !== null &&
      !hasElapsed(at, machine.lastHeartbeatAt, Duration.times(heartbeatInterval, TIMELY_INTERVALS))
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

  private applyTask(intake: Intake, task: TaskStatus, attempt: TaskAttempt | undefined): void {
    const { cluster } = this.context;
    const job = cluster.jobs.get(task.job);
    if (task.state === "exited" && task.exitReason === "done" && job !== undefined)
      finishTask(cluster, job, task.index);
    if (attempt === undefined) this.addReported(intake, task);
    else this.updateReported(intake, task, attempt);
  }

  /** An attempt that this leader didn't start, or that it removed. */
  private addReported({ machine, now }: Intake, task: TaskStatus): void {
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

  /** What the heartbeat says of an attempt that is known: its state, and whether its start is settled (S2). */
  private updateReported(intake: Intake, task: TaskStatus, attempt: TaskAttempt): void {
    const { machine, heartbeat, isTimely, now } = intake;
    const { cluster } = this.context;
    const { state, exitReason } = task;
    const before = attempt.state;
    const isSettled =
      attempt.unacknowledgedToken !== null && heartbeat.fencingToken > attempt.unacknowledgedToken;
    if (before === state && !isSettled) return;
    if (before === "running" && exitReason === "done" && isTimely)
      this.slowMachines.taskDone(machine, attempt, now);
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

  /** Attempts that the heartbeat doesn't show are gone, unless their start may still be executed (S4). */
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

  /** A heartbeat under this term's token: the machine's attempts are complete from now on (S2). */
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
 * Whether a start that the heartbeat doesn't show may still be executed (S4): it is being sent, or it got no answer and the
 * worker has not seen a higher token. In a new epoch late commands are refused, whatever they are.
 */
const mayStillStart = (attempt: TaskAttempt, heartbeat: Heartbeat): boolean => {
  if (attempt.unacknowledgedToken !== null) return !(heartbeat.fencingToken > attempt.unacknowledgedToken);
  const isAnswered = attempt.acknowledgedBy !== null && isSameOrNewer(heartbeat, attempt.acknowledgedBy);
  return attempt.state === "dispatched" && !isAnswered;
};
