/**
 * The leader: events in, decisions out. It reads no clock, draws no random number and touches no socket.
 * Safety rests on one invariant: a task is started only while nothing holds it, where a hold is removed only
 * by proof (see docs/design.md).
 */
import * as Duration from "effect/Duration";
import { type Instant, passed, plus } from "./time.js";
import {
  addHold,
  changeHold,
  type Cluster,
  type Hold,
  holdKey,
  type Job,
  type Machine,
  newCluster,
  newJob,
  newMachine,
  occupies,
  removeHold,
} from "./cluster.js";
import { Fleet, type FleetOptions, offerKey, type Rent } from "./fleet.js";
import { allowed, choose, freeRoom, slots, usable, victims } from "./placement.js";
import { fitsGuarantee, fitsLimit, roomInLimit, type Usage } from "./quota.js";
import type { Range } from "./ranges.js";
import {
  type JobSpec,
  type MachineRecord,
  type MachineType,
  type Order,
  RANK,
  type RentalRecord,
  type Team,
  type TermRecord,
  type WorkerReport,
} from "./records.js";
import type { Spans } from "./term.js";
import { stretched } from "./time.js";

export interface SchedulerOptions {
  readonly spans: Spans;
  readonly teams: ReadonlyMap<string, Team>;
  readonly fleet: FleetOptions;
  /** How soon users expect tasks of a class to start, from the platform's objectives. */
  readonly startGoals: ReadonlyMap<string, Duration.Duration>;
}

export type Decision =
  | { kind: "orders"; machine: string; via: string | null; addr: string; session: number; orders: Order[] }
  | { kind: "commit"; job: string; tasks: number }
  | { kind: "record"; machine: string; record: MachineRecord }
  | { kind: "rent"; rent: Rent }
  | { kind: "release"; machines: string[]; why: string }
  | { kind: "newTerm"; why: string }
  | { kind: "note"; text: string };

/**
 * done: executed. rejected: the worker refused. unsent: the worker can't be reached. unknown: it may be executed yet.
 * barred: the node asked may not send (its term or its window); that says nothing about the worker.
 */
export type OrderOutcome = "done" | "rejected" | "unsent" | "unknown" | "barred";

/** What a member vouches for: when it last answered each worker, as of an instant of the leader's clock. */
interface Vouch {
  asOf: Instant | null;
  readonly answered: Map<string, Instant>;
}

const MAX_STARTS_PER_STEP = 400;
const HOPELESS_AFTER = 3;
const GANG_PATIENCE = Duration.seconds(15);

export class Scheduler {
  readonly cluster: Cluster = newCluster();
  readonly fleet: Fleet;
  term: TermRecord;
  private termBegan: Instant;
  private vouches = new Map<string, Vouch>();
  private types: readonly MachineType[] = [];
  private typeByName = new Map<string, MachineType>();
  private attempts = 0;
  private guaranteed: ReadonlySet<Job> = new Set();
  private released = new Set<string>();
  private listedOnce = false;
  private doubtsSince: Instant | null = null;
  /** Room that is being made by stopping others, by job, so that no more is stopped than needed. */
  private makingRoom = new Map<string, { until: Instant }>();
  /** Jobs not older than this revision were never in an older leader's hands. */
  readonly since: number;

  constructor(
    private readonly options: SchedulerOptions,
    term: TermRecord,
    leaderStamp: number,
    now: Instant,
  ) {
    this.fleet = new Fleet(options.fleet);
    this.term = term;
    this.since = leaderStamp;
    this.termBegan = now;
    this.resetVouches();
  }

  private resetVouches(): void {
    this.vouches = new Map(this.term.members.map((m) => [m.name, { asOf: null, answered: new Map() }]));
  }

  /** The same leader goes on under a higher token: what it knows stays true; doubts can now be settled. */
  renewTerm(term: TermRecord, now: Instant): void {
    this.term = term;
    this.termBegan = now;
    this.resetVouches();
    for (const m of this.cluster.machines.values()) m.inFlight = false;
    this.doubtsSince = null;
  }

  setTypes(types: readonly MachineType[]): void {
    this.types = types;
    this.typeByName = new Map(types.map((t) => [t.name, t]));
    for (const m of this.cluster.machines.values()) this.applyType(m);
  }

  private applyType(m: Machine): void {
    const type = this.typeByName.get(m.type);
    if (type === undefined) return;
    m.cpus = type.cpus;
    m.gpus = type.gpus;
    m.memoryGb = type.memoryGb;
    m.cacheGb = type.cacheGb;
  }

  // --- jobs -------------------------------------------------------------------------------------------

  jobSeen(spec: JobSpec, stamp: number, now: Instant): void {
    if (this.cluster.jobs.has(spec.id)) return;
    const job = newJob(spec, now, stamp);
    this.cluster.jobs.set(spec.id, job);
    this.fleet.arrived(spec, now);
    // adopt tasks that machines reported before the record was read
    for (const m of this.cluster.machines.values())
      for (const hold of [...m.holds.values()])
        if (hold.job === spec.id && hold.spec === null) {
          removeHold(this.cluster, hold);
          addHold(this.cluster, { ...hold, spec });
        }
  }

