/** Admission check at submission: refuses jobs that no machine type or quota could ever accommodate. */
import type { JobSpec, MachineType, Team } from "../records.js";
import { isWithinLimit } from "./quota.js";

/** Tolerance when sizes of tasks and machine types are compared, in processors, GPUs or gigabytes. */
const TYPE_SIZE_EPSILON = 1e-9;

/** Whether the job allows the machine type and a task of it fits an empty machine of that type. */
export const fitsMachineType = (job: JobSpec, type: MachineType): boolean =>
  (job.types === null || job.types.includes(type.name)) &&
  job.cpus <= type.cpus + TYPE_SIZE_EPSILON &&
  job.gpus <= type.gpus + TYPE_SIZE_EPSILON &&
  job.memoryGb <= type.memoryGb + TYPE_SIZE_EPSILON;

/** Whether the job allows the zone. */
export const allowsZone = (job: JobSpec, zone: string): boolean => job.zone === null || job.zone === zone;

/** Why the job can never run; null: it can. */
export const unschedulableReason = (
  job: JobSpec,
  teams: ReadonlyMap<string, Team>,
  types: readonly MachineType[],
): string | null => {
  const team = teams.get(job.team);
  if (team === undefined) return `no such team: ${job.team}`;
  const fits = types.some(
    (type) => fitsMachineType(job, type) && type.zones.some((zone) => allowsZone(job, zone)),
  );
  if (!fits) return "a task fits no allowed machine type";
  // the tasks of an array may run one after the other
  const concurrentTasks = job.kind === "array" ? 1 : job.tasks;
  if (!isWithinLimit(team, { cpus: 0, gpus: 0 }, job, concurrentTasks)) return "more than the team's limit";
  return null;
};
