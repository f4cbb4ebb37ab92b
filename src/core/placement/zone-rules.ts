/** Zone constraints among the tasks of a job: all in one zone, or spread over zones. */
import { type Cluster, type Job, occupiesCapacity } from "../cluster/cluster.js";
import type { JobSpec } from "../records.js";

/** The most of a job's tasks that one zone may have if the job spreads them, as a share; rounded up to whole tasks. */
const MAX_SPREAD_SHARE_PER_ZONE = 1 / 2;

/** Whether the zone of a task depends on the zones of the job's other tasks. */
export const hasZoneConstraint = (spec: JobSpec): boolean => spec.oneZone || spec.spreadOverZones;

/** Number of the job's tasks in each zone, counting every attempt that occupies or may occupy a machine. */
export const tasksByZone = (cluster: Cluster, job: Job): Map<string, number> => {
  const counts = new Map<string, number>();
  for (const attempts of job.attempts.values())
    for (const attempt of attempts) {
      const zone = occupiesCapacity(attempt) ? cluster.machines.get(attempt.machine)?.zone : undefined;
      if (zone !== undefined) counts.set(zone, (counts.get(zone) ?? 0) + 1);
    }
  return counts;
};

/** Returns a predicate for the zones that one more task may run in, given the job's present tasks. */
export const zonePredicate = (cluster: Cluster, job: Job): ((zone: string) => boolean) => {
  const { spec } = job;
  if (!hasZoneConstraint(spec)) return () => true;
  const counts = tasksByZone(cluster, job);
  const maxTasksInZone = Math.ceil(spec.tasks * MAX_SPREAD_SHARE_PER_ZONE);
  return (zone) =>
    !(spec.oneZone && [...counts.keys()].some((used) => used !== zone)) &&
    !(spec.spreadOverZones && (counts.get(zone) ?? 0) >= maxTasksInZone);
};
