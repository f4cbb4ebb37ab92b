/** Which waiting task starts next and where. Limits, zones and unknown holds are checked here (S4, S5, S6). */
import * as Duration from "effect/Duration";
import { startableTasks } from "../heartbeats/attempt-results.js";
import { type TaskAttempt, type Job, type Machine, removeAttempt } from "../cluster/cluster.js";
import type { JobQueue } from "./job-queue.js";
import { PendingCommands } from "../commands/pending-commands.js";
import {
  allowed,
  chooseMachine,
  packTasks,
  freeCapacity,
  tasksThatFit,
  hasZoneConstraint,
} from "./placement.js";
import { PlacementRound } from "./placement-round.js";
import { Preemption } from "./preemption.js";
import { isWithinLimit, tasksWithinLimit, type Usage } from "./quota.js";
import type { Team } from "../records.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { TaskStarter } from "./task-starter.js";
import { stopGang } from "../scheduler/reconciler.js";
import { type Instant, hasElapsed } from "../time.js";

/** Smaller jobs would take all room that gets free: after this long a gang holds up those of its rank and below. */
const GANG_PATIENCE = Duration.seconds(15);
/** When nothing changed, what didn't fit is tried again this often: reports grow old, errors are forgiven. */
const TRY_AGAIN = Duration.millis(500);

/** Places waiting tasks; a step looks at each waiting job, and at machines with room alone. */
export class Placer {
  private readonly starter: TaskStarter;
  private readonly preemption: Preemption;
  /** `Cluster.chances` at the last attempt, and when that was. */
  private triedChances = -1;
  private triedAt: Instant | null = null;

  constructor(
    private readonly scope: SchedulerContext,
    private readonly queue: JobQueue,
  ) {
    this.starter = new TaskStarter(scope);
    this.preemption = new Preemption(scope, queue);
  }

  /** The job has its commit. */
  jobOver(id: string): void {
    this.preemption.jobOver(id);
  }

  /** Whether this term has hardly any attempt numbers left (S4). */
  get needsNewTerm(): boolean {
    return this.starter.needsNewTerm;
  }

  /** Starts what fits, and makes room for what doesn't. */
  step(now: Instant, pendingCommands: PendingCommands, notes: string[]): void {
    if (!this.isWorthTrying(now)) return;
    const queue = this.queue.sorted(now);
    const round = this.newRound(queue, now, pendingCommands, notes);
    for (const job of queue) {
      if (round.startsLeft <= 0) break;
      if (job.rank <= round.gangRank && !this.queue.isGuaranteed(job)) continue;
      const team = this.scope.options.teams.get(job.spec.team);
      if (team === undefined || this.isBlocked(job)) continue;
      if (job.spec.kind === "gang") this.placeGangOrWait(job, team, round);
      else this.placeOrMakeRoom(job, team, round);
    }
  }

  private isWorthTrying(now: Instant): boolean {
    const { cluster } = this.scope;
    if (cluster.pendingJobs.size === 0) return false;
    const isUnchanged = this.triedChances === cluster.capacityVersion;
    if (isUnchanged && this.triedAt !== null && !hasElapsed(now, this.triedAt, TRY_AGAIN)) return false;
    this.triedChances = cluster.capacityVersion;
    this.triedAt = now;
    return true;
  }

  private newRound(
    queue: readonly Job[],
    now: Instant,
    pendingCommands: PendingCommands,
    notes: string[],
  ): PlacementRound {
    const round = new PlacementRound(now, pendingCommands, notes, this.unseen(), this.starter.startsLeft);
    const leastCpus = queue.reduce((least, job) => Math.min(least, job.spec.cpus), Infinity);
    for (const machine of this.scope.cluster.capacityIndex.atLeast(leastCpus))
      if (this.scope.isReady(machine, now)) round.addCandidate(machine);
    return round;
  }

  /** What machines could hold that haven't reported under this term, or that have tasks of unknown size (S6). */
  private unseen(): Usage {
    const { cluster } = this.scope;
    const unseen = { cpus: 0, gpus: 0 };
    for (const machine of cluster.unconfirmed) {
      unseen.cpus += machine.cpus;
      unseen.gpus += machine.gpus;
    }
    for (const machine of cluster.orphanedAttemptCounts.keys()) {
      if (!machine.recorded || !machine.confirmed) continue;
      unseen.cpus += machine.cpus;
      unseen.gpus += machine.gpus;
    }
    return unseen;
  }

  /** Whether a machine that has not reported under this term may hold tasks of the job (S5). */
  private isBlocked(job: Job): boolean {
    if (job.revision > this.scope.since) return false;
    for (const machine of this.scope.cluster.unconfirmed) if (allowed(job.spec, machine)) return true;
    return false;
  }

