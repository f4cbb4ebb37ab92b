/**
 * How many machines are out of touch in each way. One silent machine is probably dead; many at once point to a trouble
 * of the controllers or of the network, and releasing them all would end work that runs well.
 */
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import type { Instant } from "../time.js";
import { hasElapsed } from "../time.js";

/** Above this share of all machines, silence looks like a trouble of the controllers. */
const WIDESPREAD_MACHINES_SHARE = 0.25;
/** Above this share, right after members changed, it looks like workers that have yet to find another controller. */
const NOTICEABLE_MACHINES_SHARE = 0.05;
/** So few machines are never many, however small the cluster. */
const NEGLIGIBLE_MACHINES = 2;

/** Numbers of machines, counted once in a step of the scale-in. */
export interface SilenceCounts {
  /** Machines heard from in this term. */
  readonly heard: number;
  /** Of these, machines whose last heartbeat is too old. */
  readonly silent: number;
  /** Machines of earlier terms that were not heard from in this one. */
  readonly neverHeard: number;
  /** Machines that answer the leader while their heartbeats reach no controller. */
  readonly renewalOverdue: number;
  /** Machines whose heartbeats arrive while commands don't reach them. */
  readonly unreachable: number;
}

/** Whether so many machines of a whole are too many to be at fault themselves. */
export const isWidespread = (count: number, total: number): boolean =>
  count > Math.max(NEGLIGIBLE_MACHINES, total * WIDESPREAD_MACHINES_SHARE);

/** Whether so many machines of a whole may be explained by a change of members a moment ago. */
export const isNoticeable = (count: number, total: number): boolean =>
  count > Math.max(NEGLIGIBLE_MACHINES, total * NOTICEABLE_MACHINES_SHARE);

/** Counts the machines that are out of touch. */
export const countSilence = (context: SchedulerContext, now: Instant): SilenceCounts => {
  const { byLastHeartbeat, unconfirmed, unreachable } = context.cluster;
  let silent = 0;
  // the longest silent come first
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
