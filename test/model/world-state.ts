/**
 * The state of a simulated cluster, shared by the modules of the model: everything drawn comes from its seed.
 */
import * as Duration from "effect/Duration";
import { type Guard, TIMINGS, TEAMS, type Broken } from "./settings.js";
import { stateDelay, transact, commitJob } from "./state-service.js";
import { whenAwake, reachesState } from "./network.js";
import { type Node, newNode } from "./nodes.js";
import { type Worker, addMachine } from "./workers.js";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type JobSpec, type MachineRecord, type Team, type TermRecord } from "../../src/core/records.js";
import { type RangeSet } from "../../src/core/ranges.js";
import { type Row } from "./job-views.js";
import { WaitingJobs } from "./waiting-jobs.js";
import { ShardMoves } from "./shards.js";

/** The whole state of a simulated cluster. */
export class WorldState {
  now = 0;
  revision = 1;
  readonly broken: Broken[] = [];
  started = 0;
  committed = 0;
  terms = 0;
  leaders = 0;
  /** How often troubles really met, by name. */
  readonly met = new Map<string, number>();
  /** Share of transactions that get no answer and are carried out 2 to 12 s later, after newer ones. */
  lateWrites = 0;
  /** Share of transactions that are carried out at once and whose answer is lost. */
  lostAnswers = 0;
  /** New machines are up within two seconds. */
  quickBoots = false;
  /** Jobs that were submitted with a mistake: each of their tasks fails on every machine. */
  readonly failing = new Set<string>();
  /** Share of direct orders that are carried out 2 to 16 s late, unanswered. */
  lateCommands = 0;
  teams: readonly Team[] = TEAMS;
  /** Share of heartbeats of which a copy arrives again, 2 s to 2.5 leases later. */
  lateHeartbeats = 0;
  /** Share of direct orders that are held up on their way, or whose answers are. */
  delayedCommands = 0;
  /** Share of jobs that are called off at the very end of their last task. */
  cancelsAtEnd = 0;
  /** Share of commits of jobs that others wait for after which the leader ends, before it joins anything. */
  endsAfterCommit = 0;
  /** Whether users call off whatever they like, beside what a script cancels. */
  usersCancel = true;
  /** Up to so much longer every message takes. */
  slowLinksMs = 0;
  /** Up to so much longer the state service takes. */
  slowStateMs = 0;
  readonly random: () => number;
  readonly messages: { at: number; run: () => void }[] = [];
  readonly nodes: Node[] = [];
  readonly workers = new Map<string, Worker>();
  readonly jobs = new Map<string, Row>();
  readonly allJobs = new Map<string, JobSpec>();
  readonly commits = new Map<string, { outcome: "done" | "cancelled"; at: number }>();
  /** The records of finishes, by job and key; a later write of the same key takes the place of the earlier one. */
  readonly stored = new Map<string, Map<string, RangeSet>>();
  readonly completed = new Map<string, RangeSet>();
  readonly records = new Map<string, MachineRecord>();
  leader: { name: string; incarnation: number; until: number; stamp: number } | null = null;
  term: TermRecord | null = null;
  stateDownUntil = 0;
  stateDownFrom: number | null = null;
  cloudDownUntil = 0;
  /** Until when a zone is cut off from everything outside it. */
  readonly zoneCutUntil = new Map<string, number>();
  nextJob = 0;
  machines = 0;
  writes = 0;
  calmSince: number | null = null;
  /** Writes whose answer was lost and that no other node has read yet. */
  unread: { readonly writer: string; readonly write: number }[] = [];
  /** Draws for the troubles above, so that runs without them stay the same. */
  readonly extra: () => number;
  /** Jobs about which users ask at the end of their last task. */
  readonly askedAtEnd = new Set<string>();
  /** How long the tasks of some jobs run. */
  readonly lasts = new Map<string, readonly number[]>();
  /** Since when a job waits though a machine has room for it. */
  readonly idleRoom = new Map<string, number>();
  /** Jobs that wait for others, and the users who ask about them. */
  readonly pipelines: WaitingJobs<Node>;
  /** null: machines follow the members. */
  readonly shards: ShardMoves | null;

  constructor(
    seed: number,
    readonly without: Guard | null,
    /** How often troubles come; 0: none. */
    public rough: number,
    /** Whether machines belong to shards that change hands. */
    withShards: boolean,
  ) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    const other = xoroshiro128plus(seed ^ 0x5eed);
    this.extra = () => uniformFloat64(other);
    this.pipelines = this.newPipelines();
    this.shards = withShards ? this.newShards(seed) : null;
    for (const [i, zone] of ["east", "west", "east"].entries())
      this.nodes.push({ ...newNode(this, `node-${i}`, zone), version: "new" });
    for (let i = 0; i < 3; i++)
      addMachine(this, i % 2 === 0 ? "small" : "large", i % 2 === 0 ? "east" : "west", false);
  }

  private newShards(seed: number): ShardMoves {
    const generator = xoroshiro128plus(seed ^ 0x54a2d);
    return new ShardMoves(
      () => this.now,
      () => uniformFloat64(generator),
      (what) => this.count(what),
    );
  }

  private newPipelines(): WaitingJobs<Node> {
    return new WaitingJobs<Node>({
      nodes: this.nodes,
      jobs: this.jobs,
      commits: this.commits,
      cancelMs: Duration.toMillis(TIMINGS.cancelDeadline),
      now: () => this.now,
      draw: this.extra,
      delay: () => {
        const slow = this.rough > 0 && this.extra() < 0.04;
        return (slow ? 300 + this.extra() * 1500 : 2 + this.extra() * 60) + stateDelay(this);
      },
      after: (ms, run) => void this.messages.push({ at: this.now + ms, run }),
      on: (node, run) => whenAwake(this, node, run),
      reaches: (node) => reachesState(this, node),
      transact: (node, attempts, apply) => transact(this, node, attempts, apply),
      nextRevision: () => ++this.revision,
      commit: (id, outcome) => commitJob(this, id, outcome),
      count: (what) => this.count(what),
      broke: (rule, text) => void this.broken.push({ rule, text }),
      calmSince: () => this.calmSince,
      isWithoutGuard: (guard) => this.without === guard,
    });
  }

  /** Counts how often something was met. */
  count(what: string, n = 1): void {
    this.met.set(what, (this.met.get(what) ?? 0) + n);
  }
}
