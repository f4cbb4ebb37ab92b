/**
 * Stops running tasks to make room for more important ones, or for what a team's guarantee covers. Owns for which jobs
 * room is being made, so that no more is stopped than needed, and when all machines were last searched.
 */
import * as Duration from "effect/Duration";
import { type TaskAttempt, type Job, type Machine, occupiesCapacity, rankOf } from "../cluster/cluster.js";
import type { JobQueue } from "./job-queue.js";
import { type KnownAttempt, findPreemptionCandidates } from "./placement.js";
import type { PlacementRound } from "./placement-round.js";
import { type JobSpec, RANK } from "../records.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { type Instant, hasElapsed, plus } from "../time.js";

/** Machines on which something was started lately, where stopping costs the least. */
const MAX_RECENT_MACHINES = 64;
/** Work of so long is cheap to throw away. */
const CHEAP_LOSS = Duration.seconds(6);
/** How long stopped tasks may take until their room counts as missing again. */
const STOP_TAKES = Duration.millis(300);
/** A search costs far more than a look at a waiting job: searches for one job keep this distance. */
const SEARCH_AGAIN = Duration.millis(500);
const SEARCH_AGAIN_AFTER_ALL = Duration.times(SEARCH_AGAIN, 2);

/** Whether stopping a task throws away more than a moment's work. */
const losesWork = (attempt: KnownAttempt, now: Instant): boolean =>
  Duration.toMillis(attempt.spec.checkpoint) === 0 &&
  attempt.state === "running" &&
  hasElapsed(now, attempt.stateSince, CHEAP_LOSS);

const describe = (attempts: readonly TaskAttempt[]): string =>
  attempts.map((attempt) => `${attempt.job}/${attempt.index}`).join(" ");

/** Makes room for one task of a job at a time. */
export class Preemption {
  /** Until when each job counts as having room made for it, or as having been searched for in vain. */
  private readonly pausedUntil = new Map<string, Instant>();
  private searchedAllAt: Instant | null = null;

  constructor(
    private readonly scope: SchedulerContext,
    private readonly queue: JobQueue,
  ) {}

  /** The job has its commit. */
  jobOver(id: string): void {
    this.pausedUntil.delete(id);
  }

  /** Whether room is being made on a machine where the job's image is cached. */
  makeRoomWhereCached(job: Job, round: PlacementRound): boolean {
    const until = this.pausedUntil.get(job.spec.id);
    if (until !== undefined) return round.now < until;
    const cached = this.recentMachines(round.now).filter((machine) => machine.images.has(job.spec.image));
    return this.stopFor(job, cached, round);
  }

  /** Stops others for one task of a job, where anything may be stopped for it at all; false: nothing was found. */
  makeRoom(job: Job, round: PlacementRound): boolean {
    const { now } = round;
    const { id } = job.spec;
    const until = this.pausedUntil.get(id);
    if (until !== undefined && now < until) return true;
    if (!this.mayStopAny(job)) return false;
    if (this.stopFor(job, this.recentMachines(now), round)) return true;
    this.pausedUntil.set(id, plus(now, SEARCH_AGAIN));
    // nothing that started lately will do: now and then all machines are searched
    if (this.searchedAllAt !== null && !hasElapsed(now, this.searchedAllAt, SEARCH_AGAIN)) return false;
    this.searchedAllAt = now;
    const all = [...this.scope.cluster.byLastHeartbeat].filter((machine) => this.scope.isReady(machine, now));
    if (this.stopFor(job, all, round)) return true;
    this.pausedUntil.set(id, plus(now, SEARCH_AGAIN_AFTER_ALL));
    return false;
  }

  /** Whether some task has a lower rank, or some other team uses more than its guarantee. */
  private mayStopAny(job: Job): boolean {
    const hasLower = this.scope.cluster.attemptsByRank.some((tasks, rank) => rank < job.rank && tasks > 0);
    return hasLower || (this.queue.isGuaranteed(job) && this.someoneBorrows(job.spec.team));
  }

  private someoneBorrows(except: string): boolean {
    for (const [name, team] of this.scope.options.teams) {
      const usage = this.scope.usageOf(name);
      if (name !== except && (usage.cpus > team.guaranteedCpus || usage.gpus > team.guaranteedGpus))
        return true;
    }
    return false;
  }

  /** Machines on which something was started lately, and that may be given work. */
  private recentMachines(now: Instant): Machine[] {
    const found = new Set<Machine>();
    const { recentStarts, machines } = this.scope.cluster;
    for (let at = recentStarts.length - 1; at >= 0 && found.size < MAX_RECENT_MACHINES; at--) {
      const attempt = recentStarts[at];
      const machine = attempt === undefined ? undefined : machines.get(attempt.machine);
      if (attempt !== undefined && machine !== undefined && occupiesCapacity(attempt)) found.add(machine);
    }
    return [...found].filter((machine) => this.scope.isReady(machine, now));
  }

  private stopFor(job: Job, candidates: readonly Machine[], round: PlacementRound): boolean {
    const { now, pendingCommands, notes } = round;
    const found = findPreemptionCandidates(this.scope.cluster, job, candidates, now, (attempt) =>
      this.mayStop(attempt, job, now),
    );
    if (found === null) return false;
    for (const attempt of found.holds) pendingCommands.stop(attempt);
    this.pausedUntil.set(job.spec.id, plus(now, STOP_TAKES));
    notes.push(`stop ${describe(found.holds)} on ${found.machine.id} for ${job.spec.id}`);
    return true;
  }

  private mayStop(attempt: KnownAttempt, job: Job, now: Instant): boolean {
    if (attempt.spec.kind === "gang") return false;
    const { cluster } = this.scope;
    const owner = cluster.jobs.get(attempt.job);
    const isProduction = job.rank === RANK.production;
    if (job.rank < RANK.production && owner !== undefined && this.queue.isUrgent(owner, now)) return false;
    // below production, room made a little sooner isn't worth work that has run for a while
    const isLower = rankOf(cluster, attempt) < job.rank;
    if (isLower && (isProduction || !losesWork(attempt, now))) return true;
    return this.queue.isGuaranteed(job) && this.isBorrowed(attempt.spec, job.spec.team);
  }

  /** Whether a task of another team runs beyond that team's own guarantee. */
  private isBorrowed(spec: JobSpec, claimant: string): boolean {
    if (spec.team === claimant || spec.kind === "service") return false;
    const team = this.scope.options.teams.get(spec.team);
    if (team === undefined) return false;
    const usage = this.scope.usageOf(spec.team);
    return usage.cpus - spec.cpus >= team.guaranteedCpus && usage.gpus - spec.gpus >= team.guaranteedGpus;
  }
}
