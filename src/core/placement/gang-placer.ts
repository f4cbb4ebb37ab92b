/** Gang scheduling: all tasks of a job start together, under one attempt number, or none does. */
import * as Duration from "effect/Duration";
import { type Job, type Machine, removeAttempt, type TaskAttempt } from "../cluster/cluster.js";
import { PendingCommands } from "../commands/pending-commands.js";
import type { Team } from "../records.js";
import { stopGang } from "../scheduler/reconciler.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { type Instant, hasElapsed } from "../time.js";
import { chooseMachine } from "./bin-packing.js";
import { freeCapacity, tasksThatFit } from "./capacity.js";
import { allowsMachine } from "./eligibility.js";
import type { PlacementRound } from "./placement-round.js";
import { isWithinLimit } from "./quota.js";
import type { TaskStarter } from "./task-starter.js";

/**
 * A gang that has waited this long holds back other jobs up to its own rank: smaller ones would otherwise take all
 * capacity as it is freed.
 */
const HOLD_BACK_OTHERS_AFTER = Duration.seconds(15);
/** Key for the machines of all zones, for a gang that needn't run in one zone. */
const ANY_ZONE = "";

/** Places whole gangs. */
export class GangPlacer {
  /** `starter`: numbers all of the leader's attempts. */
  constructor(
    private readonly context: SchedulerContext,
    private readonly starter: TaskStarter,
  ) {}

  /** Starts the gang; or has it hold back other jobs, if it has waited long and would fit the present machines. */
  placeOrHoldBackOthers(job: Job, team: Team, round: PlacementRound): void {
    const isPlaced = this.place(job, team, round);
    if (isPlaced) round.startsLeft -= job.spec.tasks;
    else if (
      hasElapsed(round.now, job.releasedAt, HOLD_BACK_OTHERS_AFTER) &&
      this.fitsEmptyMachines(job, round.now)
    )
      round.highestHeldRank = job.rank;
  }

  /** Starts the gang if all of it fits. A gang that lost tasks is stopped as a whole before its next attempt. */
  private place(job: Job, team: Team, round: PlacementRound): boolean {
    const { spec } = job;
    if (stopGang([...job.attempts.values()].flat(), round.pendingCommands) > 0) return false;
    if (job.pending.size < spec.tasks) return false;
    const used = round.usageUpperBound(this.context.usageOf(spec.team));
    if (!isWithinLimit(team, used, spec, spec.tasks)) return false;
    if (!spec.oneZone) return this.placeOn(job, round.candidates, round);
    const zones = new Set(round.candidates.map((machine) => machine.zone));
    for (const zone of zones) {
      const inZone = round.candidates.filter((machine) => machine.zone === zone);
      if (this.placeOn(job, inZone, round)) return true;
    }
    return false;
  }

  /** Starts the whole gang on the given machines; if it doesn't fit, all is undone. */
  private placeOn(job: Job, candidates: readonly Machine[], round: PlacementRound): boolean {
    const { spec } = job;
    const { now, partitionFreeCpus } = round;
    let fitting = 0;
    for (const machine of candidates)
      if (allowsMachine(spec, machine)) fitting += tasksThatFit(spec, freeCapacity(machine));
    if (fitting < spec.tasks) return false;
    const attempt = this.starter.nextAttempt();
    const trialCommands = new PendingCommands();
    const started: TaskAttempt[] = [];
    for (const index of job.pending.smallest(spec.tasks)) {
      const machine = chooseMachine(this.context.cluster, job, {
        candidates,
        now,
        partitionFreeCpus,
      });
      if (machine === null) break;
      started.push(this.starter.start({ job, index, attempt, machine }, now, trialCommands));
    }
    if (started.length === spec.tasks) {
      trialCommands.appendTo(round.pendingCommands);
      return true;
    }
    for (const taskAttempt of started) removeAttempt(this.context.cluster, taskAttempt);
    return false;
  }

  /** Whether the whole gang would fit the usable machines if they were empty. */
  private fitsEmptyMachines(job: Job, now: Instant): boolean {
    const { spec } = job;
    const tasksByZone = new Map<string, number>();
    for (const machine of this.context.cluster.byLastHeartbeat) {
      if (!this.context.isSchedulable(machine, now) || !allowsMachine(spec, machine)) continue;
      const zone = spec.oneZone ? machine.zone : ANY_ZONE;
      tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + tasksThatFit(spec, machine));
    }
    return [...tasksByZone.values()].some((tasks) => tasks >= spec.tasks);
  }
}
