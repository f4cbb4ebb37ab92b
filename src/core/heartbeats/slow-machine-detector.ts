/**
 * Detects machines that take much longer than others for tasks of the same job. They are cordoned, and returned to
 * the cloud once empty; a task that is overdue there is restarted elsewhere, at most once.
 */
import * as Duration from "effect/Duration";
import { type TaskAttempt, type Job, type Machine, machineOf } from "../cluster/cluster.js";
import type { PendingCommands } from "../commands/pending-commands.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { type Instant, hasElapsed } from "../time.js";

/**
 * A task is overdue after this multiple of the job's mean run time. Run times differ by half between tasks of a job
 * and by a tenth between machines, and the mean is too low at first, since short tasks finish first.
 */
const SLOW_FACTOR = 2.2;
/** The mean run time of a job is meaningful only after this many of its tasks have finished. */
const MIN_FINISHED_TASKS = 3;
const CHECK_INTERVAL = Duration.seconds(2);
/** At most this share of machines, or two, are cordoned: if more seem slow, the measurement must be wrong. */
const MAX_CORDONED_SHARE = 0.25;
const MIN_CORDON_LIMIT = 2;

/** The number of finished tasks of a job and their total run time. */
interface RunTimeTotals {
  tasks: number;
  milliseconds: number;
}

/** Keeps the run times of finished array tasks, and cordons machines that take much longer than the mean. */
export class SlowMachineDetector {
  private readonly runTimesByJob = new Map<string, RunTimeTotals>();
  /** Tasks that were already restarted, by job. */
  private readonly restartedByJob = new Map<string, Set<number>>();
  private lastCheckedAt: Instant | null = null;

  constructor(private readonly context: SchedulerContext) {}

  /** Discards the run times of a job that has ended. */
  forgetJob(id: string): void {
    this.runTimesByJob.delete(id);
    this.restartedByJob.delete(id);
  }

  /** A task that was known to be running has completed. */
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

  /** Cordons machines on which a task is overdue, and stops the task so that it is restarted elsewhere. */
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
    // a silent machine is handled elsewhere; a task that was overdue on another machine too is itself slow
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

  /** Cordons the machine; false: too many are cordoned already. */
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

  /** Marks the task as restarted; false: it already was. */
  private markRestarted(id: string, index: number): boolean {
    const restarted = this.restartedByJob.get(id) ?? new Set<number>();
    if (restarted.has(index)) return false;
    this.restartedByJob.set(id, restarted.add(index));
    return true;
  }
}

/** Whether enough tasks have finished, also compared with those still running: short tasks finish first. */
const isConclusive = (runTimes: RunTimeTotals, job: Job): boolean =>
  runTimes.tasks >= Math.max(MIN_FINISHED_TASKS, job.runningTasks);
