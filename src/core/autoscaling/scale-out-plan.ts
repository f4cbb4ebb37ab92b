/**
 * Plans one round of scale-out: packs work onto capacity that is free, booting or already requested, and requests
 * machines for the rest at the lowest price per task.
 */
import * as Duration from "effect/Duration";
import { type Machine, occupiesCapacity } from "../cluster/cluster.js";
import { type Capacity, freeCapacity, reserve, tasksThatFit } from "../placement/capacity.js";
import { allowsMachine } from "../placement/eligibility.js";
import { CAPACITY_EPSILON } from "../placement/quota.js";
import type { JobSpec, MachineType } from "../records.js";
import { type Instant, hasElapsed } from "../time.js";
import type { TaskDemand } from "./arrival-forecast.js";
import { type Offer, offerKey, type ScaleOutRequest } from "./offers.js";

/** The cloud's limit on one request. */
const MAX_MACHINES_PER_REQUEST = 50;
/** Most requests in one round. */
const MAX_REQUESTS_PER_ROUND = 3;
/** A machine that has sent no heartbeat after this many boot times no longer counts as booting. */
const MAX_BOOT_TIMES = 2;
/** Costs per task that differ by less count as equal; the earlier offer is taken. */
const COST_EPSILON = 1e-9;

/** Capacity of one machine that exists, boots or was requested. */
interface CapacityPool {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly free: Capacity;
  /** Capacity that is occupied by short tasks, and for whose end arrays may wait. */
  readonly reusable: Capacity;
}

const noCapacity = (): Capacity => ({ cpus: 0, gpus: 0, memoryGb: 0 });

const capacityOf = ({ cpus, gpus, memoryGb }: MachineType): Capacity => ({ cpus, gpus, memoryGb });

/** Whether a machine was rented recently and has not yet sent its first heartbeat. */
const isBooting = (machine: Machine, type: MachineType, now: Instant): boolean =>
  machine.lastHeartbeatAt === null &&
  machine.confirmed &&
  machine.releaseRequestedAt === null &&
  !machine.failed &&
  !hasElapsed(now, machine.createdAt, Duration.times(type.bootTime, MAX_BOOT_TIMES));

/** `reuse`: share of the capacity occupied by short tasks that counts as soon available. */
const reusableCapacity = (machine: Machine, reuse: number): Capacity => {
  const reusable = noCapacity();
  for (const attempt of machine.attempts.values())
    if (attempt.spec !== null && attempt.spec.kind !== "service" && occupiesCapacity(attempt))
      reserve(attempt.spec, reusable, -reuse);
  return reusable;
};

/** Available capacity and requested machines of one round. */
export class ScaleOutPlan {
  private readonly pools: CapacityPool[] = [];
  private readonly requests = new Map<string, ScaleOutRequest>();

  /** `offersFor`: the offers on which a job's tasks can run, without recently refused ones. */
  constructor(private readonly offersFor: (spec: JobSpec) => readonly Offer[]) {}

  /** Adds the capacity of machines that are usable or booting; `reuse`: see `FleetOptions`. */
  addMachines(
    machines: Iterable<Machine>,
    types: readonly MachineType[],
    reuse: number,
    now: Instant,
    isUsable: (machine: Machine) => boolean,
  ): void {
    const typeByName = new Map(types.map((type) => [type.name, type]));
    for (const machine of machines) {
      const type = typeByName.get(machine.type);
      if (type === undefined) continue;
      const booting = isBooting(machine, type, now);
      if (!isUsable(machine) && !booting) continue;
      const free = booting ? capacityOf(type) : freeCapacity(machine);
      const reusable = reusableCapacity(machine, reuse);
      if (free.cpus <= CAPACITY_EPSILON && reusable.cpus <= CAPACITY_EPSILON) continue;
      this.pools.push({ type: machine.type, zone: machine.zone, spot: machine.spot, free, reusable });
    }
  }

  /** Adds the capacity of machines that were requested and don't exist yet. */
  addRequested({ type, zone, spot }: Offer, count: number): void {
    for (let machine = 0; machine < count; machine++)
      this.pools.push({ type: type.name, zone, spot, free: capacityOf(type), reusable: noCapacity() });
  }

  /**
   * Reserves capacity for tasks, and requests machines for those that don't fit. Several jobs' needs of the same offer
   * go into one request, since the number of requests is limited. `mayReuse`: the tasks may wait for short ones to end.
   */
  provideFor({ spec, tasks }: TaskDemand, mayReuse: boolean): void {
    let left = this.packOntoPools(spec, tasks, mayReuse);
    while (left > 0) {
      const request = this.cheapestRequest(spec, left);
      if (request === null) return;
      const key = offerKey(request.type.name, request.zone, request.spot);
      this.requests.set(key, { ...request, count: request.count + (this.requests.get(key)?.count ?? 0) });
      this.addRequested(request, request.count);
      left = this.packOntoPools(spec, left, false);
    }
  }

  /** Reserves capacity for as many tasks as fit; returns how many don't. */
  private packOntoPools(spec: JobSpec, tasks: number, mayReuse: boolean): number {
    let left = tasks;
    for (const pool of this.pools) {
      if (left <= 0) break;
      if (!allowsMachine(spec, pool)) continue;
      for (const capacity of mayReuse ? [pool.free, pool.reusable] : [pool.free]) {
        const fitting = Math.min(left, tasksThatFit(spec, capacity));
        reserve(spec, capacity, fitting);
        left -= fitting;
      }
    }
    return left;
  }

  /** The request, for some of the tasks, with the lowest cost per task; null: no more machines can be requested. */
  private cheapestRequest(spec: JobSpec, tasks: number): ScaleOutRequest | null {
    let best: ScaleOutRequest | null = null;
    let bestCost = Infinity;
    for (const offer of this.offersFor(spec)) {
      const { type, zone, spot } = offer;
      const tasksPerMachine = tasksThatFit(spec, type);
      const requestable = this.requestableMachines(offerKey(type.name, zone, spot));
      const count = Math.min(requestable, Math.ceil(tasks / tasksPerMachine));
      if (count <= 0) continue;
      const price = spot ? type.spotPrice : type.price;
      const costPerTask = (price * count) / Math.min(tasks, tasksPerMachine * count);
      if (costPerTask < bestCost - COST_EPSILON) {
        best = { ...offer, count };
        bestCost = costPerTask;
      }
    }
    return best;
  }

  /** How many more machines of an offer may be requested in this round. */
  private requestableMachines(key: string): number {
    const count = this.requests.get(key)?.count;
    if (count !== undefined) return MAX_MACHINES_PER_REQUEST - count;
    return this.requests.size < MAX_REQUESTS_PER_ROUND ? MAX_MACHINES_PER_REQUEST : 0;
  }

  /** Requests for the tasks that fit neither free nor booting machines. */
  get scaleOutRequests(): ScaleOutRequest[] {
    return [...this.requests.values()];
  }
}
