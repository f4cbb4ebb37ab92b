/** Rules on the zones of a job's tasks: all in one zone, or spread over several. */
import { type Cluster, type Job, occupiesCapacity } from "../cluster/cluster.js";
import type { JobSpec } from "../records.js";

/** A job whose tasks are spread has at most this share of them in one zone, rounded up. */
const MAX_SPREAD_SHARE_PER_ZONE = 1 / 2;

/** Whether the zones of a job's other tasks matter to where a task may go. */
export const hasZoneConstraint = (spec: JobSpec): boolean => spec.oneZone || spec.spreadOverZones;

/** The numbers of the job's tasks by zone, counting all that are, or may be, on machines. */
export const tasksByZone = (cluster: Cluster, job: Job): Map<string, number> => {
  const counts = new Map<string, number>();
  for (const attempts of job.attempts.values())
    for (const attempt of attempts) {
      const zone = occupiesCapacity(attempt) ? cluster.machines.get(attempt.machine)?.zone : undefined;
      if (zone !== undefined) counts.set(zone, (counts.get(zone) ?? 0) + 1);
    }
  return counts;
};

/** Which zones one more task may go to, given the job's other tasks at this moment. */
export const zonePredicate = (cluster: Cluster, job: Job): ((zone: string) => boolean) => {
  const { spec } = job;
  if (!hasZoneConstraint(spec)) return () => true;
  const counts = tasksByZone(cluster, job);
  const maxTasksInZone = Math.ceil(spec.tasks * MAX_SPREAD_SHARE_PER_ZONE);
  return (zone) =>
    !(spec.oneZone && [...counts.keys()].some((used) => used !== zone)) &&
    !(spec.spreadOverZones && (counts.get(zone) ?? 0) >= maxTasksInZone);
};
