/** How many machines, of which type, where, and of which kind. */
import * as Duration from "effect/Duration";
import { type Instant, hasElapsed, plus } from "../time.js";
import { allowsType, allowsZone } from "../placement/admission.js";
import type { Cluster, Job, Machine } from "../cluster/cluster.js";
import { occupiesCapacity } from "../cluster/cluster.js";
import { type JobSpec, type MachineType, RANK } from "../records.js";
import { allowed, freeCapacity, type Capacity, tasksThatFit, reserve } from "../placement/placement.js";

export interface Offer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}
export const offerKey = (type: string, zone: string, spot: boolean): string =>
  `${type} ${zone} ${spot ? "spot" : "ordinary"}`;

export interface FleetOptions {
  /** Share of the room now taken by short tasks that queued tasks of each kind may wait for. */
  readonly reuse: number;
  /** How long a machine stands idle before it is returned, in boot times of its type. */
  readonly idleBoots: number;
  /** Seconds of arriving work for which room is kept free. */
  readonly warmFor: Duration.Duration;
}

export interface ScaleOutRequest extends Offer {
  readonly count: number;
}

const REFUSED_FOR = Duration.seconds(15);
/** The cloud rents no more in one request. */
const MAX_PER_RENTAL = 50;
/** Requests in one round. */
const MAX_RENTALS = 3;

/** Remembers refusals, arrivals and requests under way. Pure: time comes in as an argument. */
export class Autoscaler {
  private refusedUntil = new Map<string, Instant>();
  /** Rentals asked for but not yet answered, by rental name. */
  readonly outstanding = new Map<string, { offer: Offer; count: number; at: Instant }>();
  private arrivals: { at: Instant; job: Job }[] = [];

  constructor(private readonly options: FleetOptions) {}

  refused(key: string, now: Instant): void {
    this.refusedUntil.set(key, plus(now, REFUSED_FOR));
  }

  arrived(job: Job): void {
    this.arrivals.push({ at: job.releasedAt, job });
    if (this.arrivals.length > 2000) this.arrivals.splice(0, 1000);
  }

  private offers(types: readonly MachineType[], spec: JobSpec, now: Instant): Offer[] {
    const out: Offer[] = [];
    for (const type of types) {
      if (!allowsType(spec, type)) continue;
      for (const zone of type.zones) {
        if (!allowsZone(spec, zone)) continue;
        for (const spot of spec.spot ? [true, false] : [false]) {
          const until = this.refusedUntil.get(offerKey(type.name, zone, spot));
          if (until === undefined || now >= until) out.push({ type, zone, spot });
        }
      }
    }
    return out;
  }

  /** Rentals for what neither free nor booting machines will hold. */
  rent(
    cluster: Cluster,
    queue: readonly { job: Job; tasks: number }[],
    types: readonly MachineType[],
    now: Instant,
    isUsable: (machine: Machine) => boolean,
  ): ScaleOutRequest[] {
    const rooms: { type: string; zone: string; spot: boolean; room: Capacity; short: Capacity }[] = [];
    const byName = new Map(types.map((type) => [type.name, type]));
    for (const machine of cluster.machines.values()) {
      const type = byName.get(machine.type);
      if (type === undefined) continue;
      const booting =
        machine.lastHeartbeatAt === null &&
        machine.confirmed &&
        machine.releaseRequestedAt === null &&
        !machine.failed &&
        !hasElapsed(now, machine.createdAt, Duration.times(type.boot, 2));
      if (!isUsable(machine) && !booting) continue;
      const room = booting
        ? { cpus: type.cpus, gpus: type.gpus, memoryGb: type.memoryGb }
        : freeCapacity(machine);
      const short: Capacity = { cpus: 0, gpus: 0, memoryGb: 0 };
      for (const attempt of machine.attempts.values())
        if (attempt.spec !== null && attempt.spec.kind !== "service" && occupiesCapacity(attempt))
          reserve(attempt.spec, short, -this.options.reuse);
      if (room.cpus <= 1e-6 && short.cpus <= 1e-6) continue;
      rooms.push({ type: machine.type, zone: machine.zone, spot: machine.spot, room, short });
    }
    const coming = (offer: Offer, count: number): void => {
      const { cpus, gpus, memoryGb, name } = offer.type;
      for (let i = 0; i < count; i++)
        rooms.push({
          type: name,
          zone: offer.zone,
          spot: offer.spot,
          room: { cpus, gpus, memoryGb },
          short: { cpus: 0, gpus: 0, memoryGb: 0 },
        });
    };
    for (const { offer, count } of this.outstanding.values()) coming(offer, count);

    const take = (spec: JobSpec, tasks: number, useShort: boolean): number => {
      let left = tasks;
      for (const r of rooms) {
        if (left <= 0) break;
        if (!allowed(spec, r)) continue;
        for (const room of useShort ? [r.room, r.short] : [r.room]) {
          const n = Math.min(left, tasksThatFit(spec, room));
          reserve(spec, room, n);
          left -= n;
        }
      }
      return left;
    };
    // what several jobs need of the same kind is rented together: requests are few, machines many
    const out = new Map<string, ScaleOutRequest>();
    const want = (spec: JobSpec, tasks: number, useShort: boolean): void => {
      let left = take(spec, tasks, useShort);
      while (left > 0) {
        const offer = this.cheapest(types, spec, left, now, (key) => {
          const count = out.get(key)?.count;
          return count === undefined ? (out.size < MAX_RENTALS ? MAX_PER_RENTAL : 0) : MAX_PER_RENTAL - count;
        });
        if (offer === null) return;
        const key = offerKey(offer.type.name, offer.zone, offer.spot);
        out.set(key, { ...offer, count: offer.count + (out.get(key)?.count ?? 0) });
        coming(offer, offer.count);
        left = take(spec, left, false);
      }
    };
    for (const { job, tasks } of queue) want(job.spec, tasks, job.spec.kind === "array");
    for (const { spec, tasks } of this.expected(now)) want(spec, tasks, false);
    return [...out.values()];
  }

