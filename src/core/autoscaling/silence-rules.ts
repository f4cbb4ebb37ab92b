/**
 * Decides when a machine that is out of contact is given up and released. The release proves that its tasks have ended
 * (S3), so that they can start elsewhere; a release too early ends work that runs well. All times are on the monotonic
 * clock.
 */
import * as Duration from "effect/Duration";
import type { Machine } from "../cluster/cluster.js";
import type { LeaseExpiry } from "../leases/lease-expiry.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { type Instant, hasElapsed, minus, plus } from "../time.js";
import { isNoticeable, isWidespread, type SilenceCounts } from "./silence-counts.js";

/** Time for the cloud to answer a release and for the tasks to start elsewhere. */
const RELEASE_DURATION = Duration.seconds(3);
/** Consecutive unanswered command batches after which a machine counts as unresponsive, even if it sends heartbeats. */
const UNRESPONSIVE_AFTER_BATCHES = 3;
/** Consecutive unanswered command batches after which further silence is allowed only if many machines are silent. */
const CONCLUSIVE_UNANSWERED_BATCHES = 2;
/** A member that has sent no update for this long may be cut off from the network together with its partition. */
const MEMBER_CUT_OFF_AFTER = Duration.seconds(4);
/** How much longer than the greatest age of a fresh heartbeat a machine is silent before it is given up. */
const SILENCE_MARGIN = Duration.seconds(1);
/** Further silence allowed while the fault may be the leader's: after some unanswered batches, and before any. */
const EXTRA_SILENCE_AFTER_SOME_BATCHES = Duration.seconds(3);
const EXTRA_SILENCE_BEFORE_ANY_BATCH = Duration.seconds(8);
/** Least further silence that is allowed to machines that may be cut off from the network. */
const CUT_OFF_MARGIN = Duration.seconds(3);
/** Heartbeat intervals after the term began before a machine can be unresponsive, or lost with its zone's members. */
const SETTLING_HEARTBEAT_INTERVALS = 2;
/** Heartbeat intervals after the term began before machines are lost if many have not sent a heartbeat. */
const WIDESPREAD_SILENCE_HEARTBEAT_INTERVALS = 5;

const laterOf = (one: Instant, other: Instant): Instant => (one >= other ? one : other);

/** Judges machines that are out of contact. */
export class SilenceRules {
  /** The worker's lease less the time that a release takes: a release at this age costs little of the lease. */
  private readonly leaseLessRelease: Duration.Duration;
  /** How long a worker takes to reach another controller: its next heartbeat, that one's time-out, another try. */
  private readonly reconnectDuration: Duration.Duration;
  /** Shortest silence after which a machine is given up. */
  private readonly minSilence: Duration.Duration;
  /** Silence after which a machine that may be cut off from the network is given up. */
  private readonly cutOffSilence: Duration.Duration;

  /** `leaseExpiry`: knows when each member's last update arrived. */
  constructor(
    private readonly context: SchedulerContext,
    private readonly leaseExpiry: LeaseExpiry,
  ) {
    this.leaseLessRelease = Duration.subtract(context.options.timings.workerLease, RELEASE_DURATION);
    this.reconnectDuration = Duration.min(this.leaseLessRelease, context.reconnectTime);
    this.minSilence = Duration.sum(context.heartbeatMaxAge, SILENCE_MARGIN);
    this.cutOffSilence = Duration.max(Duration.sum(this.minSilence, CUT_OFF_MARGIN), this.leaseLessRelease);
  }

  /**
   * Whether a machine that has not sent this leader a heartbeat is given up. Until it is released, nothing that it may
   * run can start elsewhere.
   */
  isLostSinceFailover(machine: Machine, now: Instant, counts: SilenceCounts): boolean {
    const { cluster } = this.context;
    return isWidespread(counts.neverHeard, cluster.machines.size)
      ? this.isLostAmongMany(machine, now)
      : this.isLostAmongFew(machine, now, isNoticeable(counts.neverHeard, cluster.machines.size));
  }

  private isLostAmongFew(machine: Machine, now: Instant, mayBeReconnecting: boolean): boolean {
    const { termBegan, options } = this.context;
    const { heartbeatInterval } = options.timings;
    const wait = Duration.sum(
      mayBeReconnecting ? this.reconnectDuration : heartbeatInterval,
      machine.unansweredBatches >= UNRESPONSIVE_AFTER_BATCHES ? Duration.zero : heartbeatInterval,
    );
    return hasElapsed(now, termBegan, wait);
  }

