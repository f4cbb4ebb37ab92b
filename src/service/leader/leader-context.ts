/**
 * What the leader's modules share: the clients they write with, the scheduler behind its lock, and the fibers that run
 * only while this node leads. Nothing here decides anything.
 */
import type * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import type { FleetOptions } from "../../core/autoscaling/autoscaler.js";
import type { LeaseTimings } from "../../core/leases/term.js";
import { maxValueBytes } from "../../core/packing.js";
import type { Team } from "../../core/records.js";
import type { Scheduler } from "../../core/scheduler/scheduler.js";
import type { MachineOwnership } from "../../core/scheduler/scheduler-context.js";
import type { CloudClient } from "../../io/cloud-client.js";
import type { Log } from "../../io/log.js";
import type { StateClient } from "../../io/state-client.js";
import type { JobCache } from "../job-cache.js";
import type { Member } from "../members/member.js";
import type { Membership } from "../members/membership.js";
import type { Peers } from "../members/peers.js";
import { RejectionBackoff } from "../rejection-backoff.js";
import type { ShardLeader } from "../shards/shard-leader.js";
import { Signal } from "../signal.js";
import type { JobReleaser } from "./job-releaser.js";
import type { Locked } from "./locked.js";

/** The settings that concern the leader. */
export interface LeaderOptions {
  /** This member's name. */
  readonly self: string;
  readonly timings: LeaseTimings;
  readonly teams: ReadonlyMap<string, Team>;
  readonly fleet: FleetOptions;
  /** How soon users expect tasks of a class to start, from the platform's objectives. */
  readonly startLatencyObjectives: ReadonlyMap<string, Duration.Duration>;
  /** Changes in one transaction of the state service, at most. */
  readonly txnOps: number;
  /** Size of one value in the state service, at most, in KiB. */
  readonly valueKb: number;
  /** Pause between two lists of the cloud's machines, at least. */
  readonly listInterval: Duration.Duration;
  /** The cloud's limit of requests a second. */
  readonly cloudRps: number;
  /** Who owns which machine where shards decide that; absent: rendezvous hashing alone. */
  readonly ownership?: MachineOwnership;
}

/** The parts of this process that the leader works with. */
export interface LeaderServices {
  readonly membership: Membership;
  readonly member: Member;
  readonly jobCache: JobCache;
  readonly state: StateClient;
  readonly cloud: CloudClient;
  readonly peers: Peers;
  readonly jobReleaser: JobReleaser;
  /** null: shards are off. */
  readonly shards: ShardLeader | null;
  readonly log: Log;
}

/** The state that the leader's modules share. */
export class LeaderContext {
  /** null: this node doesn't lead, or hasn't loaded the state yet. */
  schedulerLock: Locked<Scheduler> | null = null;
  /** Asks for a step before the next regular one. */
  readonly stepRequested = new Signal();
  /** Keys that are of no more use; garbage collection deletes them. */
  readonly staleKeys = new Set<string>();
  /** Growing pauses for what the state service refuses as it is. */
  readonly rejections: RejectionBackoff;
  /** Bytes that one value may hold. */
  readonly valueBytes: number;
  private sequence = 0;
  private fibers: Fiber.RuntimeFiber<unknown, unknown>[] = [];

  constructor(
    readonly options: LeaderOptions,
    readonly services: LeaderServices,
  ) {
    this.rejections = new RejectionBackoff(services.log);
    this.valueBytes = maxValueBytes(options.valueKb);
  }

  /** The number of the term in force as far as this node knows. */
  get termNumber(): number | undefined {
    return this.services.membership.term?.number;
  }

  /** Counts up for as long as the process lives: with the term's number it makes names that are never used again. */
  nextSequence(): number {
    return ++this.sequence;
  }

  /** Runs an effect in the background until it ends or this node stops leading. */
  fork<A, E>(effect: Effect.Effect<A, E>): Effect.Effect<void> {
    return Effect.sync(() => {
      this.fibers = this.fibers.filter((fiber) => fiber.unsafePoll() === null);
      this.fibers.push(Effect.runFork(effect));
    });
  }

  /**
   * Interrupts all that was forked, without waiting for it. A scope or a `FiberSet` would wait for the fibers to end,
   * but whoever lost the leadership has to be told at once, and may be one of these fibers itself.
   */
  interruptAll(): void {
    const { fibers } = this;
    this.fibers = [];
    for (const fiber of fibers) Effect.runFork(Fiber.interrupt(fiber));
  }
}
