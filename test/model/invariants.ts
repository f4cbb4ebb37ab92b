/**
 * The rules that are checked after each step, besides those that are checked where an event occurs.
 */
import * as Duration from "effect/Duration";
import { TIMINGS } from "./settings.js";
import { type WorldState } from "./world-state.js";
import { workersRunning, workersRunningTask } from "./workers.js";
import { type JobSpec } from "../../src/core/records.js";

/** Checks quotas, cancelled jobs and, once faults have stopped, jobs that wait without need. */
export function checkInvariants(world: WorldState): void {
  const usage = new Map<string, number>();
  for (const worker of world.workers.values())
    for (const t of worker.tasks.values()) {
      if (t.state === "exited") continue;
      const spec = world.allJobs.get(t.job)!;
      usage.set(spec.team, (usage.get(spec.team) ?? 0) + spec.cpus);
      const commit = world.commits.get(t.job);
      const isPastDeadline =
        commit !== undefined && world.now > commit.at + Duration.toMillis(TIMINGS.cancelDeadline);
      if (commit?.outcome === "cancelled" && isPastDeadline)
        world.violations.push({
          rule: "ran_cancelled",
          text: `${t.job}/${t.index} on ${worker.id} at ${world.now}`,
        });
    }
  if (world.faultFreeSince !== null && world.now % 1000 === 0) checkWaitingWithRoom(world, usage);
  for (const team of world.teams)
    if (team.maxCpus > 0 && (usage.get(team.name) ?? 0) > team.maxCpus)
      world.violations.push({ rule: "quota", text: `${team.name}: ${usage.get(team.name)} at ${world.now}` });
}

/** Reports jobs that wait for more than 90 s although a suitable machine has room and their team is below its limit. */
export function checkWaitingWithRoom(world: WorldState, usage: ReadonlyMap<string, number>): void {
  for (const { spec } of world.jobs.values()) {
    const used = usage.get(spec.team) ?? 0;
    const limit = world.teams.find((team) => team.name === spec.team)!.maxCpus;
    let isWaiting = false;
    for (let n = 0; n < spec.tasks && !isWaiting; n++)
      isWaiting =
        !(world.completedTasks.get(spec.id)?.has(n) ?? false) &&
        workersRunningTask(world, spec.id, n).length === 0;
    const hasRoom = (): boolean => {
      const zones = new Set(workersRunning(world, spec.id).map((worker) => worker.record.zone));
      return [...world.workers.values()].some((worker) => {
        if (worker.gone || world.now < worker.upAt) return false;
        const record = worker.record;
        let freeCpus = worker.cpus;
        for (const t of worker.tasks.values())
          if (t.state !== "exited") freeCpus -= world.allJobs.get(t.job)!.cpus;
        return (
          freeCpus >= spec.cpus &&
          (spec.types?.includes(record.type) ?? true) &&
          (spec.zone === null || spec.zone === record.zone) &&
          (spec.spot || !record.spot) &&
          (!spec.oneZone || [...zones].every((z) => z === record.zone))
        );
      });
    };
    if (!isWaiting || (limit > 0 && used + spec.cpus > limit) || !hasRoom()) {
      world.waitingWithRoomSince.delete(spec.id);
      continue;
    }
    const since = world.waitingWithRoomSince.get(spec.id) ?? world.now;
    world.waitingWithRoomSince.set(spec.id, since);
    if (world.now - since > 90_000)
      world.violations.push({ rule: "idle_room", text: `${spec.id} at ${world.now}` });
  }
}

/**
 * Whether the services of a job's team leave no room for one of its tasks below the team's limit (S6). Services run until
 * they are cancelled, so the job can't be served.
 */
export function isExcludedByServices(world: WorldState, { team, cpus }: JobSpec): boolean {
  const limit = world.teams.find(({ name }) => name === team)?.maxCpus ?? 0;
  if (limit === 0) return false;
  let serviceCpus = 0;
  for (const { spec } of world.jobs.values())
    if (spec.team === team && spec.kind === "service") serviceCpus += spec.cpus * spec.tasks;
  return serviceCpus + cpus > limit;
}