  /** The job record is gone: there is a commit, done or cancelled, and nothing of it may start again. */
  jobOver(id: string): void {
    const job = this.cluster.jobs.get(id);
    if (job === undefined) return;
    this.cluster.jobs.delete(id);
    this.makingRoom.delete(id);
  }

  /** Finishes that are in the state service. */
  stored(id: string, ranges: readonly Range[]): void {
    const job = this.cluster.jobs.get(id);
    if (job === undefined) return;
    // the tasks of a gang complete together: if one is done, so are all
    const whole = job.spec.kind === "gang" && ranges.length > 0;
    for (const [from, to] of whole ? ([[0, job.spec.tasks]] as const) : ranges) {
      job.done.add(from, to);
      for (let n = from; n < to; n++) job.pending.delete(n);
    }
    for (const [index, holds] of job.holds) if (job.done.has(index)) for (const h of holds) h.stored = true;
  }

  commitFailed(id: string): void {
    const job = this.cluster.jobs.get(id);
    if (job !== undefined) job.committing = false;
  }

  progress(): { job: string; done: number; running: number }[] {
    const out = [];
    for (const job of this.cluster.jobs.values()) {
      let running = 0;
      for (const holds of job.holds.values())
        if (holds.some((h) => h.state === "running" || h.state === "saving")) running++;
      out.push({ job: job.spec.id, done: job.done.size, running });
    }
    return out;
  }

  // --- machines ---------------------------------------------------------------------------------------

  /** A machine record read from the state service, or one just written. */
  recorded(id: string, record: MachineRecord, now: Instant): Machine | null {
    // nothing was ever started on a machine whose record isn't open: it needs no confirmation
    if (!record.open) return this.discovered(id, record, now);
    if (this.released.has(id)) return null;
    let m = this.cluster.machines.get(id);
    if (m === undefined) {
      m = newMachine(id, record, now);
      this.cluster.machines.set(id, m);
      this.applyType(m);
    }
    m.recorded = true;
    m.recording = false;
    m.addr ??= record.addr;
    return m;
  }

  recordFailed(id: string): void {
    const m = this.cluster.machines.get(id);
    if (m !== undefined) m.recording = false;
  }

  /** A machine without an open record (rented, or found in a report or a list) never got a start from anybody. */
  private discovered(id: string, record: MachineRecord, now: Instant): Machine | null {
    if (this.released.has(id)) return null;
    const known = this.cluster.machines.get(id);
    if (known !== undefined) return known;
    const m = newMachine(id, record, now);
    m.confirmed = true;
    this.cluster.machines.set(id, m);
    this.applyType(m);
    return m;
  }

  listed(
    rows: readonly { id: string; record: MachineRecord; failed: boolean; ageMs: number }[],
    now: Instant,
  ): void {
    this.listedOnce = true;
    for (const row of rows) {
      const m = this.discovered(row.id, row.record, plus(now, Duration.millis(-row.ageMs)));
      if (m === null) continue;
      const created = plus(now, Duration.millis(-row.ageMs));
      if (m.heard === null && created < m.created) m.created = created;
      m.addr ??= row.record.addr;
      if (row.failed) m.failed = true;
    }
  }

  releaseAnswered(ids: readonly string[], gone: boolean, now: Instant): void {
    for (const id of ids) {
      const m = this.cluster.machines.get(id);
      if (m === undefined) continue;
      if (!gone) {
        m.releasing = plus(now, Duration.seconds(-100));
        continue;
      }
      this.released.add(id);
      // late lists and reports speak of machines long gone; the oldest no longer do
      if (this.released.size > 5000) this.released.delete(this.released.values().next().value!);
      this.drop(m);
    }
  }

  private drop(m: Machine): void {
    for (const hold of [...m.holds.values()]) removeHold(this.cluster, hold);
    this.cluster.machines.delete(m.id);
  }

  // --- reports ----------------------------------------------------------------------------------------

