/** Client for requests to other controllers: HTTP with Avro bodies. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import type { ReleaseRequest } from "#shards";
import { call, type CallFailed, makeKeepAliveAgent } from "../../io/call.js";
import {
  type Codec,
  type CommandDelivery,
  commandDeliveryCodec,
  type DeliveryReceipt,
  deliveryReceiptCodec,
  peerPaths,
  type SyncRequest,
  type SyncResponse,
  syncResponseCodec,
  syncRequestCodec,
  type TermConfirmation,
  termConfirmationCodec,
  type TermConfirmationRequest,
  termConfirmationRequestCodec,
} from "../../io/peer-codec.js";
import {
  offerCodec,
  type OperatorAnswer,
  operatorAnswerCodec,
  type OperatorRequest,
  operatorRequestCodec,
  refusalCodec,
  type RefusalText,
  releaseCodec,
  shardPaths,
  type ShardOffer,
} from "../../io/shard-codec.js";
import { PEER_CONTENT_TYPE } from "./peer-server.js";

const MAX_CONNECTIONS_PER_PEER = 8;

/** One kind of request: its path, the codecs of the request and the answer, and the timeout. */
interface Endpoint<Request, Answer> {
  readonly path: string;
  readonly request: Codec<Request>;
  readonly answer: Codec<Answer>;
  readonly timeout: Duration.Duration;
}

const SYNC: Endpoint<SyncRequest, SyncResponse> = {
  path: peerPaths.sync,
  request: syncRequestCodec,
  answer: syncResponseCodec,
  timeout: Duration.seconds(1.5),
};
const CONFIRM_TERM: Endpoint<TermConfirmationRequest, TermConfirmation> = {
  path: peerPaths.confirmTerm,
  request: termConfirmationRequestCodec,
  answer: termConfirmationCodec,
  timeout: Duration.seconds(1),
};
const DELIVER: Endpoint<CommandDelivery, DeliveryReceipt> = {
  path: peerPaths.deliver,
  request: commandDeliveryCodec,
  answer: deliveryReceiptCodec,
  timeout: Duration.seconds(2),
};
const OFFER_SHARD: Endpoint<ShardOffer, RefusalText> = {
  path: shardPaths.offer,
  request: offerCodec,
  answer: refusalCodec,
  timeout: Duration.seconds(2.5),
};
const RELEASE_SHARD: Endpoint<ReleaseRequest, RefusalText> = {
  path: shardPaths.release,
  request: releaseCodec,
  answer: refusalCodec,
  timeout: Duration.seconds(1),
};
const OPERATE: Endpoint<OperatorRequest, OperatorAnswer> = {
  path: shardPaths.operate,
  request: operatorRequestCodec,
  answer: operatorAnswerCodec,
  timeout: Duration.seconds(2),
};

/**
 * Sends requests to the other controllers. The result is null if the member is unknown or the status isn't 200; a
 * request that times out fails.
 */
export class Peers {
  private readonly agent = makeKeepAliveAgent(MAX_CONNECTIONS_PER_PEER);
  private readonly addresses: ReadonlyMap<string, string>;

  constructor(peers: readonly { member: string; addr: string }[]) {
    this.addresses = new Map(peers.map(({ member, addr }) => [member, addr]));
  }

  private ask<Request, Answer>(
    member: string,
    { path, request, answer, timeout }: Endpoint<Request, Answer>,
    value: Request,
  ): Effect.Effect<Answer | null, CallFailed> {
    const addr = this.addresses.get(member);
    if (addr === undefined) return Effect.succeed(null);
    return Effect.suspend(() =>
      call(this.agent, {
        ...{ addr, method: "POST", path, timeout },
        body: request.encode(value),
        contentType: PEER_CONTENT_TYPE,
      }),
    ).pipe(Effect.map((reply) => (reply.status === 200 ? answer.decode(reply.body) : null)));
  }

  /** Sends this member's update to the leader. */
  sync(member: string, request: SyncRequest): Effect.Effect<SyncResponse | null, CallFailed> {
    return this.ask(member, SYNC, request);
  }

  /** Whether that member knows of no newer term (S11); false also if it doesn't answer. */
  confirmTerm(member: string, termNumber: number): Effect.Effect<boolean> {
    return this.ask(member, CONFIRM_TERM, { termNumber }).pipe(
      Effect.map((answer) => answer?.knowsNoNewerTerm ?? false),
      Effect.orElseSucceed(() => false),
    );
  }

  /** Sends the leader's commands through the member that answers the workers. */
  deliver(member: string, delivery: CommandDelivery): Effect.Effect<DeliveryReceipt | null, CallFailed> {
    return this.ask(member, DELIVER, delivery);
  }

  /** Offers a shard to a member (S15). */
  offerShard(member: string, offer: ShardOffer): Effect.Effect<RefusalText | null, CallFailed> {
    return this.ask(member, OFFER_SHARD, offer);
  }

  /** Asks a member to give up a shard (S15). */
  releaseShard(member: string, request: ReleaseRequest): Effect.Effect<RefusalText | null, CallFailed> {
    return this.ask(member, RELEASE_SHARD, request);
  }

  /** Forwards an operator's request to the leader. */
  operate(member: string, request: OperatorRequest): Effect.Effect<OperatorAnswer | null, CallFailed> {
    return this.ask(member, OPERATE, request);
  }
}
