/** What every part of the leader's core shares: the cluster, the term, the machine types and the options. */
import * as Duration from "effect/Duration";
import { type Cluster, type Machine, newCluster, setMachine } from "../cluster/cluster.js";
import type { FleetOptions } from "../autoscaling/autoscaler.js";
import { isUsable } from "../placement/eligibility.js";
import type { Usage } from "../placement/quota.js";
import type { MachineType, Team, TermRecord } from "../records.js";
import type { LeaseTimings } from "../leases/term.js";
import { type Instant, hasElapsed } from "../time.js";
import { ZoneMembership } from "../leases/zone-membership.js";

/** After this long a worker gives a heartbeat up. */
const HEARTBEAT_TIMEOUT = Duration.seconds(4);
/** What a worker needs beyond that to reach another controller: a second's pause, and an allowance for delays. */
const RECONNECT_MARGIN = Duration.seconds(3);

/** What follows from the settings, and stays as it is while a leader leads. */
export interface SchedulerOptions {
  readonly timings: LeaseTimings;
  readonly teams: ReadonlyMap<string, Team>;
  readonly fleet: FleetOptions;
  /** How soon users expect tasks of a class to start, from the platform's objectives. */
  readonly startLatencyObjectives: ReadonlyMap<string, Duration.Duration>;
  /** Explicit ownership of machines, where it is used. */
  readonly ownership?: MachineOwnership;
}

/** What explicit ownership of machines says to the core. */
export interface MachineOwnership {
  /** No commands may be sent to the machine: its shard is being handed over. */
  isPaused(machine: string, zone: string): boolean;
  /** The member that commands go by, where that isn't the one which passes on the machine's heartbeats; null: it is. */
  routeOverride(machine: string, zone: string): string | null;
}

/** Shared by the parts of one `Scheduler`, which alone replaces the term. */
export class SchedulerContext {
  /** Jobs, machines and attempts. */
  readonly cluster: Cluster = newCluster();
  /** The machine types that the platform offers. */
  machineTypes: readonly MachineType[] = [];
  machineTypeByName = new Map<string, MachineType>();
  /** How long after its last message a machine may be given work. */
  readonly heartbeatMaxAge: Duration.Duration;
  /** How long a worker takes to be heard through another controller: its next heartbeat, its timeout, another attempt. */
  readonly reconnectTime: Duration.Duration;

  /** Begins with a leader's first term, which began at `termBegan`. */
  constructor(
    readonly options: SchedulerOptions,
    public term: TermRecord,
    public termBegan: Instant,
    /** Jobs not older than this revision were never in an older leader's hands. */
    readonly leaderRevision: number,
    readonly zones = new ZoneMembership(),
  ) {
    this.heartbeatMaxAge = Duration.sum(
      Duration.times(options.timings.heartbeatInterval, 1.25),
      Duration.millis(1500),
    );
    this.reconnectTime = Duration.sum(
      Duration.times(options.timings.heartbeatInterval, 1.25),
      Duration.sum(HEARTBEAT_TIMEOUT, RECONNECT_MARGIN),
    );
  }

  /** Takes over the platform's machine types, also for the machines that are known. */
  setMachineTypes(types: readonly MachineType[]): void {
    this.machineTypes = types;
    this.machineTypeByName = new Map(types.map((type) => [type.name, type]));
    for (const machine of this.cluster.machines.values()) this.applyType(machine);
  }

  /** Gives a machine the size of its type. */
  applyType(machine: Machine): void {
    const type = this.machineTypeByName.get(machine.type);
    if (type === undefined) return;
    const { cpus, gpus, memoryGb, cacheGb } = type;
    setMachine(this.cluster, machine, { cpus, gpus, memoryGb, cacheGb });
  }

  /** Whether a machine may be given work, as far as its own state says. */
  readonly isSchedulable = (machine: Machine, now: Instant): boolean =>
    isUsable(machine, now, this.heartbeatMaxAge) && !this.isLeaseRenewalOverdue(machine, now);

  /** Whether tasks may be started on it now: no batch is unanswered, and nothing of unknown size is on it (S6). */
  canStartTasks(machine: Machine, now: Instant): boolean {
    const isFree = !machine.commandsInFlight && !this.isPaused(machine);
    return this.isSchedulable(machine, now) && isFree && !this.cluster.orphanedAttemptCounts.has(machine);
  }

  /** Whether the machine's shard is being handed over: it gets no commands, but may be asked for heartbeats. */
  isPaused(machine: Machine): boolean {
    return this.options.ownership?.isPaused(machine.id, machine.zone) ?? false;
  }

  /**
   * Whether a machine is silent only because the members changed a moment ago: its worker has yet to find another
   * controller. Its capacity is about to be there again, so no other machine is rented in its place.
   */
  isReconnecting(machine: Machine, now: Instant): boolean {
    if (hasElapsed(now, this.termBegan, this.reconnectTime)) return false;
    const isInService =
      machine.recorded &&
      !machine.failed &&
      machine.releaseRequestedAt === null &&
      machine.reclaimAt === null &&
      machine.cordonedAt === null;
    if (!isInService) return false;
    if (machine.lastHeartbeatAt === null) return !machine.confirmed;
    return !hasElapsed(now, machine.lastHeartbeatAt, Duration.sum(this.heartbeatMaxAge, this.reconnectTime));
  }

  /** It answers direct questions, but its heartbeats reach nobody: its lease runs out, with all that is on it. */
  isLeaseRenewalOverdue(machine: Machine, now: Instant): boolean {
    const maxRenewalAge = Duration.sum(this.heartbeatMaxAge, this.options.timings.heartbeatInterval);
    return machine.leaseRenewedAt !== null && hasElapsed(now, machine.leaseRenewedAt, maxRenewalAge);
  }

  /** What a team's attempts use; not to be changed. */
  usageOf(team: string): Usage {
    return this.cluster.usageByTeam.get(team) ?? { cpus: 0, gpus: 0 };
  }
}