  /** `at`: when a member took the report. */
  report(r: WorkerReport, via: string, now: Instant, at: Instant = now): void {
    // the memory of a machine that nobody recorded, and that has been silent since, is no machine
    if (!this.cluster.machines.has(r.machine) && passed(now, at, this.fresh())) return;
    const m = this.discovered(
      r.machine,
      { type: r.type, zone: r.zone, spot: r.spot, addr: r.addr, open: false },
      now,
    );
    if (m === null) return;
    // the message with the larger (session, seq) is the newer one; older ones say nothing about now
    if (r.session < m.session || (r.session === m.session && r.seq <= m.seq)) return;
    const newSession = r.session > m.session && m.session > 0;
    m.session = r.session;
    m.seq = r.seq;
    m.token = Math.max(m.token, r.token);
    m.addr = r.addr;
    m.via = via;
    if (m.heard === null || at > m.heard) {
      m.heard = at;
      m.unanswered = 0;
    }
    if (r.noticeS !== null) m.noticeUntil ??= plus(now, Duration.seconds(r.noticeS));
    else m.noticeUntil = null;
    const complete = r.token >= this.term.token;

    const present = new Set<string>();
    for (const t of r.tasks) {
      const key = holdKey(t.job, t.index, t.attempt);
      present.add(key);
      const hold = m.holds.get(key);
      const doubt =
        hold?.doubt !== undefined && hold.doubt !== null && r.token > hold.doubt
          ? null
          : (hold?.doubt ?? null);
      if (hold === undefined) {
        addHold(this.cluster, {
          job: t.job,
          index: t.index,
          attempt: t.attempt,
          machine: m.id,
          spec: this.cluster.jobs.get(t.job)?.spec ?? null,
          state: t.state,
          why: t.why,
          since: now,
          doubt: null,
          stopping: t.state === "saving",
          stored: this.cluster.jobs.get(t.job)?.done.has(t.index) ?? false,
        });
        if (t.state === "running") this.seenImage(m, this.cluster.jobs.get(t.job)?.spec);
        continue;
      }
      const before = hold.state;
      if (before === t.state && doubt === hold.doubt) continue;
      const since = before === t.state ? hold.since : now;
      changeHold(this.cluster, hold, { state: t.state, why: t.why, since, doubt });
      if (t.state === "running" || (t.state === "exited" && before !== "exited"))
        this.seenState(m, hold, now);
    }
    for (const [key, hold] of [...m.holds]) {
      if (present.has(key)) continue;
      // a start on its way, or one without an answer, may still be executed: it holds the task until the
      // worker has seen a higher token or begun a new session (late orders are refused from then on)
      if (!newSession && hold.state === "ordered" && hold.doubt === null) continue;
      if (!newSession && hold.doubt !== null && !(r.token > hold.doubt)) continue;
      removeHold(this.cluster, hold);
    }
    if (complete) m.confirmed = true;
  }

  private seenImage(m: Machine, spec: JobSpec | undefined | null): void {
    if (spec === undefined || spec === null) return;
    m.images.delete(spec.image);
    m.images.set(spec.image, spec.imageGb);
    let total = 0;
    for (const gb of m.images.values()) total += gb;
    for (const [image, gb] of m.images) {
      if (total <= m.cacheGb || m.images.size === 1) break;
      m.images.delete(image);
      total -= gb;
    }
  }

  private seenState(m: Machine, hold: Hold, now: Instant): void {
    const job = this.cluster.jobs.get(hold.job);
    if (hold.state === "running") {
      this.seenImage(m, hold.spec);
      return;
    }
    if (hold.why === "done") {
      this.seenImage(m, hold.spec);
      m.blame.clear();
      m.setAside = null;
    }
    if (hold.why === "error" && job !== undefined) {
      job.errorsOn.set(m.id, now);
      m.blame.set(hold.job, (m.blame.get(hold.job) ?? 0) + 1);
      if (suspect(job)) {
        // probably the job is at fault: it is tried ever more seldom, and the machines it failed on are cleared
        job.retryAt = plus(now, Duration.seconds(Math.min(60, 2 ** job.errorsOn.size)));
        for (const id of job.errorsOn.keys()) {
          const other = this.cluster.machines.get(id);
          if (other !== undefined && !this.faulty(other)) other.setAside = null;
        }
      }
      if (m.setAside === null && this.faulty(m)) m.setAside = now;
    }
    if (hold.why === "no_room" && job !== undefined) job.errorsOn.set(m.id, plus(now, Duration.seconds(-55)));
    if (hold.why === "unknown" && job !== undefined) job.retryAt = plus(now, Duration.seconds(2));
  }

  /** Several failures that aren't the fault of a job that fails wherever it runs. */
  private faulty(m: Machine): boolean {
    let failures = 0;
    for (const [id, count] of m.blame) {
      const job = this.cluster.jobs.get(id);
      if (job === undefined || !suspect(job)) failures += count;
    }
    return failures >= 2;
  }

  /** A member's word on its part: which workers it answered, and when at the latest. */
  vouched(
    member: string,
    incarnation: number,
    token: number,
    asOf: Instant | null,
    answered: readonly { machine: string; at: Instant }[],
  ): void {
    if (token !== this.term.token) return;
    if (!this.term.members.some((m) => m.name === member && m.incarnation === incarnation)) return;
    const vouch = this.vouches.get(member)!;
    if (asOf !== null && (vouch.asOf === null || asOf > vouch.asOf)) vouch.asOf = asOf;
    for (const { machine, at } of answered) {
      const before = vouch.answered.get(machine);
      if (before === undefined || at > before) vouch.answered.set(machine, at);
      const m = this.cluster.machines.get(machine);
      if (m !== undefined && m.heard !== null && at > m.heard) {
        m.heard = at;
        m.unanswered = 0;
      }
    }
  }

  ordersAnswered(machine: string, orders: readonly Order[], token: number, outcome: OrderOutcome): void {
    const m = this.cluster.machines.get(machine);
    if (m === undefined) return;
    if (token === this.term.token) m.inFlight = false;
    if (outcome === "unknown" || outcome === "unsent") m.unanswered++;
    for (const order of orders) {
      const hold = m.holds.get(holdKey(order.job, order.index, order.attempt));
      if (hold === undefined) continue;
      if (order.op === "stop" && outcome !== "done") hold.stopping = false;
      if (order.op !== "start" || hold.state !== "ordered") continue;
      if (outcome === "unknown") hold.doubt = token;
      else removeHold(this.cluster, hold);
    }
  }

