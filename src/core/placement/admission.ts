/** Can this job ever run? */
import type { JobSpec, MachineType, Team } from "../records.js";
import { isWithinLimit } from "./quota.js";

export const allowsType = (job: JobSpec, type: MachineType): boolean =>
  (job.types === null || job.types.includes(type.name)) &&
  job.cpus <= type.cpus + 1e-9 &&
  job.gpus <= type.gpus + 1e-9 &&
  job.memoryGb <= type.memoryGb + 1e-9;

export const allowsZone = (job: JobSpec, zone: string): boolean => job.zone === null || job.zone === zone;

/** The reason why a job can never run, or null. */
export const unschedulableReason = (
  job: JobSpec,
  teams: ReadonlyMap<string, Team>,
  types: readonly MachineType[],
): string | null => {
  const team = teams.get(job.team);
  if (team === undefined) return `no such team: ${job.team}`;
  const fits = types.some(
    (type) => allowsType(job, type) && type.zones.some((zone) => allowsZone(job, zone)),
  );
  if (!fits) return "a task fits no allowed machine type";
  const atOnce = job.kind === "array" ? 1 : job.tasks;
  if (!isWithinLimit(team, { cpus: 0, gpus: 0 }, job, atOnce)) return "more than the team's limit";
  return null;
};
