/** Controllers talk to one another over Node's http, with Avro bodies. */
import http from "node:http";
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { call, type CallFailed, makeAgent } from "../../io/call.js";
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
  type TermConfirmationRequest,
  type TermConfirmation,
  termConfirmationCodec,
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
import type { ReleaseRequest } from "#shards";

const TYPE = "avro/binary";
const MAX_BODY = 4 * 1024 * 1024;

export class Peers {
  private readonly agent = makeAgent(8);
  private readonly addrs: ReadonlyMap<string, string>;

  constructor(peers: readonly { member: string; addr: string }[]) {
    this.addrs = new Map(peers.map((p) => [p.member, p.addr]));
  }

  private ask<Q, A>(
    member: string,
    path: string,
    request: Codec<Q>,
    answer: Codec<A>,
    value: Q,
    timeout: Duration.Duration,
  ): Effect.Effect<A | null, CallFailed> {
    const addr = this.addrs.get(member);
    if (addr === undefined) return Effect.succeed(null);
    return Effect.suspend(() =>
      call(this.agent, { addr, method: "POST", path, body: request.encode(value), type: TYPE, timeout }),
    ).pipe(Effect.map((reply) => (reply.status === 200 ? answer.decode(reply.body) : null)));
  }

  sync(member: string, value: SyncRequest): Effect.Effect<SyncResponse | null, CallFailed> {
    return this.ask(
      member,
      peerPaths.sync,
      syncRequestCodec,
      syncResponseCodec,
      value,
      Duration.seconds(1.5),
    );
  }

  /** false also when there is no answer. */
  confirmTerm(member: string, termNumber: number): Effect.Effect<boolean> {
    return this.ask(
      member,
      peerPaths.confirmTerm,
      termConfirmationRequestCodec,
      termConfirmationCodec,
      { termNumber },
      Duration.seconds(1),
    ).pipe(
      Effect.map((answer) => answer?.knowsNoNewerTerm ?? false),
      Effect.orElseSucceed(() => false),
    );
  }

  offerShard(member: string, value: ShardOffer): Effect.Effect<RefusalText | null, CallFailed> {
    return this.ask(member, shardPaths.offer, offerCodec, refusalCodec, value, Duration.seconds(2.5));
  }

  releaseShard(member: string, value: ReleaseRequest): Effect.Effect<RefusalText | null, CallFailed> {
    return this.ask(member, shardPaths.release, releaseCodec, refusalCodec, value, Duration.seconds(1));
  }

  operate(member: string, value: OperatorRequest): Effect.Effect<OperatorAnswer | null, CallFailed> {
    const timeout = Duration.seconds(2);
    return this.ask(member, shardPaths.operate, operatorRequestCodec, operatorAnswerCodec, value, timeout);
  }

  deliver(member: string, value: CommandDelivery): Effect.Effect<DeliveryReceipt | null, CallFailed> {
    return this.ask(
      member,
      peerPaths.deliver,
      commandDeliveryCodec,
      deliveryReceiptCodec,
      value,
      Duration.seconds(2),
    );
  }
}

export interface PeerHandlers {
  sync(value: SyncRequest): SyncResponse;
  deliver(value: CommandDelivery): Effect.Effect<DeliveryReceipt>;
  confirmTerm(value: TermConfirmationRequest): TermConfirmation;
  /** null: shards aren't known here. */
  readonly shards: ShardHandlers | null;
}

/** What a controller that knows shards answers. */
export interface ShardHandlers {
  offer(value: ShardOffer): Effect.Effect<RefusalText>;
  release(value: ReleaseRequest): Effect.Effect<RefusalText>;
  operate(value: OperatorRequest): Effect.Effect<OperatorAnswer>;
}

/** The answer to a message about shards; null: there is no such path. */
const shardAnswer = (
  path: string | undefined,
  body: Buffer,
  handlers: ShardHandlers | null,
): Effect.Effect<Buffer> | null => {
  if (handlers === null) return null;
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

export const servePeers = (bind: string, handlers: PeerHandlers): Effect.Effect<http.Server, Error> => {
  const server = http.createServer((request, response) => {
    readBody(request, MAX_BODY, (body) => {
      if (body === null) return void response.writeHead(400).end();
      const send = (buffer: Buffer): void => {
        response.writeHead(200, { "content-type": TYPE, "content-length": buffer.length }).end(buffer);
      };
      try {
        if (request.url === peerPaths.sync)
          send(syncResponseCodec.encode(handlers.sync(syncRequestCodec.decode(body))));
        else if (request.url === peerPaths.confirmTerm)
          send(termConfirmationCodec.encode(handlers.confirmTerm(termConfirmationRequestCodec.decode(body))));
        else if (request.url === peerPaths.deliver)
          Effect.runFork(
            Effect.map(handlers.deliver(commandDeliveryCodec.decode(body)), (d) =>
              send(deliveryReceiptCodec.encode(d)),
            ),
          );
        else {
          const answer = shardAnswer(request.url, body, handlers.shards);
          if (answer === null) response.writeHead(404).end();
          else Effect.runFork(Effect.map(answer, send));
        }
      } catch {
        // not our protocol, or a message cut short
        response.writeHead(400).end();
      }
    });
  });
  return listen(server, bind, 256);
};