  // --- decisions --------------------------------------------------------------------------------------

  step(now: Instant): Decision[] {
    const out: Decision[] = [];
    this.proveGone(now);
    const orders = new Map<string, Order[]>();
    this.cleanUp(now, orders);
    this.place(now, orders, out);
    this.commit(out);
    this.records(now, out);
    this.send(now, orders, out);
    this.settleDoubts(now, out);
    return out;
  }

  private fresh(): Duration.Duration {
    return Duration.sum(Duration.times(this.options.spans.reportEvery, 1.25), Duration.millis(1500));
  }

  private usable = (m: Machine, now: Instant): boolean => usable(m, now, this.fresh());

  /** Without a report or a release, time alone proves that a silent machine's old session is over. */
  private proveGone(now: Instant): void {
    const { spans } = this.options;
    for (const m of this.cluster.machines.values()) {
      const open = !m.confirmed || [...m.holds.values()].some((h) => occupies(h));
      if (!open || (m.heard !== null && !passed(now, m.heard, spans.workerLease))) continue;
      let last = plus(this.termBegan, spans.fence);
      for (const vouch of this.vouches.values()) {
        const at = vouch.answered.get(m.id);
        if (at !== undefined && at > last) last = at;
      }
      const gone = plus(last, Duration.sum(stretched(spans.workerLease), Duration.seconds(1)));
      const everyoneVouches = [...this.vouches.values()].every((v) => v.asOf !== null && v.asOf >= gone);
      if (!everyoneVouches) continue;
      m.confirmed = true;
      m.inFlight = false;
      for (const hold of [...m.holds.values()]) removeHold(this.cluster, hold);
    }
  }

  /** Halts what must not run and reaps what is over. */
  private cleanUp(now: Instant, orders: Map<string, Order[]>): void {
    for (const m of this.cluster.machines.values()) {
      if (m.inFlight || !m.confirmed || m.addr === null) continue;
      if (m.noticeUntil !== null) this.evacuate(m, now, orders);
      let moving = [...m.holds.values()].some((h) => h.stopping);
      for (const hold of m.holds.values()) {
        if (hold.state === "ordered") continue;
        const job = this.cluster.jobs.get(hold.job);
        const order = { job: hold.job, index: hold.index, attempt: hold.attempt };
        if (hold.state === "exited") {
          // a finish is reaped only once stored; nothing is reaped while its start may yet be executed again
          if (hold.doubt === null && (job === undefined || hold.why !== "done" || hold.stored))
            push(orders, m.id, { ...order, op: "forget", graceS: 0 });
          continue;
        }
        const twin =
          job !== undefined &&
          (job.holds.get(hold.index) ?? []).some(
            (h) => h !== hold && occupies(h) && h.attempt < hold.attempt,
          );
        if (m.draining && !moving && movable(hold, now)) {
          moving = true;
          stopTask(hold, orders);
          continue;
        }
        const over = job === undefined || job.done.has(hold.index) || twin;
        if (over && !(hold.stopping && !passed(now, hold.since, Duration.seconds(3)))) {
          hold.stopping = true;
          push(orders, m.id, { ...order, op: "stop", graceS: 0 });
        }
      }
    }
  }

  /** Recorded machines that may hold tasks this leader doesn't know of. */
  private silent(): Machine[] {
    return [...this.cluster.machines.values()].filter((m) => m.recorded && !m.confirmed);
  }

  /** Whether an unseen machine may hold a task of this job. */
  private mayHold(m: Machine, job: Job): boolean {
    return job.stamp <= this.since && allowed(job.spec, m);
  }

  private usageOf(team: string): Usage {
    return this.cluster.usage.get(team) ?? { cpus: 0, gpus: 0 };
  }

  /** The most a team may be using: what is seen, and all that unseen machines could hold. */
  private worstUsage(team: string, unknown: readonly Machine[]): Usage {
    const seen = this.usageOf(team);
    const worst = { cpus: seen.cpus, gpus: seen.gpus };
    for (const m of unknown) {
      worst.cpus += m.cpus;
      worst.gpus += m.gpus;
    }
    return worst;
  }

  /** Jobs with waiting tasks, the most important first. */
  private queue(now: Instant): Job[] {
    const jobs = [...this.cluster.jobs.values()].filter(
      (j) => j.pending.size > 0 && (j.retryAt === null || now >= j.retryAt),
    );
    this.guaranteed = this.guaranteedJobs();
    const first = (j: Job): number => (this.guaranteed.has(j) ? 1 : 0);
    return jobs.sort(
      (a, b) => RANK[b.spec.priority] - RANK[a.spec.priority] || first(b) - first(a) || a.stamp - b.stamp,
    );
  }

