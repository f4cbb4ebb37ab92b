/**
 * The state transitions of a handoff. Each is one conditional write of the shard's record. It requires the revision of the
 * record that was read, so that only one of two concurrent transitions is executed, and the revision of the term, so that
 * a delayed write from an earlier term, an earlier leader or a process that has ended is never executed.
 */
import type { Assignment, TermView } from "./assignment.js";
import type { ReleaseRequest } from "./messages.js";
import { Refusal } from "./refusal.js";
import type { ShardId } from "./shard-id.js";
import { type Handoff, ShardState } from "./shard-state.js";

/** A write of a shard's record. It is executed only if the record and the term still have these revisions. */
export interface ShardWrite {
  readonly shard: ShardId;
  /** The revision that the record must have; 0: there must be no record. */
  readonly revision: number;
  /** The revision that the term's record must have. */
  readonly termRevision: number;
  readonly state: ShardState;
}

/** The write that makes a transition, or why it isn't allowed. */
export type TransitionResult = { readonly write: ShardWrite } | { readonly refusal: Refusal };

const writeOf = (assignment: Assignment, term: TermView, shard: ShardId, state: ShardState): ShardWrite => ({
  shard,
  revision: assignment.recordOf(shard)?.revision ?? 0,
  termRevision: term.revision,
  state,
});

/** The leader begins a handoff. Once it has sent this write, it sends no commands to the shard's machines. */
export const beginHandoff = (
  assignment: Assignment,
  shard: ShardId,
  handoff: Omit<Handoff, "term">,
): TransitionResult => {
  const { term } = assignment;
  if (term === null || !assignment.inForce) return { refusal: Refusal.NotInForce() };
  if (!assignment.isMember(handoff.target))
    return { refusal: Refusal.UnknownMember({ member: handoff.target }) };
  if (assignment.isInHandoff(shard)) return { refusal: Refusal.InHandoff({ shard }) };
  const ownership = assignment.ownershipOf(shard);
  if (ownership === null) return { refusal: Refusal.NotInForce() };
  if (ownership.owner === handoff.target)
    return { refusal: Refusal.SameOwner({ shard, member: handoff.target }) };
  const { owner } = ownership;
  // an owner that isn't the recorded one is recorded here, in a new epoch
  const isRecorded = assignment.recordOf(shard)?.state.owner === owner;
  const epoch = isRecorded ? ownership.epoch : ownership.epoch + 1;
  const state = ShardState.Draining({ epoch, owner, handoff: { ...handoff, term: term.number } });
  return { write: writeOf(assignment, term, shard, state) };
};

/** The owner releases a shard, at the request of the leader that has drained it. */
export const releaseShard = (
  assignment: Assignment,
  self: string,
  request: ReleaseRequest,
): TransitionResult => {
  const { term } = assignment;
  const { shard, epoch } = request;
  if (term === null || !assignment.inForce) return { refusal: Refusal.NotInForce() };
  const state = assignment.recordOf(shard)?.state;
  const isReleasable =
    state?._tag === "Draining" &&
    state.owner === self &&
    state.epoch === epoch &&
    state.handoff.id === request.id &&
    state.handoff.term === term.number &&
    request.term === term.number;
  if (!isReleasable) return { refusal: Refusal.NotHolder({ member: self, shard, epoch }) };
  return { write: writeOf(assignment, term, shard, ShardState.Released({ ...state })) };
};

/** The target takes a released shard; null if the shard isn't released to it in this term. */
export const takeShard = (assignment: Assignment, self: string, shard: ShardId): ShardWrite | null => {
  const { term } = assignment;
  const state = assignment.recordOf(shard)?.state;
  if (term === null || !assignment.inForce || state?._tag !== "Released") return null;
  if (state.handoff.target !== self || state.handoff.term !== term.number) return null;
  return writeOf(assignment, term, shard, ShardState.Owned({ epoch: state.epoch + 1, owner: self }));
};

/**
 * The leader ends a handoff that can't be completed. null: there is no handoff.
 *
 * - If the owner is a member of the term, it keeps a shard that wasn't released, in the same epoch, and gets a released one
 *   back in a new epoch, so that a delayed take by the target fails.
 * - If the owner is gone, a shard that wasn't released stays with its owner by rendezvous hash, which counts it already. A
 *   released one, which nobody counts, goes to the target if that is a member, and otherwise also to the owner by hash.
 */
export const endHandoff = (assignment: Assignment, shard: ShardId): ShardWrite | null => {
  const { term } = assignment;
  const state = assignment.recordOf(shard)?.state;
  if (term === null || !assignment.inForce || state === undefined || state._tag === "Owned") return null;
  const { epoch, owner } = state;
  if (assignment.isMember(owner)) {
    const isStillOwned = state._tag === "Draining";
    return writeOf(
      assignment,
      term,
      shard,
      ShardState.Owned({ epoch: isStillOwned ? epoch : epoch + 1, owner }),
    );
  }
  const { target } = state.handoff;
  const goesToTarget = state._tag === "Released" && assignment.isMember(target);
  const nextOwner = goesToTarget ? target : assignment.defaultOwner(shard);
  if (nextOwner === null) return null;
  return writeOf(assignment, term, shard, ShardState.Owned({ epoch: epoch + 1, owner: nextOwner }));
};

/**
 * The leader records the present owner of a shard, either because the recorded owner is gone, or because the shard has no
 * record and should keep its owner when members join. null: the record is right already, or a handoff is in progress.
 */
export const recordOwner = (assignment: Assignment, shard: ShardId): ShardWrite | null => {
  const { term } = assignment;
  if (term === null || !assignment.inForce || assignment.isInHandoff(shard)) return null;
  const record = assignment.recordOf(shard);
  if (record !== null && assignment.isMember(record.state.owner)) return null;
  const ownership = assignment.ownershipOf(shard);
  if (ownership === null) return null;
  const state = ShardState.Owned({ epoch: ownership.epoch + 1, owner: ownership.owner });
  return writeOf(assignment, term, shard, state);
};