  private placeOrMakeRoom(job: Job, team: Team, round: PlacementRound): void {
    const { spec } = job;
    const used = round.mostUsed(this.scope.usageOf(spec.team));
    const startable = this.queue.isOverdue(job, round.now) ? 1 : startableTasks(job, round.now);
    let left = Math.min(startable, round.startsLeft, tasksWithinLimit(team, used, spec));
    if (left <= 0) return;
    if (!round.isHopeless(spec)) {
      const placed = this.placeTasks(job, left, round);
      round.startsLeft -= placed;
      left -= placed;
    }
    if (left <= 0) return;
    const isZoned = hasZoneConstraint(spec);
    if (job.failedOn.size + job.refusedOn.size === 0 && !isZoned) round.foundNoRoom(spec);
    // with hundreds of jobs waiting, a search in vain for one isn't repeated for similar ones in the same step
    const isPlain = !this.queue.isGuaranteed(job) && !isZoned;
    if (isPlain && round.isNothingToStop(job)) return;
    if (!this.preemption.makeRoom(job, round) && isPlain) round.foundNothingToStop(job);
  }

  /** Starts up to `tasks` of an array's or a service's tasks; says how many were started or have room made for them. */
  private placeTasks(job: Job, tasks: number, round: PlacementRound): number {
    if (job.spec.kind === "array" && !hasZoneConstraint(job.spec))
      return this.fillMachines(job, tasks, round);
    const { cluster } = this.scope;
    let placed = 0;
    for (const index of job.pending.take(tasks)) {
      const machine = chooseMachine(cluster, job, round.candidates, round.now, round.partRoom);
      if (machine === null) break;
      if (this.fetchTooLong(job, machine) && this.preemption.makeRoomWhereCached(job, round)) return tasks;
      this.startTask(job, index, machine, round);
      placed++;
    }
    return placed;
  }

  private fillMachines(job: Job, tasks: number, round: PlacementRound): number {
    let placed = 0;
    for (const row of packTasks(this.scope.cluster, job, round.candidates, round.now, round.partRoom, tasks))
      for (const index of job.pending.take(row.tasks)) {
        this.startTask(job, index, row.machine, round);
        placed++;
      }
    return placed;
  }

  private startTask(job: Job, index: number, machine: Machine, round: PlacementRound): void {
    round.takeFromPart(machine.relayedBy, job.spec.cpus);
    this.starter.start(job, index, this.starter.nextAttempt(), machine, round.now, round.pendingCommands);
  }

  /** Free room is no use to a job whose image takes longer to fetch than its start may take. */
  private fetchTooLong(job: Job, machine: Machine): boolean {
    const goal = this.scope.options.startLatencyObjectives.get(job.spec.className);
    const type = this.scope.typeByName.get(machine.type);
    if (goal === undefined || type === undefined || machine.images.has(job.spec.image)) return false;
    return job.spec.imageGb / type.fetchGbPerS > Duration.toSeconds(goal);
  }

  private placeGangOrWait(job: Job, team: Team, round: PlacementRound): void {
    const isPlaced = this.placeGang(job, team, round);
    if (isPlaced) round.startsLeft -= job.spec.tasks;
    else if (hasElapsed(round.now, job.releasedAt, GANG_PATIENCE) && this.couldHold(job, round.now))
      round.gangRank = job.rank;
  }

  /** All tasks at once or none; a broken gang is taken down whole before its next attempt. */
  private placeGang(job: Job, team: Team, round: PlacementRound): boolean {
    const { spec } = job;
    if (stopGang([...job.attempts.values()].flat(), round.pendingCommands) > 0) return false;
    if (job.pending.size < spec.tasks) return false;
    const used = round.mostUsed(this.scope.usageOf(spec.team));
    if (!isWithinLimit(team, used, spec, spec.tasks)) return false;
    if (!spec.oneZone) return this.placeGangOn(job, round.candidates, round);
    const zones = new Set(round.candidates.map((machine) => machine.zone));
    for (const zone of zones) {
      const inZone = round.candidates.filter((machine) => machine.zone === zone);
      if (this.placeGangOn(job, inZone, round)) return true;
    }
    return false;
  }

  /** Tries to place a whole gang on the given machines; leaves nothing behind if it doesn't fit. */
  private placeGangOn(job: Job, candidates: readonly Machine[], round: PlacementRound): boolean {
    const { spec } = job;
    let total = 0;
    for (const machine of candidates)
      if (allowed(spec, machine)) total += tasksThatFit(spec, freeCapacity(machine));
    if (total < spec.tasks) return false;
    const attempt = this.starter.nextAttempt();
    const trial = new PendingCommands();
    const placed: TaskAttempt[] = [];
    for (const index of job.pending.take(spec.tasks)) {
      const machine = chooseMachine(this.scope.cluster, job, candidates, round.now, round.partRoom);
      if (machine === null) break;
      placed.push(this.starter.start(job, index, attempt, machine, round.now, trial));
    }
    if (placed.length === spec.tasks) {
      trial.moveTo(round.pendingCommands);
      return true;
    }
    for (const attempt of placed) removeAttempt(this.scope.cluster, attempt);
    return false;
  }

  /** Whether the machines there are could hold a whole gang if they were empty. */
  private couldHold(job: Job, now: Instant): boolean {
    const { spec } = job;
    const slotsByZone = new Map<string, number>();
    for (const machine of this.scope.cluster.byLastHeartbeat) {
      if (!this.scope.usable(machine, now) || !allowed(spec, machine)) continue;
      const zone = spec.oneZone ? machine.zone : "";
      slotsByZone.set(zone, (slotsByZone.get(zone) ?? 0) + tasksThatFit(spec, machine));
    }
    return [...slotsByZone.values()].some((free) => free >= spec.tasks);
  }
}
