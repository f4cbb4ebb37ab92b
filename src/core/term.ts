/** Who leads, how long a node may act, and which member takes care of which machine. */
import * as Duration from "effect/Duration";
import { rendezvousOwner } from "#shards";
import { type Instant, passed, stretched } from "./time.js";
import type { TermMember, TermRecord } from "./records.js";

/** Every span that the safety argument of docs/design.md names, derived from the platform's settings. */
export interface Spans {
  /** Life of a member's lease in the state service. */
  readonly ttl: Duration.Duration;
  /** How long a node may act after sending the last renewal that showed its term current. */
  readonly fence: Duration.Duration;
  readonly renewEvery: Duration.Duration;
  readonly workerLease: Duration.Duration;
  readonly reportEvery: Duration.Duration;
  readonly cancel: Duration.Duration;
  /** How long after its last read of the jobs a node may act: cancels since then are not known to it. */
  readonly informed: Duration.Duration;
  /** From the start of a term on: after this, a machine that nobody answered holds nothing old. */
  readonly machineGone: Duration.Duration;
}

export const spansOf = (
  workers: { leaseS: number; reportS: number; cancelS: number },
  ttl: Duration.Duration,
): Spans => {
  // fence < ttl by a margin for drift and for delay; fence + lease_s < cancel_s
  const room = (workers.cancelS - workers.leaseS) * 1000 * 0.8;
  const fence = Duration.millis(Math.min(Duration.toMillis(ttl) * 0.8 - 100, room));
  const workerLease = Duration.seconds(workers.leaseS);
  return {
    ttl,
    fence,
    renewEvery: Duration.millis(Duration.toMillis(ttl) / 4),
    workerLease,
    reportEvery: Duration.seconds(workers.reportS),
    cancel: Duration.seconds(workers.cancelS),
    informed: Duration.millis(room),
    machineGone: Duration.sum(stretched(Duration.sum(fence, workerLease)), Duration.millis(500)),
  };
};

/** May this node act for the controllers? `confirmed` is when it *sent* the renewal that succeeded. */
export const entitled = (spans: Spans, confirmed: Instant | null, now: Instant): boolean =>
  confirmed !== null && !passed(now, confirmed, spans.fence);

/**
 * Does this node know recent enough ends of jobs to renew a worker's lease or to order a start? `read` is when it
 * *sent* the last request whose answer showed it every job that had ended by then. What it does after that may concern
 * a job that was cancelled since, and its tasks' leases have to end within `cancel_s` of that: neither a renewal of its
 * own nor the others' word says anything about cancels.
 */
export const informed = (spans: Spans, read: Instant | null, now: Instant): boolean =>
  read !== null && !passed(now, read, spans.informed);

/** Rendezvous hash: the member whose part a machine belongs to; members of its own zone come first. */
export const ownerOf = (term: TermRecord, machine: string, zone: string): TermMember | null =>
  rendezvousOwner(term.members, machine, zone);

/** The members that hold keys now make a new term when they differ from the ones the term names. */
export const sameMembers = (a: readonly TermMember[], b: readonly TermMember[]): boolean =>
  a.length === b.length &&
  a.every((m) => b.some((n) => n.name === m.name && n.incarnation === m.incarnation));

/** Since when every other node's word stands that it knows of no newer term; null: not every one's does. */
export const wordOfAll = (others: readonly string[], words: ReadonlyMap<string, Instant>): Instant | null => {
  let since: Instant | null = null;
  for (const other of others) {
    const at = words.get(other);
    if (at === undefined) return null;
    if (since === null || at < since) since = at;
  }
  return since;
};

/**
 * Within one term the leader may raise a single machine's token, so that orders of its own that got no answer die:
 * nobody else has to hear of it. What goes over the wire is term and step in one number.
 */
const STEPS = 1_000_000;
/** How many attempts one term has numbers for: the next term's begin where they end (S4). */
export const ATTEMPTS_PER_TERM = STEPS - 1;
export const tokenOf = (term: number, step = 0): number => term * STEPS + step;
export const termOf = (token: number): number => Math.floor(token / STEPS);
/** The number of a leader's n-th start under a term: unique for ever, since a token belongs to one leader (S4). */
export const attemptOf = (term: number, start: number): number => term * STEPS + start;
/** What a member answers a worker with: its term's token, or the higher one that the worker has from the leader. */
export const answerToken = (term: number, seen: number): number =>
  termOf(seen) === term ? seen : tokenOf(term);

/** May a node answer workers by the word of all others? Only nodes begin terms. */
export const entitledByWord = (
  spans: Spans,
  others: readonly string[],
  words: ReadonlyMap<string, Instant>,
  now: Instant,
): boolean => entitled(spans, wordOfAll(others, words), now);
