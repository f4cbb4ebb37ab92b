/** Starts tasks: adds the attempt, with a number that is never used again, before the start command is sent (S4). */
import { addAttempt, type TaskAttempt, type Job, type Machine } from "../cluster/cluster.js";
import type { PendingCommands } from "../commands/pending-commands.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { attemptNumberOf, ATTEMPTS_PER_TERM } from "../leases/term.js";
import type { Instant } from "../time.js";

/** Number of latest starts that are remembered; beyond it the older half is dropped. */
const MAX_RECENT_STARTS = 512;
/** With this many attempt numbers left the leader begins a new term, long before they are used up. */
const NEW_TERM_AT_ATTEMPTS_LEFT = 100_000;
/** Attempt numbers reserved for gangs, whose placement uses one for each try. */
const RESERVED_ATTEMPTS = 1000;

/** A task to be started, with its attempt number and its machine. */
export interface TaskStart {
  readonly job: Job;
  readonly index: number;
  readonly attempt: number;
  readonly machine: Machine;
}

/** Numbers the attempts of one leader, starting again from 1 in each of its terms. */
export class TaskStarter {
  /** Attempt numbers used in term `termNumber`. */
  private attemptsUsed = 0;
  private termNumber = 0;

  constructor(private readonly context: SchedulerContext) {}

  /** How many more tasks may be started in this term. */
  get startsLeft(): number {
    return Math.max(0, this.attemptsLeft - RESERVED_ATTEMPTS);
  }

  /** Whether this term is running out of attempt numbers, so that the leader has to begin a new term. */
  get needsNewTerm(): boolean {
    return this.attemptsLeft <= NEW_TERM_AT_ATTEMPTS_LEFT;
  }

  private get attemptsLeft(): number {
    return ATTEMPTS_PER_TERM - (this.termNumber === this.context.term.number ? this.attemptsUsed : 0);
  }

  /** The attempt number for the next start; all tasks of a gang share one. */
  nextAttempt(): number {
    const { number } = this.context.term;
    if (this.termNumber !== number) {
      this.termNumber = number;
      this.attemptsUsed = 0;
    }
    this.attemptsUsed++;
    return attemptNumberOf(number, this.attemptsUsed);
  }

  /** Adds the attempt to the cluster, and its start command to `pendingCommands`. */
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
      startTokenStep: machine.fencingTokenStep,
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
