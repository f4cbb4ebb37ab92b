/** Which waiting task starts next, where, and what is stopped for it. */
import * as Duration from "effect/Duration";
import { addHold, type Hold, type Job, type Machine, occupies, rankOf, removeHold } from "./cluster.js";
import { Outbox } from "./outbox.js";
import { timeFor } from "./pipelines.js";
import {
  allowed,
  choose,
  fill,
  freeRoom,
  type KnownHold,
  noEasier,
  slots,
  victims,
  zoned,
} from "./placement.js";
import { fitsGuarantee, fitsLimit, roomInLimit, type Usage } from "./quota.js";
import { type JobSpec, RANK, type Team } from "./records.js";
import type { Scope } from "./scope.js";
import { stopGang } from "./tidy.js";
import { type Instant, passed, plus } from "./time.js";

const MAX_STARTS_PER_STEP = 400;
const HOPELESS_AFTER = 3;
const GANG_PATIENCE = Duration.seconds(15);
/** A job that waited this long without a single start goes before others of its kind and above. */
const LONG_WAIT = Duration.seconds(100);
const HELD_UP = Duration.seconds(40);
/** Without news, what didn't fit is tried again this often: machines' reports grow old, errors are forgiven. */
const TRY_AGAIN = Duration.millis(500);
const CHEAP_LOSS = Duration.seconds(6);
/** Machines on which something was started lately, where stopping costs the least. */
const LATELY = 64;
const MAX_REMEMBERED = 512;

/** A job that failed on several machines and completed nowhere. */
export const suspect = (job: Job): boolean => job.errorsOn.size >= HOPELESS_AFTER && job.done.size === 0;

/** Whether stopping a task throws away more than a moment's work. */
const losesWork = (hold: Hold, now: Instant): boolean =>
  Duration.toMillis(hold.spec!.checkpoint) === 0 &&
  hold.state === "running" &&
  passed(now, hold.since, CHEAP_LOSS);

export class Placer {
  private attempts = 0;
  private guaranteed: ReadonlySet<Job> = new Set();
  private guaranteedAt = -1;
  /** Some job of a higher rank than the lowest waits for its first start for long: nobody below may hurry past it. */
  private heldUp = false;
  /** Room that is being made by stopping others, by job, so that no more is stopped than needed. */
  private makingRoom = new Map<string, Instant>();
  private searchedAll: Instant | null = null;
  private tried = { chances: -1, at: null as Instant | null };

  constructor(private readonly scope: Scope) {}

  jobOver(id: string): void {
    this.makingRoom.delete(id);
  }

  /** Waiting jobs, the most important first. */
  queue(now: Instant): Job[] {
    const { cluster } = this.scope;
    if (this.guaranteedAt !== cluster.jobChanges) {
      this.guaranteedAt = cluster.jobChanges;
      this.guaranteed = this.guaranteedJobs();
    }
    const waiting = [...cluster.waiting];
    this.heldUp = waiting.some(
      (j) => j.rank > RANK.low && j.holds.size + j.done.size === 0 && passed(now, j.seen, HELD_UP),
    );
    const rank = (j: Job): number => j.rank + (this.longWaiting(j, now) || this.hurries(j, now) ? 1 : 0);
    const first = (j: Job): number => (this.guaranteed.has(j) ? 1 : 0);
    return waiting
      .filter((j) => j.retryAt === null || now >= j.retryAt)
      .map((j) => ({ j, rank: rank(j), first: first(j) }))
      .sort((a, b) => b.rank - a.rank || b.first - a.first || a.j.stamp - b.j.stamp)
      .map(({ j }) => j);
  }

  private longWaiting(job: Job, now: Instant): boolean {
    return job.done.size === 0 && job.holds.size === 0 && passed(now, job.seen, LONG_WAIT);
  }

  /** Started now it can just be done by its deadline: waiting behind what has no deadline would be for nothing. */
  private hurries(job: Job, now: Instant): boolean {
    const { due, spec } = job;
    return due !== null && !this.heldUp && now < due && plus(now, timeFor(spec)) >= due;
  }

