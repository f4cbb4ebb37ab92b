/** The spans of the safety argument, how long a node may act, fencing tokens, and which member owns which machine. */
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
  /** How often a node renews its lease. */
  readonly renewalInterval: Duration.Duration;
  /** How long a worker keeps its tasks after its last answered heartbeat. */
  readonly workerLease: Duration.Duration;
  /** How often a worker sends a heartbeat. */
  readonly heartbeatInterval: Duration.Duration;
  /** How long after a cancel a task may still run (S9). */
  readonly cancelDeadline: Duration.Duration;
  /** How long after its last read of the jobs a node may act: cancels since then are not known to it. */
  readonly jobViewMaxAge: Duration.Duration;
  /** From the start of a term on: after this, a machine that nobody answered runs nothing old (S3). */
  readonly machineExpiry: Duration.Duration;
}

/** Derives the spans so that S1, S3 and S9 hold; the settings are in seconds. */
export const leaseTimingsOf = (
  workers: { leaseS: number; reportS: number; cancelS: number },
  memberLease: Duration.Duration,
): LeaseTimings => {
  // the fencing window is shorter than the member's lease by a margin for drift and for delay, and together with the
  // worker's lease it is shorter than the cancel deadline
  const maxWindowMs = (workers.cancelS - workers.leaseS) * 1000 * 0.8;
  const fencingWindow = Duration.millis(Math.min(Duration.toMillis(memberLease) * 0.8 - 100, maxWindowMs));
  const workerLease = Duration.seconds(workers.leaseS);
  return {
    memberLease,
    fencingWindow,
    renewalInterval: Duration.millis(Duration.toMillis(memberLease) / 4),
    workerLease,
    heartbeatInterval: Duration.seconds(workers.reportS),
    cancelDeadline: Duration.seconds(workers.cancelS),
    jobViewMaxAge: Duration.millis(maxWindowMs),
    machineExpiry: Duration.sum(
      withClockDrift(Duration.sum(fencingWindow, workerLease)),
      Duration.millis(500),
    ),
  };
};

/** May this node act for the controllers (S1)? `confirmedAt` is when it *sent* the renewal that succeeded. */
export const isWithinFencingWindow = (
  timings: LeaseTimings,
  confirmedAt: Instant | null,
  now: Instant,
): boolean => confirmedAt !== null && !hasElapsed(now, confirmedAt, timings.fencingWindow);

/**
 * Does this node know recent enough ends of jobs to renew a worker's lease or to command a start (S9)? `readSentAt` is when it
 * *sent* the last request whose answer showed it every job that had ended by then. What it does after that may concern
 * a job that was cancelled since, and its tasks' leases have to end within `cancel_s` of that: neither a renewal of its
 * own nor its peers' confirmation says anything about cancels.
 */
export const hasFreshJobView = (timings: LeaseTimings, readSentAt: Instant | null, now: Instant): boolean =>
  readSentAt !== null && !hasElapsed(now, readSentAt, timings.jobViewMaxAge);

/** Rendezvous hash: the member whose partition a machine belongs to; members of its own zone come first. */
export const ownerOf = (term: TermRecord, machine: string, zone: string): TermMember | null =>
  rendezvousOwner(term.members, machine, zone);

/** Whether two lists name the same processes: a new term begins when the members' keys differ from the term's list. */
export const sameMembers = (members: readonly TermMember[], others: readonly TermMember[]): boolean =>
  members.length === others.length &&
  members.every((member) =>
    others.some((other) => other.name === member.name && other.incarnation === member.incarnation),
  );

/** Since when every other node confirms that it knows of no newer term (S11); null: not every one does. */
export const oldestPeerConfirmation = (
  otherMembers: readonly string[],
  confirmations: ReadonlyMap<string, Instant>,
): Instant | null => {
  let oldest: Instant | null = null;
  for (const other of otherMembers) {
    const at = confirmations.get(other);
    if (at === undefined) return null;
    if (oldest === null || at < oldest) oldest = at;
  }
  return oldest;
};

/**
 * Within one term the leader may raise a single machine's token, so that commands of its own that got no answer die:
 * nobody else has to hear of it. What goes over the wire is term and step in one number.
 */
const FENCING_TOKENS_PER_TERM = 1_000_000;
/** How many attempts one term has numbers for: the next term's begin where they end (S4). */
export const ATTEMPTS_PER_TERM = FENCING_TOKENS_PER_TERM - 1;
/** The token of a term, raised `step` times for one machine (S2). */
export const fencingTokenOf = (termNumber: number, step = 0): number =>
  termNumber * FENCING_TOKENS_PER_TERM + step;
/** The term of a token. */
export const termNumberOf = (token: number): number => Math.floor(token / FENCING_TOKENS_PER_TERM);
/** The number of a leader's n-th start under a term: unique for ever, since a token belongs to one leader (S4). */
export const attemptNumberOf = (termNumber: number, startNumber: number): number =>
  termNumber * FENCING_TOKENS_PER_TERM + startNumber;
/** What a member answers a worker with: its term's token, or the higher one that the worker has from the leader. */
export const fencingTokenForAnswer = (termNumber: number, workerToken: number): number =>
  termNumberOf(workerToken) === termNumber ? workerToken : fencingTokenOf(termNumber);

/** May a node answer workers because all others confirm its term (S11)? Only nodes begin terms. */
export const isConfirmedByPeers = (
  timings: LeaseTimings,
  otherMembers: readonly string[],
  confirmations: ReadonlyMap<string, Instant>,
  now: Instant,
): boolean => isWithinFencingWindow(timings, oldestPeerConfirmation(otherMembers, confirmations), now);
