/** What the state service holds of a shard: its owner and epoch, and the handoff that is under way, if any. */
import * as Data from "effect/Data";
import * as Either from "effect/Either";

/** A handoff from the owner to `target`. It is valid in the term in which it began, and ends with it. */
export interface Handoff {
  /** Tells one handoff from another; never used again. */
  readonly id: string;
  readonly target: string;
  /** The number of the term in which it began. */
  readonly term: number;
}

/**
 * A shard's record. `epoch` grows by one whenever the shard gets an owner, so an epoch has one owner for ever.
 *
 * - `Owned`: the owner commands the shard's machines.
 * - `Draining`: the owner still owns the shard, but the leader sends no commands and waits until every earlier one is
 *   settled.
 * - `Released`: nobody commands the shard's machines until the target takes it or the owner gets it back. The owner
 *   goes on answering heartbeats, so leases don't lapse.
 */
export type ShardState = Data.TaggedEnum<{
  Owned: { readonly epoch: number; readonly owner: string };
  Draining: { readonly epoch: number; readonly owner: string; readonly handoff: Handoff };
  Released: { readonly epoch: number; readonly owner: string; readonly handoff: Handoff };
}>;
/** Constructors and matchers of `ShardState`. */
export const ShardState = Data.taggedEnum<ShardState>();

/** A shard's record as it was read: `revision` is the revision of its last change; 0: there is no record. */
export interface StoredShard {
  readonly revision: number;
  readonly state: ShardState;
}

/** The JSON form of a record. Its names never change, since other versions read them. */
interface ShardRecordJson {
  readonly epoch: number;
  readonly owner: string;
  readonly phase?: "draining" | "released";
  readonly id?: string;
  readonly target?: string;
  readonly term?: number;
}

/** What is written for a state. */
export const encodeShardState = (state: ShardState): ShardRecordJson => {
  const { epoch, owner } = state;
  if (state._tag === "Owned") return { epoch, owner };
  const { id, target, term } = state.handoff;
  return { epoch, owner, phase: state._tag === "Draining" ? "draining" : "released", id, target, term };
};

const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;
const isName = (value: unknown): value is string => typeof value === "string" && value.length > 0;

/** Reads a record; left: what is wrong with it. Fields that it doesn't know are ignored. */
export const decodeShardState = (value: unknown): Either.Either<ShardState, string> => {
  if (typeof value !== "object" || value === null) return Either.left("not an object");
  const { epoch, owner, phase, id, target, term } = value as Record<keyof ShardRecordJson, unknown>;
  if (!isCount(epoch)) return Either.left("epoch is not a count");
  if (!isName(owner)) return Either.left("owner is not a name");
  if (phase === undefined || phase === null) return Either.right(ShardState.Owned({ epoch, owner }));
  if (!isName(id) || !isName(target) || !isCount(term)) return Either.left("the handoff is not complete");
  const handoff: Handoff = { id, target, term };
  if (phase === "draining") return Either.right(ShardState.Draining({ epoch, owner, handoff }));
  if (phase === "released") return Either.right(ShardState.Released({ epoch, owner, handoff }));
  return Either.left("phase is not known");
};

/**
 * The state that stands for a record which can't be read: its owner is nobody, so the leader gives the shard an owner
 * anew. The revision of the record is higher than any epoch counted up to then.
 */
export const unreadableState = (revision: number): ShardState =>
  ShardState.Owned({ epoch: revision, owner: "" });
