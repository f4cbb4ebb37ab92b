/** Which machine a task goes to, and what may be stopped to make room. */
import * as Duration from "effect/Duration";
import { type Instant, hasElapsed } from "../time.js";
import { allowsZone } from "./admission.js";
import {
  type Cluster,
  type TaskAttempt,
  type Job,
  type Machine,
  occupiesCapacity,
  rankOf,
} from "../cluster/cluster.js";
import type { JobSpec } from "../records.js";

export interface Capacity {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

export const freeCapacity = (machine: Machine): Capacity => ({
  cpus: machine.cpus - machine.used.cpus,
  gpus: machine.gpus - machine.used.gpus,
  memoryGb: machine.memoryGb - machine.used.memoryGb,
});

export const fits = (spec: JobSpec, room: Capacity): boolean =>
  spec.cpus <= room.cpus + 1e-6 && spec.gpus <= room.gpus + 1e-6 && spec.memoryGb <= room.memoryGb + 1e-6;

export const tasksThatFit = (spec: JobSpec, room: Capacity): number =>
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

export const reserve = (spec: JobSpec, room: Capacity, tasks: number): void => {
  room.cpus -= tasks * spec.cpus;
  room.gpus -= tasks * spec.gpus;
  room.memoryGb -= tasks * spec.memoryGb;
};

/** Whether the job's own wishes allow this machine, other tasks aside. */
export const allowed = (spec: JobSpec, m: { type: string; zone: string; spot: boolean }): boolean =>
  (spec.types === null || spec.types.includes(m.type)) && allowsZone(spec, m.zone) && (spec.spot || !m.spot);

/** Where no task of `failed` could go, none of `spec` can: it wants as much, and may go nowhere else. */
export const isAtLeastAsDemanding = (spec: JobSpec, failed: JobSpec): boolean =>
  failed.cpus <= spec.cpus &&
  failed.gpus <= spec.gpus &&
  failed.memoryGb <= spec.memoryGb &&
  (failed.spot || !spec.spot) &&
  failed.types === null &&
  failed.zone === null;

/** A job keeps away from a machine where it failed; where there is no other, it is tried there again sooner. */
const ERROR_MEMORY = Duration.seconds(60);
const LAST_RESORT_AFTER = Duration.seconds(10);
const REFUSED_MEMORY = Duration.seconds(5);

/** Direct questions without an answer after which a machine gets no new work. */
const MUTE_AFTER = 2;

/** Machines whose heartbeats are fresh and that may be given new work. */
export const usable = (machine: Machine, now: Instant, freshFor: Duration.Duration): boolean =>
  machine.recorded &&
  machine.confirmed &&
  !machine.failed &&
  machine.releaseRequestedAt === null &&
  machine.reclaimAt === null &&
  machine.cordonedAt === null &&
  !machine.draining &&
  machine.cpus > 0 &&
  machine.addr !== null &&
  machine.unansweredBatches < MUTE_AFTER &&
  machine.lastHeartbeatAt !== null &&
  !hasElapsed(now, machine.lastHeartbeatAt, freshFor);

/** Zones of the tasks that are, or may be, on machines: `together` and `apart` look at these. */
const zonesInUse = (cluster: Cluster, job: Job): Map<string, number> => {
  const zones = new Map<string, number>();
  for (const attempts of job.attempts.values())
    for (const attempt of attempts)
      if (occupiesCapacity(attempt)) {
        const zone = cluster.machines.get(attempt.machine)!.zone;
        zones.set(zone, (zones.get(zone) ?? 0) + 1);
      }
  return zones;
};

/** Whether the job's tasks are told apart by zone. */
export const hasZoneConstraint = (spec: JobSpec): boolean => spec.oneZone || spec.spread;

/** Zone rules given the other tasks of the job at this moment. */
const zoneRule = (cluster: Cluster, job: Job): ((zone: string) => boolean) => {
  const { spec } = job;
  if (!hasZoneConstraint(spec)) return () => true;
  const zones = zonesInUse(cluster, job);
  return (zone) =>
    !(spec.oneZone && [...zones.keys()].some((z) => z !== zone)) &&
    !(spec.spread && (zones.get(zone) ?? 0) >= Math.ceil(spec.tasks / 2));
};

const within = (
  memory: ReadonlyMap<string, Instant>,
  machine: Machine,
  now: Instant,
  span: Duration.Duration,
): boolean => {
  const at = memory.get(machine.id);
  return at !== undefined && !hasElapsed(now, at, span);
};

/** How many replicas of a class one machine should hold, so that its loss costs a small part of them. */
const fairShare = (cluster: Cluster, spec: JobSpec): number => {
  const all = cluster.attemptsByClass.get(spec.className) ?? 0;
  return Math.max(2, Math.ceil(Math.min(all * 0.15, (3 * all) / Math.max(1, cluster.byLastHeartbeat.size))));
};

/**
 * The design's companion: cached image first, else the roomiest part. Among equals, replicas go where the
 * fewest of their class and of their own job are, so that the loss of a machine or a zone costs little; other tasks
 * fill up the fullest machine, so that idle ones can be returned, and prefer spot, which services can't use.
 */
const scorer = (
  cluster: Cluster,
  job: Job,
  partRoom: (via: string | null) => number,
): ((machine: Machine) => number[]) => {
  const { spec } = job;
  if (spec.kind !== "service")
    return (machine) => {
      const cached = machine.images.has(spec.image);
      return [
        cached ? 1 : 0,
        machine.spot ? 1 : 0,
        cached ? 0 : partRoom(machine.relayedBy),
        -(machine.cpus - machine.used.cpus),
      ];
    };
  const most = fairShare(cluster, spec);
  const zones = spec.tasks > 1 ? zonesInUse(cluster, job) : new Map<string, number>();
  return (machine) => {
    const same = machine.attemptsByClass.get(spec.className) ?? 0;
    return [
      machine.images.has(spec.image) ? 1 : 0,
      same < most ? 1 : 0,
      -(zones.get(machine.zone) ?? 0),
      -same / Math.max(1, machine.cpus),
      partRoom(machine.relayedBy),
      machine.cpus - machine.used.cpus,
    ];
  };
};

const compare = (a: readonly number[], b: readonly number[]): number => {
  for (let i = 0; i < a.length; i++) if (a[i] !== b[i]) return b[i]! - a[i]!;
  return 0;
};

const fitting = (
  cluster: Cluster,
  job: Job,
  candidates: Iterable<Machine>,
  now: Instant,
): { m: Machine }[] => {
  const zoneAllows = zoneRule(cluster, job);
  const out: { m: Machine }[] = [];
  const lastResort: { m: Machine }[] = [];
  for (const machine of candidates) {
    if (!fits(job.spec, freeCapacity(machine)) || !allowed(job.spec, machine) || !zoneAllows(machine.zone))
      continue;
    if (within(job.refusedOn, machine, now, REFUSED_MEMORY)) continue;
    if (!within(job.failedOn, machine, now, ERROR_MEMORY)) out.push({ m: machine });
    else if (!within(job.failedOn, machine, now, LAST_RESORT_AFTER)) lastResort.push({ m: machine });
  }
  // the fleet counts that room, so nothing more is rented: a job must not wait for its memory to end
  return out.length > 0 ? out : lastResort;
};

/** The best machine for one task. */
export const chooseMachine = (
  cluster: Cluster,
  job: Job,
  candidates: Iterable<Machine>,
  now: Instant,
  partRoom: (via: string | null) => number,
): Machine | null => {
  const score = scorer(cluster, job, partRoom);
  let best: Machine | null = null;
  let bestScore: number[] = [];
  for (const { m: machine } of fitting(cluster, job, candidates, now)) {
    const mine = score(machine);
    if (best === null || compare(mine, bestScore) < 0) {
      best = machine;
      bestScore = mine;
    }
  }
  return best;
};

/** Machines for many tasks of one array, scored once and then filled one after the other. */
export const packTasks = (
  cluster: Cluster,
  job: Job,
  candidates: Iterable<Machine>,
  now: Instant,
  partRoom: (via: string | null) => number,
  tasks: number,
): { machine: Machine; tasks: number }[] => {
  const score = scorer(cluster, job, partRoom);
  const rows = fitting(cluster, job, candidates, now).map(({ m: machine }) => ({
    m: machine,
    score: score(machine),
  }));
  rows.sort((a, b) => compare(a.score, b.score));
  const out: { machine: Machine; tasks: number }[] = [];
  let left = tasks;
  for (const { m: machine } of rows) {
    if (left <= 0) break;
    const n = Math.min(left, tasksThatFit(job.spec, freeCapacity(machine)));
    out.push({ machine, tasks: n });
    left -= n;
  }
  return out;
};

export type KnownAttempt = TaskAttempt & { readonly spec: JobSpec };
const isKnown = (attempt: TaskAttempt): attempt is KnownAttempt => attempt.spec !== null;

/** The cheapest set of tasks on one machine whose end makes room for one task of `job`. */
export const findPreemptionCandidates = (
  cluster: Cluster,
  job: Job,
  candidates: Iterable<Machine>,
  now: Instant,
  mayStop: (attempt: KnownAttempt) => boolean,
): { machine: Machine; holds: TaskAttempt[] } | null => {
  let best: { machine: Machine; holds: TaskAttempt[]; cost: number } | null = null;
  const zoneAllows = zoneRule(cluster, job);
  for (const machine of candidates) {
    if (!allowed(job.spec, machine) || !zoneAllows(machine.zone)) continue;
    const room = freeCapacity(machine);
    const options = [...machine.attempts.values()]
      .filter(isKnown)
      .filter((h) => occupiesCapacity(h) && !h.stopping && h.unacknowledgedToken === null && mayStop(h))
      .sort((a, b) => rankOf(cluster, a) - rankOf(cluster, b) || b.stateSince - a.stateSince);
    const chosen: TaskAttempt[] = [];
    let cost = machine.images.has(job.spec.image) ? 0 : 20;
    for (const attempt of options) {
      if (fits(job.spec, room)) break;
      chosen.push(attempt);
      room.cpus += attempt.spec.cpus;
      room.gpus += attempt.spec.gpus;
      room.memoryGb += attempt.spec.memoryGb;
      cost += (attempt.spec.cpus * Math.max(1, now - attempt.stateSince)) / 1000;
    }
    if (chosen.length > 0 && fits(job.spec, room) && (best === null || cost < best.cost))
      best = { machine, holds: chosen, cost };
  }
  return best;
};
