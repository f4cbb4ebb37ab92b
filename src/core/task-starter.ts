/** Decides on starts: each gets a hold first (S4) and an attempt number that is never used again. */
import { addHold, type Hold, type Job, type Machine } from "./cluster.js";
import type { CommandBatch } from "./command-batch.js";
import type { SchedulerContext } from "./scheduler-context.js";
import { attemptOf } from "./term.js";
import type { Instant } from "./time.js";

/** Latest starts that are remembered; half of them are dropped at a time. */
const MAX_REMEMBERED = 512;

/** Numbers the attempts of one leader. */
export class TaskStarter {
  private attempts = 0;

  constructor(private readonly scope: SchedulerContext) {}

  /** The number of the next attempt; all tasks of a gang share one. */
  nextAttempt(): number {
    this.attempts++;
    return this.attempts;
  }

  /** Adds the hold and the command of one start. */
  start(
    job: Job,
    index: number,
    attemptNumber: number,
    machine: Machine,
    now: Instant,
    outbox: CommandBatch,
  ): Hold {
    const { cluster, term } = this.scope;
    const attempt = attemptOf(term.token, attemptNumber);
    const hold: Hold = {
      job: job.spec.id,
      index,
      attempt,
      machine: machine.id,
      spec: job.spec,
      state: "ordered",
      why: null,
      since: now,
      began: null,
      doubt: null,
      answered: null,
      stopping: false,
      stored: false,
    };
    addHold(cluster, hold);
    // gangs are never stopped for others
    if (job.spec.kind !== "gang") cluster.started.push(hold);
    if (cluster.started.length > MAX_REMEMBERED) cluster.started.splice(0, MAX_REMEMBERED / 2);
    outbox.start(machine.id, job.spec.id, index, attempt);
    return hold;
  }
}
