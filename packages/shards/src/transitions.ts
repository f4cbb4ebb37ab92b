/**
 * The steps of a handoff. Each is one conditional write of the shard's record. It rests on the record as it was read, so
 * that of two steps only one is carried out, and on the term, so that nothing decided in an earlier term, by an earlier
 * leader or by a process that ended, is carried out late.
 */
import type { Assignment, TermView } from "./assignment.js";
import type { ReleaseRequest } from "./messages.js";
import { Refusal } from "./refusal.js";
import type { ShardId } from "./shard-id.js";
import { type Handoff, ShardState } from "./shard-state.js";

/** A write of one shard's record: carried out only if record and term still have these revisions. */
export interface ShardWrite {
  readonly shard: ShardId;
  /** The record's revision that the write rests on; 0: there is none. */
  readonly revision: number;
  /** The revision of the term that the write rests on. */
  readonly termRevision: number;
  readonly state: ShardState;
}

/** Whether a step can be decided on, or why not. */
export type TransitionResult = { readonly write: ShardWrite } | { readonly refusal: Refusal };

const writeOf = (assignment: Assignment, term: TermView, shard: ShardId, state: ShardState): ShardWrite => ({
  shard,
  revision: assignment.recordOf(shard)?.revision ?? 0,
  termRevision: term.revision,
  state,
});

/** The leader begins a handoff. From when it sends this on, it sends no commands to the shard's machines. */
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
  // an owner that isn't in the record gets an epoch of its own with it
  const isRecorded = assignment.recordOf(shard)?.state.owner === owner;
  const epoch = isRecorded ? ownership.epoch : ownership.epoch + 1;
  const state = ShardState.Draining({ epoch, owner, handoff: { ...handoff, term: term.number } });
  return { write: writeOf(assignment, term, shard, state) };
};

/** The owner releases a shard that the leader says is drained. */
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

/** The target takes a released shard; null: it isn't its to take. */
export const takeShard = (assignment: Assignment, self: string, shard: ShardId): ShardWrite | null => {
  const { term } = assignment;
  const state = assignment.recordOf(shard)?.state;
  if (term === null || !assignment.inForce || state?._tag !== "Released") return null;
  if (state.handoff.target !== self || state.handoff.term !== term.number) return null;
  return writeOf(assignment, term, shard, ShardState.Owned({ epoch: state.epoch + 1, owner: self }));
};

/**
 * The leader ends a handoff that can't go on. The owner keeps a shard that wasn't released, in the same epoch; one that was
 * released comes back in a new epoch, so that a late take finds another record. If the owner is gone, a shard that wasn't
 * released stays with whoever is its owner under this term, since that one counts it already; a released one, which nobody
 * counts, goes to the target if that is a member. null: there is no handoff.
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
 * The leader writes down who owns a shard now: because the owner in its record is gone, or because the shard has no record
 * and is to stay where it is when members come. null: the record says so already, or a handoff is under way.
 */
export const pinShard = (assignment: Assignment, shard: ShardId): ShardWrite | null => {
  const { term } = assignment;
  if (term === null || !assignment.inForce || assignment.isInHandoff(shard)) return null;
  const record = assignment.recordOf(shard);
  if (record !== null && assignment.isMember(record.state.owner)) return null;
  const ownership = assignment.ownershipOf(shard);
  if (ownership === null) return null;
  const state = ShardState.Owned({ epoch: ownership.epoch + 1, owner: ownership.owner });
  return writeOf(assignment, term, shard, state);
};
