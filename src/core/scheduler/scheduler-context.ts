/** State shared by all parts of the scheduler: the cluster, the term, the machine types and the options. */
import * as Duration from "effect/Duration";
import { type Cluster, type Machine, newCluster, setMachine } from "../cluster/cluster.js";
import type { FleetOptions } from "../autoscaling/autoscaler.js";
import { isUsable } from "../placement/eligibility.js";
import type { Usage } from "../placement/quota.js";
import type { MachineType, Team, TermRecord } from "../records.js";
import type { LeaseTimings } from "../leases/term.js";
import { type Instant, hasElapsed } from "../time.js";
import { ZoneMembership } from "../leases/zone-membership.js";

/** How long a worker waits for the answer to a heartbeat before it tries another controller. */
const HEARTBEAT_TIMEOUT = Duration.seconds(4);
/** Time a worker needs beyond that to reach another controller: its pause of one second, and some delay. */
const RECONNECT_MARGIN = Duration.seconds(3);

/** Scheduler options derived from the settings; constant while a leader leads. */
export interface SchedulerOptions {
  readonly timings: LeaseTimings;
  readonly teams: ReadonlyMap<string, Team>;
  readonly fleet: FleetOptions;
  /** How soon tasks of each class are expected to start, from the platform's objectives. */
  readonly startLatencyObjectives: ReadonlyMap<string, Duration.Duration>;
  /** Explicit ownership of machines by shard; absent: rendezvous hashing assigns them. */
  readonly ownership?: MachineOwnership;
}

/** Explicit ownership of machines, as far as the scheduler needs to know about it. */
export interface MachineOwnership {
  /** Whether commands to the machine are paused because its shard is being handed over. */
  isPaused(machine: string, zone: string): boolean;
  /** The member through which to send the machine's commands; null: the one that relays its heartbeats. */
  routeOverride(machine: string, zone: string): string | null;
}

/** Shared by the parts of one `Scheduler`; only the scheduler itself replaces the term. */
export class SchedulerContext {
  /** Jobs, machines and attempts. */
  readonly cluster: Cluster = newCluster();
  /** The machine types that the platform offers. */
  machineTypes: readonly MachineType[] = [];
  /** The same by name. */
  machineTypeByName = new Map<string, MachineType>();
  /** A machine is given work only if its latest heartbeat is younger than this. */
  readonly heartbeatMaxAge: Duration.Duration;
  /** How long a worker may take to reach another controller: its next heartbeat, that one's timeout, and a retry. */
  readonly reconnectTime: Duration.Duration;

  /** Created with a leader's first term, which began at `termBegan`. */
  constructor(
    readonly options: SchedulerOptions,
    public term: TermRecord,
    public termBegan: Instant,
    /** The revision of the leader's key: earlier leaders never started tasks of jobs with a higher one (S5). */
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

  /** Replaces the machine types and updates the sizes of all known machines. */
  setMachineTypes(types: readonly MachineType[]): void {
    this.machineTypes = types;
    this.machineTypeByName = new Map(types.map((type) => [type.name, type]));
    for (const machine of this.cluster.machines.values()) this.applyType(machine);
  }

  /** Sets a machine's size from its type. */
  applyType(machine: Machine): void {
    const type = this.machineTypeByName.get(machine.type);
    if (type === undefined) return;
    const { cpus, gpus, memoryGb, cacheGb } = type;
    setMachine(this.cluster, machine, { cpus, gpus, memoryGb, cacheGb });
  }

  /** Whether a machine is healthy enough to be given new work; batches in flight and free capacity aside. */
  readonly isSchedulable = (machine: Machine, now: Instant): boolean =>
    isUsable(machine, now, this.heartbeatMaxAge) && !this.isLeaseRenewalOverdue(machine, now);

  /** Whether tasks may be started on a machine now: no batch is in flight and no task of unknown size on it (S6). */
  canStartTasks(machine: Machine, now: Instant): boolean {
    const isFree = !machine.commandsInFlight && !this.isPaused(machine);
    return this.isSchedulable(machine, now) && isFree && !this.cluster.orphanedAttemptCounts.has(machine);
  }

  /** Whether the machine's shard is being handed over: it is sent no commands, but may still be probed. */
  isPaused(machine: Machine): boolean {
    return this.options.ownership?.isPaused(machine.id, machine.zone) ?? false;
  }

  /**
   * Whether a machine is probably silent only because the membership just changed and its worker hasn't yet reached
   * another controller. Its capacity is expected back, so no replacement is rented.
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

  /**
   * Whether no member has answered the machine's heartbeats for too long, although it may answer commands. Its lease
   * then expires, which ends its tasks.
   */
  isLeaseRenewalOverdue(machine: Machine, now: Instant): boolean {
    const maxRenewalAge = Duration.sum(this.heartbeatMaxAge, this.options.timings.heartbeatInterval);
    return machine.leaseRenewedAt !== null && hasElapsed(now, machine.leaseRenewedAt, maxRenewalAge);
  }

  /** Capacity in use by a team's attempts. Callers must not modify it. */
  usageOf(team: string): Usage {
    return this.cluster.usageByTeam.get(team) ?? { cpus: 0, gpus: 0 };
  }
}
