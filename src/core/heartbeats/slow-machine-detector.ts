/**
 * Machines that take much longer than others for tasks of the same job: they get no new work and are returned once
 * empty, and what is overdue there starts anew elsewhere, once.
 */
import * as Duration from "effect/Duration";
import { type TaskAttempt, type Job, type Machine } from "../cluster/cluster.js";
import type { PendingCommands } from "../commands/pending-commands.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { type Instant, hasElapsed } from "../time.js";

/** Tasks of one job differ by half, machines by a tenth; early finishers are the short ones. */
const SLOW = 2.2;
const ENOUGH = 3;
const LOOK_EVERY = Duration.seconds(2);
/** With more of them than this share the measure must be wrong. */
const MOST = 0.25;

export class SlowMachineDetector {
  private readonly ran = new Map<string, { tasks: number; ms: number }>();
  /** Tasks that were already started anew, by job. */
  private readonly renewed = new Map<string, Set<number>>();
  private looked: Instant | null = null;

  constructor(private readonly context: SchedulerContext) {}

  jobOver(id: string): void {
    this.ran.delete(id);
    this.renewed.delete(id);
  }

  /** A running task was seen to be done. */
  done(machine: Machine, attempt: TaskAttempt, now: Instant): void {
    if (attempt.spec?.kind !== "array" || attempt.runningSince === null) return;
    const ms = now - attempt.runningSince;
    const job = this.context.cluster.jobs.get(attempt.job);
    if (job !== undefined && this.isOverdue(job, ms)) this.setAside(machine, now);
    const row = this.ran.get(attempt.job);
    if (row === undefined) this.ran.set(attempt.job, { tasks: 1, ms });
    else {
      row.tasks++;
      row.ms += ms;
    }
  }

  private isOverdue(job: Job, ms: number): boolean {
    const row = this.ran.get(job.spec.id);
    if (row === undefined || row.tasks < Math.max(ENOUGH, job.running)) return false;
    return ms > (row.ms / row.tasks) * SLOW;
  }

  private setAside(machine: Machine, now: Instant): boolean {
    if (machine.cordonedAsSlow) return true;
    const { cluster } = this.context;
    let slow = 0;
    for (const machine of cluster.byLastHeartbeat) if (machine.cordonedAsSlow) slow++;
    if (slow + 1 > Math.max(2, cluster.byLastHeartbeat.size * MOST)) return false;
    machine.cordonedAsSlow = true;
    machine.cordonedAt ??= now;
    return true;
  }

  /** Now and then: what runs far too long. */
  step(now: Instant, pendingCommands: PendingCommands): void {
    if (this.looked !== null && !hasElapsed(now, this.looked, LOOK_EVERY)) return;
    this.looked = now;
    const { cluster } = this.context;
    for (const [id, row] of this.ran) {
      const job = cluster.jobs.get(id);
      if (job === undefined || row.tasks < Math.max(ENOUGH, job.running)) continue;
      for (const attempts of job.attempts.values())
        for (const attempt of attempts) {
          if (attempt.state !== "running" || attempt.stopping || attempt.runningSince === null) continue;
          if (!this.isOverdue(job, now - attempt.runningSince)) continue;
          const machine = cluster.machines.get(attempt.machine)!;
          // a silent machine is another matter; so is a task that was slow before
          if (
            machine.commandsInFlight ||
            machine.lastHeartbeatAt === null ||
            hasElapsed(now, machine.lastHeartbeatAt, this.context.fresh)
          )
            continue;
          if (!this.setAside(machine, now) || this.wasRenewed(id, attempt.index)) continue;
          pendingCommands.stop(attempt);
        }
    }
  }

  private wasRenewed(id: string, index: number): boolean {
    const tasks = this.renewed.get(id) ?? new Set<number>();
    if (tasks.has(index)) return true;
    this.renewed.set(id, tasks.add(index));
    return false;
  }
}
