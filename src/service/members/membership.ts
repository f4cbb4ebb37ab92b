/**
 * This process's membership in the cluster, as the rest of the controller sees it: whether it is a member, which term
 * is in force, whether it leads, and what it may do right now (S1, S9, S11). Brings together the lease keeper, the
 * registry of members, the election, and the terms.
 */
import * as Effect from "effect/Effect";
import { hasFreshJobView, sameMembers, type LeaseTimings } from "../../core/leases/term.js";
import type { TermRecord } from "../../core/records.js";
import type { Instant } from "../../core/time.js";
import { now } from "../../io/clock.js";
import type { Log } from "../../io/log.js";
import type { StateClient, StateError } from "../../io/state-client.js";
import { RejectionBackoff } from "../rejection-backoff.js";
import { Signal } from "../signal.js";
import { Election, type Leadership } from "./election.js";
import { LeaseKeeper } from "./lease-keeper.js";
import { MemberRegistry } from "./member-registry.js";
import { type MembershipExtension, NO_EXTENSION } from "./membership-extension.js";
import { TermStore } from "./term-store.js";
import { TermWriter } from "./term-writer.js";

export type { Leadership } from "./election.js";
export type { MembershipExtension } from "./membership-extension.js";

/** One process's membership, for as long as `run` runs. */
export class Membership {
  private readonly terms: TermStore;
  private readonly registry: MemberRegistry;
  private readonly lease: LeaseKeeper;
  private readonly election: Election;
  /** Notified when this process joined and when the cluster's keys changed. One loop waits for it: the leader's. */
  readonly clusterChanged = new Signal();
  /** Called with each newer term; set once, before `run`. */
  onTerm: (term: TermRecord) => void = () => undefined;
  /** Called when this process has led and leads no more; set once, before `run`. */
  onLost: () => void = () => undefined;
  /** Tries to become the leader when there is none; true: this process holds the leader's key since then. */
  readonly campaign: Effect.Effect<boolean, StateError>;
  /** Writes the next term, if this process leads; true: it was written and is in force. */
  readonly writeTerm: Effect.Effect<boolean, StateError>;
  /** Keeps this process a member. Never ends. */
  readonly run: Effect.Effect<void>;

  constructor(
    private readonly self: string,
    zone: string,
    private readonly timings: LeaseTimings,
    state: StateClient,
    log: Log,
    otherMembers: readonly string[],
    askForConfirmation: (member: string, termNumber: number) => Effect.Effect<boolean>,
    /** When the last request was sent whose answer showed every job that had ended by then; null: none was yet. */
    private readonly jobViewReadAt: () => Instant | null,
    extension: MembershipExtension = NO_EXTENSION,
  ) {
    const rejections = new RejectionBackoff(log);
    const onTerm = (term: TermRecord): void => this.onTermAdopted(term);
    const terms = new TermStore({ timings, log, otherMembers, askForConfirmation, onTerm });
    const registry = new MemberRegistry(state, () => this.onKeysChanged());
    const lease = new LeaseKeeper({
      ...{ self, zone, timings, state, log, terms, registry, rejections, extension },
      onJoined: () => this.clusterChanged.notify(),
      onLost: (reason) => this.election.stepDown(reason),
    });
    const onLost = (): void => this.onLost();
    const election = new Election({ self, state, log, registry, lease, rejections, onLost });
    this.terms = terms;
    this.registry = registry;
    this.lease = lease;
    this.election = election;
    this.campaign = election.campaign;
    this.writeTerm = new TermWriter({ self, state, terms, lease, election, rejections, extension }).write;
    this.run = Effect.all([lease.run, registry.run, terms.confirmByPeers(() => this.isInTerm())], {
      concurrency: 3,
      discard: true,
    });
  }

  /** The lease that the member key is on; null: this process is no member now. */
  get leaseId(): number | null {
    return this.lease.leaseId;
  }

  /** The revision of this process's member key; 0: it never joined. */
  get incarnation(): number {
    return this.lease.incarnation;
  }

  /** The newest term known; null: none yet. Whether it is in force is for `mayAct` to say. */
  get term(): TermRecord | null {
    return this.terms.term;
  }

  /** The revision of the newest term known; 0: none yet. */
  get termRevision(): number {
    return this.terms.revision;
  }

  /** The leader's key, as long as this process holds it; null: it doesn't lead. */
  get leadership(): Leadership | null {
    return this.election.leadership;
  }

  /**
   * May this node answer workers (not: send commands) right now? Either a renewal of its own shows the term current, or
   * the confirmation of all other nodes does: only nodes begin terms (S11). This keeps workers' leases through a long
   * outage of the state service.
   */
  mayAnswerWorkers(): boolean {
    return this.mayAct() || (this.isInTerm() && this.hasFreshJobView() && this.terms.isConfirmedByPeers());
  }

  /**
   * May this node send commands and act for the controllers right now (S1)? After an outage of the state service its
   * lease has its full time again, but until it has read the jobs anew it may know too little of cancels (S9).
   */
  mayAct(): boolean {
    return this.terms.isConfirmedByRenewal() && this.hasFreshJobView() && this.isInTerm();
  }

  /** May this node act as the leader right now (S1)? */
  isActingLeader(): boolean {
    return this.leadership !== null && this.term?.leader === this.self && this.mayAct();
  }

  /** What this node answers another that asks whether its term is current: as far as is known or was begun here. */
  knowsNoNewerTerm(termNumber: number): boolean {
    return this.terms.knowsNoNewerThan(termNumber);
  }

  /** A message named this term: if it is newer than the one known here, it is read soon. */
  observeTerm(termNumber: number): void {
    if (termNumber > this.terms.number) this.lease.requestRenewal();
  }

  /** Whether the term names other members than those that are there, so that a new one is due. */
  isTermOutdated(): boolean {
    const present = this.registry.presentMembers();
    return this.term === null || (present.length > 0 && !sameMembers(this.term.members, present));
  }

  private hasFreshJobView(): boolean {
    return hasFreshJobView(this.timings, this.jobViewReadAt(), now());
  }

  private isInTerm(): boolean {
    return this.terms.hasMember(this.self, this.incarnation);
  }

  /** A new term closes the fencing window; the renewal that opens it again is sent at once. */
  private onTermAdopted(term: TermRecord): void {
    this.onTerm(term);
    this.lease.requestRenewal();
  }

  private onKeysChanged(): void {
    this.terms.adopt(this.registry.termRow);
    this.election.checkLeaderKey();
    this.clusterChanged.notify();
  }
}