  /** Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs. */
  private guaranteedJobs(): Set<Job> {
    const out = new Set<Job>();
    const used = new Map<string, Usage>();
    for (const job of [...this.cluster.jobs.values()].sort((a, b) => a.stamp - b.stamp)) {
      const { spec } = job;
      const team = this.options.teams.get(spec.team);
      if (team === undefined || (team.cpus <= 0 && team.gpus <= 0)) continue;
      const usage = used.get(spec.team) ?? { cpus: 0, gpus: 0 };
      used.set(spec.team, usage);
      if (fitsGuarantee(team, usage, spec, spec.tasks)) out.add(job);
      usage.cpus += spec.cpus * spec.tasks;
      usage.gpus += spec.gpus * spec.tasks;
    }
    return out;
  }

  private place(now: Instant, orders: Map<string, Order[]>, out: Decision[]): void {
    const silent = this.silent();
    const unknown = [...this.cluster.machines.values()].filter(
      (m) => m.recorded && (!m.confirmed || hasStray(m)),
    );
    const candidates = [...this.cluster.machines.values()].filter(
      (m) => this.usable(m, now) && !m.inFlight && !hasStray(m),
    );
    const parts = new Map<string | null, number>();
    for (const m of candidates) parts.set(m.via, (parts.get(m.via) ?? 0) + m.cpus - m.used.cpus);
    const partRoom = (via: string | null) => parts.get(via) ?? 0;
    let budget = MAX_STARTS_PER_STEP;
    let heldBack = -1;
    for (const job of this.queue(now)) {
      if (budget <= 0) break;
      if (RANK[job.spec.priority] <= heldBack && !this.guaranteed.has(job)) continue;
      const { spec } = job;
      const team = this.options.teams.get(spec.team);
      if (team === undefined || silent.some((m) => this.mayHold(m, job))) continue;
      if (spec.kind === "gang") {
        const placed = this.placeGang(job, team, candidates, unknown, now, orders, partRoom);
        budget -= placed;
        // smaller jobs would take every place that gets free: after a while they are held back for the gang
        if (placed === 0 && passed(now, job.seen, GANG_PATIENCE) && this.couldHold(job, candidates))
          heldBack = RANK[spec.priority];
        continue;
      }
      const room = roomInLimit(team, this.worstUsage(spec.team, unknown), spec);
      // a job that fails everywhere is tried one task at a time
      for (const index of job.pending.take(Math.min(budget, room, suspect(job) ? 1 : Infinity))) {
        const m = choose(this.cluster, job, candidates, now, partRoom);
        if (m === null) {
          this.makeRoom(job, candidates, now, orders, out);
          break;
        }
        if (this.fetchTooLong(job, m)) {
          const cached = candidates.filter((x) => x.images.has(spec.image));
          if (this.makeRoom(job, cached, now, orders, out, true)) break;
        }
        parts.set(m.via, partRoom(m.via) - spec.cpus);
        this.start(job, index, ++this.attempts, m, now, orders);
        budget--;
      }
    }
  }

  /** Whether the machines there are could hold a whole gang if they were empty. */
  private couldHold(job: Job, candidates: readonly Machine[]): boolean {
    const zones = new Map<string, number>();
    for (const m of candidates) {
      if (!allowed(job.spec, m)) continue;
      const zone = job.spec.oneZone ? m.zone : "";
      zones.set(zone, (zones.get(zone) ?? 0) + slots(job.spec, m));
    }
    return [...zones.values()].some((n) => n >= job.spec.tasks);
  }

  private start(
    job: Job,
    index: number,
    n: number,
    m: Machine,
    now: Instant,
    orders: Map<string, Order[]>,
  ): void {
    // unique for ever: a token belongs to one leader, which counts its starts
    const attempt = this.term.token * 1_000_000 + n;
    addHold(this.cluster, {
      job: job.spec.id,
      index,
      attempt,
      machine: m.id,
      spec: job.spec,
      state: "ordered",
      why: null,
      since: now,
      doubt: null,
      stopping: false,
      stored: false,
    });
    push(orders, m.id, { op: "start", job: job.spec.id, index, attempt, graceS: 0 });
  }

  /** All tasks at once or none; a broken gang is taken down whole before its next attempt. */
  private placeGang(
    job: Job,
    team: Team,
    candidates: readonly Machine[],
    unknown: readonly Machine[],
    now: Instant,
    orders: Map<string, Order[]>,
    partRoom: (via: string | null) => number,
  ): number {
    const { spec } = job;
    if (this.stopGang(job, orders) > 0) return 0;
    if (job.pending.size < spec.tasks) return 0;
    if (!fitsLimit(team, this.worstUsage(spec.team, unknown), spec, spec.tasks)) return 0;
    const zones = spec.oneZone ? [...new Set(candidates.map((m) => m.zone))] : [null];
    for (const zone of zones) {
      const inZone = candidates.filter((m) => zone === null || m.zone === zone);
      const total = inZone.reduce((sum, m) => sum + (allowed(spec, m) ? slots(spec, freeRoom(m)) : 0), 0);
      if (total < spec.tasks) continue;
      const n = ++this.attempts;
      const trial = new Map<string, Order[]>();
      const placed: Hold[] = [];
      for (const index of job.pending.take(spec.tasks)) {
        const m = choose(this.cluster, job, inZone, now, partRoom);
        if (m === null) break;
        this.start(job, index, n, m, now, trial);
        placed.push(job.holds.get(index)!.at(-1)!);
      }
      if (placed.length === spec.tasks) {
        for (const [machine, list] of trial) for (const order of list) push(orders, machine, order);
        return spec.tasks;
      }
      for (const hold of placed) removeHold(this.cluster, hold);
    }
    return 0;
  }

