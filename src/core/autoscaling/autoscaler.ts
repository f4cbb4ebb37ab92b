/** Sizes the fleet: which machines to rent for waiting and expected work, and which idle machines to release. */
import * as Duration from "effect/Duration";
import type { Cluster, Job, Machine } from "../cluster/cluster.js";
import { freeCapacity, reserve, tasksThatFit } from "../placement/capacity.js";
import { allowsMachine } from "../placement/eligibility.js";
import type { MachineType } from "../records.js";
import { type Instant, hasElapsed } from "../time.js";
import { ArrivalForecast, type TaskDemand } from "./arrival-forecast.js";
import { type Offer, OfferCatalog, type ScaleOutRequest } from "./offers.js";
import { ScaleOutPlan } from "./scale-out-plan.js";

/** The operators' settings for the size of the fleet. */
export interface FleetOptions {
  /** Share of the capacity occupied by short tasks for whose end arrays wait instead of renting machines. */
  readonly reuse: number;
  /** How long a machine is idle before it is released, as a multiple of its type's boot time. */
  readonly idleBoots: number;
  /** How far ahead capacity is kept for expected arrivals. */
  readonly warmFor: Duration.Duration;
}

/** A number of waiting tasks of a job. */
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

/** Keeps track of refused offers, arrivals and outstanding requests. Does no I/O and reads no clock. */
export class Autoscaler {
  /** Unanswered requests, by the name of their rental record (S10). */
  readonly outstandingRequests = new Map<string, OutstandingRequest>();
  private readonly catalog = new OfferCatalog();
  private readonly forecast: ArrivalForecast;

  /** `options`: fixed while the process runs. */
  constructor(private readonly options: FleetOptions) {
    this.forecast = new ArrivalForecast(options.warmFor);
  }

  /** Records that the cloud has no more machines of an offer at present; `key`: see `offerKey`. */
  markRefused(key: string, now: Instant): void {
    this.catalog.markRefused(key, now);
  }

  /** Records that a job was released. */
  recordArrival(job: Job): void {
    this.forecast.recordArrival(job);
  }

  /** Number of processors needed by work that is expected soon. */
  expectedCpus(now: Instant): number {
    return this.forecast.expectedCpus(now);
  }

  /** Requests for the tasks that fit neither free nor booting machines; waiting tasks come before expected ones. */
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

  /** Idle machines to release, without those that are needed for expected arrivals. */
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

  /** Machines that have been idle for long enough to be released. */
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

/** Ids of the machines onto which the expected tasks are packed. */
const machinesNeededFor = (demands: readonly TaskDemand[], machines: readonly Machine[]): Set<string> => {
  const needed = new Set<string>();
  const pools = machines.map((machine) => ({ machine, free: freeCapacity(machine) }));
  // fullest first: tasks that fit beside running work need no idle machine
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
