/**
 * When a machine that is out of touch is given up. Releasing it proves that its tasks are over (S3), so that they can
 * start elsewhere; released too soon, it loses work that runs well. All waits are steady-clock durations.
 */
import * as Duration from "effect/Duration";
import type { Machine } from "../cluster/cluster.js";
import type { LeaseExpiry } from "../leases/lease-expiry.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { type Instant, hasElapsed, minus, plus } from "../time.js";
import { isNoticeable, isWidespread, type SilenceCounts } from "./silence-counts.js";

/** The cloud's answer to a release, and the start elsewhere. */
const RELEASE_DURATION = Duration.seconds(3);
/** Direct questions without an answer after which a machine is taken for hanging, or for deaf while it sends heartbeats. */
const UNRESPONSIVE_AFTER_BATCHES = 3;
/** Direct questions without an answer after which only silence of many machines leaves a doubt. */
const CONCLUSIVE_UNANSWERED_BATCHES = 2;
/** A member without an update for so long may be cut off together with its part of the machines. */
const MEMBER_CUT_OFF_AFTER = Duration.seconds(4);
/** Beyond the age at which a heartbeat is too old, before a machine is given up. */
const SILENCE_MARGIN = Duration.seconds(1);
/** How much longer a silent machine gets while the fault may be on the leader's side. */
const EXTRA_SILENCE_AFTER_SOME_BATCHES = Duration.seconds(3);
const EXTRA_SILENCE_BEFORE_ANY_BATCH = Duration.seconds(8);
/** The least that machines behind a cut get beyond others. */
const CUT_OFF_MARGIN = Duration.seconds(3);
/** Heartbeat intervals after the term began: until a machine can be deaf, or lost with its zone's members. */
const SETTLING_HEARTBEAT_INTERVALS = 2;
/** Heartbeat intervals for which machines are waited for when many were not heard from in this term. */
const WIDESPREAD_SILENCE_HEARTBEAT_INTERVALS = 5;

const laterOf = (one: Instant, other: Instant): Instant => (one >= other ? one : other);

/** Judges machines that are out of touch. */
export class SilenceRules {
  /** So long after its last answered heartbeat a machine's tasks go on for certain; a release takes a moment. */
  private readonly leaseLessRelease: Duration.Duration;
  /** How long a worker takes to be heard elsewhere: its next heartbeat, no answer to it, and another controller. */
  private readonly reconnectDuration: Duration.Duration;
  /** How long a machine is silent at the least before it is given up. */
  private readonly minSilence: Duration.Duration;
  /** How long a machine is silent before it is given up while it may be behind a cut. */
  private readonly cutOffSilence: Duration.Duration;

  /** `leaseExpiry`: says when a member's last update arrived. */
  constructor(
    private readonly context: SchedulerContext,
    private readonly leaseExpiry: LeaseExpiry,
  ) {
    this.leaseLessRelease = Duration.subtract(context.options.timings.workerLease, RELEASE_DURATION);
    this.reconnectDuration = Duration.min(this.leaseLessRelease, context.reconnectTime);
    this.minSilence = Duration.sum(context.heartbeatMaxAge, SILENCE_MARGIN);
    this.cutOffSilence = Duration.max(Duration.sum(this.minSilence, CUT_OFF_MARGIN), this.leaseLessRelease);
  }

  /** Whether a machine of an earlier term is given up: until it is gone, nothing that it may run can start elsewhere. */
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

  /** A zone whose members went before this leader began: its machines' leases have run since then at the latest. */
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

  /** Whether a machine whose last heartbeat, at `lastHeartbeatAt`, is too old is given up. */
  isDead(machine: Machine, lastHeartbeatAt: Instant, now: Instant, counts: SilenceCounts): boolean {
    const wait = this.allowedSilence(machine, now, isWidespread(counts.silent, counts.heard));
    // when members change, their workers have yet to find another one, and this node has its hands full: questions of
    // its own that time out then say little
    const settling = isNoticeable(counts.silent, counts.heard)
      ? this.reconnectDuration
      : Duration.min(this.minSilence, wait);
    return hasElapsed(now, lastHeartbeatAt, wait) && hasElapsed(now, this.context.termBegan, settling);
  }

  /**
   * How long a machine may be silent. Behind a cut its tasks go on until its lease ends; nothing is won by ending them
   * much sooner, but once the lease is over they are down until they start elsewhere. Where its member's updates go on
   * and direct questions stay unanswered, machines hang, however many.
   */
  private allowedSilence(machine: Machine, now: Instant, manyAreSilent: boolean): Duration.Duration {
    const mayBeControllerFault = manyAreSilent && machine.unansweredBatches < UNRESPONSIVE_AFTER_BATCHES;
    if (this.mayBeCutOff(machine, now) || mayBeControllerFault) return this.cutOffSilence;
    return Duration.sum(this.minSilence, this.extraSilence(machine, manyAreSilent));
  }

  /** A part whose member is silent too, or left, looks like a cut, not like a dead machine. */
  private mayBeCutOff(machine: Machine, now: Instant): boolean {
    const updatedAt = machine.relayedBy === null ? null : this.leaseExpiry.lastUpdateAt(machine.relayedBy);
    return updatedAt === null || hasElapsed(now, updatedAt, MEMBER_CUT_OFF_AFTER);
  }

  /** How much longer than usual a silent machine gets: with one way asked, or none yet, the fault may be on our side. */
  private extraSilence(machine: Machine, manyAreSilent: boolean): Duration.Duration {
    if (machine.unansweredBatches >= CONCLUSIVE_UNANSWERED_BATCHES)
      return manyAreSilent ? EXTRA_SILENCE_AFTER_SOME_BATCHES : Duration.zero;
    return machine.unansweredBatches === 1
      ? EXTRA_SILENCE_AFTER_SOME_BATCHES
      : EXTRA_SILENCE_BEFORE_ANY_BATCH;
  }

  /**
   * Whether the lease of a machine that answers the leader is about to end, since its heartbeats reach no controller.
   * Nothing is won by ending its tasks much sooner; a release lets them start elsewhere then.
   */
  isLeaseEnding(machine: Machine, now: Instant, counts: SilenceCounts): boolean {
    return (
      machine.leaseRenewedAt !== null &&
      hasElapsed(now, machine.leaseRenewedAt, this.leaseLessRelease) &&
      hasElapsed(now, this.context.termBegan, this.leaseLessRelease) &&
      !isWidespread(counts.renewalOverdue, counts.heard)
    );
  }

  /** Whether a machine's heartbeats arrive while no command reaches it: a release is the proof that it is over. */
  isUnresponsive(machine: Machine, now: Instant, counts: SilenceCounts): boolean {
    if (machine.unreachableSince === null || machine.unansweredBatches < UNRESPONSIVE_AFTER_BATCHES)
      return false;
    if (isWidespread(counts.unreachable, counts.heard)) return false;
    const { termBegan, options } = this.context;
    const wait = Duration.times(options.timings.heartbeatInterval, SETTLING_HEARTBEAT_INTERVALS);
    return hasElapsed(now, laterOf(machine.unreachableSince, termBegan), wait);
  }
}
