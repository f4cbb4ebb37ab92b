/**
 * What the leader's modules share: the service clients, the scheduler behind its lock, and the fibers that run only
 * while this node leads. It contains no decisions.
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

/** Settings of the leader. */
export interface LeaderOptions {
  /** This member's name. */
  readonly self: string;
  readonly timings: LeaseTimings;
  readonly teams: ReadonlyMap<string, Team>;
  readonly fleet: FleetOptions;
  /** The platform's objectives for the time until a task starts, by class of the job. */
  readonly startLatencyObjectives: ReadonlyMap<string, Duration.Duration>;
  /** Maximum number of changes in one transaction of the state service. */
  readonly txnOps: number;
  /** Maximum size of one value in the state service, in KiB. */
  readonly valueKb: number;
  /** Minimum pause between two listings of the cloud's machines. */
  readonly listInterval: Duration.Duration;
  /** The cloud's limit of requests per second. */
  readonly cloudRps: number;
  /** Which member owns which machine, if shards decide that; absent: rendezvous hashing decides alone. */
  readonly ownership?: MachineOwnership;
}

/** The services of this process that the leader uses. */
export interface LeaderServices {
  readonly membership: Membership;
  readonly member: Member;
  readonly jobCache: JobCache;
  readonly state: StateClient;
  readonly cloud: CloudClient;
  readonly peers: Peers;
  readonly jobReleaser: JobReleaser;
  /** null: shards are disabled. */
  readonly shards: ShardLeader | null;
  readonly log: Log;
}

/** State and background fibers of the leader's modules. */
export class LeaderContext {
  /** null: this node doesn't lead, or hasn't loaded the state yet. */
  schedulerLock: Locked<Scheduler> | null = null;
  /** Requests a scheduler step before the next regular one. */
  readonly stepRequested = new Signal();
  /** Obsolete keys, which garbage collection deletes. */
  readonly staleKeys = new Set<string>();
  /** Increasing pauses between attempts to write records that the state service rejects. */
  readonly rejections: RejectionBackoff;
  /** Maximum number of bytes in one value of the state service. */
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

  /** The number of the newest term that this node knows; undefined: none yet. */
  get termNumber(): number | undefined {
    return this.services.membership.term?.number;
  }

  /** Increases throughout the life of the process. Names made of the term number and this are never reused. */
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
   * Interrupts all forked effects without waiting for them to end. A scope or a `FiberSet` would wait, but the caller
   * that detects the loss of leadership must not be held up, and may itself run in one of these fibers.
   */
  interruptAll(): void {
    const { fibers } = this;
    this.fibers = [];
    for (const fiber of fibers) Effect.runFork(Fiber.interrupt(fiber));
  }
}
