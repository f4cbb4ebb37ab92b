/**
 * Drains underused machines without ending work early, so that they can be released. While nothing waits and more
 * capacity is free than will probably be needed soon, the machines with the most expensive unused capacity get no new
 * work. Short tasks run to their end there. Replicas are moved if all of them fit beside other running work on
 * machines that have their image in the cache, so that the interruption is just a stop and a start. When work waits,
 * the machines are used again.
 */
import { isWaitingForCapacity } from "../heartbeats/attempt-results.js";
import { type TaskAttempt, type Machine, occupiesCapacity } from "../cluster/cluster.js";
import { freeCapacity, type Capacity, tasksThatFit, reserve } from "../placement/capacity.js";
import { allowsMachine } from "../placement/eligibility.js";
import type { JobSpec } from "../records.js";
import { isMovableReplica } from "../scheduler/reconciler.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import type { Instant } from "../time.js";

/** Share of all machines from which replicas may be moving at the same time. */
const MAX_MOVING_SHARE = 0.02;
/** Most machines whose draining begins in one step: the larger of a number and a share of all machines. */
const EVICTIONS_PER_STEP = 4;
const EVICTIONS_PER_STEP_SHARE = 0.0025;
/** Processors to keep free in addition to those for expected work, as a share of the processors in use. */
const SPARE_CPUS_SHARE = 0.1;
/** A machine is underused if at most this share of its processors is in use. */
const MAX_UNDERUSED_CPUS_SHARE = 0.5;

interface EvictionTarget {
  readonly machine: Machine;
  /** Free capacity that is not yet reserved for a replica. */
  readonly free: Capacity;
}

const isReplica = (attempt: TaskAttempt): boolean =>
  attempt.spec?.kind === "service" && occupiesCapacity(attempt);

const replicasOn = (machine: Machine): TaskAttempt[] => [...machine.attempts.values()].filter(isReplica);

/** Decides which machines are drained; the reconciler moves the replicas on them. */
export class GracefulEviction {
  constructor(private readonly context: SchedulerContext) {}

  /** Starts and cancels drains. `expectedCpus`: processors needed by work that is expected soon. */
  step(now: Instant, expectedCpus: number): void {
    const { cluster } = this.context;
    const draining = [...cluster.machines.values()].filter((machine) => machine.draining);
    if (
      [...cluster.pendingJobs].some((job) => job.spec.kind !== "service" && isWaitingForCapacity(job, now))
    ) {
      for (const machine of draining) machine.draining = false;
      if (draining.length > 0) cluster.capacityVersion++;
      return;
    }
    const ready = [...cluster.byLastHeartbeat].filter((machine) => this.context.isSchedulable(machine, now));
    const moving = draining.filter((machine) => [...machine.attempts.values()].some(isReplica)).length;
    this.evict(ready, moving, expectedCpus, now);
  }

  /** `movingNow`: number of machines from which replicas are already moving. */
  private evict(ready: readonly Machine[], movingNow: number, expectedCpus: number, now: Instant): void {
    const { cluster } = this.context;
    let freeCpus = 0;
    let usedCpus = 0;
    for (const machine of ready) {
      freeCpus += machine.cpus - machine.used.cpus;
      usedCpus += machine.used.cpus;
    }
    const targets = this.evictionTargets(ready);
    const cpusToKeep = expectedCpus + usedCpus * SPARE_CPUS_SHARE;
    const maxMoving = Math.max(1, cluster.machines.size * MAX_MOVING_SHARE);
    let moving = movingNow;
    let evictionsLeft = Math.max(EVICTIONS_PER_STEP, cluster.machines.size * EVICTIONS_PER_STEP_SHARE);
    for (const machine of this.mostExpensiveUnderused(ready)) {
      if (evictionsLeft <= 0) return;
      // both its free and its used processors have to be available elsewhere
      if (freeCpus - machine.cpus < cpusToKeep) continue;
      const replicas = replicasOn(machine);
      if (replicas.length > 0) {
        if (moving >= maxMoving || !this.canMove(machine, replicas, targets, now)) continue;
        moving++;
      }
      freeCpus -= machine.cpus;
      evictionsLeft--;
      machine.draining = true;
      cluster.reconcileQueue.add(machine);
    }
  }

  /** Underused machines, ordered by the cost of their unused processors, the highest first. */
  private mostExpensiveUnderused(ready: readonly Machine[]): Machine[] {
    return ready
      .filter(
        (machine) =>
          machine.attempts.size > 0 && machine.used.cpus <= machine.cpus * MAX_UNDERUSED_CPUS_SHARE,
      )
      .map((machine) => ({
        machine,
        unusedCost: this.price(machine) * (1 - machine.used.cpus / machine.cpus),
      }))
      .sort((one, other) => other.unusedCost - one.unusedCost)
      .map(({ machine }) => machine);
  }

  private price(machine: Machine): number {
    const type = this.context.machineTypeByName.get(machine.type);
    if (type === undefined) return 0;
    return machine.spot ? type.spotPrice : type.price;
  }

  /** Machines with free capacity beside other running work. */
  private evictionTargets(ready: readonly Machine[]): EvictionTarget[] {
    return ready
      .filter((machine) => this.context.cluster.capacityIndex.has(machine) && machine.attempts.size > 0)
      .map((machine) => ({ machine, free: freeCapacity(machine) }));
  }

  /** Whether all replicas fit elsewhere. Capacity found for them stays reserved even if one of them fits nowhere. */
  private canMove(
    machine: Machine,
    replicas: readonly TaskAttempt[],
    targets: readonly EvictionTarget[],
    now: Instant,
  ): boolean {
    return replicas.every((attempt) => {
      const { spec } = attempt;
      if (spec === null || !isMovableReplica(attempt, now) || spec.oneZone || spec.spreadOverZones)
        return false;
      if (!this.context.cluster.jobs.has(attempt.job)) return false;
      const target = targets.find((candidate) => candidate.machine !== machine && canHost(candidate, spec));
      if (target === undefined) return false;
      reserve(spec, target.free, 1);
      return true;
    });
  }
}

const canHost = ({ machine, free }: EvictionTarget, spec: JobSpec): boolean =>
  !machine.draining &&
  machine.images.has(spec.image) &&
  allowsMachine(spec, machine) &&
  tasksThatFit(spec, free) > 0;
