/**
 * Counts the machines that are out of contact, by kind of failure. A single silent machine is probably dead. Many at
 * once suggest a fault of the controllers or of the network, and releasing them all would end work that runs well.
 */
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import type { Instant } from "../time.js";
import { hasElapsed } from "../time.js";

/** Above this share of the machines, loss of contact suggests a fault of the controllers or of the network. */
const WIDESPREAD_MACHINES_SHARE = 0.25;
/** Above this share, just after a change of members, it suggests workers that have yet to find another controller. */
const NOTICEABLE_MACHINES_SHARE = 0.05;
/** Up to this many machines never count as widespread or noticeable, however small the cluster. */
const NEGLIGIBLE_MACHINES = 2;

/** Numbers of machines, counted once in each step of `ScaleIn`. */
export interface SilenceCounts {
  /** Machines that sent this leader a heartbeat. */
  readonly heard: number;
  /** Those of them whose last heartbeat is too old. */
  readonly silent: number;
  /** Machines of earlier terms that have not sent this leader a heartbeat. */
  readonly neverHeard: number;
  /** Machines that answer the leader's commands while their heartbeats reach no controller. */
  readonly renewalOverdue: number;
  /** Machines whose last command batch went unanswered. */
  readonly unreachable: number;
}

/** Whether so many machines are affected that the fault is probably not their own. */
export const isWidespread = (count: number, total: number): boolean =>
  count > Math.max(NEGLIGIBLE_MACHINES, total * WIDESPREAD_MACHINES_SHARE);

/** Whether so many machines are affected that a recent change of members may be the cause. */
export const isNoticeable = (count: number, total: number): boolean =>
  count > Math.max(NEGLIGIBLE_MACHINES, total * NOTICEABLE_MACHINES_SHARE);

/** Counts the machines that are out of contact. */
export const countSilence = (context: SchedulerContext, now: Instant): SilenceCounts => {
  const { byLastHeartbeat, unconfirmed, unreachable } = context.cluster;
  let silent = 0;
  // in order of their last heartbeats, the oldest first
  for (const machine of byLastHeartbeat) {
    if (
      machine.lastHeartbeatAt === null ||
      !hasElapsed(now, machine.lastHeartbeatAt, context.heartbeatMaxAge)
    )
      break;
    silent++;
  }
  let renewalOverdue = 0;
  for (const machine of byLastHeartbeat) if (context.isLeaseRenewalOverdue(machine, now)) renewalOverdue++;
  let neverHeard = 0;
  for (const machine of unconfirmed) if (machine.lastHeartbeatAt === null) neverHeard++;
  return { heard: byLastHeartbeat.size, silent, neverHeard, renewalOverdue, unreachable: unreachable.size };
};