  /** Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs. */
  private guaranteedJobs(): Set<Job> {
    const { cluster, options } = this.scope;
    const out = new Set<Job>();
    const used = new Map<string, Usage>();
    for (const job of [...cluster.jobs.values()].sort((a, b) => a.stamp - b.stamp)) {
      const { spec } = job;
      const team = options.teams.get(spec.team);
      if (team === undefined || (team.cpus <= 0 && team.gpus <= 0)) continue;
      const usage = used.get(spec.team) ?? { cpus: 0, gpus: 0 };
      used.set(spec.team, usage);
      if (fitsGuarantee(team, usage, spec, spec.tasks)) out.add(job);
      usage.cpus += spec.cpus * spec.tasks;
      usage.gpus += spec.gpus * spec.tasks;
    }
    return out;
  }

  /** Whether an unseen machine may hold a task of this job. */
  private mayHold(m: Machine, job: Job): boolean {
    return job.stamp <= this.scope.since && allowed(job.spec, m);
  }

  /** What machines could hold that haven't reported under this term, or that have tasks of unknown size. */
  private unseen(): Usage {
    const { cluster } = this.scope;
    const sum = { cpus: 0, gpus: 0 };
    const add = (m: Machine): void => {
      sum.cpus += m.cpus;
      sum.gpus += m.gpus;
    };
    for (const m of cluster.unconfirmed) add(m);
    for (const m of cluster.strayOn.keys()) if (m.recorded && m.confirmed) add(m);
    return sum;
  }

  step(now: Instant, outbox: Outbox, notes: string[]): void {
    const { cluster, options } = this.scope;
    if (cluster.waiting.size === 0) return;
    const { tried } = this;
    if (tried.chances === cluster.chances && tried.at !== null && !passed(now, tried.at, TRY_AGAIN)) return;
    this.tried = { chances: cluster.chances, at: now };
    const candidates: Machine[] = [];
    const parts = new Map<string | null, number>();
    const queue = this.queue(now);
    const least = queue.reduce((min, j) => Math.min(min, j.spec.cpus), Infinity);
    for (const m of cluster.free.atLeast(least))
      if (this.ready(m, now)) {
        candidates.push(m);
        parts.set(m.via, (parts.get(m.via) ?? 0) + m.cpus - m.used.cpus);
      }
    const partRoom = (via: string | null): number => parts.get(via) ?? 0;
    const unseen = this.unseen();
    const worst = (team: string): Usage => {
      const seen = this.scope.usageOf(team);
      return { cpus: seen.cpus + unseen.cpus, gpus: seen.gpus + unseen.gpus };
    };
    const failed: JobSpec[] = [];
    const nothingToStop: Job[] = [];
    let budget = MAX_STARTS_PER_STEP;
    let heldBack = -1;
    for (const job of queue) {
      if (budget <= 0) break;
      if (job.rank <= heldBack && !this.guaranteed.has(job)) continue;
      const { spec } = job;
      const team = options.teams.get(spec.team);
      if (team === undefined || this.isBlocked(job)) continue;
      if (spec.kind === "gang") {
        const placed = this.placeGang(job, team, candidates, worst(spec.team), now, outbox, partRoom);
        budget -= placed;
        // smaller jobs would take every place that gets free: after a while they are held back for the gang
        if (placed === 0 && passed(now, job.seen, GANG_PATIENCE) && this.couldHold(job, now))
          heldBack = job.rank;
        continue;
      }
      // a job that fails everywhere is tried one task at a time
      let left = Math.min(
        job.pending.size,
        budget,
        roomInLimit(team, worst(spec.team), spec),
        suspect(job) ? 1 : Infinity,
      );
      if (left <= 0) continue;
      if (!failed.some((f) => noEasier(spec, f))) {
        const placed = this.placeTasks(job, left, candidates, partRoom, parts, now, outbox, notes);
        budget -= placed;
        left -= placed;
      }
      if (left <= 0) continue;
      if (job.errorsOn.size + job.refusedOn.size === 0 && !zoned(spec)) failed.push(spec);
      // with hundreds of jobs waiting, what can't be had for one isn't looked for again for its like in the same step
      const plain = !this.guaranteed.has(job) && !zoned(spec);
      if (plain && nothingToStop.some((f) => f.rank >= job.rank && noEasier(spec, f.spec))) continue;
      if (!this.makeRoom(job, now, outbox, notes) && plain) nothingToStop.push(job);
    }
  }

  private ready(m: Machine, now: Instant): boolean {
    return this.scope.usable(m, now) && !m.inFlight && !this.scope.cluster.strayOn.has(m);
  }

