/** Explicit ownership of machines in one controller, wired together. Exists only where the settings turn it on. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { SHARDS_PER_ZONE } from "#shards";
import type { TermMember } from "../../core/records.js";
import { shardKeys } from "../../core/shards/shard-keys.js";
import type { MachineOwnership } from "../../core/scheduler/scheduler-context.js";
import type { LeaseTimings } from "../../core/leases/term.js";
import type { OwnerNameLookup } from "../../core/members/worker-partition.js";
import type { Change } from "../../io/codec.js";
import type { Log } from "../../io/log.js";
import type { ShardSettings } from "../../io/settings.js";
import { encodeRefusal } from "../../io/shard-codec.js";
import type { StateClient, StateError } from "../../io/state-client.js";
import type { WorkerClient } from "../../io/worker-client.js";
import type { Membership, MembershipExtension } from "../members/membership.js";
import type { Peers, ShardHandlers } from "../members/peers.js";
import { HandoffRequests } from "./handoff-requests.js";
import { ShardMoveExerciser } from "./shard-move-exerciser.js";
import { ShardLeader } from "./shard-leader.js";
import { ShardMember } from "./shard-member.js";
import { ShardOperator } from "./shard-operator.js";
import { ShardView } from "./shard-view.js";
import { ShardWriter } from "./shard-writer.js";

/** What a process says of itself: members use shards only if all of them divide the machines alike. */
interface Announcement {
  readonly version: number;
  readonly shards_per_zone: number;
}
const ANNOUNCEMENT: Announcement = { version: 1, shards_per_zone: SHARDS_PER_ZONE };

/** Whether another process announced the same division. */
const isSameAnnouncement = (value: unknown): boolean =>
  typeof value === "object" &&
  value !== null &&
  "version" in value &&
  value.version === ANNOUNCEMENT.version &&
  "shards_per_zone" in value &&
  value.shards_per_zone === ANNOUNCEMENT.shards_per_zone;

/** The announcement beside the member key, and the leader's verdict beside the term. */
export const shardExtension = (me: string, state: StateClient): MembershipExtension => ({
  changesOnJoin: (leaseId): Change[] => [{ put: shardKeys.member(me), value: ANNOUNCEMENT, leaseId }],
  changesWithTerm: (token, members: readonly TermMember[]): Effect.Effect<Change[], StateError> =>
    Effect.map(state.list(shardKeys.members), ({ rows }) => {
      const announced = new Map(rows.map((row) => [row.key.slice(shardKeys.members.length), row]));
      // written in the same transaction as the member key, so it has the same revision
      const allAnnounced = members.every(({ name, incarnation }) => {
        const row = announced.get(name);
        return row?.revision === incarnation && isSameAnnouncement(row.value);
      });
      return allAnnounced ? [{ put: shardKeys.term, value: { token } }] : [];
    }),
});

/** What shards are set up with, beside the services of the controller. */
export interface ShardOptions {
  readonly me: string;
  readonly settings: ShardSettings;
  readonly timings: LeaseTimings;
  /** Conditions and changes that the state service takes in one transaction. */
  readonly txnOps: number;
  /** How many more connections this controller has room for. */
  readonly freeConnections: () => number;
}

/** What the rest of the controller sees of shards. */
export class Shards {
  readonly view: ShardView;
  readonly leader: ShardLeader;
  readonly operator: ShardOperator;
  private readonly member: ShardMember;

  /** Wires the parts together; nothing runs before `run`. */
  constructor(
    options: ShardOptions,
    membership: Membership,
    state: StateClient,
    workers: WorkerClient,
    peers: Peers,
    log: Log,
  ) {
    const { me, settings, timings, txnOps } = options;
    this.view = new ShardView(me, timings.fencingWindow, state, log);
    const writer = new ShardWriter(state, this.view, log);
    this.member = new ShardMember(this.view, writer, membership, workers, options.freeConnections, log);
    const exerciseInterval = settings.rehearsalInterval;
    this.leader = new ShardLeader(
      {
        me,
        maxConcurrentMoves: settings.maxConcurrentMoves,
        hysteresis: settings.hysteresis,
        heartbeatInterval: timings.heartbeatInterval,
        txnOps,
        fencingWindow: timings.fencingWindow,
      },
      {
        view: this.view,
        writer,
        requests: new HandoffRequests(me, this.member, peers),
        membership,
        state,
        exerciser: exerciseInterval === null ? null : new ShardMoveExerciser(exerciseInterval, me, state),
        log,
      },
    );
    this.operator = new ShardOperator(me, this.view, this.leader, membership, state, peers);
  }

  /** Who answers a machine's heartbeats; the rendezvous owner where shards aren't in force. */
  ownerLookup(fallback: OwnerNameLookup): OwnerNameLookup {
    return (term, machine, zone) => {
      const owner = this.view.ownerOf(machine, zone);
      return owner === undefined ? fallback(term, machine, zone) : owner;
    };
  }

  /** What the leader's core asks. */
  readonly ownership: MachineOwnership = {
    isPaused: (machine, zone) => this.leader.isPaused(machine, zone),
    commandRouteOverride: (machine, zone) => this.view.newOwnerOf(machine, zone),
  };

  /** What other controllers ask. */
  readonly handlers: ShardHandlers = {
    offer: (offer) => Effect.map(this.member.answerOffer(offer), encodeRefusal),
    release: (request) => Effect.map(this.member.answerRelease(request), encodeRefusal),
    operate: (request) => this.operator.answerLocally(request),
  };

  /** Follows the records and carries out this controller's part of handoffs, for ever. */
  get run(): Effect.Effect<void> {
    return Effect.all([this.view.run, this.member.run, this.leader.run], {
      concurrency: "unbounded",
      discard: true,
    }).pipe(Effect.delay(Duration.zero));
  }
}
