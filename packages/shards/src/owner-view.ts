/**
 * One controller's side of ownership: which shards it certainly owns, how it answers offers, and when it releases or takes
 * a shard. Pure and immutable: the process passes in what it sends and receives, and each change makes a new value.
 */
import * as HashMap from "effect/HashMap";
import * as Option from "effect/Option";
import { type Assignment, type TermView } from "./assignment.js";
import { countingController } from "./accounting.js";
import type { Offer, OfferAnswer, ReleaseRequest } from "./messages.js";
import { Refusal } from "./refusal.js";
import type { ShardId } from "./shard-id.js";
import { releaseShard, type ShardWrite, takeShard, type TransitionResult } from "./transitions.js";

/** What the target of a handoff checks before it accepts an offer. */
export interface TargetReadiness {
  /** Whether its fencing window is open. */
  readonly mayAct: boolean;
  /** Whether it reached at least one of the shard's workers, or the shard has none. */
  readonly reachesWorkers: boolean;
  readonly freeConnections: number;
}

/** What one controller process owns, as an immutable value. */
export class OwnerView {
  private constructor(
    readonly self: string,
    readonly assignment: Assignment,
    /**
     * Shards for which this process has sent a release, with the record's revision that the release requires. While the
     * record still has that revision, the release may be executed at any moment, so the shard doesn't count as owned.
     */
    private readonly sentReleases: HashMap.HashMap<ShardId, number>,
    /**
     * The view in the previous term, until `settle`. A process that hasn't heard of the current term may act in the
     * previous one until its fencing window closes, so until then this process counts only shards that it counted already.
     */
    private readonly previousTermView: OwnerView | null,
  ) {}

  /** The view of a process that has sent nothing yet. */
  static create(self: string, assignment: Assignment): OwnerView {
    return new OwnerView(self, assignment, HashMap.empty(), null);
  }

  /** The view after this process has read newer records. */
  withAssignment(assignment: Assignment): OwnerView {
    const sentReleases = HashMap.filter(
      this.sentReleases,
      (revision, shard) => (assignment.recordOf(shard)?.revision ?? 0) === revision,
    );
    return new OwnerView(this.self, assignment, sentReleases, this.previousTermView);
  }

  /** The view in a new term, until `settle` is called. */
  withTerm(term: TermView): OwnerView {
    return new OwnerView(this.self, this.assignment.withTerm(term), this.sentReleases, this);
  }

  /** To be called one fencing window after this process heard of its term: no process acts in an earlier term any more. */
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

  /** Whether this process counts the shard as its own, according to the records that it has read. */
  private countsByRecords(shard: ShardId): boolean {
    if (!this.assignment.inForce || this.mayBeReleased(shard)) return false;
    if (countingController(this.assignment, shard) !== this.self) return false;
    return (
      this.previousTermView === null ||
      (this.sameMemberAs(this.previousTermView) && this.previousTermView.countsByRecords(shard))
    );
  }

  /** Whether this process has kept its membership since then: a gap would have given it another incarnation. */
  private sameMemberAs(previous: OwnerView): boolean {
    return this.incarnation !== null && this.incarnation === previous.incarnation;
  }

  /** The state as text: two views with the same key behave the same. */
  stateKey(): string {
    const { revision, term, enabledTerm } = this.assignment;
    const sentReleases = [...this.sentReleases].sort();
    const previousTerm: string = this.previousTermView?.stateKey() ?? "settled";
    const records = JSON.stringify(this.assignment.recordedShards());
    return JSON.stringify([revision, term?.number, enabledTerm, records, sentReleases, previousTerm]);
  }

  /** Whether a release of the shard may have been executed without this process knowing. */
  private mayBeReleased(shard: ShardId): boolean {
    return Option.isSome(HashMap.get(this.sentReleases, shard));
  }

  /**
   * Whether this process certainly owns the shard, so that it counts the shard's machines. `mayAct`: whether its fencing
   * window is open right now. If its records are older than its term it owns nothing for certain.
   */
  ownsForCertain(shard: ShardId, mayAct: boolean): boolean {
    return mayAct && this.countsByRecords(shard);
  }

  /** The answer to the offer of a shard. */
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

  /** The answer to a request to release a shard: the write to send, or a refusal. */
  answerRelease(request: ReleaseRequest): TransitionResult {
    return releaseShard(this.assignment, this.self, request);
  }

  /**
   * To be called right before a release is sent: from then on the shard isn't counted until a newer record is read. If the
   * write fails, that proves nothing, since an earlier copy of it may be what changed the record.
   */
  markReleaseSent(write: ShardWrite): OwnerView {
    const sentReleases = HashMap.set(this.sentReleases, write.shard, write.revision);
    return new OwnerView(this.self, this.assignment, sentReleases, this.previousTermView);
  }

  /** The writes by which this process takes the shards that were released to it. */
  pendingTakes(): readonly ShardWrite[] {
    const writes: ShardWrite[] = [];
    for (const [shard] of this.assignment.recordedShards()) {
      const write = takeShard(this.assignment, this.self, shard);
      if (write !== null) writes.push(write);
    }
    return writes;
  }
}
