/** Messages between controllers about handoffs. Each may arrive late, twice or never. */
import type { Refusal } from "./refusal.js";
import type { ShardId } from "./shard-id.js";

/** The leader asks the target whether it would take a shard. An offer changes no state, so it may be repeated. */
export interface Offer {
  readonly id: string;
  readonly term: number;
  readonly shard: ShardId;
  readonly epoch: number;
  /** The number of machines that the shard has now. */
  readonly machines: number;
}

/** The target's answer: null accepts. */
export type OfferAnswer = Refusal | null;

/** The leader asks the owner to release a shard, once the outcome of every command to its machines is certain. */
export interface ReleaseRequest {
  readonly id: string;
  readonly term: number;
  readonly shard: ShardId;
  readonly epoch: number;
}

/** The owner's answer: null means that the release is written, or being written. */
export type ReleaseAnswer = Refusal | null;
