/**
 * A simulated controller's process, as the model keeps it.
 */
import * as Duration from "effect/Duration";
import { type WorldState } from "./world-state.js";
import { type Command, type TermRecord } from "../../src/core/records.js";
import { WorkerPartition } from "../../src/core/members/worker-partition.js";
import { type Scheduler } from "../../src/core/scheduler/scheduler.js";
import { type Instant } from "../../src/core/time.js";
import { type JobRow, JobView } from "./job-views.js";
import { type Version } from "./versions.js";

/** A controller: what its process knows, and what it keeps while it leads. */
export interface Node {
  readonly name: string;
  readonly zone: string;
  /** The next process of this member may have another one. */
  version: Version;
  alive: boolean;
  restartAt: number;
  incarnation: number;
  partition: WorkerPartition;
  leaseConfirmedAt: Instant | null;
  /** The unfinished jobs as last read from the state service, when that was asked for, and up to which revision. */
  jobsReadAt: Instant | null;
  knownJobs: ReadonlyMap<string, JobRow>;
  knownJobsRevision: number;
  nextReadAt: number;
  /** What its process knows of waiting jobs and of outcomes. */
  view: JobView;
  term: TermRecord | null;
  /** The lease in the state service; the key goes when it ends. */
  leaseUntil: number;
  nextRenewalAt: number;
  stateCutUntil: number;
  /** Cut off from the state service and the other nodes, but not from its workers. */
  isolatedUntil: number;
  /** Stands still while its clocks run on: what comes waits and is handled on waking, before anything else. */
  frozenUntil: number;
  pendingCommands: Map<number, { machine: string; orders: readonly Command[]; token: number; at: number }>;
  batchCount: number;
  scheduler: Scheduler | null;
  leaderRevision: number;
  startedAt: number;
  leaderClockMark: number;
  leaderClockMarkTerm: number;
  nextUpdateAt: number;
  peerConfirmations: Map<string, Instant>;
}

/** A new process of a member, which knows nothing. */
export function newNode(world: WorldState, name: string, zone: string): Omit<Node, "version"> {
  const partition = new WorkerPartition(name, 400, Duration.millis(300));
  if (world.shardMoves !== null) partition.lookUpOwner = world.shardMoves.ownerLookupOf(name);
  return {
    name,
    zone,
    alive: true,
    restartAt: 0,
    incarnation: 0,
    partition,
    leaseConfirmedAt: null,
    jobsReadAt: null,
    knownJobs: new Map(),
    knownJobsRevision: 0,
    nextReadAt: world.now,
    view: new JobView(),
    term: null,
    leaseUntil: 0,
    nextRenewalAt: world.now,
    stateCutUntil: 0,
    isolatedUntil: 0,
    frozenUntil: 0,
    pendingCommands: new Map(),
    batchCount: 0,
    scheduler: null,
    leaderRevision: 0,
    startedAt: world.now,
    leaderClockMark: -1,
    leaderClockMarkTerm: 0,
    nextUpdateAt: world.now,
    peerConfirmations: new Map(),
  };
}
