/** Chooses the machine for a task, and packs the tasks of an array onto machines. */
import * as Duration from "effect/Duration";
import type { Cluster, Job, Machine } from "../cluster/cluster.js";
import { type Instant, hasElapsed } from "../time.js";
import { fits, freeCapacity, tasksThatFit } from "./capacity.js";
import { allowsMachine } from "./eligibility.js";
import { compareScores, machineScorer, type PartitionFreeCpus } from "./machine-score.js";
import { zonePredicate } from "./zone-rules.js";

/** How long a job avoids a machine on which it failed; the shorter time applies if no other machine fits. */
const AVOID_AFTER_FAILURE = Duration.seconds(60);
const MIN_AVOID_AFTER_FAILURE = Duration.seconds(10);
/** How long a job avoids a machine whose worker refused it. */
const AVOID_AFTER_REFUSAL = Duration.seconds(5);

/** The machines to choose from, and what scoring them needs. */
export interface MachineSearch {
  /** Machines that may be given work now. */
  readonly candidates: Iterable<Machine>;
  readonly now: Instant;
  readonly partitionFreeCpus: PartitionFreeCpus;
}

/** A number of tasks to be started on one machine. */
export interface PackedTasks {
  readonly machine: Machine;
  readonly tasks: number;
}

const happenedWithin = (
  times: ReadonlyMap<string, Instant>,
  machine: Machine,
  now: Instant,
  span: Duration.Duration,
): boolean => {
  const at = times.get(machine.id);
  return at !== undefined && !hasElapsed(now, at, span);
};

/** Machines on which one task of the job fits and may run. */
const fittingMachines = (cluster: Cluster, job: Job, { candidates, now }: MachineSearch): Machine[] => {
  const zoneAllows = zonePredicate(cluster, job);
  const fitting: Machine[] = [];
  const lastResort: Machine[] = [];
  for (const machine of candidates) {
    if (
      !fits(job.spec, freeCapacity(machine)) ||
      !allowsMachine(job.spec, machine) ||
      !zoneAllows(machine.zone)
    )
      continue;
    if (happenedWithin(job.refusedOn, machine, now, AVOID_AFTER_REFUSAL)) continue;
    if (!happenedWithin(job.failedOn, machine, now, AVOID_AFTER_FAILURE)) fitting.push(machine);
    else if (!happenedWithin(job.failedOn, machine, now, MIN_AVOID_AFTER_FAILURE)) lastResort.push(machine);
  }
  // the autoscaler counts the avoided machines as free capacity and rents no others: without the last resort the job
  // would wait until the failures on them are forgotten
  return fitting.length > 0 ? fitting : lastResort;
};

/** The machine with the best score for one task; null: it fits on none. */
export const chooseMachine = (cluster: Cluster, job: Job, search: MachineSearch): Machine | null => {
  const score = machineScorer(cluster, job, search.partitionFreeCpus);
  let best: Machine | null = null;
  let bestScore: number[] = [];
  for (const machine of fittingMachines(cluster, job, search)) {
    const machineScore = score(machine);
    if (best === null || compareScores(machineScore, bestScore) < 0) {
      best = machine;
      bestScore = machineScore;
    }
  }
  return best;
};

/** Packs up to `tasks` tasks of an array: machines are scored once, then filled in the order of their scores. */
export const packTasks = (
  cluster: Cluster,
  job: Job,
  search: MachineSearch,
  tasks: number,
): PackedTasks[] => {
  const score = machineScorer(cluster, job, search.partitionFreeCpus);
  const scored = fittingMachines(cluster, job, search).map((machine) => ({ machine, score: score(machine) }));
  scored.sort((one, other) => compareScores(one.score, other.score));
  const packed: PackedTasks[] = [];
  let left = tasks;
  for (const { machine } of scored) {
    if (left <= 0) break;
    const fitting = Math.min(left, tasksThatFit(job.spec, freeCapacity(machine)));
    packed.push({ machine, tasks: fitting });
    left -= fitting;
  }
  return packed;
};
