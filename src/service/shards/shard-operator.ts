/** Operators' requests about shards. The leader answers them; other controllers forward them to the leader. */
import * as Effect from "effect/Effect";
import { describeRefusal, parseShardId, Refusal, type ShardId, type ShardState } from "#shards";
import { shardKeys } from "../../core/shards/shard-keys.js";
import type { OperatorAnswer, OperatorRequest } from "../../io/shard-codec.js";
import type { StateClient } from "../../io/state-client.js";
import type { Membership } from "../members/membership.js";
import type { Peers } from "../members/peers.js";
import type { MoveOutcome } from "./move-log.js";
import type { ShardLeader } from "./shard-leader.js";
import type { ShardView } from "./shard-view.js";

/** HTTP status codes. */
const OK = 200;
const NOT_FOUND = 404;
const REFUSED = 409;
const UNAVAILABLE = 503;
/** How many moves a listing shows. */
const MAX_LISTED_MOVES = 20;

/** One shard as operators see it. */
export interface ListedShard {
  readonly shard: ShardId;
  readonly owner: string | null;
  readonly epoch: number;
  readonly state: "default" | "owned" | "draining" | "released";
  readonly target: string | null;
  readonly machines: number;
}

/** One controller as operators see it. */
export interface ListedController {
  readonly name: string;
  readonly zone: string;
  readonly shards: number;
  readonly machines: number;
  /** The load of its shards, in messages a second. */
  readonly weight: number;
  readonly draining: boolean;
}

/** The answer to `list`. */
export interface ShardListing {
  readonly answeredBy: string;
  readonly leader: string | null;
  readonly term: number;
  readonly inForce: boolean;
  readonly controllers: readonly ListedController[];
  readonly shards: readonly ListedShard[];
  readonly moves: readonly MoveOutcome[];
}

const answer = (status: number, value: unknown): OperatorAnswer => ({ status, body: JSON.stringify(value) });
const refused = (refusal: Refusal): OperatorAnswer =>
  answer(REFUSED, { refusal: refusal._tag, reason: describeRefusal(refusal) });

const listedStateOf = (state: ShardState | undefined): ListedShard["state"] => {
  switch (state?._tag) {
    case undefined:
      return "default";
    case "Owned":
      return "owned";
    case "Draining":
      return "draining";
    case "Released":
      return "released";
  }
};

/** Answers operators' queries and carries out their commands. */
export class ShardOperator {
  constructor(
    private readonly self: string,
    private readonly view: ShardView,
    private readonly leader: ShardLeader,
    private readonly membership: Membership,
    private readonly state: StateClient,
    private readonly peers: Peers,
  ) {}

  /** Answers a request from this controller's operators' socket, through the leader if that is another controller. */
  answerOrForward(request: OperatorRequest): Effect.Effect<OperatorAnswer> {
    if (this.leader.isLeading) return this.answerLocally(request);
    const leader = this.membership.term?.leader;
    const forwarded =
      leader === undefined || leader === this.self
        ? Effect.succeed(null)
        : Effect.orElseSucceed(this.peers.operate(leader, request), () => null);
    return Effect.flatMap(forwarded, (leaderAnswer) => {
      if (leaderAnswer !== null) return Effect.succeed(leaderAnswer);
      // without a leader, a listing of what this node has read is still useful
      if (request.verb === "list") return this.answerLocally(request);
      const reason = describeRefusal(Refusal.NotLeader({ member: this.self }));
      return Effect.succeed(answer(UNAVAILABLE, { refusal: "NotLeader", reason }));
    });
  }

  /** Answers a request on this node. */
  answerLocally(request: OperatorRequest): Effect.Effect<OperatorAnswer> {
    // without the leader's view of the machines, a shard without a record would look unknown
    if (request.verb !== "list" && !this.leader.isLeading)
      return Effect.succeed(refused(Refusal.NotLeader({ member: this.self })));
    switch (request.verb) {
      case "list":
        return Effect.sync(() => answer(OK, this.list()));
      case "move":
        return Effect.sync(() => this.move(request));
      case "drain":
        return this.drain(request.name);
      case "cancel":
        return this.cancel(request.name);
      case "outcome": {
        const outcome = this.leader.outcomeOf(request.name);
        const unknown = { reason: `this leader knows no move ${request.name}` };
        return Effect.succeed(outcome === undefined ? answer(NOT_FOUND, unknown) : answer(OK, outcome));
      }
    }
  }