  /** If a zone lost its members before this leader began, its machines' leases began to run out then at the latest. */
  private isLostAmongMany(machine: Machine, now: Instant): boolean {
    const { termBegan, options, zones } = this.context;
    const { heartbeatInterval, memberLease } = options.timings;
    const zoneLostSince = zones.memberlessSince(machine.zone);
    const lostAt =
      zoneLostSince === null
        ? plus(
            termBegan,
            Duration.min(
              Duration.times(heartbeatInterval, WIDESPREAD_SILENCE_HEARTBEAT_INTERVALS),
              this.leaseLessRelease,
            ),
          )
        : minus(plus(zoneLostSince, this.leaseLessRelease), Duration.sum(memberLease, heartbeatInterval));
    const settling = Duration.times(heartbeatInterval, SETTLING_HEARTBEAT_INTERVALS);
    return now >= lostAt && hasElapsed(now, termBegan, settling);
  }

  /** Whether a machine is given up whose last heartbeat, at `lastHeartbeatAt`, is too old. */
  isDead(machine: Machine, lastHeartbeatAt: Instant, now: Instant, counts: SilenceCounts): boolean {
    const wait = this.allowedSilence(machine, now, isWidespread(counts.silent, counts.heard));
    // after a change of members, workers have yet to find another one, and this node is busy: its own command batches
    // may time out, which says little about the machine
    const settling = isNoticeable(counts.silent, counts.heard)
      ? this.reconnectDuration
      : Duration.min(this.minSilence, wait);
    return hasElapsed(now, lastHeartbeatAt, wait) && hasElapsed(now, this.context.termBegan, settling);
  }

  /**
   * How long a machine may be silent. If it is cut off from the network, its tasks run on until its lease ends: ending
   * them much earlier gains nothing, but after the lease they are down until they start elsewhere. If its member's
   * updates arrive while its command batches stay unanswered, it hangs, however many other machines do as well.
   */
  private allowedSilence(machine: Machine, now: Instant, manyAreSilent: boolean): Duration.Duration {
    const mayBeControllerFault = manyAreSilent && machine.unansweredBatches < UNRESPONSIVE_AFTER_BATCHES;
    if (this.mayBeCutOff(machine, now) || mayBeControllerFault) return this.cutOffSilence;
    return Duration.sum(this.minSilence, this.extraSilence(machine, manyAreSilent));
  }

  /** If the machine's member is silent too, or gone, a network fault is more likely than a dead machine. */
  private mayBeCutOff(machine: Machine, now: Instant): boolean {
    const updatedAt = machine.relayedBy === null ? null : this.leaseExpiry.lastUpdateAt(machine.relayedBy);
    return updatedAt === null || hasElapsed(now, updatedAt, MEMBER_CUT_OFF_AFTER);
  }

  /** Further silence to allow: with one command batch unanswered, or none sent yet, the fault may be the leader's. */
  private extraSilence(machine: Machine, manyAreSilent: boolean): Duration.Duration {
    if (machine.unansweredBatches >= CONCLUSIVE_UNANSWERED_BATCHES)
      return manyAreSilent ? EXTRA_SILENCE_AFTER_SOME_BATCHES : Duration.zero;
    return machine.unansweredBatches === 1
      ? EXTRA_SILENCE_AFTER_SOME_BATCHES
      : EXTRA_SILENCE_BEFORE_ANY_BATCH;
  }

  /**
   * Whether the lease of a machine is about to end because its heartbeats reach no controller, although it answers the
   * leader's commands. Ending its tasks much earlier gains nothing; its release then lets them start elsewhere.
   */
  isLeaseEnding(machine: Machine, now: Instant, counts: SilenceCounts): boolean {
    return (
      machine.leaseRenewedAt !== null &&
      hasElapsed(now, machine.leaseRenewedAt, this.leaseLessRelease) &&
      hasElapsed(now, this.context.termBegan, this.leaseLessRelease) &&
      !isWidespread(counts.renewalOverdue, counts.heard)
    );
  }

  /** Whether a machine sends heartbeats but answers no commands: only its release proves that its tasks have ended. */
  isUnresponsive(machine: Machine, now: Instant, counts: SilenceCounts): boolean {
    if (machine.unreachableSince === null || machine.unansweredBatches < UNRESPONSIVE_AFTER_BATCHES)
      return false;
    if (isWidespread(counts.unreachable, counts.heard)) return false;
    const { termBegan, options } = this.context;
    const wait = Duration.times(options.timings.heartbeatInterval, SETTLING_HEARTBEAT_INTERVALS);
    return hasElapsed(now, laterOf(machine.unreachableSince, termBegan), wait);
  }
}
