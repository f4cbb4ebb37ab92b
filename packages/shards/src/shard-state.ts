/** A shard's record in the state service: its owner and epoch, and the handoff in progress, if any. */
import * as Data from "effect/Data";
import * as Either from "effect/Either";

/** A handoff from the owner to `target`. It is valid only in the term in which it began. */
export interface Handoff {
  /** A unique id, never reused. */
  readonly id: string;
  readonly target: string;
  /** The number of the term in which it began. */
  readonly term: number;
}

/**
 * A shard's state. `epoch` is incremented whenever the shard gets an owner, so each epoch has exactly one owner.
 *
 * - `Owned`: the owner commands the shard's machines.
 * - `Draining`: the owner still owns the shard, but the leader sends no new commands and waits until the outcome of every
 *   earlier one is certain.
 * - `Released`: nobody commands the shard's machines until the target takes the shard or the owner gets it back. The owner
 *   keeps answering heartbeats, so that the machines' leases don't expire.
 */
export type ShardState = Data.TaggedEnum<{
  Owned: { readonly epoch: number; readonly owner: string };
  Draining: { readonly epoch: number; readonly owner: string; readonly handoff: Handoff };
  Released: { readonly epoch: number; readonly owner: string; readonly handoff: Handoff };
}>;
/** Constructors and matchers of `ShardState`. */
export const ShardState = Data.taggedEnum<ShardState>();

/** A shard's state with the revision of its record's last change; 0: there is no record. */
export interface StoredShard {
  readonly revision: number;
  readonly state: ShardState;
}

/** The stored JSON form. Its names must never change, since other versions read them. */
interface ShardRecordJson {
  readonly epoch: number;
  readonly owner: string;
  readonly phase?: "draining" | "released";
  readonly id?: string;
  readonly target?: string;
  readonly term?: number;
}

/** Encodes a state as it is stored. */
export const encodeShardState = (state: ShardState): ShardRecordJson => {
  const { epoch, owner } = state;
  if (state._tag === "Owned") return { epoch, owner };
  const { id, target, term } = state.handoff;
  return { epoch, owner, phase: state._tag === "Draining" ? "draining" : "released", id, target, term };
};

const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;
const isName = (value: unknown): value is string => typeof value === "string" && value.length > 0;

/** Decodes a record; left: an error message. Unknown fields are ignored. */
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
 * The state used for a record that can't be decoded. It has no owner, so the leader assigns a new one. The record's
 * revision serves as the epoch, since it is higher than any earlier epoch of the shard.
 */
export const unreadableState = (revision: number): ShardState =>
  ShardState.Owned({ epoch: revision, owner: "" });
