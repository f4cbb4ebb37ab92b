/** Working state of one step of the placer: the candidate machines, and the searches that failed. */
import type { Job, Machine } from "../cluster/cluster.js";
import type { PendingCommands } from "../commands/pending-commands.js";
import { isAtLeastAsDemanding } from "./eligibility.js";
import type { Usage } from "./quota.js";
import type { JobSpec } from "../records.js";
import type { Instant } from "../time.js";

/** Most tasks started in one step. */
const MAX_STARTS_PER_STEP = 400;

/** Working state that is discarded after the step. */
export class PlacementRound {
  /** Machines with free capacity that may be given work now. */
  readonly candidates: Machine[] = [];
  /** Number of tasks that may still be started in this step. */
  startsLeft: number;
  /** Jobs up to this rank are held back, so that a waiting gang finds capacity; -1: none are. */
  highestHeldRank = -1;
  private readonly freeCpusByMember = new Map<string | null, number>();
  /** Jobs for which no machine was found in this step. */
  private readonly unplaceable: JobSpec[] = [];
  /** Jobs for which nothing was found to preempt in this step. */
  private readonly withoutPreemptionCandidates: Job[] = [];

  /** `notes`: collects messages for the log. `maxStarts`: a further limit on the starts of this step. */
  constructor(
    readonly now: Instant,
    readonly pendingCommands: PendingCommands,
    readonly notes: string[],
    /** Upper bound of what may run without this leader's knowledge; it counts against every team's limit (S6). */
    private readonly unknownUsage: Usage,
    maxStarts = Infinity,
  ) {
    this.startsLeft = Math.min(MAX_STARTS_PER_STEP, maxStarts);
  }

  /** Free processors of the candidates in a member's partition; null: of those in no member's. */
  readonly partitionFreeCpus = (member: string | null): number => this.freeCpusByMember.get(member) ?? 0;

  /** Adds a machine on which tasks may be started. */
  addCandidate(machine: Machine): void {
    this.candidates.push(machine);
    this.freeCpusByMember.set(
      machine.relayedBy,
      this.partitionFreeCpus(machine.relayedBy) + machine.cpus - machine.used.cpus,
    );
  }

  /** Counts the processors of a task that was started in a member's partition. */
  takeFromPartition(member: string | null, cpus: number): void {
    this.freeCpusByMember.set(member, this.partitionFreeCpus(member) - cpus);
  }

  /** The most that a team may be using, given its known usage (S6). */
  usageUpperBound(known: Usage): Usage {
    return { cpus: known.cpus + this.unknownUsage.cpus, gpus: known.gpus + this.unknownUsage.gpus };
  }

  /** Whether no machine was found for a job that is at most as demanding. */
  isKnownUnplaceable(spec: JobSpec): boolean {
    return this.unplaceable.some((failed) => isAtLeastAsDemanding(spec, failed));
  }

  /** Records that too few machines were found for the job. */
  markUnplaceable(spec: JobSpec): void {
    this.unplaceable.push(spec);
  }

  /** Whether nothing was found to preempt for a job of at least this rank that is at most as demanding. */
  hasNoPreemptionCandidates(job: Job): boolean {
    return this.withoutPreemptionCandidates.some(
      (failed) => failed.rank >= job.rank && isAtLeastAsDemanding(job.spec, failed.spec),
    );
  }

  /** Records that no tasks were found to preempt for the job. */
  markNoPreemptionCandidates(job: Job): void {
    this.withoutPreemptionCandidates.push(job);
  }
}