  private list(): ShardListing {
    const { assignment } = this.view;
    const byShard = this.leader.machinesByShard();
    const weights = this.leader.weights();
    const known = new Set([...assignment.recordedShards().map(([shard]) => shard), ...byShard.keys()]);
    const shards = [...known].sort().map((shard) => this.listed(shard, byShard.get(shard)?.length ?? 0));
    const controllers = (assignment.term?.members ?? []).map(({ name, zone }): ListedController => {
      const owned = shards.filter((shard) => shard.owner === name);
      return {
        name,
        zone,
        shards: owned.length,
        machines: owned.reduce((sum, shard) => sum + shard.machines, 0),
        weight: Math.round((weights.get(name) ?? 0) * 100) / 100,
        draining: this.leader.isDraining(name),
      };
    });
    return {
      answeredBy: this.self,
      leader: this.membership.term?.leader ?? null,
      term: assignment.term?.number ?? 0,
      inForce: assignment.inForce,
      controllers,
      shards,
      moves: this.leader.latestMoves(MAX_LISTED_MOVES),
    };
  }

  private listed(shard: ShardId, machines: number): ListedShard {
    const { assignment } = this.view;
    const ownership = assignment.ownershipOf(shard);
    const state = assignment.recordOf(shard)?.state;
    const target = state === undefined || state._tag === "Owned" ? null : state.handoff.target;
    return {
      shard,
      owner: ownership?.owner ?? null,
      epoch: ownership?.epoch ?? 0,
      state: listedStateOf(state),
      target,
      machines,
    };
  }

  private move({ name, target, epoch }: OperatorRequest): OperatorAnswer {
    const { assignment } = this.view;
    if (!assignment.inForce) return refused(Refusal.NotInForce());
    const shard = this.knownShard(name);
    if (shard === null) return refused(Refusal.UnknownShard({ shard: name }));
    if (!assignment.isMember(target)) return refused(Refusal.UnknownMember({ member: target }));
    const present = assignment.ownershipOf(shard)?.epoch ?? 0;
    if (epoch >= 0 && epoch !== present) return refused(Refusal.WrongEpoch({ shard, epoch, present }));
    const move = this.leader.requestMove(shard, target, "operator");
    return typeof move === "string" ? answer(OK, { move, shard, target }) : refused(move);
  }

  /** A shard that has a record or machines; null if there is none of that name. */
  private knownShard(name: string): ShardId | null {
    const shard = parseShardId(name);
    if (shard === null) return null;
    const isKnown = this.list().shards.some((listed) => listed.shard === shard);
    return isKnown ? shard : null;
  }

  private drain(member: string): Effect.Effect<OperatorAnswer> {
    const { assignment } = this.view;
    if (!assignment.inForce) return Effect.succeed(refused(Refusal.NotInForce()));
    const members = assignment.term?.members ?? [];
    const found = members.find(({ name }) => name === member);
    if (found === undefined) return Effect.succeed(refused(Refusal.UnknownMember({ member })));
    const staying = members.filter(({ name }) => name !== member && !this.leader.isDraining(name));
    if (staying.length === 0) return Effect.succeed(refused(Refusal.NobodyLeft({ member })));
    const put = { put: shardKeys.drain(member), value: { incarnation: found.incarnation } };
    return this.write([put], { drain: member });
  }

  private cancel(name: string): Effect.Effect<OperatorAnswer> {
    if (this.view.drains.has(name))
      return this.write([{ delete: shardKeys.drain(name) }], { cancelled: name });
    const shard = parseShardId(name);
    const refusal = shard === null ? Refusal.NothingToCancel({ name }) : this.leader.cancelMove(shard);
    return Effect.succeed(refusal === null ? answer(OK, { cancelled: name }) : refused(refusal));
  }

  private write(changes: Parameters<StateClient["commit"]>[1], done: object): Effect.Effect<OperatorAnswer> {
    return this.state.commit([], changes).pipe(
      Effect.map((result) =>
        result.ok === true ? answer(OK, done) : answer(UNAVAILABLE, { reason: "the state service refused" }),
      ),
      Effect.catchAll((error) => Effect.succeed(answer(UNAVAILABLE, { reason: error.reason }))),
    );
  }
}
