/**
 * The state of a simulated controller.
 */
import * as Duration from "effect/Duration";
import { TIMINGS } from "./settings.js";
import { type WorldState } from "./world-state.js";
import { type Command, type TermRecord } from "../../src/core/records.js";
import { EndedJobs } from "../../src/core/jobs/ended-jobs.js";
import { ReceivedBatches } from "../../src/core/members/received-batches.js";
import { WorkerPartition } from "../../src/core/members/worker-partition.js";
import { type Scheduler } from "../../src/core/scheduler/scheduler.js";
import { type Instant } from "../../src/core/time.js";
import { type JobRow, JobView } from "./job-views.js";
import { type Version } from "./versions.js";

/** A controller: its present process, and the faults that affect it. */
export interface Node {
  readonly name: string;
  readonly zone: string;
  /** The version of the process; it may change with a restart. */
  version: Version;
  alive: boolean;
  restartAt: number;
  incarnation: number;
  partition: WorkerPartition;
  leaseConfirmedAt: Instant | null;
  /** When the last successful read of the unfinished jobs was requested. */
  jobsReadAt: Instant | null;
  knownJobs: ReadonlyMap<string, JobRow>;
  knownJobsRevision: number;
  nextReadAt: number;
  /** The jobs that have ended as far as its process knows, and the revision up to which it knows all of them. */
  endedJobs: EndedJobs;
  endsKnownUpTo: number | null;
  /** What its process knows of waiting jobs and outcomes. */
  view: JobView;
  term: TermRecord | null;
  /** When its lease in the state service ends, and the leader's key with it. */
  leaseUntil: number;
  nextRenewalAt: number;
  stateCutUntil: number;
  /** Until when it is cut off from the state service and the other controllers, but not from its workers. */
  isolatedUntil: number;
  /** Until when it does nothing while its clock runs on; messages wait and are handled first afterwards. */
  frozenUntil: number;
  pendingCommands: Map<number, { machine: string; orders: readonly Command[]; token: number; at: number }>;
  batchCount: number;
  /** The batches that it has received from leaders. */
  receivedBatches: ReceivedBatches;
  scheduler: Scheduler | null;
  leaderRevision: number;
  startedAt: number;
  leaderClockMark: number;
  leaderClockMarkTerm: number;
  nextUpdateAt: number;
  /** How many of its updates to the leader are on their way, or have yet to be put back. */
  unansweredUpdates: number;
  /** When the leader last answered an update directly, and when the next one may go through the state service. */
  leaderReachedAt: number;
  nextRelayAt: number;
  peerConfirmations: Map<string, Instant>;
}

const MAX_ENDED_JOBS = 20_000;
const MAX_REMEMBERED_MACHINES = 20;

/** The state of a newly started process. */
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
    endedJobs: new EndedJobs({ cancelDeadline: TIMINGS.cancelDeadline, maxJobs: MAX_ENDED_JOBS }),
    endsKnownUpTo: null,
    view: new JobView(),
    term: null,
    leaseUntil: 0,
    nextRenewalAt: world.now,
    stateCutUntil: 0,
    isolatedUntil: 0,
    frozenUntil: 0,
    pendingCommands: new Map(),
    batchCount: 0,
    receivedBatches: new ReceivedBatches(MAX_REMEMBERED_MACHINES),
    scheduler: null,
    leaderRevision: 0,
    startedAt: world.now,
    leaderClockMark: -1,
    leaderClockMarkTerm: 0,
    nextUpdateAt: world.now,
    unansweredUpdates: 0,
    leaderReachedAt: world.now,
    nextRelayAt: world.now,
    peerConfirmations: new Map(),
  };
}
