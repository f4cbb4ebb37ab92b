/**
 * One round of renting: work is packed onto capacity that is free, booting or asked for, and machines are requested for
 * the rest, each time at the lowest price per task.
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

/** The cloud rents no more in one request. */
const MAX_MACHINES_PER_REQUEST = 50;
/** Requests in one round. */
const MAX_REQUESTS_PER_ROUND = 3;
/** A machine that hasn't come up after so many boot times is counted on no longer. */
const MAX_BOOT_TIMES = 2;
/** Costs per task closer than this count as equal: the earlier offer stays. */
const COST_EPSILON = 1e-9;

/** Capacity of one machine, present or to come. */
interface CapacityPool {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly free: Capacity;
  /** What short tasks occupy now and arrays may wait for. */
  readonly reusable: Capacity;
}

const noCapacity = (): Capacity => ({ cpus: 0, gpus: 0, memoryGb: 0 });

const capacityOf = ({ cpus, gpus, memoryGb }: MachineType): Capacity => ({ cpus, gpus, memoryGb });

/** Whether a machine was rented lately and has yet to send its first heartbeat. */
const isBooting = (machine: Machine, type: MachineType, now: Instant): boolean =>
  machine.lastHeartbeatAt === null &&
  machine.confirmed &&
  machine.releaseRequestedAt === null &&
  !machine.failed &&
  !hasElapsed(now, machine.createdAt, Duration.times(type.bootTime, MAX_BOOT_TIMES));

/** `reuse`: share of what short tasks occupy that counts as capacity to come. */
const reusableCapacity = (machine: Machine, reuse: number): Capacity => {
  const reusable = noCapacity();
  for (const attempt of machine.attempts.values())
    if (attempt.spec !== null && attempt.spec.kind !== "service" && occupiesCapacity(attempt))
      reserve(attempt.spec, reusable, -reuse);
  return reusable;
};

/** What one round of renting has counted and asked for so far. */
export class ScaleOutPlan {
  private readonly pools: CapacityPool[] = [];
  private readonly requests = new Map<string, ScaleOutRequest>();

  /** `offersFor`: offers on which a job's tasks can run and which weren't refused a moment ago. */
  constructor(private readonly offersFor: (spec: JobSpec) => readonly Offer[]) {}

  /** Counts the capacity of machines that are usable or booting; `reuse`: see `FleetOptions`. */
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

  /** Counts machines that were asked for and aren't there yet. */
  addRequested({ type, zone, spot }: Offer, count: number): void {
    for (let machine = 0; machine < count; machine++)
      this.pools.push({ type: type.name, zone, spot, free: capacityOf(type), reusable: noCapacity() });
  }

  /**
   * Finds capacity for tasks, and requests machines for those that are left over. What several jobs need of the same
   * kind is requested together: requests are few, machines many. `mayReuse`: the tasks may wait until short ones end.
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

  /** Reserves capacity for as many tasks as fit; says how many are left over. */
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

  /** The request for some of the tasks that costs the least per task; null: nothing more can be asked for. */
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

  /** How many machines of an offer may still be asked for in this round. */
  private requestableMachines(key: string): number {
    const count = this.requests.get(key)?.count;
    if (count !== undefined) return MAX_MACHINES_PER_REQUEST - count;
    return this.requests.size < MAX_REQUESTS_PER_ROUND ? MAX_MACHINES_PER_REQUEST : 0;
  }

  /** Requests for what neither free nor booting machines will hold. */
  get scaleOutRequests(): ScaleOutRequest[] {
    return [...this.requests.values()];
  }
}
