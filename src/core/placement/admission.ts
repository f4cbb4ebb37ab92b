/** Whether a job can ever run: what is refused at submission, since no machine and no quota could take it. */
import type { JobSpec, MachineType, Team } from "../records.js";
import { isWithinLimit } from "./quota.js";

/** Sizes of tasks and machine types are compared up to this difference, in processors, GPUs or gigabytes. */
const TYPE_SIZE_EPSILON = 1e-9;

/** Whether a task fits an empty machine of the type, and the job's wishes allow it. */
export const fitsMachineType = (job: JobSpec, type: MachineType): boolean =>
  (job.types === null || job.types.includes(type.name)) &&
  job.cpus <= type.cpus + TYPE_SIZE_EPSILON &&
  job.gpus <= type.gpus + TYPE_SIZE_EPSILON &&
  job.memoryGb <= type.memoryGb + TYPE_SIZE_EPSILON;

/** Whether the job's wishes allow the zone. */
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
    (type) => fitsMachineType(job, type) && type.zones.some((zone) => allowsZone(job, zone)),
  );
  if (!fits) return "a task fits no allowed machine type";
  // the tasks of an array may run one after the other
  const concurrentTasks = job.kind === "array" ? 1 : job.tasks;
  if (!isWithinLimit(team, { cpus: 0, gpus: 0 }, job, concurrentTasks)) return "more than the team's limit";
  return null;
};
