/** Decides which waiting tasks start, and where, within limits, zone rules and the known attempts (S4, S5, S6). */
import * as Duration from "effect/Duration";
import type { Job, Machine } from "../cluster/cluster.js";
import type { PendingCommands } from "../commands/pending-commands.js";
import { startableTaskCount } from "../heartbeats/attempt-results.js";
import type { Team } from "../records.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { type Instant, hasElapsed } from "../time.js";
import { chooseMachine, packTasks } from "./bin-packing.js";
import { allowsMachine } from "./eligibility.js";
import { GangPlacer } from "./gang-placer.js";
import type { JobQueue } from "./job-queue.js";
import { PlacementRound } from "./placement-round.js";
import { Preemption } from "./preemption.js";
import { tasksWithinLimit, type Usage } from "./quota.js";
import { TaskStarter } from "./task-starter.js";
import { hasZoneConstraint } from "./zone-rules.js";

/**
 * Placement is repeated this often even if neither jobs nor capacity changed: heartbeats become too old, and the times
 * for which jobs avoid machines run out.
 */
const RETRY_INTERVAL = Duration.millis(500);

/** Places waiting tasks. A step looks at every waiting job, but only at machines with free capacity. */
export class Placer {
  private readonly starter: TaskStarter;
  private readonly preemption: Preemption;
  private readonly gangs: GangPlacer;
  /** `Cluster.capacityVersion` when placement was last tried, and when that was. */
  private triedVersion = -1;
  private triedAt: Instant | null = null;

  constructor(
    private readonly context: SchedulerContext,
    private readonly queue: JobQueue,
  ) {
    this.starter = new TaskStarter(context);
    this.preemption = new Preemption(context, queue);
    this.gangs = new GangPlacer(context, this.starter);
  }

  /** Forgets the job, which has its commit. */
  forgetJob(id: string): void {
    this.preemption.forgetJob(id);
  }

  /** Whether this term is running out of attempt numbers (S4). */
  get needsNewTerm(): boolean {
    return this.starter.needsNewTerm;
  }

  /** Starts the tasks that fit, and preempts others for those that don't. */
  step(now: Instant, pendingCommands: PendingCommands, notes: string[]): void {
    if (!this.isWorthTrying(now)) return;
    const queue = this.queue.sortedJobs(now);
    const round = this.newRound(queue, now, pendingCommands, notes);
    for (const job of queue) {
      if (round.startsLeft <= 0) break;
      if (job.rank <= round.highestHeldRank && !this.queue.isGuaranteed(job)) continue;
      const team = this.context.options.teams.get(job.spec.team);
      if (team === undefined || this.mayRunOnUnconfirmed(job)) continue;
      if (job.spec.kind === "gang") this.gangs.placeOrHoldBackOthers(job, team, round);
      else this.placeOrPreempt(job, team, round);
    }
  }

  private isWorthTrying(now: Instant): boolean {
    const { cluster } = this.context;
    if (cluster.pendingJobs.size === 0) return false;
    const isUnchanged = this.triedVersion === cluster.capacityVersion;
    if (isUnchanged && this.triedAt !== null && !hasElapsed(now, this.triedAt, RETRY_INTERVAL)) return false;
    this.triedVersion = cluster.capacityVersion;
    this.triedAt = now;
    return true;
  }

  private newRound(
    queue: readonly Job[],
    now: Instant,
    pendingCommands: PendingCommands,
    notes: string[],
  ): PlacementRound {
    const round = new PlacementRound(
      now,
      pendingCommands,
      notes,
      this.unknownUsage(),
      this.starter.startsLeft,
    );
    const minCpus = queue.reduce((least, job) => Math.min(least, job.spec.cpus), Infinity);
    for (const machine of this.context.cluster.capacityIndex.atLeast(minCpus))
      if (this.context.canStartTasks(machine, now)) round.addCandidate(machine);
    return round;
  }

