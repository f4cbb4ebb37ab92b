/**
 * The newest term that this process knows, and since when it is known to be current. Two things show that it is: a
 * lease renewal of this process that read the term (S1), or the confirmation of all other nodes that they know of no
 * newer term (S11).
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

/** Pause between two checks whether the other nodes have to be asked for confirmation. */
const CHECK_INTERVAL_FENCING_WINDOWS = 0.25;
/** The other nodes are asked once the last renewal that showed the term is older than this. */
const RENEWAL_OVERDUE_FENCING_WINDOWS = 0.5;

/** Settings and dependencies of `TermStore`. */
export interface TermStoreOptions {
  readonly timings: LeaseTimings;
  readonly log: Log;
  /** All nodes but this one; each has to confirm the term. */
  readonly otherMembers: readonly string[];
  /** Whether that node knows of no newer term; false also if it doesn't answer. */
  readonly askForConfirmation: (member: string, termNumber: number) => Effect.Effect<boolean>;
  /** Called with each newer term. */
  readonly onTerm: (term: TermRecord) => void;
}

/** Holds the newest term, and knows whether it is certainly the current one. */
export class TermStore {
  private current: TermRecord | null = null;
  private currentRevision = 0;
  /** When the last renewal that showed that `current` is the current term was sent; null: there was none. */
  private renewalSentAt: Instant | null = null;
  /** By node, when the last request was sent that it answered with a confirmation of `current`. */
  private readonly peerConfirmations = new Map<string, Instant>();
  /** The highest term number that this process tried to write, unless the write certainly wasn't carried out. */
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

  /** Takes over a term that was read or written if it is newer than the known one. */
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
      "adopted a new term",
    );
    this.options.onTerm(term);
  }

  /** Records a successful renewal that read this row of the term. */
  recordRenewal(row: Row | null, sentAt: Instant): void {
    this.adopt(row);
    if (row !== null && row.revision === this.currentRevision) this.renewalSentAt = sentAt;
  }

  /** Discards the last renewal, because this process's lease has ended. */
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

  /** Whether the term names this member in this incarnation. */
  hasMember(name: string, incarnation: number): boolean {
    return (
      this.current?.members.some((member) => member.name === name && member.incarnation === incarnation) ??
      false
    );
  }

  /** Whether this process knows of no term newer than that number, and hasn't tried to write one. */
  knowsNoNewerThan(termNumber: number): boolean {
    return Math.max(this.number, this.attemptedTermNumber) <= termNumber;
  }

  /**
   * Records that this process is about to write a term. The returned function undoes that, if the term certainly wasn't
   * written: a term that doesn't exist must not keep this node from confirming the terms of others (S11).
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

  /** Asks one node. Its confirmation counts from the request: the node may learn of a newer term right after it. */
  private requestConfirmation(member: string, term: TermRecord): Effect.Effect<void> {
    const askedAt = now();
    return Effect.map(this.options.askForConfirmation(member, term.number), (confirmed) => {
      if (confirmed && this.current === term) this.peerConfirmations.set(member, askedAt);
    });
  }

  /** While renewals fail, asks all other nodes to confirm the term. `isInTerm`: whether the term names this process. */
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