  /** Takes a gang down with time to save, all tasks at once; says how many are still there. */
  private stopGang(job: Job, orders: Map<string, Order[]>): number {
    const live = [...job.holds.values()].flat().filter(occupies);
    for (const hold of live) if (hold.state !== "ordered" && !hold.stopping) stopTask(hold, orders);
    return live.length;
  }

  /** A machine that the cloud takes back soon: what can save does so, replicas move if there is room. */
  private evacuate(m: Machine, now: Instant, orders: Map<string, Order[]>): void {
    for (const hold of m.holds.values()) {
      const { spec } = hold;
      const job = this.cluster.jobs.get(hold.job);
      if (spec === null || job === undefined || hold.state !== "running" || hold.stopping) continue;
      const saves =
        Duration.toMillis(spec.checkpoint) > 0 && m.noticeUntil! - now >= Duration.toMillis(spec.save);
      if (spec.kind === "gang") {
        if (saves) this.stopGang(job, orders);
        continue;
      }
      const ready = (): Machine[] => [...this.cluster.machines.values()].filter((x) => this.usable(x, now));
      if (saves || (spec.kind === "service" && choose(this.cluster, job, ready(), now, () => 0) !== null))
        stopTask(hold, orders);
    }
  }

  /** Free room is no use to a job whose image takes longer to fetch than its start may take. */
  private fetchTooLong(job: Job, m: Machine): boolean {
    const goal = this.options.startGoals.get(job.spec.className);
    const type = this.typeByName.get(m.type);
    if (goal === undefined || type === undefined || m.images.has(job.spec.image)) return false;
    return job.spec.imageGb / type.fetchGbPerS > Duration.toSeconds(goal);
  }

  /** Stops others for one task of a job; true while that is under way. `once`: not a second time for this job. */
  private makeRoom(
    job: Job,
    candidates: readonly Machine[],
    now: Instant,
    orders: Map<string, Order[]>,
    out: Decision[],
    once = false,
  ): boolean {
    const id = job.spec.id;
    const making = this.makingRoom.get(id);
    if (making !== undefined && now < making.until) return true;
    if (making !== undefined && once) return false;
    const rank = RANK[job.spec.priority];
    const guaranteed = this.guaranteed.has(job);
    const mayStop = (hold: Hold): boolean => {
      const spec = hold.spec!;
      if (spec.kind === "gang") return false;
      // below production, room made a little sooner isn't worth work that has run for a while
      if (RANK[spec.priority] < rank && (rank === RANK.production || !losesWork(hold, now))) return true;
      if (!guaranteed || spec.team === job.spec.team || spec.kind === "service") return false;
      const other = this.options.teams.get(spec.team);
      const usage = this.usageOf(spec.team);
      // only what the other team runs beyond its own guarantee
      return (
        other !== undefined && usage.cpus - spec.cpus >= other.cpus && usage.gpus - spec.gpus >= other.gpus
      );
    };
    const found = victims(this.cluster, job, candidates, now, mayStop);
    if (found === null) return false;
    for (const hold of found.holds) stopTask(hold, orders);
    this.makingRoom.set(id, { until: plus(now, Duration.millis(300)) });
    out.push({
      kind: "note",
      text: `stop ${found.holds.map((h) => `${h.job}/${h.index}`).join(" ")} on ${found.machine.id} for ${id}`,
    });
    return true;
  }

  private commit(out: Decision[]): void {
    for (const job of this.cluster.jobs.values())
      if (!job.committing && job.done.covers(job.spec.tasks)) {
        job.committing = true;
        out.push({ kind: "commit", job: job.spec.id, tasks: job.spec.tasks });
      }
  }

  /** A machine is recorded before the first start on it. */
  private records(now: Instant, out: Decision[]): void {
    for (const m of this.cluster.machines.values()) {
      const idle = m.holds.size === 0;
      m.idleSince = idle && m.heard !== null ? (m.idleSince ?? now) : null;
      if (m.recorded || m.recording || m.releasing !== null || m.heard === null) continue;
      m.recording = true;
      out.push({
        kind: "record",
        machine: m.id,
        record: { type: m.type, zone: m.zone, spot: m.spot, addr: m.addr, open: true },
      });
    }
  }

