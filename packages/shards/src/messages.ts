/** What controllers say to one another about handoffs. All of it may come late, twice or never. */
import type { Refusal } from "./refusal.js";
import type { ShardId } from "./shard-id.js";

/** The leader asks the target whether it would take a shard. It changes nothing, so it may be asked again. */
export interface Offer {
  readonly id: string;
  readonly term: number;
  readonly shard: ShardId;
  readonly epoch: number;
  /** How many machines the shard has now. */
  readonly machines: number;
}

/** The target's answer: null accepts. */
export type OfferAnswer = Refusal | null;

/** The leader asks the owner to release a shard: every command to its machines is settled. */
export interface ReleaseRequest {
  readonly id: string;
  readonly term: number;
  readonly shard: ShardId;
  readonly epoch: number;
}

/** The owner's answer: null says that the release is written, or being written. */
export type ReleaseAnswer = Refusal | null;
