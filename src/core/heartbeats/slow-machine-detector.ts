/**
 * Machines that take much longer than others for tasks of the same job: they get no new work and are returned once
 * empty, and what is overdue there starts anew elsewhere, once.
 */
import * as Duration from "effect/Duration";
import { type TaskAttempt, type Job, type Machine, machineOf } from "../cluster/cluster.js";
import type { PendingCommands } from "../commands/pending-commands.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { type Instant, hasElapsed } from "../time.js";

/** Tasks of one job differ by half, machines by a tenth; early finishers are the short ones. */
const SLOW_FACTOR = 2.2;
/** The mean run time of a job says something only after so many of its tasks have finished. */
const MIN_FINISHED_TASKS = 3;
const CHECK_INTERVAL = Duration.seconds(2);
/** With more cordoned machines than this share, or than two, the measure must be wrong. */
const MAX_CORDONED_SHARE = 0.25;
const MIN_CORDON_LIMIT = 2;

/** How long the finished tasks of a job ran, taken together. */
interface RunTimeTotals {
  tasks: number;
  milliseconds: number;
}

/** Owns the run times of finished array tasks, and cordons the machines that take much longer than the mean. */
export class SlowMachineDetector {
  private readonly runTimesByJob = new Map<string, RunTimeTotals>();
  /** Tasks that were already started anew, by job. */
  private readonly restartedByJob = new Map<string, Set<number>>();
  private lastCheckedAt: Instant | null = null;

  /** `context`: what the parts of the core share. */
  constructor(private readonly context: SchedulerContext) {}

  /** The job is over: nothing of it is compared any more. */
  forgetJob(id: string): void {
    this.runTimesByJob.delete(id);
    this.restartedByJob.delete(id);
  }

  /** A running task was seen to be done. */
  taskCompleted(machine: Machine, attempt: TaskAttempt, now: Instant): void {
    if (attempt.spec?.kind !== "array" || attempt.runningSince === null) return;
    const milliseconds = now - attempt.runningSince;
    const job = this.context.cluster.jobs.get(attempt.job);
    if (job !== undefined && this.isOverdue(job, milliseconds)) this.tryCordon(machine, now);
    const runTimes = this.runTimesByJob.get(attempt.job);
    if (runTimes === undefined) this.runTimesByJob.set(attempt.job, { tasks: 1, milliseconds });
    else {
      runTimes.tasks++;
      runTimes.milliseconds += milliseconds;
    }
  }

  /** Now and then: cordons machines on which a task is overdue, and stops it so that it starts anew elsewhere. */
  step(now: Instant, pendingCommands: PendingCommands): void {
    if (this.lastCheckedAt !== null && !hasElapsed(now, this.lastCheckedAt, CHECK_INTERVAL)) return;
    this.lastCheckedAt = now;
    for (const [id, runTimes] of this.runTimesByJob) {
      const job = this.context.cluster.jobs.get(id);
      if (job === undefined || !isConclusive(runTimes, job)) continue;
      for (const attempts of job.attempts.values())
        for (const attempt of attempts) this.checkAttempt(job, attempt, now, pendingCommands);
    }
  }

  private checkAttempt(job: Job, attempt: TaskAttempt, now: Instant, pendingCommands: PendingCommands): void {
    if (attempt.state !== "running" || attempt.stopping || attempt.runningSince === null) return;
    if (!this.isOverdue(job, now - attempt.runningSince)) return;
    const machine = machineOf(this.context.cluster, attempt);
    // a silent machine is another matter; so is a task that was slow before
    if (machine.commandsInFlight || this.isSilent(machine, now)) return;
    if (this.tryCordon(machine, now) && this.markRestarted(job.spec.id, attempt.index))
      pendingCommands.stop(attempt);
  }

  private isSilent({ lastHeartbeatAt }: Machine, now: Instant): boolean {
    return lastHeartbeatAt === null || hasElapsed(now, lastHeartbeatAt, this.context.heartbeatMaxAge);
  }

  private isOverdue(job: Job, milliseconds: number): boolean {
    const runTimes = this.runTimesByJob.get(job.spec.id);
    if (runTimes === undefined || !isConclusive(runTimes, job)) return false;
    return milliseconds > (runTimes.milliseconds / runTimes.tasks) * SLOW_FACTOR;
  }

  /** Gives the machine no new work; false where too many are cordoned already. */
  private tryCordon(machine: Machine, now: Instant): boolean {
    if (machine.cordonedAsSlow) return true;
    const { cluster } = this.context;
    let cordoned = 0;
    for (const other of cluster.byLastHeartbeat) if (other.cordonedAsSlow) cordoned++;
    const cordonLimit = Math.max(MIN_CORDON_LIMIT, cluster.byLastHeartbeat.size * MAX_CORDONED_SHARE);
    if (cordoned + 1 > cordonLimit) return false;
    machine.cordonedAsSlow = true;
    machine.cordonedAt ??= now;
    return true;
  }

  /** Whether the task hasn't been started anew before; from now on it has. */
  private markRestarted(id: string, index: number): boolean {
    const restarted = this.restartedByJob.get(id) ?? new Set<number>();
    if (restarted.has(index)) return false;
    this.restartedByJob.set(id, restarted.add(index));
    return true;
  }
}

/** Whether enough tasks have finished, also next to those that still run: the first ones to finish are the short ones. */
const isConclusive = (runTimes: RunTimeTotals, job: Job): boolean =>
  runTimes.tasks >= Math.max(MIN_FINISHED_TASKS, job.runningTasks);
