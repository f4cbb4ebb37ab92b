/**
 * Preempts running tasks in favour of jobs of a higher rank or within their team's guarantee. Keeps track of the jobs
 * for which tasks are being stopped, so that no more are stopped than needed, and of the last search of all machines.
 */
import * as Duration from "effect/Duration";
import { type TaskAttempt, type Job, type Machine, occupiesCapacity, rankOf } from "../cluster/cluster.js";
import type { JobQueue } from "./job-queue.js";
import { type AttemptWithSpec, findPreemptionCandidates } from "./preemption-candidates.js";
import type { PlacementRound } from "./placement-round.js";
import { type JobSpec, RANK } from "../records.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { type Instant, hasElapsed, plus } from "../time.js";

/** Number of machines with the latest starts that are searched first: stopping recent starts costs the least. */
const MAX_RECENT_MACHINES = 64;
/** A task without checkpoints that has run for less than this is cheap to stop. */
const CHEAP_LOSS_RUNTIME = Duration.seconds(6);
/** How long stopped tasks may take to free their capacity before more are stopped for the same job. */
const STOP_DURATION = Duration.millis(300);
/** Time between searches for one job, and between searches of all machines: a search is expensive. */
const SEARCH_INTERVAL = Duration.millis(500);
/** How long a job waits after a search of all machines that found nothing. */
const PAUSE_AFTER_FULL_SEARCH = Duration.times(SEARCH_INTERVAL, 2);

/** Whether stopping the task loses a considerable amount of work. */
const losesMuchWork = (attempt: AttemptWithSpec, now: Instant): boolean =>
  Duration.toMillis(attempt.spec.checkpointInterval) === 0 &&
  attempt.state === "running" &&
  hasElapsed(now, attempt.stateSince, CHEAP_LOSS_RUNTIME);

const taskNames = (attempts: readonly TaskAttempt[]): string =>
  attempts.map((attempt) => `${attempt.job}/${attempt.index}`).join(" ");

/** Preempts other tasks, for one task of a job at a time. */
export class Preemption {
  /** By job, until when no search is made: tasks are being stopped for it, or a search has just found nothing. */
  private readonly searchPausedUntil = new Map<string, Instant>();
  private lastFullSearchAt: Instant | null = null;

  constructor(
    private readonly context: SchedulerContext,
    private readonly queue: JobQueue,
  ) {}

  /** Forgets the job, which has its commit. */
  forgetJob(id: string): void {
    this.searchPausedUntil.delete(id);
  }

  /** Stops other tasks on a machine that has the job's image in its cache; returns whether some are stopping. */
  preemptWhereCached(job: Job, round: PlacementRound): boolean {
    const until = this.searchPausedUntil.get(job.spec.id);
    if (until !== undefined) return round.now < until;
    const cached = this.recentMachines(round.now).filter((machine) => machine.images.has(job.spec.image));
    return this.preemptOn(job, cached, round);
  }

  /** Stops other tasks for one task of the job; false: nothing was found that may be stopped. */
  preemptFor(job: Job, round: PlacementRound): boolean {
    const { now } = round;
    const { id } = job.spec;
    const until = this.searchPausedUntil.get(id);
    if (until !== undefined && now < until) return true;
    if (!this.mayPreemptAny(job)) return false;
    if (this.preemptOn(job, this.recentMachines(now), round)) return true;
    this.searchPausedUntil.set(id, plus(now, SEARCH_INTERVAL));
    // machines with recent starts don't suffice: at intervals all machines are searched
    if (this.lastFullSearchAt !== null && !hasElapsed(now, this.lastFullSearchAt, SEARCH_INTERVAL))
      return false;
    this.lastFullSearchAt = now;
    const all = [...this.context.cluster.byLastHeartbeat].filter((machine) =>
      this.context.canStartTasks(machine, now),
    );
    if (this.preemptOn(job, all, round)) return true;
    this.searchPausedUntil.set(id, plus(now, PAUSE_AFTER_FULL_SEARCH));
    return false;
  }

  /** Whether a task of a lower rank exists, or another team exceeds its guarantee while the job is within its own. */
  private mayPreemptAny(job: Job): boolean {
    const hasLower = this.context.cluster.attemptsByRank.some((tasks, rank) => rank < job.rank && tasks > 0);
    return hasLower || (this.queue.isGuaranteed(job) && this.isOtherTeamOverGuarantee(job.spec.team));
  }

  private isOtherTeamOverGuarantee(requestingTeam: string): boolean {
    for (const [name, team] of this.context.options.teams) {
      const usage = this.context.usageOf(name);
      if (name !== requestingTeam && (usage.cpus > team.guaranteedCpus || usage.gpus > team.guaranteedGpus))
        return true;
    }
    return false;
  }

  /** Machines of the latest starts whose tasks are still there, if they may be given work. */
  private recentMachines(now: Instant): Machine[] {
    const found = new Set<Machine>();
    const { recentStarts, machines } = this.context.cluster;
    for (let index = recentStarts.length - 1; index >= 0 && found.size < MAX_RECENT_MACHINES; index--) {
      const attempt = recentStarts[index];
      const machine = attempt === undefined ? undefined : machines.get(attempt.machine);
      if (attempt !== undefined && machine !== undefined && occupiesCapacity(attempt)) found.add(machine);
    }
    return [...found].filter((machine) => this.context.canStartTasks(machine, now));
  }

  /** Stops the cheapest set of tasks on one of the given machines; false: there is none. */
  private preemptOn(job: Job, candidates: readonly Machine[], round: PlacementRound): boolean {
    const { now, pendingCommands, notes } = round;
    const found = findPreemptionCandidates(this.context.cluster, job, candidates, now, (attempt) =>
      this.mayPreempt(attempt, job, now),
    );
    if (found === null) return false;
    for (const attempt of found.attempts) pendingCommands.stop(attempt);
    this.searchPausedUntil.set(job.spec.id, plus(now, STOP_DURATION));
    notes.push(`preempting ${taskNames(found.attempts)} on ${found.machine.id} for ${job.spec.id}`);
    return true;
  }

  /** Whether the attempt may be stopped for the job. Production may stop all lower ranks; gangs are never stopped. */
  private mayPreempt(attempt: AttemptWithSpec, job: Job, now: Instant): boolean {
    if (attempt.spec.kind === "gang") return false;
    const { cluster } = this.context;
    const owner = cluster.jobs.get(attempt.job);
    const isProduction = job.rank === RANK.production;
    if (job.rank < RANK.production && owner !== undefined && this.queue.mustStartNow(owner, now))
      return false;
    // below production, an earlier start isn't worth losing work that has run for a while
    const isLower = rankOf(cluster, attempt) < job.rank;
    if (isLower && (isProduction || !losesMuchWork(attempt, now))) return true;
    return this.queue.isGuaranteed(job) && this.exceedsGuarantee(attempt.spec, job.spec.team);
  }

  /** Whether a task of another team uses capacity beyond that team's guarantee. */
  private exceedsGuarantee(spec: JobSpec, requestingTeam: string): boolean {
    if (spec.team === requestingTeam || spec.kind === "service") return false;
    const team = this.context.options.teams.get(spec.team);
    if (team === undefined) return false;
    const usage = this.context.usageOf(spec.team);
    return usage.cpus - spec.cpus >= team.guaranteedCpus && usage.gpus - spec.gpus >= team.guaranteedGpus;
  }
}
