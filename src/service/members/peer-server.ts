/** Server for requests of other controllers: HTTP with Avro bodies. */
import http from "node:http";
import * as Effect from "effect/Effect";
import type { ReleaseRequest } from "#shards";
import {
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
import { listen, readBody } from "../../io/server.js";
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

/** The content type of messages between controllers. */
export const PEER_CONTENT_TYPE = "avro/binary";
const MAX_BODY_BYTES = 4 * 1024 * 1024;
const MAX_CONNECTIONS = 256;

/** Handlers for requests of other controllers. */
export interface PeerHandlers {
  /** A member's update for the leader. */
  sync(request: SyncRequest): SyncResponse;
  /** The leader's commands for workers that this member answers. */
  deliver(delivery: CommandDelivery): Effect.Effect<DeliveryReceipt>;
  /** Whether this node knows of no newer term than the one asked about (S11). */
  confirmTerm(request: TermConfirmationRequest): TermConfirmation;
  /** null: shards are disabled. */
  readonly shards: ShardHandlers | null;
}

/** Handlers for requests that concern shards (S15). */
export interface ShardHandlers {
  /** The leader offers this member a shard. */
  offer(offer: ShardOffer): Effect.Effect<RefusalText>;
  /** The leader asks this member to give up a shard. */
  release(request: ReleaseRequest): Effect.Effect<RefusalText>;
  /** An operator's request that another controller forwards. */
  operate(request: OperatorRequest): Effect.Effect<OperatorAnswer>;
}

/** An encoded answer, available now or later. */
type Answer = Buffer | Effect.Effect<Buffer>;

/** null: there is no such path. Throws if the body can't be decoded. */
const answerShardRequest = (
  path: string | undefined,
  body: Buffer,
  handlers: ShardHandlers,
): Answer | null => {
  switch (path) {
    case shardPaths.offer:
      return Effect.map(handlers.offer(offerCodec.decode(body)), refusalCodec.encode);
    case shardPaths.release:
      return Effect.map(handlers.release(releaseCodec.decode(body)), refusalCodec.encode);
    case shardPaths.operate:
      return Effect.map(handlers.operate(operatorRequestCodec.decode(body)), operatorAnswerCodec.encode);
    default:
      return null;
  }
};

/** null: there is no such path. Throws if the body can't be decoded. */
const answerRequest = (path: string | undefined, body: Buffer, handlers: PeerHandlers): Answer | null => {
  switch (path) {
    case peerPaths.sync:
      return syncResponseCodec.encode(handlers.sync(syncRequestCodec.decode(body)));
    case peerPaths.confirmTerm:
      return termConfirmationCodec.encode(handlers.confirmTerm(termConfirmationRequestCodec.decode(body)));
    case peerPaths.deliver:
      return Effect.map(handlers.deliver(commandDeliveryCodec.decode(body)), deliveryReceiptCodec.encode);
    default:
      return handlers.shards === null ? null : answerShardRequest(path, body, handlers.shards);
  }
};

const respond = (
  path: string | undefined,
  body: Buffer,
  handlers: PeerHandlers,
  response: http.ServerResponse,
): void => {
  const send = (encoded: Buffer): void => {
    response
      .writeHead(200, { "content-type": PEER_CONTENT_TYPE, "content-length": encoded.length })
      .end(encoded);
  };
  try {
    const answer = answerRequest(path, body, handlers);
    if (answer === null) response.writeHead(404).end();
    else if (Buffer.isBuffer(answer)) send(answer);
    else Effect.runFork(Effect.map(answer, send));
  } catch {
    // the body isn't a message of this protocol, or it is truncated
    response.writeHead(400).end();
  }
};

/** Listens at `bind` for other controllers; fails if the socket can't be bound. */
export const servePeers = (bind: string, handlers: PeerHandlers): Effect.Effect<http.Server, Error> => {
  const server = http.createServer((request, response) => {
    readBody(request, MAX_BODY_BYTES, (body) => {
      if (body === null) response.writeHead(400).end();
      else respond(request.url, body, handlers, response);
    });
  });
  return listen(server, bind, MAX_CONNECTIONS);
};
