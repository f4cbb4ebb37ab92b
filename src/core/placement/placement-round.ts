/** What one step of the placer works with: the machines that may be used, and what was found out so far. */
import type { Job, Machine } from "../cluster/cluster.js";
import type { PendingCommands } from "../commands/pending-commands.js";
import { isAtLeastAsDemanding } from "./placement.js";
import type { Usage } from "./quota.js";
import type { JobSpec } from "../records.js";
import type { Instant } from "../time.js";

/** Starts decided on in one step. */
const MAX_STARTS_PER_STEP = 400;

/** The state of one step; nothing of it outlives the step. */
export class PlacementRound {
  /** Machines with room that may be given work now. */
  readonly candidates: Machine[] = [];
  /** How many more tasks may be started in this step. */
  startsLeft: number;
  /** Jobs of this rank and below wait for the sake of a gang. */
  gangRank = -1;
  private readonly roomByMember = new Map<string | null, number>();
  private readonly noRoomFor: JobSpec[] = [];
  private readonly nothingToStopFor: Job[] = [];

  constructor(
    readonly now: Instant,
    readonly pendingCommands: PendingCommands,
    readonly notes: string[],
    /** What machines may hold that this leader doesn't know of: it counts against every limit (S6). */
    private readonly unseen: Usage,
    mostStarts = Infinity,
  ) {
    this.startsLeft = Math.min(MAX_STARTS_PER_STEP, mostStarts);
  }

  /** Free processors of a member's part. */
  readonly partRoom = (via: string | null): number => this.roomByMember.get(via) ?? 0;

  /** Takes note of a machine that may be used. */
  addCandidate(machine: Machine): void {
    this.candidates.push(machine);
    this.roomByMember.set(
      machine.relayedBy,
      this.partRoom(machine.relayedBy) + machine.cpus - machine.used.cpus,
    );
  }

  /** A task was started in a member's part. */
  takeFromPart(via: string | null, cpus: number): void {
    this.roomByMember.set(via, this.partRoom(via) - cpus);
  }

  /** The most that a team may be using (S6). */
  mostUsed(seen: Usage): Usage {
    return { cpus: seen.cpus + this.unseen.cpus, gpus: seen.gpus + this.unseen.gpus };
  }

  /** Whether a search for a job that is no harder to place has found nothing. */
  isHopeless(spec: JobSpec): boolean {
    return this.noRoomFor.some((failed) => isAtLeastAsDemanding(spec, failed));
  }

  /** A search for room found too little. */
  foundNoRoom(spec: JobSpec): void {
    this.noRoomFor.push(spec);
  }

  /** Whether nothing could be stopped for a job of at least this rank that is no harder to place. */
  isNothingToStop(job: Job): boolean {
    return this.nothingToStopFor.some(
      (failed) => failed.rank >= job.rank && isAtLeastAsDemanding(job.spec, failed.spec),
    );
  }

  /** A search for tasks to stop found none. */
  foundNothingToStop(job: Job): void {
    this.nothingToStopFor.push(job);
  }
}
