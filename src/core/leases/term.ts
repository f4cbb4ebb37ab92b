/** Who leads, how long a node may act, and which member takes care of which machine. */
import * as Duration from "effect/Duration";
import { rendezvousOwner } from "#shards";
import { type Instant, hasElapsed, withClockDrift } from "../time.js";
import type { TermMember, TermRecord } from "../records.js";

/** Every span that the safety argument of docs/design.md names, derived from the platform's settings. */
export interface LeaseTimings {
  /** Life of a member's lease in the state service. */
  readonly memberLease: Duration.Duration;
  /** How long a node may act after sending the last renewal that showed its term current. */
  readonly fencingWindow: Duration.Duration;
  readonly renewalInterval: Duration.Duration;
  readonly workerLease: Duration.Duration;
  readonly heartbeatInterval: Duration.Duration;
  readonly cancelDeadline: Duration.Duration;
  /** How long after its last read of the jobs a node may act: cancels since then are not known to it. */
  readonly jobViewMaxAge: Duration.Duration;
  /** From the start of a term on: after this, a machine that nobody answered holds nothing old. */
  readonly machineExpiry: Duration.Duration;
}

export const leaseTimingsOf = (
  workers: { leaseS: number; reportS: number; cancelS: number },
  memberLease: Duration.Duration,
): LeaseTimings => {
  // fence < ttl by a margin for drift and for delay; fence + lease_s < cancel_s
  const room = (workers.cancelS - workers.leaseS) * 1000 * 0.8;
  const fencingWindow = Duration.millis(Math.min(Duration.toMillis(memberLease) * 0.8 - 100, room));
  const workerLease = Duration.seconds(workers.leaseS);
  return {
    memberLease,
    fencingWindow,
    renewalInterval: Duration.millis(Duration.toMillis(memberLease) / 4),
    workerLease,
    heartbeatInterval: Duration.seconds(workers.reportS),
    cancelDeadline: Duration.seconds(workers.cancelS),
    jobViewMaxAge: Duration.millis(room),
    machineExpiry: Duration.sum(
      withClockDrift(Duration.sum(fencingWindow, workerLease)),
      Duration.millis(500),
    ),
  };
};

/** May this node act for the controllers? `confirmed` is when it *sent* the renewal that succeeded. */
export const isWithinFencingWindow = (
  timings: LeaseTimings,
  confirmed: Instant | null,
  now: Instant,
): boolean => confirmed !== null && !hasElapsed(now, confirmed, timings.fencingWindow);

/**
 * Does this node know recent enough ends of jobs to renew a worker's lease or to order a start? `read` is when it
 * *sent* the last request whose answer showed it every job that had ended by then. What it does after that may concern
 * a job that was cancelled since, and its tasks' leases have to end within `cancel_s` of that: neither a renewal of its
 * own nor the others' word says anything about cancels.
 */
export const hasFreshJobView = (timings: LeaseTimings, read: Instant | null, now: Instant): boolean =>
  read !== null && !hasElapsed(now, read, timings.jobViewMaxAge);

/** Rendezvous hash: the member whose part a machine belongs to; members of its own zone come first. */
export const ownerOf = (term: TermRecord, machine: string, zone: string): TermMember | null =>
  rendezvousOwner(term.members, machine, zone);

/** The members that hold keys now make a new term when they differ from the ones the term names. */
export const sameMembers = (members: readonly TermMember[], b: readonly TermMember[]): boolean =>
  members.length === b.length &&
  members.every((member) => b.some((n) => n.name === member.name && n.incarnation === member.incarnation));

/** Since when every other node's word stands that it knows of no newer term; null: not every one's does. */
export const oldestPeerConfirmation = (
  others: readonly string[],
  words: ReadonlyMap<string, Instant>,
): Instant | null => {
  let since: Instant | null = null;
  for (const other of others) {
    const at = words.get(other);
    if (at === undefined) return null;
    if (since === null || at < since) since = at;
  }
  return since;
};

/**
 * Within one term the leader may raise a single machine's token, so that commands of its own that got no answer die:
 * nobody else has to hear of it. What goes over the wire is term and step in one number.
 */
const FENCING_TOKENS_PER_TERM = 1_000_000;
/** How many attempts one term has numbers for: the next term's begin where they end (S4). */
export const ATTEMPTS_PER_TERM = FENCING_TOKENS_PER_TERM - 1;
export const fencingTokenOf = (term: number, step = 0): number => term * FENCING_TOKENS_PER_TERM + step;
export const termNumberOf = (token: number): number => Math.floor(token / FENCING_TOKENS_PER_TERM);
/** The number of a leader's n-th start under a term: unique for ever, since a token belongs to one leader (S4). */
export const attemptOf = (term: number, start: number): number => term * FENCING_TOKENS_PER_TERM + start;
/** What a member answers a worker with: its term's token, or the higher one that the worker has from the leader. */
export const fencingTokenForAnswer = (term: number, seen: number): number =>
  termNumberOf(seen) === term ? seen : fencingTokenOf(term);

/** May a node answer workers by the word of all others? Only nodes begin terms. */
export const isConfirmedByPeers = (
  timings: LeaseTimings,
  others: readonly string[],
  words: ReadonlyMap<string, Instant>,
  now: Instant,
): boolean => isWithinFencingWindow(timings, oldestPeerConfirmation(others, words), now);
