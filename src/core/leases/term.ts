/** Lease timings, the checks whether a node may act under its term, fencing tokens, and ownership of machines. */
import * as Duration from "effect/Duration";
import { rendezvousOwner } from "#shards";
import { type Instant, hasElapsed, withClockDrift } from "../time.js";
import type { TermMember, TermRecord } from "../records.js";

/** The durations named in the safety argument of docs/design.md, derived from the platform's settings. */
export interface LeaseTimings {
  /** Duration of a member's lease in the state service. */
  readonly memberLease: Duration.Duration;
  /** How long a node may act after it sent the last renewal that showed its term to be current. */
  readonly fencingWindow: Duration.Duration;
  /** How often a member renews its lease. */
  readonly renewalInterval: Duration.Duration;
  /** How long a worker keeps its tasks running after its last answered heartbeat. */
  readonly workerLease: Duration.Duration;
  /** How often a worker sends a heartbeat. */
  readonly heartbeatInterval: Duration.Duration;
  /** How long a task may still run after its job was cancelled (S9). */
  readonly cancelDeadline: Duration.Duration;
  /** How long a node may act after it last read the jobs: it doesn't know of cancels since then. */
  readonly jobViewMaxAge: Duration.Duration;
  /** A machine that no member has answered for this long since a term began has ended its earlier tasks (S3). */
  readonly machineExpiry: Duration.Duration;
}

/** Derives the timings so that S1, S3 and S9 hold. The worker settings are in seconds. */
export const leaseTimingsOf = (
  workers: { leaseS: number; reportS: number; cancelS: number },
  memberLease: Duration.Duration,
): LeaseTimings => {
  // the fencing window is shorter than the member's lease, with a margin for clock drift and delays; together with
  // the worker's lease it is also shorter than the cancel deadline
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

/** Whether a node may act under its term (S1). `confirmedAt`: when it *sent* the renewal that confirmed the term. */
export const isWithinFencingWindow = (
  timings: LeaseTimings,
  confirmedAt: Instant | null,
  now: Instant,
): boolean => confirmedAt !== null && !hasElapsed(now, confirmedAt, timings.fencingWindow);

/**
 * Whether a node's knowledge of ended jobs is recent enough for it to renew workers' leases or to start tasks (S9).
 * `readSentAt`: when it *sent* the last request whose answer showed every job that had ended by then. A job may have
 * been cancelled since, and its tasks have to end within `cancel_s` of that. Neither the renewal of the node's own
 * lease nor its peers' confirmations say anything about cancels.
 */
export const hasFreshJobView = (timings: LeaseTimings, readSentAt: Instant | null, now: Instant): boolean =>
  readSentAt !== null && !hasElapsed(now, readSentAt, timings.jobViewMaxAge);

/** The member that owns a machine by rendezvous hashing, where members of the machine's own zone come first. */
export const ownerOf = (term: TermRecord, machine: string, zone: string): TermMember | null =>
  rendezvousOwner(term.members, machine, zone);

/** Whether two lists name the same processes. If the members' keys differ from the term's list, a new term begins. */
export const sameMembers = (members: readonly TermMember[], others: readonly TermMember[]): boolean =>
  members.length === others.length &&
  members.every((member) =>
    others.some((other) => other.name === member.name && other.incarnation === member.incarnation),
  );

/** The oldest of the other nodes' latest confirmations that they know of no newer term (S11); null: one is missing. */
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
 * A fencing token is the term's number and a step, combined into one number. Within a term the leader may raise the
 * step of a single machine to invalidate its own unanswered commands, without informing any other node.
 */
const FENCING_TOKENS_PER_TERM = 1_000_000;
/** How many attempts can be numbered in one term; the numbers of the next term follow on (S4). */
export const ATTEMPTS_PER_TERM = FENCING_TOKENS_PER_TERM - 1;
/** The last step of a machine's token in a term; the next token is that of the next term (S2). */
export const MAX_TOKEN_STEP = FENCING_TOKENS_PER_TERM - 1;
/** The token of a term, after it was raised `step` times for a machine (S2). */
export const fencingTokenOf = (termNumber: number, step = 0): number =>
  termNumber * FENCING_TOKENS_PER_TERM + step;
/** The number of the term that a token belongs to. */
export const termNumberOf = (token: number): number => Math.floor(token / FENCING_TOKENS_PER_TERM);
/** The attempt number of a leader's n-th start in a term; never reused, since a term has only one leader (S4). */
export const attemptNumberOf = (termNumber: number, startNumber: number): number =>
  termNumber * FENCING_TOKENS_PER_TERM + startNumber;
/** The token for the answer to a worker: the term's, or the worker's own if the leader raised it within this term. */
export const fencingTokenForAnswer = (termNumber: number, workerToken: number): number =>
  termNumberOf(workerToken) === termNumber ? workerToken : fencingTokenOf(termNumber);

/**
 * Whether a node may answer workers because all other nodes have confirmed its term (S11). This is sufficient since
 * only nodes begin terms.
 */
export const isConfirmedByPeers = (
  timings: LeaseTimings,
  otherMembers: readonly string[],
  confirmations: ReadonlyMap<string, Instant>,
  now: Instant,
): boolean => isWithinFencingWindow(timings, oldestPeerConfirmation(otherMembers, confirmations), now);
