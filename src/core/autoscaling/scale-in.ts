/** Which machines go back to the cloud for a fault, for silence, or because they were emptied; idle ones: `autoscaler.ts`. */
import * as Duration from "effect/Duration";
import { type Machine, occupiesCapacity } from "../cluster/cluster.js";
import type { LeaseExpiry } from "../leases/lease-expiry.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { type Instant, hasElapsed } from "../time.js";
import type { ScaleInPlan, ScaleInReason } from "./scale-in-reason.js";
import { countSilence, type SilenceCounts } from "./silence-counts.js";
import { SilenceRules } from "./silence-rules.js";

/** How long the cloud may take to answer a release before it is requested again, with no other releases waiting. */
const REPEAT_RELEASE_AFTER = Duration.seconds(5);
/** Machines that the cloud releases in a second at the least, one request of a hundred. */
const MIN_RELEASES_PER_SECOND = 100;
/** How many boot times a machine has to come up. */
const BOOT_TIMES_ALLOWED = 2.5;
/** The boot time of a machine whose type isn't known. */
const UNKNOWN_BOOT_TIME = Duration.seconds(60);

/** Decides on releases, one look at each machine in a step. */
export class ScaleIn {
  private readonly silenceRules: SilenceRules;

  /** `leaseExpiry`: says when a member's last update arrived. */
  constructor(
    private readonly context: SchedulerContext,
    leaseExpiry: LeaseExpiry,
  ) {
    this.silenceRules = new SilenceRules(context, leaseExpiry);
  }

  /** Machines to be released now, by reason. */
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

  /** While many are released, requests wait for their turn: repeated sooner, they would only make the queue longer. */
  private repeatAfter(): Duration.Duration {
    let releasing = 0;
    for (const machine of this.context.cluster.machines.values())
      if (machine.releaseRequestedAt !== null) releasing++;
    return Duration.sum(REPEAT_RELEASE_AFTER, Duration.seconds(releasing / MIN_RELEASES_PER_SECOND));
  }

  /** Faults come before silence, and silence before what may wait; the first reason that holds is the one logged. */
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

  /** Evicted or cordoned machines go once nothing runs on them any more. */
  private emptiedReason(machine: Machine): ScaleInReason | null {
    if (machine.draining && machine.attempts.size === 0 && !machine.commandsInFlight) return "drained";
    if (machine.cordonedAt === null || [...machine.attempts.values()].some(occupiesCapacity)) return null;
    return machine.cordonedAsSlow ? "slow" : "fails tasks";
  }
}
