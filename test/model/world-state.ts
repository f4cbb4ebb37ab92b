/**
 * The state of a simulated cluster, shared by the modules of the model: everything drawn comes from its seed.
 */
import * as Duration from "effect/Duration";
import { type Guard, TIMINGS, TEAMS, type Violation } from "./settings.js";
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
  /** How often troubles really met, by name. */
  readonly eventCounts = new Map<string, number>();
  /** Share of transactions that get no answer and are carried out 2 to 12 s later, after newer ones. */
  lateWriteShare = 0;
  /** Share of transactions that are carried out at once and whose answer is lost. */
  lostAnswerShare = 0;
  /** New machines are up within two seconds. */
  fastBoots = false;
  /** Jobs that were submitted with a mistake: each of their tasks fails on every machine. */
  readonly failingJobs = new Set<string>();
  /** Share of direct orders that are carried out 2 to 16 s late, unanswered. */
  lateCommandShare = 0;
  teams: readonly Team[] = TEAMS;
  /** Share of heartbeats of which a copy arrives again, 2 s to 2.5 leases later. */
  lateHeartbeatShare = 0;
  /** Share of direct orders that are held up on their way, or whose answers are. */
  delayedCommandShare = 0;
  /** Share of jobs that are called off at the very end of their last task. */
  cancelAtEndShare = 0;
  /** Share of commits of jobs that others wait for after which the leader ends, before it joins anything. */
  crashAfterCommitShare = 0;
  /** Whether users call off whatever they like, beside what a script cancels. */
  randomCancels = true;
  /** Up to so much longer every message takes. */
  maxLinkDelayMs = 0;
  /** Up to so much longer the state service takes. */
  maxStateDelayMs = 0;
  readonly random: () => number;
  readonly messages: { at: number; run: () => void }[] = [];
  readonly nodes: Node[] = [];
  readonly workers = new Map<string, Worker>();
  readonly jobs = new Map<string, JobRow>();
  readonly allJobs = new Map<string, JobSpec>();
  readonly commits = new Map<string, { outcome: "done" | "cancelled"; at: number }>();
  /** The records of finishes, by job and key; a later write of the same key takes the place of the earlier one. */
  readonly storedFinishes = new Map<string, Map<string, RangeSet>>();
  readonly completedTasks = new Map<string, RangeSet>();
  readonly machineRecords = new Map<string, MachineRecord>();
  leader: { name: string; incarnation: number; expiresAt: number; revision: number } | null = null;
  term: TermRecord | null = null;
  stateDownUntil = 0;
  stateDownFrom: number | null = null;
  cloudDownUntil = 0;
  /** Until when a zone is cut off from everything outside it. */
  readonly zoneCutUntil = new Map<string, number>();
  nextJobNumber = 0;
  machineCount = 0;
  writeCount = 0;
  faultFreeSince: number | null = null;
  /** Writes whose answer was lost and that no other node has read yet. */
  unreadWrites: { readonly writer: string; readonly write: number }[] = [];
  /** Draws for the troubles above, so that runs without them stay the same. */
  readonly extraRandom: () => number;
  /** Jobs about which users ask at the end of their last task. */
  readonly queriedAtEnd = new Set<string>();
  /** How long the tasks of some jobs run. */
  readonly taskDurationsMs = new Map<string, readonly number[]>();
  /** Since when a job waits though a machine has room for it. */
  readonly waitingWithRoomSince = new Map<string, number>();
  /** Jobs that wait for others, and the users who ask about them. */
  readonly waitingJobs: WaitingJobs<Node>;
  /** null: machines follow the members. */
  readonly shardMoves: ShardMoves | null;

  constructor(
    seed: number,
    readonly disabledGuard: Guard | null,
    /** How often troubles come; 0: none. */
    public faultRate: number,
    /** Whether machines belong to shards that change hands. */
    withShards: boolean,
  ) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    const other = xoroshiro128plus(seed ^ 0x5eed);
    this.extraRandom = () => uniformFloat64(other);
    this.waitingJobs = this.newWaitingJobs();
    this.shardMoves = withShards ? this.newShardMoves(seed) : null;
    for (const [i, zone] of ["east", "west", "east"].entries())
      this.nodes.push({ ...newNode(this, `node-${i}`, zone), version: "new" });
    for (let i = 0; i < 3; i++)
      addMachine(this, i % 2 === 0 ? "small" : "large", i % 2 === 0 ? "east" : "west", false);
  }

  private newShardMoves(seed: number): ShardMoves {
    const generator = xoroshiro128plus(seed ^ 0x54a2d);
    return new ShardMoves(
      () => this.now,
      () => uniformFloat64(generator),
      (what) => this.count(what),
    );
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

  /** Counts how often something was met. */
  count(what: string, n = 1): void {
    this.eventCounts.set(what, (this.eventCounts.get(what) ?? 0) + n);
  }
}