  private send(now: Instant, orders: Map<string, Order[]>, out: Decision[]): void {
    const probeAfter = Duration.sum(
      Duration.times(this.options.spans.reportEvery, 1.25),
      Duration.millis(500),
    );
    for (const m of this.cluster.machines.values()) {
      let list = orders.get(m.id);
      if (m.addr === null || m.inFlight) {
        // one batch at a time: what can't go out now is decided again
        if (list !== undefined) this.ordersAnswered(m.id, list, 0, "barred");
        continue;
      }
      if (list === undefined) {
        // unconfirmed or silent machines are asked directly, without orders: the answer is their picture
        // a machine that never reported is asked only if an earlier leader may have started something on it
        const old =
          (m.heard !== null || !m.confirmed ? m.token < this.term.token : false) ||
          (m.heard !== null && passed(now, m.heard, probeAfter));
        const asked = m.probedAt !== null && !passed(now, m.probedAt, Duration.seconds(1));
        if (!old || asked || !m.recorded) continue;
        m.probedAt = now;
        list = [];
      }
      m.inFlight = true;
      out.push({
        kind: "orders",
        machine: m.id,
        via: m.via,
        addr: m.addr,
        session: Math.max(1, m.session),
        orders: list,
      });
    }
  }

  /** A higher token settles which unanswered starts were executed: late ones are refused from then on. */
  private settleDoubts(now: Instant, out: Decision[]): void {
    let doubt = false;
    for (const m of this.cluster.machines.values())
      if (m.heard !== null && !passed(now, m.heard, this.fresh()))
        for (const hold of m.holds.values())
          if (hold.doubt !== null && hold.doubt >= this.term.token) doubt = true;
    if (!doubt) this.doubtsSince = null;
    else {
      this.doubtsSince ??= now;
      if (
        passed(now, this.doubtsSince, Duration.seconds(1)) &&
        passed(now, this.termBegan, Duration.seconds(5))
      ) {
        out.push({ kind: "newTerm", why: "unanswered starts" });
        this.doubtsSince = now;
      }
    }
  }

  /** One line for operators: what there is, what is in use, what waits. */
  summary(now: Instant): Record<string, number> {
    let cpus = 0;
    let used = 0;
    let booting = 0;
    let ready = 0;
    let spot = 0;
    for (const m of this.cluster.machines.values()) {
      if (m.heard === null) booting++;
      if (!this.usable(m, now)) continue;
      ready++;
      cpus += m.cpus;
      used += m.used.cpus;
      if (m.spot) spot++;
    }
    let waiting = 0;
    for (const j of this.cluster.jobs.values()) waiting += j.pending.size * j.spec.cpus;
    return {
      machines: this.cluster.machines.size,
      ready,
      booting,
      spot,
      cpus,
      used,
      waiting,
      jobs: this.cluster.jobs.size,
    };
  }

  // --- fleet ------------------------------------------------------------------------------------------

  /** Called about once a second, and only while the cloud can be asked. */
  stepFleet(now: Instant): Decision[] {
    const out: Decision[] = [];
    const releases = new Map<string, string[]>();
    for (const m of this.cluster.machines.values()) {
      if (m.releasing !== null && !passed(now, m.releasing, Duration.seconds(5))) continue;
      const why = this.releaseReason(m, now);
      if (why !== null) (releases.get(why) ?? releases.set(why, []).get(why)!).push(m.id);
    }
    for (const m of this.fleet.spare(this.cluster, this.typeByName, now, (x) => this.usable(x, now)))
      (releases.get("idle") ?? releases.set("idle", []).get("idle")!).push(m.id);
    for (const [why, machines] of releases) {
      for (const id of machines) this.cluster.machines.get(id)!.releasing = now;
      out.push({ kind: "release", machines: machines.slice(0, 100), why });
    }
    this.consolidate(now);
    if (!this.listedOnce) return out;
    const queue: { job: Job; tasks: number }[] = [];
    for (const job of this.queue(now)) {
      const team = this.options.teams.get(job.spec.team);
      if (team === undefined) continue;
      const tasks = Math.min(job.pending.size, roomInLimit(team, this.usageOf(job.spec.team), job.spec));
      if (tasks > 0) queue.push({ job, tasks });
    }
    for (const rent of this.fleet.rent(this.cluster, queue, this.types, now, (m) => this.usable(m, now)))
      out.push({ kind: "rent", rent });
    return out;
  }

  /**
   * Replicas run for long, and a few of them keep a large machine from being returned. While nothing waits, the
   * machine that costs the most for the least is drained, if all its replicas fit beside other running work where
   * their image is cached already: the gap is then a stop and a start.
   */
  private consolidate(now: Instant): void {
    const machines = [...this.cluster.machines.values()];
    const waiting = [...this.cluster.jobs.values()].some(
      (j) => j.pending.size > 0 && j.spec.kind !== "service",
    );
    const draining = machines.find((m) => m.draining);
    if (waiting) {
      if (draining !== undefined) draining.draining = false;
      return;
    }
    if (draining !== undefined) return;
    const ready = machines.filter((m) => this.usable(m, now));
    const price = (m: Machine): number => {
      const type = this.typeByName.get(m.type);
      return type === undefined ? 0 : m.spot ? type.spotPrice : type.price;
    };
    const wasted = (m: Machine): number => price(m) * (1 - m.used.cpus / m.cpus);
    const candidates = ready
      .filter(
        (m) =>
          m.holds.size > 0 &&
          m.used.cpus <= m.cpus / 2 &&
          [...m.holds.values()].every((h) => movable(h, now)),
      )
      .sort((a, b) => wasted(b) - wasted(a));
    for (const m of candidates) {
      const others = ready.filter((x) => x !== m && x.holds.size > 0).map((x) => ({ x, room: freeRoom(x) }));
      const fit = [...m.holds.values()].every((hold) => {
        const spec = hold.spec!;
        const job = this.cluster.jobs.get(hold.job);
        const to = others.find(
          ({ x, room }) =>
            x.images.has(spec.image) &&
            allowed(spec, x) &&
            slots(spec, room) > 0 &&
            job !== undefined &&
            !spec.oneZone &&
            !spec.spread,
        );
        if (to === undefined) return false;
        to.room.cpus -= spec.cpus;
        to.room.gpus -= spec.gpus;
        to.room.memoryGb -= spec.memoryGb;
        return true;
      });
      if (!fit) continue;
      m.draining = true;
      return;
    }
  }

