/**
 * A controller's own part: which shards it owns for certain, what it answers to an offer, and when it releases or takes
 * a shard. Pure and immutable: what a process sends and hears is told to it, and each change makes a new value.
 */
import * as HashMap from "effect/HashMap";
import * as Option from "effect/Option";
import { type Assignment, type TermView } from "./assignment.js";
import { countingController } from "./accounting.js";
import type { Offer, OfferAnswer, ReleaseRequest } from "./messages.js";
import { Refusal } from "./refusal.js";
import type { ShardId } from "./shard-id.js";
import { releaseShard, type ShardWrite, type TransitionResult, takeShard } from "./transitions.js";

/** What the target checks before it accepts an offer. */
export interface TargetReadiness {
  /** Its fencing window is open. */
  readonly mayAct: boolean;
  /** It reached at least one of the shard's workers, or the shard has none. */
  readonly reachesWorkers: boolean;
  readonly freeConnections: number;
}

/** One controller's view of what it owns: an immutable value. */
export class OwnerView {
  private constructor(
    readonly self: string,
    readonly assignment: Assignment,
    /**
     * Shards of which this process has sent a release, with the revision that it rests on. While the record still has that
     * revision the release may be carried out at any moment, so the shard isn't counted any more.
     */
    private readonly sentReleases: HashMap.HashMap<ShardId, number>,
    /**
     * This process under the term before, until `settle`. Somebody who hasn't heard of the present term yet goes on acting
     * under that one for as long as its fencing window is open, so until then this process counts only what it
     * counted already.
     */
    private readonly previousTermView: OwnerView | null,
  ) {}

  /** A process that has sent nothing yet. */
  static create(me: string, assignment: Assignment): OwnerView {
    return new OwnerView(me, assignment, HashMap.empty(), null);
  }

  /** What this process has read now. */
  withAssignment(assignment: Assignment): OwnerView {
    const releasing = HashMap.filter(
      this.sentReleases,
      (revision, shard) => (assignment.recordOf(shard)?.revision ?? 0) === revision,
    );
    return new OwnerView(this.self, assignment, releasing, this.previousTermView);
  }

  /** The same records under another term, which isn't settled yet. */
  withTerm(term: TermView): OwnerView {
    return new OwnerView(this.self, this.assignment.withTerm(term), this.sentReleases, this);
  }

  /** A fencing window has passed since this process heard of its term: nobody acts under an earlier one any more. */
  settle(): OwnerView {
    return this.previousTermView === null
      ? this
      : new OwnerView(this.self, this.assignment, this.sentReleases, null);
  }

  /** Whether a fencing window has passed since this process heard of its term. */
  get isSettled(): boolean {
    return this.previousTermView === null;
  }

  private get incarnation(): number | null {
    return this.assignment.term?.members.find((member) => member.name === this.self)?.incarnation ?? null;
  }

  /** Whether this process, as a member of its term, counts the shard by what it has read. */
  private countsByRecords(shard: ShardId): boolean {
    if (!this.assignment.inForce || this.mayBeReleased(shard)) return false;
    if (countingController(this.assignment, shard) !== this.self) return false;
    return (
      this.previousTermView === null ||
      (this.sameMemberAs(this.previousTermView) && this.previousTermView.countsByRecords(shard))
    );
  }

  /** A member key that never went away: this process was a member of every term in between. */
  private sameMemberAs(before: OwnerView): boolean {
    return this.incarnation !== null && this.incarnation === before.incarnation;
  }

  /** The state as text: two views with the same text behave the same. */
  stateKey(): string {
    const { revision, term, enabledTerm } = this.assignment;
    const releasing = [...this.sentReleases].sort();
    const before: string = this.previousTermView?.stateKey() ?? "settled";
    const records = JSON.stringify(this.assignment.recordedShards());
    return JSON.stringify([revision, term?.number, enabledTerm, records, releasing, before]);
  }

  /** Whether a release of the shard may have been carried out without this process knowing. */
  private mayBeReleased(shard: ShardId): boolean {
    return Option.isSome(HashMap.get(this.sentReleases, shard));
  }

  /**
   * Whether this process owns the shard for certain, so that it counts its machines. `mayAct`: its fencing window is open
   * right now. With a reading older than its term it doesn't know, and owns nothing.
   */
  ownsForCertain(shard: ShardId, mayAct: boolean): boolean {
    return mayAct && this.countsByRecords(shard);
  }

  /** What this process answers when it is offered a shard. */
  answerOffer(offer: Offer, readiness: TargetReadiness): OfferAnswer {
    const { shard, machines: needed } = offer;
    const { term } = this.assignment;
    if (!this.assignment.inForce || term?.number !== offer.term) return Refusal.NotInForce();
    if (!readiness.mayAct) return Refusal.TargetOutsideWindow({ member: this.self });
    const ownership = this.assignment.ownershipOf(shard);
    if (ownership?.owner === this.self) return Refusal.SameOwner({ shard, member: this.self });
    if (!readiness.reachesWorkers) return Refusal.WorkersNotHeard({ member: this.self });
    const free = Math.max(0, Math.floor(readiness.freeConnections));
    if (free < needed) return Refusal.TooManyConnections({ member: this.self, free, needed });
    return null;
  }

  /** A request to release a shard: the write to send, or why not. */
  answerRelease(request: ReleaseRequest): TransitionResult {
    return releaseShard(this.assignment, this.self, request);
  }

  /**
   * The release is about to be sent: from now on the shard isn't counted, until another record is read. A write that failed
   * says nothing, since an earlier copy of it may be what changed the record.
   */
  releaseSent(write: ShardWrite): OwnerView {
    const releasing = HashMap.set(this.sentReleases, write.shard, write.revision);
    return new OwnerView(this.self, this.assignment, releasing, this.previousTermView);
  }

  /** The writes by which this process takes what was released to it, as far as it has read. */
  pendingTakes(): readonly ShardWrite[] {
    const writes: ShardWrite[] = [];
    for (const [shard] of this.assignment.recordedShards()) {
      const write = takeShard(this.assignment, this.self, shard);
      if (write !== null) writes.push(write);
    }
    return writes;
  }
}
