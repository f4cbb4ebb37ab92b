/**
 * This process's membership in the cluster, as seen by the rest of the controller: whether it is a member, which term
 * is in force, whether it leads, and what it may do right now (S1, S9, S11). Combines the lease keeper, the member
 * registry, the election and the terms.
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

/** Maintains this process's membership while `run` runs. */
export class Membership {
  private readonly terms: TermStore;
  private readonly registry: MemberRegistry;
  private readonly lease: LeaseKeeper;
  private readonly election: Election;
  /** Notified when this process has joined and when the cluster's keys have changed; only the leader's loop waits. */
  readonly clusterChanged = new Signal();
  /** Called with each newer term; set once, before `run`. */
  onTerm: (term: TermRecord) => void = () => undefined;
  /** Called when this process stops being the leader; set once, before `run`. */
  onLost: () => void = () => undefined;
  /** Tries to become the leader if there is none; true: this process has become the leader. */
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
    /** When the last request was sent whose answer showed every job that had ended by then; null: none yet. */
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

  /** The lease that the member key is attached to; null: this process isn't a member now. */
  get leaseId(): number | null {
    return this.lease.leaseId;
  }

  /** The revision of this process's last member key; 0: it has never joined. */
  get incarnation(): number {
    return this.lease.incarnation;
  }

  /** The newest term known; null: none yet. `mayAct` tells whether this node may act under it. */
  get term(): TermRecord | null {
    return this.terms.term;
  }

  /** The revision of the newest term known; 0: none yet. */
  get termRevision(): number {
    return this.terms.revision;
  }

  /** The leader key while this process holds it; null: it doesn't lead. */
  get leadership(): Leadership | null {
    return this.election.leadership;
  }

  /**
   * Whether this node may answer workers now, which doesn't include sending commands. The term has to be shown to be
   * current, either by a renewal of its own or by the confirmation of all other nodes, since only nodes start terms
   * (S11). The latter keeps workers' leases alive through a long outage of the state service.
   */
  mayAnswerWorkers(): boolean {
    return this.mayAct() || (this.isInTerm() && this.hasFreshJobView() && this.terms.isConfirmedByPeers());
  }

  /**
   * Whether this node may send commands and act for the controllers now (S1). After an outage of the state service a
   * renewed lease isn't enough: until the node has read the jobs again it may not know of recent cancellations (S9).
   */
  mayAct(): boolean {
    return this.terms.isConfirmedByRenewal() && this.hasFreshJobView() && this.isInTerm();
  }

  /** Whether this node may act as the leader now (S1). */
  isActingLeader(): boolean {
    return this.leadership !== null && this.term?.leader === this.self && this.mayAct();
  }

  /** Answers another node's question whether its term is current, as far as this node knows. */
  knowsNoNewerTerm(termNumber: number): boolean {
    return this.terms.knowsNoNewerThan(termNumber);
  }

  /** Handles a term number seen in a message: if it is newer than the known one, the term is read again soon. */
  observeTerm(termNumber: number): void {
    if (termNumber > this.terms.number) this.lease.requestRenewal();
  }

  /** Whether a new term is due, because there is none or because other members are present than it names. */
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

  /** A new term closes the fencing window, so the renewal that opens it again is requested at once. */
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
