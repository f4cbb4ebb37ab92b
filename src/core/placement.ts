/** Which machine a task goes to, and what may be stopped to make room. */
import * as Duration from "effect/Duration";
import { type Instant, passed } from "./time.js";
import { allowsZone } from "./admission.js";
import { type Cluster, type Hold, type Job, type Machine, occupies } from "./cluster.js";
import { type JobSpec, RANK } from "./records.js";

export interface Room {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

export const freeRoom = (m: Machine): Room => ({
  cpus: m.cpus - m.used.cpus,
  gpus: m.gpus - m.used.gpus,
  memoryGb: m.memoryGb - m.used.memoryGb,
});

export const fits = (spec: JobSpec, room: Room): boolean =>
  spec.cpus <= room.cpus + 1e-6 && spec.gpus <= room.gpus + 1e-6 && spec.memoryGb <= room.memoryGb + 1e-6;

export const slots = (spec: JobSpec, room: Room): number =>
  Math.max(
    0,
    Math.floor(
      Math.min(
        (room.cpus + 1e-6) / Math.max(spec.cpus, 1e-9),
        spec.gpus > 0 ? (room.gpus + 1e-6) / spec.gpus : Infinity,
        (room.memoryGb + 1e-6) / Math.max(spec.memoryGb, 1e-9),
      ),
    ),
  );

/** Whether the job's own wishes allow this machine, other tasks aside. */
export const allowed = (spec: JobSpec, m: { type: string; zone: string; spot: boolean }): boolean =>
  (spec.types === null || spec.types.includes(m.type)) && allowsZone(spec, m.zone) && (spec.spot || !m.spot);

const ERROR_MEMORY = Duration.seconds(60);

/** Machines whose reports are fresh and that may be given new work. */
export const usable = (m: Machine, now: Instant, freshFor: Duration.Duration): boolean =>
  m.recorded &&
  m.confirmed &&
  !m.failed &&
  m.releasing === null &&
  m.noticeUntil === null &&
  m.setAside === null &&
  !m.draining &&
  m.cpus > 0 &&
  m.addr !== null &&
  m.heard !== null &&
  !passed(now, m.heard, freshFor);

/** Zones of the tasks that are, or may be, on machines: `together` and `apart` look at these. */
const zonesInUse = (cluster: Cluster, job: Job): Map<string, number> => {
  const zones = new Map<string, number>();
  for (const holds of job.holds.values())
    for (const hold of holds)
      if (occupies(hold)) {
        const zone = cluster.machines.get(hold.machine)!.zone;
        zones.set(zone, (zones.get(zone) ?? 0) + 1);
      }
  return zones;
};

/** Zone rules given the other tasks of the job at this moment. */
export const zoneAllows = (cluster: Cluster, job: Job, zone: string): boolean => {
  const { spec } = job;
  if (!spec.oneZone && !spec.spread) return true;
  const zones = zonesInUse(cluster, job);
  if (spec.oneZone && [...zones.keys()].some((z) => z !== zone)) return false;
  return !spec.spread || (zones.get(zone) ?? 0) < Math.ceil(spec.tasks / 2);
};

const sameClass = (m: Machine, spec: JobSpec): number => {
  let n = 0;
  for (const hold of m.holds.values()) if (hold.spec?.className === spec.className && occupies(hold)) n++;
  return n;
};

/** How many replicas of a class one machine should hold, so that its loss costs a small part of them. */
const fairShare = (cluster: Cluster, spec: JobSpec): number => {
  let replicas = 0;
  for (const m of cluster.machines.values()) replicas += sameClass(m, spec);
  return Math.max(2, Math.ceil(replicas * 0.15));
};

/**
 * The design's companion: cached image first, else the roomiest part. Among equals, replicas go where the
 * fewest of their class are, so that one machine's loss costs little; other tasks fill up the fullest machine,
 * so that idle ones can be returned, and prefer spot, which services can't use.
 */
export const choose = (
  cluster: Cluster,
  job: Job,
  candidates: readonly Machine[],
  now: Instant,
  partRoom: (via: string | null) => number,
): Machine | null => {
  const { spec } = job;
  let best: Machine | null = null;
  let bestScore: number[] = [];
  const most = spec.kind === "service" ? fairShare(cluster, spec) : 0;
  for (const m of candidates) {
    if (!allowed(spec, m) || !fits(spec, freeRoom(m)) || !zoneAllows(cluster, job, m.zone)) continue;
    const failedHere = job.errorsOn.get(m.id);
    if (failedHere !== undefined && !passed(now, failedHere, ERROR_MEMORY)) continue;
    const cached = m.images.has(spec.image);
    const score =
      spec.kind === "service"
        ? [
            cached ? 1 : 0,
            sameClass(m, spec) < most ? 1 : 0,
            -sameClass(m, spec) / Math.max(1, m.cpus),
            partRoom(m.via),
            m.cpus - m.used.cpus,
          ]
        : [cached ? 1 : 0, m.spot ? 1 : 0, cached ? 0 : partRoom(m.via), -(m.cpus - m.used.cpus)];
    if (best === null || later(score, bestScore)) {
      best = m;
      bestScore = score;
    }
  }
  return best;
};

const later = (a: readonly number[], b: readonly number[]): boolean => {
  for (let i = 0; i < a.length; i++) if (a[i] !== b[i]) return a[i]! > b[i]!;
  return false;
};

/** The cheapest set of tasks on one machine whose end makes room for one task of `job`. */
export const victims = (
  cluster: Cluster,
  job: Job,
  candidates: readonly Machine[],
  now: Instant,
  mayStop: (hold: Hold) => boolean,
): { machine: Machine; holds: Hold[] } | null => {
  let best: { machine: Machine; holds: Hold[]; cost: number } | null = null;
  for (const machine of candidates) {
    if (!allowed(job.spec, machine) || !zoneAllows(cluster, job, machine.zone)) continue;
    const room = freeRoom(machine);
    const options = [...machine.holds.values()]
      .filter((h) => h.spec !== null && occupies(h) && !h.stopping && h.doubt === null && mayStop(h))
      .sort((a, b) => RANK[a.spec!.priority] - RANK[b.spec!.priority] || b.since - a.since);
    const chosen: Hold[] = [];
    let cost = machine.images.has(job.spec.image) ? 0 : 20;
    for (const hold of options) {
      if (fits(job.spec, room)) break;
      chosen.push(hold);
      room.cpus += hold.spec!.cpus;
      room.gpus += hold.spec!.gpus;
      room.memoryGb += hold.spec!.memoryGb;
      cost += (hold.spec!.cpus * Math.max(1, now - hold.since)) / 1000;
    }
    if (chosen.length > 0 && fits(job.spec, room) && (best === null || cost < best.cost))
      best = { machine, holds: chosen, cost };
  }
  return best;
};
