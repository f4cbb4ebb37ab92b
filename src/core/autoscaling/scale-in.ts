/** Decides which machines are released as faulty, silent or emptied; `autoscaler.ts` decides on idle ones. */
import * as Duration from "effect/Duration";
import { type Machine, occupiesCapacity } from "../cluster/cluster.js";
import type { LeaseExpiry } from "../leases/lease-expiry.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { type Instant, hasElapsed } from "../time.js";
import type { ScaleInPlan, ScaleInReason } from "./scale-in-reason.js";
import { countSilence, type SilenceCounts } from "./silence-counts.js";
import { SilenceRules } from "./silence-rules.js";

/** How long the cloud may take to answer a release before it is requested again, if no other releases wait. */
const REPEAT_RELEASE_AFTER = Duration.seconds(5);
/** Rate at which the cloud releases machines, at the least: one request for a hundred machines a second. */
const MIN_RELEASES_PER_SECOND = 100;
/** A machine has this many boot times of its type to send its first heartbeat. */
const BOOT_TIMES_ALLOWED = 2.5;
/** Boot time assumed for a machine whose type isn't known. */
const UNKNOWN_BOOT_TIME = Duration.seconds(60);

/** Decides on releases; a step examines each machine once. */
export class ScaleIn {
  private readonly silenceRules: SilenceRules;

  /** `leaseExpiry`: knows when each member's last update arrived. */
  constructor(
    private readonly context: SchedulerContext,
    leaseExpiry: LeaseExpiry,
  ) {
    this.silenceRules = new SilenceRules(context, leaseExpiry);
  }

  /** Machines to release now, by reason. */
  step(now: Instant): ScaleInPlan {
    const plan: ScaleInPlan = new Map();
    const counts = countSilence(this.context, now);
    const repeatAfter = this.repeatAfter();
    for (const machine of this.context.cluster.machines.values()) {
      if (machine.releaseRequestedAt !== null && !hasElapsed(now, machine.releaseRequestedAt, repeatAfter))
        continue;
      const reason = this.reasonFor(machine, now, counts);
      if (reason === null) continue;
      const machines = plan.get(reason);
      if (machines === undefined) plan.set(reason, [machine.id]);
      else machines.push(machine.id);
    }
    return plan;
  }

  /** Grows with the number of releases under way, which the cloud handles in turn: repeats would lengthen its queue. */
  private repeatAfter(): Duration.Duration {
    let releasing = 0;
    for (const machine of this.context.cluster.machines.values())
      if (machine.releaseRequestedAt !== null) releasing++;
    return Duration.sum(REPEAT_RELEASE_AFTER, Duration.seconds(releasing / MIN_RELEASES_PER_SECOND));
  }

  /** The first reason that applies, which is the one logged: faults, then silence, then emptied machines. */
  private reasonFor(machine: Machine, now: Instant, counts: SilenceCounts): ScaleInReason | null {
    if (machine.releaseRequestedAt !== null) return "repeat";
    if (machine.failed) return "failed";
    if (machine.lastHeartbeatAt === null) {
      if (machine.confirmed) return this.isBootOverdue(machine, now) ? "never came up" : null;
      return this.silenceRules.isLostSinceFailover(machine, now, counts) ? "silent since take-over" : null;
    }
    if (hasElapsed(now, machine.lastHeartbeatAt, this.context.heartbeatMaxAge))
      return this.silenceRules.isDead(machine, machine.lastHeartbeatAt, now, counts) ? "silent" : null;
    if (this.silenceRules.isLeaseEnding(machine, now, counts)) return "reaches no controller";
    if (this.silenceRules.isUnresponsive(machine, now, counts)) return "doesn't hear";
    return this.emptiedReason(machine);
  }

  private isBootOverdue(machine: Machine, now: Instant): boolean {
    const boot = this.context.machineTypeByName.get(machine.type)?.bootTime ?? UNKNOWN_BOOT_TIME;
    return hasElapsed(now, machine.createdAt, Duration.times(boot, BOOT_TIMES_ALLOWED));
  }

  /** Draining and cordoned machines are released once nothing runs on them any more. */
  private emptiedReason(machine: Machine): ScaleInReason | null {
    if (machine.draining && machine.attempts.size === 0 && !machine.commandsInFlight) return "drained";
    if (machine.cordonedAt === null || [...machine.attempts.values()].some(occupiesCapacity)) return null;
    return machine.cordonedAsSlow ? "slow" : "fails tasks";
  }
}
