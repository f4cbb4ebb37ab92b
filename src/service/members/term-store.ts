/**
 * The term that this process knows, and since when it is known to be the current one. Two things show that: a renewal
 * of this process's own that read the term (S1), or the confirmation of every other node that none of them knows of a
 * newer one (S11).
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { isConfirmedByPeers, isWithinFencingWindow, type LeaseTimings } from "../../core/leases/term.js";
import type { TermRecord } from "../../core/records.js";
import { type Instant, hasElapsed } from "../../core/time.js";
import { now } from "../../io/clock.js";
import type { Row } from "../../io/codec.js";
import type { Log } from "../../io/log.js";
import { decodeTerm } from "../../io/record-codec.js";

/** How often it is checked whether the other nodes have to be asked, in fencing windows. */
const CHECK_INTERVAL_FENCING_WINDOWS = 0.25;
/** They are asked once the last renewal that showed the term is this old, in fencing windows. */
const RENEWAL_OVERDUE_FENCING_WINDOWS = 0.5;

/** What a term store works with. */
export interface TermStoreOptions {
  readonly timings: LeaseTimings;
  readonly log: Log;
  /** All nodes but this one: each has to confirm the term. */
  readonly otherMembers: readonly string[];
  /** Whether that node knows of no newer term; false also when it doesn't answer. */
  readonly askForConfirmation: (member: string, termNumber: number) => Effect.Effect<boolean>;
  /** Called with each newer term. */
  readonly onTerm: (term: TermRecord) => void;
}

/** Holds the current term, and for how long that is certain. */
export class TermStore {
  private current: TermRecord | null = null;
  private currentRevision = 0;
  /** When the last renewal that showed `current` as the current term was sent. */
  private renewalSentAt: Instant | null = null;
  /** By node: when the last question was sent whose answer was that it knows of no newer term. */
  private readonly peerConfirmations = new Map<string, Instant>();
  /** The highest term that this process has asked the state service to write, whatever became of it. */
  private attemptedTermNumber = 0;

  constructor(private readonly options: TermStoreOptions) {}

  /** The newest term known; null: none yet. */
  get term(): TermRecord | null {
    return this.current;
  }

  /** The revision of the newest term known; 0: none yet. */
  get revision(): number {
    return this.currentRevision;
  }

  /** The number of the newest term known; 0: none yet. */
  get number(): number {
    return this.current?.number ?? 0;
  }

  /** Takes in a term that was read or written, if it is newer than the one known. */
  adopt(row: Row | null): void {
    if (row === null || row.revision <= this.currentRevision) return;
    this.currentRevision = row.revision;
    const term = decodeTerm(row.value);
    this.current = term;
    // the fencing window counts from a renewal that showed *this* term
    this.renewalSentAt = null;
    this.peerConfirmations.clear();
    this.options.log.info(
      { termNumber: term.number, leader: term.leader, members: term.members.map((member) => member.name) },
      "new term",
    );
    this.options.onTerm(term);
  }

  /** A renewal succeeded that was sent then, and read this row of the term. */
  recordRenewal(row: Row | null, sentAt: Instant): void {
    this.adopt(row);
    if (row !== null && row.revision === this.currentRevision) this.renewalSentAt = sentAt;
  }

  /** This process's lease is over: its renewals count no more. */
  discardRenewal(): void {
    this.renewalSentAt = null;
  }

  /** Whether a renewal sent within the fencing window showed the term as current. */
  isConfirmedByRenewal(): boolean {
    return isWithinFencingWindow(this.options.timings, this.renewalSentAt, now());
  }

  /** Whether all other nodes were asked within the fencing window and knew of no newer term. */
  isConfirmedByPeers(): boolean {
    const { timings, otherMembers } = this.options;
    return isConfirmedByPeers(timings, otherMembers, this.peerConfirmations, now());
  }

  /** Whether the term names this process: the same member in the same incarnation. */
  hasMember(name: string, incarnation: number): boolean {
    return (
      this.current?.members.some((member) => member.name === name && member.incarnation === incarnation) ??
      false
    );
  }

  /** What this node answers another that asks whether its term is current: as far as is known or was begun here. */
  knowsNoNewerThan(termNumber: number): boolean {
    return Math.max(this.number, this.attemptedTermNumber) <= termNumber;
  }

  /**
   * This process is about to ask for that term to be written. The result takes it back, for when it certainly wasn't
   * written: what was no term must not keep this node from confirming the others' (S11).
   */
  recordAttempt(termNumber: number): () => void {
    const before = this.attemptedTermNumber;
    this.attemptedTermNumber = Math.max(before, termNumber);
    return () => {
      this.attemptedTermNumber = before;
    };
  }

  private isRenewalOverdue(): boolean {
    const limit = Duration.times(this.options.timings.fencingWindow, RENEWAL_OVERDUE_FENCING_WINDOWS);
    return this.renewalSentAt === null || hasElapsed(now(), this.renewalSentAt, limit);
  }

  /** The fencing window counts from before the question: what the node learns after its answer isn't in it. */
  private requestConfirmation(member: string, term: TermRecord): Effect.Effect<void> {
    const askedAt = now();
    return Effect.map(this.options.askForConfirmation(member, term.number), (confirmed) => {
      if (confirmed && this.current === term) this.peerConfirmations.set(member, askedAt);
    });
  }

  /** While renewals fail, asks all other nodes for their confirmation. `isInTerm`: whether the term names this process. */
  confirmByPeers(isInTerm: () => boolean): Effect.Effect<never> {
    const { timings, otherMembers } = this.options;
    return Effect.gen(this, function* () {
      yield* Effect.sleep(Duration.times(timings.fencingWindow, CHECK_INTERVAL_FENCING_WINDOWS));
      const term = this.current;
      if (!this.isRenewalOverdue() || term === null || !isInTerm()) return;
      yield* Effect.forEach(otherMembers, (member) => this.requestConfirmation(member, term), {
        concurrency: "unbounded",
        discard: true,
      });
    }).pipe(Effect.forever);
  }
}