  private isBlocked(job: Job): boolean {
    if (job.stamp > this.scope.since) return false;
    for (const m of this.scope.cluster.unconfirmed) if (this.mayHold(m, job)) return true;
    return false;
  }

  /** Starts up to `tasks` of an array's or a service's tasks; says how many. */
  private placeTasks(
    job: Job,
    tasks: number,
    candidates: readonly Machine[],
    partRoom: (via: string | null) => number,
    parts: Map<string | null, number>,
    now: Instant,
    outbox: Outbox,
    notes: string[],
  ): number {
    const { spec } = job;
    const { cluster } = this.scope;
    const begin = (index: number, m: Machine): void => {
      parts.set(m.via, partRoom(m.via) - spec.cpus);
      this.start(job, index, ++this.attempts, m, now, outbox);
    };
    if (spec.kind === "array" && !zoned(spec)) {
      let placed = 0;
      for (const row of fill(cluster, job, candidates, now, partRoom, tasks))
        for (const index of job.pending.take(row.tasks)) {
          begin(index, row.machine);
          placed++;
        }
      return placed;
    }
    let placed = 0;
    for (const index of job.pending.take(tasks)) {
      const m = choose(cluster, job, candidates, now, partRoom);
      if (m === null) break;
      if (this.fetchTooLong(job, m) && this.makeRoomWhereCached(job, now, outbox, notes)) return tasks;
      begin(index, m);
      placed++;
    }
    return placed;
  }

  /** Whether the machines there are could hold a whole gang if they were empty. */
  private couldHold(job: Job, now: Instant): boolean {
    const zones = new Map<string, number>();
    for (const m of this.scope.cluster.hearing) {
      if (!this.scope.usable(m, now) || !allowed(job.spec, m)) continue;
      const zone = job.spec.oneZone ? m.zone : "";
      zones.set(zone, (zones.get(zone) ?? 0) + slots(job.spec, m));
    }
    return [...zones.values()].some((n) => n >= job.spec.tasks);
  }

  private start(job: Job, index: number, n: number, m: Machine, now: Instant, outbox: Outbox): void {
    const { cluster, term } = this.scope;
    // unique for ever: a token belongs to one leader, which counts its starts
    const attempt = term.token * 1_000_000 + n;
    const hold: Hold = {
      job: job.spec.id,
      index,
      attempt,
      machine: m.id,
      spec: job.spec,
      state: "ordered",
      why: null,
      since: now,
      began: null,
      doubt: null,
      answered: null,
      stopping: false,
      stored: false,
    };
    addHold(cluster, hold);
    if (job.spec.kind !== "gang") cluster.started.push(hold);
    if (cluster.started.length > MAX_REMEMBERED) cluster.started.splice(0, MAX_REMEMBERED / 2);
    outbox.start(m.id, job.spec.id, index, attempt);
  }

  /** All tasks at once or none; a broken gang is taken down whole before its next attempt. */
  private placeGang(
    job: Job,
    team: Team,
    candidates: readonly Machine[],
    worst: Usage,
    now: Instant,
    outbox: Outbox,
    partRoom: (via: string | null) => number,
  ): number {
    const { spec } = job;
    const { cluster } = this.scope;
    if (stopGang([...job.holds.values()].flat(), outbox) > 0) return 0;
    if (job.pending.size < spec.tasks) return 0;
    if (!fitsLimit(team, worst, spec, spec.tasks)) return 0;
    const zones = spec.oneZone ? [...new Set(candidates.map((m) => m.zone))] : [null];
    for (const zone of zones) {
      const inZone = candidates.filter((m) => zone === null || m.zone === zone);
      const total = inZone.reduce((sum, m) => sum + (allowed(spec, m) ? slots(spec, freeRoom(m)) : 0), 0);
      if (total < spec.tasks) continue;
      const n = ++this.attempts;
      const trial = new Outbox();
      const placed: Hold[] = [];
      for (const index of job.pending.take(spec.tasks)) {
        const m = choose(cluster, job, inZone, now, partRoom);
        if (m === null) break;
        this.start(job, index, n, m, now, trial);
        placed.push(job.holds.get(index)!.at(-1)!);
      }
      if (placed.length === spec.tasks) {
        for (const [machine, list] of trial.orders) for (const order of list) outbox.push(machine, order);
        return spec.tasks;
      }
      for (const hold of placed) removeHold(cluster, hold);
    }
    return 0;
  }

