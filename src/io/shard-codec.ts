/** What controllers say to one another about shards, in Avro. Earlier versions know none of these paths and answer 404. */
import { isRefusal, type Offer, Refusal, type ReleaseRequest } from "#shards";
import { array, codec, record } from "./peer-codec.js";

/** A worker of the shard, for the target to ask. */
export interface SampleWorker {
  readonly addr: string;
  /** The worker epoch; the name is that of the wire. */
  readonly session: number;
  /** The fencing token of its machine; the name is that of the wire. */
  readonly token: number;
}

/** An offer with some of the shard's workers. */
export interface ShardOffer extends Offer {
  readonly workers: readonly SampleWorker[];
}

/** A refusal on its way: its tag and its fields as JSON; empty: none. */
export interface RefusalText {
  readonly refusal: string;
}

/** What an operator asks of whichever controller leads. */
export interface OperatorRequest {
  readonly verb: "list" | "move" | "drain" | "cancel" | "outcome";
  /** The shard, controller or move that is meant. */
  readonly name: string;
  /** The target of a move. */
  readonly target: string;
  /** The epoch that the operator expects; -1: any. */
  readonly epoch: number;
}

/** The answer: a status of HTTP, and JSON for the operator. */
export interface OperatorAnswer {
  readonly status: number;
  readonly body: string;
}

/** The leader's offer of a shard to the target of a handoff. */
export const offerCodec = codec<ShardOffer>(
  record("ShardOffer", {
    id: "string",
    term: "long",
    shard: "string",
    epoch: "long",
    machines: "int",
    workers: array(record("SampleWorker", { addr: "string", session: "long", token: "long" })),
  }),
);
/** The leader's request to the owner to release a drained shard. */
export const releaseCodec = codec<ReleaseRequest>(
  record("ReleaseRequest", { id: "string", term: "long", shard: "string", epoch: "long" }),
);
/** The answer to an offer and to a request to release. */
export const refusalCodec = codec<RefusalText>(record("RefusalText", { refusal: "string" }));
/** What an operator asked another controller than the leader, passed on. */
export const operatorRequestCodec = codec<OperatorRequest>(
  record("OperatorRequest", { verb: "string", name: "string", target: "string", epoch: "long" }),
);
/** The leader's answer to that. */
export const operatorAnswerCodec = codec<OperatorAnswer>(
  record("OperatorAnswer", { status: "int", body: "string" }),
);

/** Paths of these messages. */
export const shardPaths = {
  offer: "/shards/offer",
  release: "/shards/release",
  operate: "/shards/operate",
} as const;

/** A refusal as it is sent. */
export const encodeRefusal = (refusal: Refusal | null): RefusalText => ({
  refusal: refusal === null ? "" : JSON.stringify(refusal),
});

/** A refusal as it came; what this version doesn't know is a refusal all the same. */
export const decodeRefusal = ({ refusal }: RefusalText, member: string): Refusal | null => {
  if (refusal === "") return null;
  try {
    const value: unknown = JSON.parse(refusal);
    if (isRefusal(value)) return value;
  } catch {
    // not JSON: answered below
  }
  return Refusal.NoAnswer({ member });
};