  /** The capacity of machines that sent no heartbeat in this term, or that have tasks of unknown size (S6). */
  private unknownUsage(): Usage {
    const { cluster } = this.context;
    const usage = { cpus: 0, gpus: 0 };
    for (const machine of cluster.unconfirmed) {
      usage.cpus += machine.cpus;
      usage.gpus += machine.gpus;
    }
    for (const machine of cluster.orphanedAttemptCounts.keys()) {
      if (!machine.recorded || !machine.confirmed) continue;
      usage.cpus += machine.cpus;
      usage.gpus += machine.gpus;
    }
    return usage;
  }

  /** Whether a machine that sent no heartbeat in this term may run tasks of the job (S5). */
  private mayRunOnUnconfirmed(job: Job): boolean {
    if (job.revision > this.context.leaderRevision) return false;
    for (const machine of this.context.cluster.unconfirmed) if (allowsMachine(job.spec, machine)) return true;
    return false;
  }

  private placeOrPreempt(job: Job, team: Team, round: PlacementRound): void {
    const { spec } = job;
    const used = round.usageUpperBound(this.context.usageOf(spec.team));
    const startable = this.queue.isStartOverdue(job, round.now) ? 1 : startableTaskCount(job, round.now);
    let left = Math.min(startable, round.startsLeft, tasksWithinLimit(team, used, spec));
    if (left <= 0) return;
    if (!round.isKnownUnplaceable(spec)) {
      const placed = this.placeTasks(job, left, round);
      round.startsLeft -= placed;
      left -= placed;
    }
    if (left <= 0) return;
    const isZoned = hasZoneConstraint(spec);
    if (job.failedOn.size + job.refusedOn.size === 0 && !isZoned) round.markUnplaceable(spec);
    // hundreds of jobs may wait: a search that found nothing for one isn't repeated for similar ones in the same step
    const isPlain = !this.queue.isGuaranteed(job) && !isZoned;
    if (isPlain && round.hasNoPreemptionCandidates(job)) return;
    if (!this.preemption.preemptFor(job, round) && isPlain) round.markNoPreemptionCandidates(job);
  }

  /** Starts up to `tasks` tasks of an array or a service; returns how many were started or had others preempted. */
  private placeTasks(job: Job, tasks: number, round: PlacementRound): number {
    if (job.spec.kind === "array" && !hasZoneConstraint(job.spec))
      return this.fillMachines(job, tasks, round);
    const { cluster } = this.context;
    let placed = 0;
    for (const index of job.pending.smallest(tasks)) {
      const machine = chooseMachine(cluster, job, round);
      if (machine === null) break;
      if (this.fetchTakesTooLong(job, machine) && this.preemption.preemptWhereCached(job, round))
        return tasks;
      this.startTask(job, index, machine, round);
      placed++;
    }
    return placed;
  }

  private fillMachines(job: Job, tasks: number, round: PlacementRound): number {
    let placed = 0;
    for (const packed of packTasks(this.context.cluster, job, round, tasks))
      for (const index of job.pending.smallest(packed.tasks)) {
        this.startTask(job, index, packed.machine, round);
        placed++;
      }
    return placed;
  }

  private startTask(job: Job, index: number, machine: Machine, round: PlacementRound): void {
    round.takeFromPartition(machine.relayedBy, job.spec.cpus);
    const attempt = this.starter.nextAttempt();
    this.starter.start({ job, index, attempt, machine }, round.now, round.pendingCommands);
  }

  /** Whether fetching the image would take longer than the start latency that the job's class allows. */
  private fetchTakesTooLong(job: Job, machine: Machine): boolean {
    const objective = this.context.options.startLatencyObjectives.get(job.spec.className);
    const type = this.context.machineTypeByName.get(machine.type);
    if (objective === undefined || type === undefined || machine.images.has(job.spec.image)) return false;
    return job.spec.imageGb / type.fetchGbPerS > Duration.toSeconds(objective);
  }
}
