/**
 * Explicit ownership of machines by shards, as one controller takes part in it. Built only if the settings enable it.
 */
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

/** What a process announces: shards are used only if all members divide the machines into shards in the same way. */
interface Announcement {
  readonly version: number;
  readonly shards_per_zone: number;
}
const ANNOUNCEMENT: Announcement = { version: 1, shards_per_zone: SHARDS_PER_ZONE };

/** Whether another process announced the same version and number of shards. */
const isSameAnnouncement = (value: unknown): boolean =>
  typeof value === "object" &&
  value !== null &&
  "version" in value &&
  value.version === ANNOUNCEMENT.version &&
  "shards_per_zone" in value &&
  value.shards_per_zone === ANNOUNCEMENT.shards_per_zone;

/** Writes the announcement with the member key, and with a term whether all its members have announced the same. */
export const shardExtension = (self: string, state: StateClient): MembershipExtension => ({
  changesOnJoin: (leaseId): Change[] => [{ put: shardKeys.member(self), value: ANNOUNCEMENT, leaseId }],
  changesWithTerm: (token, members: readonly TermMember[]): Effect.Effect<Change[], StateError> =>
    Effect.map(state.list(shardKeys.members), ({ rows }) => {
      const announced = new Map(rows.map((row) => [row.key.slice(shardKeys.members.length), row]));
      // written in the same transaction as the member key, so its revision is the incarnation
      const allAnnounced = members.every(({ name, incarnation }) => {
        const row = announced.get(name);
        return row?.revision === incarnation && isSameAnnouncement(row.value);
      });
      return allAnnounced ? [{ put: shardKeys.term, value: { token } }] : [];
    }),
});

/** Settings and limits for shards. */
export interface ShardOptions {
  readonly self: string;
  readonly settings: ShardSettings;
  readonly timings: LeaseTimings;
  /** The most conditions and changes that the state service takes in one transaction. */
  readonly txnOps: number;
  /** How many more connections this controller can take. */
  readonly freeConnections: () => number;
}

/** The parts of shards, for the rest of the controller. */
export class Shards {
  readonly view: ShardView;
  readonly leader: ShardLeader;
  readonly operator: ShardOperator;
  private readonly member: ShardMember;

  /** Builds the parts; they start with `run`. */
  constructor(
    options: ShardOptions,
    membership: Membership,
    state: StateClient,
    workers: WorkerClient,
    peers: Peers,
    log: Log,
  ) {
    const { self, settings, timings, txnOps } = options;
    this.view = new ShardView(self, timings.fencingWindow, state, log);
    const writer = new ShardWriter(state, this.view, log);
    this.member = new ShardMember(this.view, writer, membership, workers, options.freeConnections, log);
    const exerciseInterval = settings.rehearsalInterval;
    this.leader = new ShardLeader(
      {
        self,
        maxConcurrentMoves: settings.maxConcurrentMoves,
        hysteresis: settings.hysteresis,
        heartbeatInterval: timings.heartbeatInterval,
        txnOps,
        fencingWindow: timings.fencingWindow,
      },
      {
        view: this.view,
        writer,
        requests: new HandoffRequests(self, this.member, peers),
        membership,
        state,
        exerciser: exerciseInterval === null ? null : new ShardMoveExerciser(exerciseInterval, self, state),
        log,
      },
    );
    this.operator = new ShardOperator(self, this.view, this.leader, membership, state, peers);
  }

  /** Looks up the owner of a machine by shard, and with `fallback` while shards aren't in force. */
  ownerLookup(fallback: OwnerNameLookup): OwnerNameLookup {
    return (term, machine, zone) => {
      const owner = this.view.ownerOf(machine, zone);
      return owner === undefined ? fallback(term, machine, zone) : owner;
    };
  }

  /** What the leader's scheduler has to know of the ownership of machines. */
  readonly ownership: MachineOwnership = {
    isPaused: (machine, zone) => this.leader.isPaused(machine, zone),
    routeOverride: (machine, zone) => this.view.newOwnerOf(machine, zone),
  };

  /** Answers other controllers' requests. */
  readonly handlers: ShardHandlers = {
    offer: (offer) => Effect.map(this.member.answerOffer(offer), encodeRefusal),
    release: (request) => Effect.map(this.member.answerRelease(request), encodeRefusal),
    operate: (request) => this.operator.answerLocally(request),
  };

  /** Follows the records and carries out this controller's part in handoffs, for ever. */
  get run(): Effect.Effect<void> {
    return Effect.all([this.view.run, this.member.run, this.leader.run], {
      concurrency: "unbounded",
      discard: true,
    }).pipe(Effect.delay(Duration.zero));
  }
}
