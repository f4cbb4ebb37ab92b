/** What the leader asks other controllers in a handoff: the target whether it takes a shard, the owner to release it. */
import * as Effect from "effect/Effect";
import type { Refusal, ReleaseRequest } from "#shards";
import { decodeRefusal, type RefusalText, type ShardOffer } from "../../io/shard-codec.js";
import type { Peers } from "../members/peers.js";
import type { ShardMember } from "./shard-member.js";

/** The answer to a request: a refusal; null, the controller agrees; undefined, no answer came. */
export type HandoffAnswer = Refusal | null | undefined;

/** Sends each request to the controller that it is for, which may be this one. */
export class HandoffRequests {
  constructor(
    private readonly me: string,
    private readonly member: ShardMember,
    private readonly peers: Peers,
  ) {}

  /** Asks the target of a handoff whether it could serve the shard. */
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

  /** This process answers itself directly; one that isn't reached, or knows no shards, has given no answer. */
  private send<Failure>(
    controller: string,
    askSelf: () => Effect.Effect<Refusal | null>,
    askPeer: () => Effect.Effect<RefusalText | null, Failure>,
  ): Effect.Effect<HandoffAnswer> {
    if (controller === this.me) return askSelf();
    return askPeer().pipe(
      Effect.map((answer) => (answer === null ? undefined : decodeRefusal(answer, controller))),
      Effect.orElseSucceed(() => undefined),
    );
  }
}
