/**
 * The leader's requests to other controllers in a handoff: an offer to the target, a release request to the owner.
 */
import * as Effect from "effect/Effect";
import type { Refusal, ReleaseRequest } from "#shards";
import { decodeRefusal, type RefusalText, type ShardOffer } from "../../io/shard-codec.js";
import type { Peers } from "../members/peers.js";
import type { ShardMember } from "./shard-member.js";

/** The answer to a request: a refusal, null if the controller agrees, or undefined if there was no answer. */
export type HandoffAnswer = Refusal | null | undefined;

/** Sends each request to its controller, which may be this one. */
export class HandoffRequests {
  constructor(
    private readonly self: string,
    private readonly member: ShardMember,
    private readonly peers: Peers,
  ) {}

  /** Asks the target of a handoff whether it can take the shard. */
  offer(target: string, offer: ShardOffer): Effect.Effect<HandoffAnswer> {
    return this.send(
      target,
      () => this.member.answerOffer(offer),
      () => this.peers.offerShard(target, offer),
    );
  }

  /** Asks the owner of a drained shard to release it. */
  release(owner: string, request: ReleaseRequest): Effect.Effect<HandoffAnswer> {
    return this.send(
      owner,
      () => this.member.answerRelease(request),
      () => this.peers.releaseShard(owner, request),
    );
  }

  /**
   * This controller answers within the process. One that can't be reached, or has shards turned off, gives undefined.
   */
  private send<Failure>(
    controller: string,
    askSelf: () => Effect.Effect<Refusal | null>,
    askPeer: () => Effect.Effect<RefusalText | null, Failure>,
  ): Effect.Effect<HandoffAnswer> {
    if (controller === this.self) return askSelf();
    return askPeer().pipe(
      Effect.map((answer) => (answer === null ? undefined : decodeRefusal(answer, controller))),
      Effect.orElseSucceed(() => undefined),
    );
  }
}
