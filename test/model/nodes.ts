/**
 * A simulated controller's process, as the model keeps it.
 */
import * as Duration from "effect/Duration";
import { type WorldState } from "./world-state.js";
import { type Command, type TermRecord } from "../../src/core/records.js";
import { WorkerPartition } from "../../src/core/members/worker-partition.js";
import { type Scheduler } from "../../src/core/scheduler/scheduler.js";
import { type Instant } from "../../src/core/time.js";
import { type Row, View } from "./job-views.js";
import { type Version } from "./versions.js";

/** A controller: what its process knows, and what it keeps while it leads. */
export interface Node {
  readonly name: string;
  readonly zone: string;
  /** The next process of this member may have another one. */
  version: Version;
  alive: boolean;
  back: number;
  incarnation: number;
  part: WorkerPartition;
  confirmed: Instant | null;
  /** The unfinished jobs as last read from the state service, when that was asked for, and up to which revision. */
  jobsReadAt: Instant | null;
  known: ReadonlyMap<string, Row>;
  knownUpTo: number;
  nextRead: number;
  /** What its process knows of waiting jobs and of outcomes. */
  view: View;
  term: TermRecord | null;
  /** The lease in the state service; the key goes when it ends. */
  leaseUntil: number;
  nextRenew: number;
  stateCutUntil: number;
  /** Cut off from the state service and the other nodes, but not from its workers. */
  aloneUntil: number;
  /** Stands still while its clocks run on: what comes waits and is handled on waking, before anything else. */
  frozenUntil: number;
  pendingCommands: Map<number, { machine: string; orders: readonly Command[]; token: number; at: number }>;
  batches: number;
  scheduler: Scheduler | null;
  leaderRevision: number;
  began: number;
  leaderClockMark: number;
  leaderClockMarkTerm: number;
  nextSync: number;
  peerConfirmations: Map<string, Instant>;
}

/** A new process of a member, which knows nothing. */
export function newNode(world: WorldState, name: string, zone: string): Omit<Node, "version"> {
  const part = new WorkerPartition(name, 400, Duration.millis(300));
  if (world.shards !== null) part.lookUpOwner = world.shards.lookup(name);
  return {
    name,
    zone,
    alive: true,
    back: 0,
    incarnation: 0,
    part,
    confirmed: null,
    jobsReadAt: null,
    known: new Map(),
    knownUpTo: 0,
    nextRead: world.now,
    view: new View(),
    term: null,
    leaseUntil: 0,
    nextRenew: world.now,
    stateCutUntil: 0,
    aloneUntil: 0,
    frozenUntil: 0,
    pendingCommands: new Map(),
    batches: 0,
    scheduler: null,
    leaderRevision: 0,
    began: world.now,
    leaderClockMark: -1,
    leaderClockMarkTerm: 0,
    nextSync: world.now,
    peerConfirmations: new Map(),
  };
}
