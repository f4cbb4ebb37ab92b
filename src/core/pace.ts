/**
 * Machines that take much longer than others for tasks of the same job: they get no new work and are returned once
 * empty, and what is overdue there starts anew elsewhere, once.
 */
import * as Duration from "effect/Duration";
import { type Hold, type Job, type Machine } from "./cluster.js";
import type { Outbox } from "./outbox.js";
import { RANK } from "./records.js";
import type { Scope } from "./scope.js";
import { type Instant, passed } from "./time.js";

/** How many times the mean of its job's finished tasks a task may take, and how many have to be finished first. */
interface Measure {
  readonly factor: number;
  readonly enough: number;
}
/** Tasks of one job differ by half, machines by a tenth; early finishers are the short ones. */
const PLAIN: Measure = { factor: 2.2, enough: 3 };
/**
 * Of urgent jobs with a deadline, their own or that of a job that needs them: waiting for certainty costs more than a
 * task started anew for nothing. The stages of a pipeline have few tasks, and the slowest of them holds up all that
 * come after.
 */
const URGENT_WITH_DEADLINE: Measure = { factor: 1.6, enough: 2 };
const LOOK_EVERY = Duration.seconds(2);
/** With more of them than this share the measure must be wrong. */
const MOST = 0.25;

const measureOf = (job: Job): Measure =>
  job.due !== null && job.rank >= RANK.high ? URGENT_WITH_DEADLINE : PLAIN;

export class Pace {
  private readonly ran = new Map<string, { tasks: number; ms: number }>();
  /** Tasks that were already started anew, by job. */
  private readonly renewed = new Map<string, Set<number>>();
  private looked: Instant | null = null;

  constructor(private readonly scope: Scope) {}

  jobOver(id: string): void {
    this.ran.delete(id);
    this.renewed.delete(id);
  }

  /** A running task was seen to be done. */
  done(m: Machine, hold: Hold, now: Instant): void {
    if (hold.spec?.kind !== "array" || hold.began === null) return;
    const ms = now - hold.began;
    const job = this.scope.cluster.jobs.get(hold.job);
    if (job !== undefined && this.isOverdue(job, ms)) this.setAside(m, now);
    const row = this.ran.get(hold.job);
    if (row === undefined) this.ran.set(hold.job, { tasks: 1, ms });
    else {
      row.tasks++;
      row.ms += ms;
    }
  }

  private isOverdue(job: Job, ms: number): boolean {
    const row = this.ran.get(job.spec.id);
    if (row === undefined || !this.isMeasured(job, row.tasks)) return false;
    return ms > (row.ms / row.tasks) * measureOf(job).factor;
  }

  /** Whether enough of its tasks are finished to tell how long the others may take. */
  private isMeasured(job: Job, finished: number): boolean {
    return finished >= Math.max(measureOf(job).enough, job.running);
  }

  private setAside(m: Machine, now: Instant): boolean {
    if (m.slow) return true;
    const { cluster } = this.scope;
    let slow = 0;
    for (const x of cluster.hearing) if (x.slow) slow++;
    if (slow + 1 > Math.max(2, cluster.hearing.size * MOST)) return false;
    m.slow = true;
    m.setAside ??= now;
    return true;
  }

  /** Now and then: what runs far too long. */
  step(now: Instant, outbox: Outbox): void {
    if (this.looked !== null && !passed(now, this.looked, LOOK_EVERY)) return;
    this.looked = now;
    const { cluster } = this.scope;
    for (const [id, row] of this.ran) {
      const job = cluster.jobs.get(id);
      if (job === undefined || !this.isMeasured(job, row.tasks)) continue;
      for (const holds of job.holds.values())
        for (const hold of holds) {
          if (hold.state !== "running" || hold.stopping || hold.began === null) continue;
          if (!this.isOverdue(job, now - hold.began)) continue;
          const m = cluster.machines.get(hold.machine)!;
          // a silent machine is another matter; so is a task that was slow before
          if (m.inFlight || m.heard === null || passed(now, m.heard, this.scope.fresh)) continue;
          if (!this.setAside(m, now) || this.wasRenewed(id, hold.index)) continue;
          outbox.stop(hold);
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
