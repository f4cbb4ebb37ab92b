/** How many machines, of which type, where, and of which kind: what to rent for waiting work, and what to return. */
import * as Duration from "effect/Duration";
import type { Cluster, Job, Machine } from "../cluster/cluster.js";
import { freeCapacity, reserve, tasksThatFit } from "../placement/capacity.js";
import { allowsMachine } from "../placement/eligibility.js";
import type { MachineType } from "../records.js";
import { type Instant, hasElapsed } from "../time.js";
import { ArrivalForecast, type TaskDemand } from "./arrival-forecast.js";
import { type Offer, OfferCatalog, type ScaleOutRequest } from "./offers.js";
import { ScaleOutPlan } from "./scale-out-plan.js";

/** The operator's settings of the fleet's size. */
export interface FleetOptions {
  /** Share of the capacity now taken by short tasks that queued tasks of each kind may wait for. */
  readonly reuse: number;
  /** How long a machine stands idle before it is returned, in boot times of its type. */
  readonly idleBoots: number;
  /** How long arriving work is for which capacity is kept free. */
  readonly warmFor: Duration.Duration;
}

/** Waiting work: so many tasks of a job. */
export interface WaitingTasks {
  readonly job: Job;
  readonly tasks: number;
}

/** A request that the cloud hasn't answered yet. */
interface OutstandingRequest {
  readonly offer: Offer;
  readonly count: number;
  readonly requestedAt: Instant;
}

/** Remembers refusals, arrivals and requests under way. Pure: time comes in as an argument. */
export class Autoscaler {
  /** Requests without an answer, by the name under which each is stored (S10). */
  readonly outstandingRequests = new Map<string, OutstandingRequest>();
  private readonly catalog = new OfferCatalog();
  private readonly forecast: ArrivalForecast;

  /** `options`: the operator's settings, fixed while the process runs. */
  constructor(private readonly options: FleetOptions) {
    this.forecast = new ArrivalForecast(options.warmFor);
  }

  /** The cloud has no more machines of an offer for the moment; `key`: see `offerKey`. */
  markRefused(key: string, now: Instant): void {
    this.catalog.markRefused(key, now);
  }

  /** A job was released. */
  recordArrival(job: Job): void {
    this.forecast.recordArrival(job);
  }

  /** Processors that work likely to arrive soon needs. */
  expectedCpus(now: Instant): number {
    return this.forecast.expectedCpus(now);
  }

  /** Requests for what neither free nor booting machines will hold; waiting work comes before expected work. */
  scaleOut(
    cluster: Cluster,
    waiting: readonly WaitingTasks[],
    types: readonly MachineType[],
    now: Instant,
    isUsable: (machine: Machine) => boolean,
  ): ScaleOutRequest[] {
    const plan = new ScaleOutPlan((spec) => this.catalog.offersFor(types, spec, now));
    plan.addMachines(cluster.machines.values(), types, this.options.reuse, now, isUsable);
    for (const { offer, count } of this.outstandingRequests.values()) plan.addRequested(offer, count);
    for (const { job, tasks } of waiting)
      plan.provideFor({ spec: job.spec, tasks }, job.spec.kind === "array");
    for (const demand of this.forecast.expectedTasks(now)) plan.provideFor(demand, false);
    return plan.scaleOutRequests;
  }

  /** Idle machines to return: never more than leaves capacity for the expected arrivals. */
  surplusMachines(
    cluster: Cluster,
    types: ReadonlyMap<string, MachineType>,
    now: Instant,
    isUsable: (machine: Machine) => boolean,
  ): Machine[] {
    const idle = this.idleMachines(cluster, types, now);
    if (idle.length === 0) return [];
    const usable = [...cluster.machines.values()].filter(isUsable);
    const needed = machinesNeededFor(this.forecast.expectedTasks(now), usable);
    return idle.filter((machine) => !needed.has(machine.id));
  }

  /** Machines that have been idle for long enough to be returned. */
  private idleMachines(cluster: Cluster, types: ReadonlyMap<string, MachineType>, now: Instant): Machine[] {
    const idle: Machine[] = [];
    for (const machine of cluster.machines.values()) {
      if (machine.idleSince === null || machine.releaseRequestedAt !== null) continue;
      const boot = types.get(machine.type)?.bootTime ?? Duration.zero;
      if (hasElapsed(now, machine.idleSince, Duration.times(boot, this.options.idleBoots)))
        idle.push(machine);
    }
    return idle;
  }
}

/** Identifiers of the machines on which expected work will find capacity, if it comes. */
const machinesNeededFor = (demands: readonly TaskDemand[], machines: readonly Machine[]): Set<string> => {
  const needed = new Set<string>();
  const pools = machines.map((machine) => ({ machine, free: freeCapacity(machine) }));
  // fullest first: what fits beside running work needs no idle machine
  pools.sort((one, other) => one.free.cpus / one.machine.cpus - other.free.cpus / other.machine.cpus);
  for (const { spec, tasks } of demands) {
    let left = tasks;
    for (const { machine, free } of pools) {
      if (left <= 0) break;
      if (!allowsMachine(spec, machine)) continue;
      const fitting = Math.min(left, tasksThatFit(spec, free));
      if (fitting <= 0) continue;
      reserve(spec, free, fitting);
      left -= fitting;
      needed.add(machine.id);
    }
  }
  return needed;
};
