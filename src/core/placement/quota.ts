/** Team guarantees and limits (`quota`, S6). What is counted as used includes all that may still run. */
import type { JobSpec, Team } from "../records.js";

/** Sums of fractions of processors and of gigabytes are compared up to this difference. */
export const CAPACITY_EPSILON = 1e-6;

/** Capacity that is in use. */
export interface Usage {
  cpus: number;
  gpus: number;
}

/** 0 means: no limit. */
const isWithin = (used: number, limit: number): boolean => limit <= 0 || used <= limit + CAPACITY_EPSILON;

/** Whether so many tasks more would keep the team within its limits. */
export const isWithinLimit = (team: Team, used: Usage, job: JobSpec, tasks: number): boolean =>
  isWithin(used.cpus + job.cpus * tasks, team.maxCpus) &&
  isWithin(used.gpus + job.gpus * tasks, team.maxGpus);

/** Whether so many tasks more would keep the team within its guarantee; a guarantee of 0 covers nothing. */
export const isWithinGuarantee = (team: Team, used: Usage, job: JobSpec, tasks: number): boolean =>
  used.cpus + job.cpus * tasks <= team.guaranteedCpus + CAPACITY_EPSILON &&
  used.gpus + job.gpus * tasks <= team.guaranteedGpus + CAPACITY_EPSILON;

/** How many tasks that need `perTask` one limit leaves space for. */
const tasksWithinResourceLimit = (limit: number, used: number, perTask: number): number =>
  limit <= 0 || perTask <= 0 ? Infinity : Math.floor((limit - used + CAPACITY_EPSILON) / perTask);

/** How many tasks of an array its team's limit allows at once, next to `used`. */
export const tasksWithinLimit = (team: Team, used: Usage, job: JobSpec): number => {
  const byCpus = tasksWithinResourceLimit(team.maxCpus, used.cpus, job.cpus);
  const byGpus = tasksWithinResourceLimit(team.maxGpus, used.gpus, job.gpus);
  return Math.max(0, Math.min(byCpus, byGpus));
};