  /** Work that is likely to arrive within `warmFor`, from what arrived lately. */
  private expected(now: Instant): { spec: JobSpec; tasks: number }[] {
    const window = Duration.seconds(45);
    this.arrivals = this.arrivals.filter((a) => !hasElapsed(now, a.at, window));
    const byClass = new Map<string, { spec: JobSpec; tasks: number }>();
    for (const { job } of this.arrivals) {
      const { spec, rank } = job;
      if (rank === RANK.low) continue;
      const row = byClass.get(spec.className);
      if (row === undefined) byClass.set(spec.className, { spec, tasks: spec.tasks });
      else row.tasks += spec.tasks;
    }
    const share = Duration.toMillis(this.options.warmFor) / Duration.toMillis(window);
    return [...byClass.values()]
      .map(({ spec, tasks }) => ({ spec, tasks: Math.ceil(tasks * share) }))
      .filter((row) => row.tasks > 0);
  }

  expectedCpus(now: Instant): number {
    return this.expected(now).reduce((sum, { spec, tasks }) => sum + spec.cpus * tasks, 0);
  }

  /** `left`: how many machines of an offer may still be asked for in this round. */
  private cheapest(
    types: readonly MachineType[],
    spec: JobSpec,
    tasks: number,
    now: Instant,
    left: (key: string) => number,
  ): ScaleOutRequest | null {
    let best: ScaleOutRequest | null = null;
    let bestCost = Infinity;
    for (const offer of this.offers(types, spec, now)) {
      const { type, spot } = offer;
      const each = tasksThatFit(spec, type);
      const most = left(offerKey(type.name, offer.zone, spot));
      const count = Math.min(most, Math.ceil(tasks / each));
      if (count <= 0) continue;
      const price = spot ? type.spotPrice : type.price;
      const cost = (price * count) / Math.min(tasks, each * count);
      if (cost < bestCost - 1e-9) {
        best = { ...offer, count };
        bestCost = cost;
      }
    }
    return best;
  }

  /** Idle machines to return: never more than leaves room for the expected arrivals. */
  spare(
    cluster: Cluster,
    types: ReadonlyMap<string, MachineType>,
    now: Instant,
    isUsable: (machine: Machine) => boolean,
  ): Machine[] {
    const idle: Machine[] = [];
    const patience = (machine: Machine): Duration.Duration =>
      Duration.times(types.get(machine.type)?.boot ?? Duration.zero, this.options.idleBoots);
    for (const machine of cluster.machines.values())
      if (
        machine.idleSince !== null &&
        machine.releaseRequestedAt === null &&
        hasElapsed(now, machine.idleSince, patience(machine))
      )
        idle.push(machine);
    if (idle.length === 0) return [];
    const rooms = [...cluster.machines.values()]
      .filter(isUsable)
      .map((machine) => ({ m: machine, room: freeCapacity(machine) }));
    const needed = new Set<string>();
    // fullest first: what fits beside running work needs no idle machine
    rooms.sort((a, b) => a.room.cpus / a.m.cpus - b.room.cpus / b.m.cpus);
    for (const { spec, tasks } of this.expected(now)) {
      let left = tasks;
      for (const { m: machine, room } of rooms) {
        if (left <= 0) break;
        if (!allowed(spec, machine)) continue;
        const n = Math.min(left, tasksThatFit(spec, room));
        if (n <= 0) continue;
        reserve(spec, room, n);
        left -= n;
        needed.add(machine.id);
      }
    }
    return idle.filter((machine) => !needed.has(machine.id));
  }
}