  /** Free room is no use to a job whose image takes longer to fetch than its start may take. */
  private fetchTooLong(job: Job, m: Machine): boolean {
    const goal = this.scope.options.startGoals.get(job.spec.className);
    const type = this.scope.typeByName.get(m.type);
    if (goal === undefined || type === undefined || m.images.has(job.spec.image)) return false;
    return job.spec.imageGb / type.fetchGbPerS > Duration.toSeconds(goal);
  }

  private makeRoomWhereCached(job: Job, now: Instant, outbox: Outbox, notes: string[]): boolean {
    const until = this.makingRoom.get(job.spec.id);
    if (until !== undefined) return now < until;
    const cached = this.lately().filter((m) => this.ready(m, now) && m.images.has(job.spec.image));
    return this.stopFor(job, cached, now, outbox, notes);
  }

  /** Machines on which something was started lately. */
  private lately(): Machine[] {
    const out = new Set<Machine>();
    const { started, machines } = this.scope.cluster;
    for (let i = started.length - 1; i >= 0 && out.size < LATELY; i--) {
      const m = machines.get(started[i]!.machine);
      if (m !== undefined && occupies(started[i]!)) out.add(m);
    }
    return [...out];
  }

  /**
   * Stops others for one task of a job, where anything may be stopped for it at all; false: nothing was found. A search
   * costs far more than a look at a waiting job, so each job's come half a second apart at least.
   */
  private makeRoom(job: Job, now: Instant, outbox: Outbox, notes: string[]): boolean {
    const until = this.makingRoom.get(job.spec.id);
    if (until !== undefined && now < until) return true;
    const { cluster } = this.scope;
    const { rank } = job;
    const lower = cluster.ranks.some((n, r) => r < rank && n > 0);
    const borrowed = this.guaranteed.has(job) && this.someoneBorrows(job.spec.team);
    if (!lower && !borrowed) return false;
    if (
      this.stopFor(
        job,
        this.lately().filter((m) => this.ready(m, now)),
        now,
        outbox,
        notes,
      )
    )
      return true;
    this.makingRoom.set(job.spec.id, plus(now, TRY_AGAIN));
    // nothing young will do: now and then all machines are looked through
    if (this.searchedAll !== null && !passed(now, this.searchedAll, TRY_AGAIN)) return false;
    this.searchedAll = now;
    const all = [...cluster.hearing].filter((m) => this.ready(m, now));
    if (this.stopFor(job, all, now, outbox, notes)) return true;
    this.makingRoom.set(job.spec.id, plus(now, Duration.times(TRY_AGAIN, 2)));
    return false;
  }

  private someoneBorrows(but: string): boolean {
    for (const [name, team] of this.scope.options.teams) {
      const usage = this.scope.usageOf(name);
      if (name !== but && (usage.cpus > team.cpus || usage.gpus > team.gpus)) return true;
    }
    return false;
  }

  private stopFor(
    job: Job,
    candidates: readonly Machine[],
    now: Instant,
    outbox: Outbox,
    notes: string[],
  ): boolean {
    const { rank } = job;
    const guaranteed = this.guaranteed.has(job);
    const mayStop = (hold: KnownHold): boolean => {
      const { spec } = hold;
      if (spec.kind === "gang") return false;
      const owner = this.scope.cluster.jobs.get(hold.job);
      if (rank < RANK.production && owner !== undefined && this.hurries(owner, now)) return false;
      // below production, room made a little sooner isn't worth work that has run for a while
      if (rankOf(this.scope.cluster, hold) < rank && (rank === RANK.production || !losesWork(hold, now)))
        return true;
      if (!guaranteed || spec.team === job.spec.team || spec.kind === "service") return false;
      const other = this.scope.options.teams.get(spec.team);
      const usage = this.scope.usageOf(spec.team);
      // only what the other team runs beyond its own guarantee
      return (
        other !== undefined && usage.cpus - spec.cpus >= other.cpus && usage.gpus - spec.gpus >= other.gpus
      );
    };
    const found = victims(this.scope.cluster, job, candidates, now, mayStop);
    if (found === null) return false;
    for (const hold of found.holds) outbox.stop(hold);
    this.makingRoom.set(job.spec.id, plus(now, Duration.millis(300)));
    notes.push(
      `stop ${found.holds.map((h) => `${h.job}/${h.index}`).join(" ")} on ${found.machine.id} for ${job.spec.id}`,
    );
    return true;
  }
}
