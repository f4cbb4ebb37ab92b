/** What one step of the placer works with: the machines that may be used, and what was found out so far. */
import type { Job, Machine } from "../cluster/cluster.js";
import type { PendingCommands } from "../commands/pending-commands.js";
import { isAtLeastAsDemanding } from "./eligibility.js";
import type { Usage } from "./quota.js";
import type { JobSpec } from "../records.js";
import type { Instant } from "../time.js";

/** Starts decided on in one step. */
const MAX_STARTS_PER_STEP = 400;

/** The state of one step; nothing of it outlives the step. */
export class PlacementRound {
  /** Machines with free capacity that may be given work now. */
  readonly candidates: Machine[] = [];
  /** How many more tasks may be started in this step. */
  startsLeft: number;
  /** Jobs of this rank and below wait for the sake of a gang; -1: none does. */
  highestHeldRank = -1;
  private readonly freeCpusByMember = new Map<string | null, number>();
  /** Jobs for which a search found no machine in this step. */
  private readonly unplaceable: JobSpec[] = [];
  /** Jobs for which a search found nothing to preempt in this step. */
  private readonly withoutPreemptionCandidates: Job[] = [];

  /** `notes`: lines for the log are added to it; `maxStarts`: a bound beside that of a step. */
  constructor(
    readonly now: Instant,
    readonly pendingCommands: PendingCommands,
    readonly notes: string[],
    /** What may run on machines without this leader's knowledge: it counts against every limit (S6). */
    private readonly unknownUsage: Usage,
    maxStarts = Infinity,
  ) {
    this.startsLeft = Math.min(MAX_STARTS_PER_STEP, maxStarts);
  }

  /** Free processors of the machines that a member relays for; null: of those that no member does. */
  readonly partitionFreeCpus = (member: string | null): number => this.freeCpusByMember.get(member) ?? 0;

  /** Adds a machine that may be used. */
  addCandidate(machine: Machine): void {
    this.candidates.push(machine);
    this.freeCpusByMember.set(
      machine.relayedBy,
      this.partitionFreeCpus(machine.relayedBy) + machine.cpus - machine.used.cpus,
    );
  }

  /** A task was started in a member's part. */
  takeFromPartition(member: string | null, cpus: number): void {
    this.freeCpusByMember.set(member, this.partitionFreeCpus(member) - cpus);
  }

  /** The most that a team may be using (S6). */
  usageUpperBound(known: Usage): Usage {
    return { cpus: known.cpus + this.unknownUsage.cpus, gpus: known.gpus + this.unknownUsage.gpus };
  }

  /** Whether a search for a job that is no harder to place has found nothing. */
  isKnownUnplaceable(spec: JobSpec): boolean {
    return this.unplaceable.some((failed) => isAtLeastAsDemanding(spec, failed));
  }

  /** A search for machines found too few. */
  markUnplaceable(spec: JobSpec): void {
    this.unplaceable.push(spec);
  }

  /** Whether nothing could be preempted for a job of at least this rank that is no harder to place. */
  hasNoPreemptionCandidates(job: Job): boolean {
    return this.withoutPreemptionCandidates.some(
      (failed) => failed.rank >= job.rank && isAtLeastAsDemanding(job.spec, failed.spec),
    );
  }

  /** A search for tasks to preempt found none. */
  markNoPreemptionCandidates(job: Job): void {
    this.withoutPreemptionCandidates.push(job);
  }
}
