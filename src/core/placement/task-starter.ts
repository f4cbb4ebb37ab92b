/** Decides on starts: each gets an attempt first (S4) and an attempt number that is never used again. */
import { addAttempt, type TaskAttempt, type Job, type Machine } from "../cluster/cluster.js";
import type { PendingCommands } from "../commands/pending-commands.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { attemptNumberOf, ATTEMPTS_PER_TERM } from "../leases/term.js";
import type { Instant } from "../time.js";

/** Latest starts that are remembered; half of them are dropped at a time. */
const MAX_RECENT_STARTS = 512;
/** With so many numbers left, a new term is due: it comes long before they are used up. */
const NEW_TERM_AT_ATTEMPTS_LEFT = 100_000;
/** Numbers kept back for gangs, whose trial placements use one each. */
const RESERVED_ATTEMPTS = 1000;

/** One task, the number of its attempt, and where it is to run. */
export interface TaskStart {
  readonly job: Job;
  readonly index: number;
  readonly attempt: number;
  readonly machine: Machine;
}

/** Numbers the attempts of one leader, anew in each of its terms. */
export class TaskStarter {
  /** Attempt numbers used in the term below. */
  private attemptsUsed = 0;
  private termNumber = 0;

  constructor(private readonly context: SchedulerContext) {}

  /** How many more tasks may be started in this term. */
  get startsLeft(): number {
    return Math.max(0, this.attemptsLeft - RESERVED_ATTEMPTS);
  }

  /** Whether the numbers of this term are about to be used up, so that the leader has to begin a new one. */
  get needsNewTerm(): boolean {
    return this.attemptsLeft <= NEW_TERM_AT_ATTEMPTS_LEFT;
  }

  private get attemptsLeft(): number {
    return ATTEMPTS_PER_TERM - (this.termNumber === this.context.term.number ? this.attemptsUsed : 0);
  }

  /** The attempt of the next start; all tasks of a gang share one. */
  nextAttempt(): number {
    const { number } = this.context.term;
    if (this.termNumber !== number) {
      this.termNumber = number;
      this.attemptsUsed = 0;
    }
    this.attemptsUsed++;
    return attemptNumberOf(number, this.attemptsUsed);
  }

  /** Adds the attempt and the command of one start. */
  start(
    { job, index, attempt, machine }: TaskStart,
    now: Instant,
    pendingCommands: PendingCommands,
  ): TaskAttempt {
    const { cluster } = this.context;
    const taskAttempt: TaskAttempt = {
      job: job.spec.id,
      index,
      attempt,
      machine: machine.id,
      spec: job.spec,
      state: "dispatched",
      exitReason: null,
      stateSince: now,
      runningSince: null,
      unacknowledgedToken: null,
      acknowledgedBy: null,
      stopping: false,
      stored: false,
    };
    addAttempt(cluster, taskAttempt);
    // gangs are never preempted
    if (job.spec.kind !== "gang") cluster.recentStarts.push(taskAttempt);
    if (cluster.recentStarts.length > MAX_RECENT_STARTS)
      cluster.recentStarts.splice(0, MAX_RECENT_STARTS / 2);
    pendingCommands.start(machine.id, job.spec.id, index, attempt);
    return taskAttempt;
  }
}
