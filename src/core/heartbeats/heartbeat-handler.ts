/**
 * Applies workers' heartbeats to the cluster. A heartbeat lists everything that is on its machine (S2), so one that
 * is newer than the last adds, changes and removes attempts accordingly (S4).
 */
import * as Duration from "effect/Duration";
import { recordCachedImage, recordAttemptResult } from "./attempt-results.js";
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

/** A heartbeat this many intervals after the previous one doesn't show when tasks began and ended. */
const MAX_TIMELY_INTERVALS = 1.5;

/** A heartbeat that is being applied. */
interface ReceivedHeartbeat {
  readonly machine: Machine;
  readonly heartbeat: Heartbeat;
  /** Whether it shows when tasks began and ended. */
  readonly isTimely: boolean;
  readonly now: Instant;
}

/** Applies each newer heartbeat to the cluster; older ones and delayed duplicates change nothing. */
export class HeartbeatHandler {
  constructor(
    private readonly context: SchedulerContext,
    private readonly machineIntake: MachineIntake,
    private readonly slowMachineDetector: SlowMachineDetector,
  ) {}

  /** `relayedBy`: the member that received the heartbeat from the worker; `heardAt`: when it did so. */
  apply(heartbeat: Heartbeat, relayedBy: string, now: Instant, heardAt: Instant): void {
    const isCurrent = termNumberOf(heartbeat.fencingToken) >= this.context.term.number;
    const machine = this.findOrAddMachine(heartbeat, isCurrent, now);
    if (machine === null || isSameOrNewer(machine, heartbeat)) return;
    const isNewEpoch = heartbeat.workerEpoch > machine.workerEpoch && machine.workerEpoch > 0;
    const received: ReceivedHeartbeat = {
      machine,
      heartbeat,
      isTimely: this.isTimely(machine, heardAt),
      now,
    };
    this.updateMachine(machine, heartbeat, relayedBy, heardAt);
    this.updateReclaimNotice(machine, heartbeat.reclaimNoticeSeconds, now);
    const reportedKeys = new Set<string>();
    for (const task of heartbeat.tasks) {
      const key = attemptKey(task.job, task.index, task.attempt);
      reportedKeys.add(key);
      this.applyTask(received, task, machine.attempts.get(key));
    }
    this.removeMissingAttempts(machine, reportedKeys, heartbeat, isNewEpoch);
    if (isCurrent && !machine.confirmed) this.confirm(machine);
  }

  /**
   * An unknown machine is added only if its worker has the current term's token: a delayed duplicate may be from a
   * machine that no longer exists (S5).
   */
  private findOrAddMachine(heartbeat: Heartbeat, isCurrent: boolean, now: Instant): Machine | null {
    const known = this.context.cluster.machines.get(heartbeat.machine);
    if (known !== undefined) return known;
    if (!isCurrent) return null;
    const { type, zone, spot, addr } = heartbeat;
    return this.machineIntake.addDiscovered(heartbeat.machine, { type, zone, spot, addr }, now);
  }

  /** After a gap (an outage or a failover) it isn't known when the machine's tasks began and ended. */
  private isTimely(machine: Machine, heardAt: Instant): boolean {
    const { heartbeatInterval } = this.context.options.timings;
    return (
      machine.lastHeartbeatAt !== null &&
      !hasElapsed(heardAt, machine.lastHeartbeatAt, Duration.times(heartbeatInterval, MAX_TIMELY_INTERVALS))
    );
  }

  private updateMachine(machine: Machine, heartbeat: Heartbeat, relayedBy: string, heardAt: Instant): void {
    machine.workerEpoch = heartbeat.workerEpoch;
    machine.sequence = heartbeat.sequence;
    machine.fencingToken = Math.max(machine.fencingToken, heartbeat.fencingToken);
    machine.addr = heartbeat.addr;
    machine.relayedBy = relayedBy;
    recordHeartbeat(this.context.cluster, machine, heardAt);
  }

  private updateReclaimNotice(machine: Machine, reclaimNoticeSeconds: number | null, now: Instant): void {
    const { cluster } = this.context;
    if (reclaimNoticeSeconds === null) {
      if (machine.reclaimAt !== null) cluster.capacityVersion++;
      machine.reclaimAt = null;
    } else if (machine.reclaimAt === null) {
      machine.reclaimAt = plus(now, Duration.seconds(reclaimNoticeSeconds));
      cluster.reconcileQueue.add(machine);
    }
  }

  private applyTask(received: ReceivedHeartbeat, task: TaskStatus, attempt: TaskAttempt | undefined): void {
    const { cluster } = this.context;
    const job = cluster.jobs.get(task.job);
    if (task.state === "exited" && task.exitReason === "done" && job !== undefined)
      finishTask(cluster, job, task.index);
    if (attempt === undefined) this.addReportedAttempt(received, task);
    else this.updateReportedAttempt(received, task, attempt);
  }

  /** Adds an attempt that this leader didn't start, or that it has removed. */
  private addReportedAttempt({ machine, now }: ReceivedHeartbeat, task: TaskStatus): void {
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
      // if it was started in this term, then under the present token at the latest
      startTokenStep: machine.fencingTokenStep,
      stopping: task.state === "saving",
      stored: job?.stored.has(task.index) ?? false,
    });
    if (task.state === "running") recordCachedImage(machine, job?.spec ?? null);
  }

  /** Updates a known attempt: its state, and whether its unanswered start is settled (S2). */
  private updateReportedAttempt(received: ReceivedHeartbeat, task: TaskStatus, attempt: TaskAttempt): void {
    const { machine, heartbeat, isTimely, now } = received;
    const { cluster } = this.context;
    const { state, exitReason } = task;
    const previousState = attempt.state;
    const isStartSettled =
      attempt.unacknowledgedToken !== null && heartbeat.fencingToken > attempt.unacknowledgedToken;
    if (previousState === state && !isStartSettled) return;
    if (previousState === "running" && exitReason === "done" && isTimely)
      this.slowMachineDetector.taskCompleted(machine, attempt, now);
    const unacknowledgedToken = isStartSettled ? null : attempt.unacknowledgedToken;
    if (previousState === state) {
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
    const hasExited = state === "exited" && previousState !== "exited";
    if (state === "running" || hasExited) recordAttemptResult(cluster, machine, attempt, now);
  }

  /** Removes attempts that the heartbeat doesn't list, unless their start may still be executed (S4). */
  private removeMissingAttempts(
    machine: Machine,
    reportedKeys: ReadonlySet<string>,
    heartbeat: Heartbeat,
    isNewEpoch: boolean,
  ): void {
    for (const [key, attempt] of machine.attempts) {
      if (reportedKeys.has(key)) continue;
      if (isNewEpoch || !mayStillStart(attempt, heartbeat)) removeAttempt(this.context.cluster, attempt);
    }
  }

  /** A heartbeat under this term's token has arrived: from now on, the machine's known attempts are complete (S2). */
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
 * Whether the start of an attempt that the heartbeat doesn't list may still be executed (S4): it is being sent, or it
 * got no answer and the worker hasn't seen a higher token. Callers check for a new epoch, in which all delayed
 * commands are refused.
 */
const mayStillStart = (attempt: TaskAttempt, heartbeat: Heartbeat): boolean => {
  if (attempt.unacknowledgedToken !== null) return !(heartbeat.fencingToken > attempt.unacknowledgedToken);
  const isAnswered = attempt.acknowledgedBy !== null && isSameOrNewer(heartbeat, attempt.acknowledgedBy);
  return attempt.state === "dispatched" && !isAnswered;
};
