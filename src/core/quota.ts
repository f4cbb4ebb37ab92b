/** Team guarantees and limits. */
import type { JobSpec, Team } from "./records.js";

export interface Usage {
  cpus: number;
  gpus: number;
}

/** 0 means: no limit. */
const within = (used: number, limit: number): boolean => limit <= 0 || used <= limit + 1e-6;

export const fitsLimit = (team: Team, used: Usage, job: JobSpec, tasks: number): boolean =>
  within(used.cpus + job.cpus * tasks, team.cpusMax) && within(used.gpus + job.gpus * tasks, team.gpusMax);

export const fitsGuarantee = (team: Team, used: Usage, job: JobSpec, tasks: number): boolean =>
  used.cpus + job.cpus * tasks <= team.cpus + 1e-6 && used.gpus + job.gpus * tasks <= team.gpus + 1e-6;

/** How many tasks of an array its team's limit allows at once, next to `used`. */
export const roomInLimit = (team: Team, used: Usage, job: JobSpec): number => {
  const by = (limit: number, taken: number, each: number) =>
    limit <= 0 || each <= 0 ? Infinity : Math.floor((limit - taken + 1e-6) / each);
  return Math.max(0, Math.min(by(team.cpusMax, used.cpus, job.cpus), by(team.gpusMax, used.gpus, job.gpus)));
};