  private releaseReason(m: Machine, now: Instant): string | null {
    if (m.releasing !== null) return "repeat";
    if (m.failed) return "failed";
    const type = this.typeByName.get(m.type);
    if (m.heard === null) {
      const since = m.recorded && !m.confirmed ? this.termBegan : m.created;
      if (m.confirmed) {
        const patience = Duration.times(type?.boot ?? Duration.seconds(60), 2.5);
        return passed(now, since, patience) ? "never came up" : null;
      }
      // until it is gone, nothing that it may hold can start
      const unheard = [...this.cluster.machines.values()].filter((x) => !x.confirmed).length;
      const few = unheard <= Math.max(2, this.cluster.machines.size * 0.25);
      const patience = !few ? 15_000 : m.unanswered >= 2 ? 4000 : 8000;
      return passed(now, since, Duration.millis(patience)) ? "silent since take-over" : null;
    }
    const silentFor = Math.min(now - m.heard, now - this.termBegan);
    if (silentFor > 0 && passed(now, m.heard, this.fresh())) {
      const all = [...this.cluster.machines.values()].filter((x) => x.heard !== null);
      const silent = all.filter((x) => passed(now, x.heard!, this.fresh())).length;
      // many at once, or a part whose member is silent too, look like a cut of ours, not like dead machines
      const lastWord = m.via === null ? undefined : this.vouches.get(m.via)?.asOf;
      const cut = lastWord === undefined || lastWord === null || passed(now, lastWord, Duration.seconds(4));
      const lonely = silent <= Math.max(2, all.length * 0.25) && !cut;
      const soon = Duration.toMillis(this.fresh()) + 1000;
      const patience = !lonely ? 40_000 : m.unanswered >= 2 ? soon : soon + 3000;
      if (silentFor >= patience) return "silent";
    }
    if (m.draining && m.holds.size === 0 && !m.inFlight) return "drained";
    if (m.setAside !== null) {
      const live = [...m.holds.values()].some((h) => occupies(h));
      if (!live) return "fails tasks";
    }
    return null;
  }

  /** A recorded rental's certain outcome; `machines` are recorded by now. */
  rentalAnswered(name: string, record: RentalRecord, machines: readonly string[], now: Instant): void {
    this.fleet.asked.delete(name);
    if (machines.length < record.count)
      this.fleet.refused(offerKey(record.type, record.zone, record.spot), now);
    for (const id of machines)
      this.discovered(
        id,
        { type: record.type, zone: record.zone, spot: record.spot, addr: null, open: false },
        now,
      );
  }
}

/** A job that failed on several machines and completed nowhere. */
const suspect = (job: Job): boolean => job.errorsOn.size >= HOPELESS_AFTER && job.done.size === 0;

/** Tells a task to stop, with the time that it needs to save. */
const stopTask = (hold: Hold, orders: Map<string, Order[]>): void => {
  hold.stopping = true;
  const { job, index, attempt } = hold;
  const graceS = hold.spec === null ? 0 : Duration.toSeconds(hold.spec.save);
  push(orders, hold.machine, { op: "stop", job, index, attempt, graceS });
};

const CHEAP_LOSS = Duration.seconds(6);
/** Whether stopping a task throws away more than a moment's work. */
const losesWork = (hold: Hold, now: Instant): boolean =>
  Duration.toMillis(hold.spec!.checkpoint) === 0 &&
  hold.state === "running" &&
  passed(now, hold.since, CHEAP_LOSS);

/** A replica that has run long enough for its start to count, and that nobody is stopping. */
const movable = (h: Hold, now: Instant): boolean =>
  h.spec?.kind === "service" &&
  h.state === "running" &&
  !h.stopping &&
  h.doubt === null &&
  passed(now, h.since, Duration.seconds(35));

/** A task whose job record is gone: what it takes of its machine and of its team's limit isn't known. */
const hasStray = (m: Machine): boolean => {
  for (const hold of m.holds.values()) if (hold.spec === null && occupies(hold)) return true;
  return false;
};

const push = (orders: Map<string, Order[]>, machine: string, order: Order): void => {
  const list = orders.get(machine);
  if (list === undefined) orders.set(machine, [order]);
  else list.push(order);
};
