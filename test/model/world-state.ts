/**
 * The state of a simulated cluster, shared by the modules of the model. All random numbers derive from its seed.
 */
import * as Duration from "effect/Duration";
import { type Guard, TIMINGS, TEAMS, type Violation } from "./settings.js";
import { keepForCopies, KeptMessages } from "./command-copies.js";
import { drawStateDelayMs, transact, commitJob } from "./state-service.js";
import { whenAwake, reachesState } from "./network.js";
import { type Node, newNode } from "./nodes.js";
import { type Worker, addMachine } from "./workers.js";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type JobSpec, type MachineRecord, type Team, type TermRecord } from "../../src/core/records.js";
import { type RangeSet } from "../../src/core/ranges.js";
import { type JobRow } from "./job-views.js";
import { WaitingJobs } from "./waiting-jobs.js";
import { ShardMoves } from "./shards.js";

/** The whole state of a simulated cluster. */
export class WorldState {
  now = 0;
  revision = 1;
  readonly violations: Violation[] = [];
  attemptsStarted = 0;
  jobsCommitted = 0;
  termsWritten = 0;
  leadersElected = 0;
  /** How often each event occurred, by name. */
  readonly eventCounts = new Map<string, number>();
  /** Share of transactions that are not answered and are executed 2 to 12 s later, possibly after newer ones. */
  lateWriteShare = 0;
  /** Share of transactions that are executed at once and whose answer is lost. */
  lostAnswerShare = 0;
  /** Whether new machines boot within two seconds. */
  fastBoots = false;
  /** Jobs whose tasks fail on every machine, as after a faulty submission. */
  readonly failingJobs = new Set<string>();
  /** Share of command batches that are executed 2 to 16 s late, after the sender has stopped waiting. */
  lateCommandShare = 0;
  teams: readonly Team[] = TEAMS;
  /** Share of heartbeats of which a copy arrives 2 s to 2.5 worker leases later. */
  lateHeartbeatShare = 0;
  /** Share of command batches that are delayed on their way, and share of delayed answers to them. */
  delayedCommandShare = 0;
  /** Share of jobs that a user cancels just as their last task completes. */
  cancelAtEndShare = 0;
  /** Share of commits after which the leader crashes before it joins the job to the fan-in sets of its children. */
  crashAfterCommitShare = 0;
  /** Whether users cancel random jobs besides those that a scenario cancels. */
  randomCancels = true;
  /** Whether messages are kept, of which copies may arrive later. */
  keepsMessages = false;
  /** How many late copies of kept messages arrive per second. */
  copiesPerSecond = 0;
  /** Share of command batches for which the member can't connect to the worker. */
  refusedConnectionShare = 0;
  readonly keptMessages = new KeptMessages();
  /** A random sequence for copies, so that runs without them keep their history. */
  readonly copyRandom: () => number;
  /** The upper bound of the extra delay of every message. */
  maxLinkDelayMs = 0;
  /** The upper bound of the extra delay of the state service. */
  maxStateDelayMs = 0;
  readonly random: () => number;
  readonly messages: { at: number; run: () => void }[] = [];
  readonly nodes: Node[] = [];
  readonly workers = new Map<string, Worker>();
  readonly jobs = new Map<string, JobRow>();
  readonly allJobs = new Map<string, JobSpec>();
  readonly commits = new Map<string, { outcome: "done" | "cancelled"; at: number; revision: number }>();
  /** Whether several faults at a time are drawn as well, around jobs that are cancelled. */
  combinesFaults = false;
  /** Whether a cut resets connections, so that commands are lost; otherwise they arrive once it ends. */
  cutsReset = false;
  /** How many revisions back the state service still reports changes. */
  keptRevisions = Infinity;
  /** The stored records of finished tasks, by job and key; a later write of a key replaces the earlier one. */
  readonly storedFinishes = new Map<string, Map<string, RangeSet>>();
  readonly completedTasks = new Map<string, RangeSet>();
  readonly machineRecords = new Map<string, MachineRecord>();
  leader: { name: string; incarnation: number; expiresAt: number; revision: number } | null = null;
  term: TermRecord | null = null;
  stateDownUntil = 0;
  stateDownFrom: number | null = null;
  cloudDownUntil = 0;
  /** Until when controllers refuse one another's connections. */
  peersRefusedUntil = 0;
  /** Until when each zone is cut off from everything outside it. */
  readonly zoneCutUntil = new Map<string, number>();
  nextJobNumber = 0;
  machineCount = 0;
  writeCount = 0;
  faultFreeSince: number | null = null;
  /** Writes whose answer was lost and that no other controller has read yet. */
  unreadWrites: { readonly writer: string; readonly write: number }[] = [];
  /** A second random sequence for the optional faults above, so that runs without them keep their history. */
  readonly extraRandom: () => number;
  /** Jobs whose status users query, and which they resubmit, when the last task completes. */
  readonly queriedAtEnd = new Set<string>();
  /** The durations of the tasks of jobs whose durations are not random. */
  readonly taskDurationsMs = new Map<string, readonly number[]>();
  /** Since when a job has been waiting although a machine has room for it. */
  readonly waitingWithRoomSince = new Map<string, number>();
  /** Jobs that depend on others, and the users who query them. */
  readonly waitingJobs: WaitingJobs<Node>;
  /** null: a machine's owner depends on the members of the term alone. */
  readonly shardMoves: ShardMoves | null;

