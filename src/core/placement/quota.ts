/** Guarantees and limits of teams (S6). Usage includes every attempt that may still run. */
import type { JobSpec, Team } from "../records.js";

/** Tolerance when sums of fractional processors or gigabytes are compared. */
export const CAPACITY_EPSILON = 1e-6;

/** Processors and GPUs in use. */
export interface Usage {
  cpus: number;
  gpus: number;
}

/** A limit of 0 means no limit. */
const isWithin = (used: number, limit: number): boolean => limit <= 0 || used <= limit + CAPACITY_EPSILON;

/** Whether the team stays within its limits with `tasks` more tasks of the job. */
export const isWithinLimit = (team: Team, used: Usage, job: JobSpec, tasks: number): boolean =>
  isWithin(used.cpus + job.cpus * tasks, team.maxCpus) &&
  isWithin(used.gpus + job.gpus * tasks, team.maxGpus);

/** Whether the team stays within its guarantee with `tasks` more tasks of the job; a guarantee of 0 covers nothing. */
export const isWithinGuarantee = (team: Team, used: Usage, job: JobSpec, tasks: number): boolean =>
  used.cpus + job.cpus * tasks <= team.guaranteedCpus + CAPACITY_EPSILON &&
  used.gpus + job.gpus * tasks <= team.guaranteedGpus + CAPACITY_EPSILON;

/** How many more tasks one resource's limit allows if each needs `perTask` of it. */
const tasksWithinResourceLimit = (limit: number, used: number, perTask: number): number =>
  limit <= 0 || perTask <= 0 ? Infinity : Math.floor((limit - used + CAPACITY_EPSILON) / perTask);

/** How many more tasks of the job its team's limits allow, given what the team uses. */
export const tasksWithinLimit = (team: Team, used: Usage, job: JobSpec): number => {
  const byCpus = tasksWithinResourceLimit(team.maxCpus, used.cpus, job.cpus);
  const byGpus = tasksWithinResourceLimit(team.maxGpus, used.gpus, job.gpus);
  return Math.max(0, Math.min(byCpus, byGpus));
};
