/** Messages between controllers about shards, in Avro. Versions without shards answer these paths with 404. */
import { isRefusal, type Offer, Refusal, type ReleaseRequest } from "#shards";
import { avroArray, avroCodec, avroRecord } from "./peer-codec.js";

/** A worker of an offered shard, which the target of the handoff tries to reach. */
export interface SampleWorker {
  readonly addr: string;
  /** The worker epoch, under its Avro name. */
  readonly session: number;
  /** The fencing token of its machine, under its Avro name. */
  readonly token: number;
}

/** An offer with some of the shard's workers. */
export interface ShardOffer extends Offer {
  readonly workers: readonly SampleWorker[];
}

/** A refusal as JSON, or an empty string for none. */
export interface RefusalText {
  readonly refusal: string;
}

/** An operator's request, which another controller forwards to the leader. */
export interface OperatorRequest {
  readonly verb: "list" | "move" | "drain" | "cancel" | "outcome";
  /** The shard, controller or move that the request is about. */
  readonly name: string;
  /** The target of a move. */
  readonly target: string;
  /** The epoch that the operator expects; -1: any. */
  readonly epoch: number;
}

/** The leader's answer: an HTTP status, and JSON for the operator. */
export interface OperatorAnswer {
  readonly status: number;
  readonly body: string;
}

/** Codec of the leader's offer of a shard to the target of a handoff. */
export const offerCodec = avroCodec<ShardOffer>(
  avroRecord("ShardOffer", {
    id: "string",
    term: "long",
    shard: "string",
    epoch: "long",
    machines: "int",
    workers: avroArray(avroRecord("SampleWorker", { addr: "string", session: "long", token: "long" })),
  }),
);
/** Codec of the leader's request to the owner to release a drained shard. */
export const releaseCodec = avroCodec<ReleaseRequest>(
  avroRecord("ReleaseRequest", { id: "string", term: "long", shard: "string", epoch: "long" }),
);
/** Codec of the answer to an offer and to a request to release. */
export const refusalCodec = avroCodec<RefusalText>(avroRecord("RefusalText", { refusal: "string" }));
/** Codec of operators' requests that are forwarded to the leader. */
export const operatorRequestCodec = avroCodec<OperatorRequest>(
  avroRecord("OperatorRequest", { verb: "string", name: "string", target: "string", epoch: "long" }),
);
/** Codec of the leader's answers to forwarded requests. */
export const operatorAnswerCodec = avroCodec<OperatorAnswer>(
  avroRecord("OperatorAnswer", { status: "int", body: "string" }),
);

/** HTTP paths of these messages. */
export const shardPaths = {
  offer: "/shards/offer",
  release: "/shards/release",
  operate: "/shards/operate",
} as const;

/** Encodes a refusal; null: none. */
export const encodeRefusal = (refusal: Refusal | null): RefusalText => ({
  refusal: refusal === null ? "" : JSON.stringify(refusal),
});

/** Decodes a refusal; null: none. One that this version can't read is taken as `NoAnswer` of the member. */
export const decodeRefusal = ({ refusal }: RefusalText, member: string): Refusal | null => {
  if (refusal === "") return null;
  try {
    const value: unknown = JSON.parse(refusal);
    if (isRefusal(value)) return value;
  } catch {
    // not JSON: treated like an unknown refusal
  }
  return Refusal.NoAnswer({ member });
};