  constructor(
    seed: number,
    readonly disabledGuard: Guard | null,
    /** How often random faults occur; 0: never. */
    public faultRate: number,
    /** Whether machines belong to shards that are handed over between controllers. */
    withShards: boolean,
  ) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    const other = xoroshiro128plus(seed ^ 0x5eed);
    this.extraRandom = () => uniformFloat64(other);
    const copies = xoroshiro128plus(seed ^ 0xc0b1e5);
    this.copyRandom = () => uniformFloat64(copies);
    this.waitingJobs = this.newWaitingJobs();
    this.shardMoves = withShards ? this.newShardMoves(seed) : null;
    for (const [i, zone] of ["east", "west", "east"].entries())
      this.nodes.push({ ...newNode(this, `node-${i}`, zone), version: "new" });
    for (let i = 0; i < 3; i++)
      addMachine(this, i % 2 === 0 ? "small" : "large", i % 2 === 0 ? "east" : "west", false);
  }

  private newShardMoves(seed: number): ShardMoves {
    const generator = xoroshiro128plus(seed ^ 0x54a2d);
    const moves = new ShardMoves(
      () => this.now,
      () => uniformFloat64(generator),
      (what) => this.count(what),
      (move) => keepForCopies(this, "move", () => moves.repeat(move)),
    );
    return moves;
  }

  private newWaitingJobs(): WaitingJobs<Node> {
    return new WaitingJobs<Node>({
      nodes: this.nodes,
      jobs: this.jobs,
      commits: this.commits,
      cancelDeadlineMs: Duration.toMillis(TIMINGS.cancelDeadline),
      now: () => this.now,
      random: this.extraRandom,
      delayMs: () => {
        const isSlow = this.faultRate > 0 && this.extraRandom() < 0.04;
        return (
          (isSlow ? 300 + this.extraRandom() * 1500 : 2 + this.extraRandom() * 60) + drawStateDelayMs(this)
        );
      },
      after: (ms, run) => void this.messages.push({ at: this.now + ms, run }),
      whenAwake: (node, run) => whenAwake(this, node, run),
      reachesState: (node) => reachesState(this, node),
      transact: (node, conditionHolds, apply) => transact(this, node, conditionHolds, apply),
      nextRevision: () => ++this.revision,
      commit: (id, outcome) => commitJob(this, id, outcome),
      count: (event) => this.count(event),
      reportViolation: (rule, text) => void this.violations.push({ rule, text }),
      faultFreeSince: () => this.faultFreeSince,
      isWithoutGuard: (guard) => this.disabledGuard === guard,
    });
  }

  /** Adds to the number of occurrences of an event. */
  count(what: string, n = 1): void {
    this.eventCounts.set(what, (this.eventCounts.get(what) ?? 0) + n);
  }
}
