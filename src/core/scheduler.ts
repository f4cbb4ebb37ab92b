/**
 * The leader: events in, decisions out. It reads no clock, draws no random number and touches no socket.
 * Safety rests on one invariant: a task is started only while nothing holds it, where a hold is removed only
 * by proof (see docs/design.md).
 */
import * as Duration from "effect/Duration";
import { type Instant, passed, plus } from "./time.js";
import {
  addHold,
  addJob,
  addMachine,
  answeredDirectly,
  changeHold,
  type Cluster,
  dropJob,
  dropMachine,
  finish,
  type Hold,
  holdKey,
  type Job,
  type Machine,
  newMachine,
  notOlder,
  heardOf,
  removeHold,
  setMachine,
  tidyTask,
} from "./cluster.js";
import { Fleet, offerKey, type Rent } from "./fleet.js";
import { Outbox } from "./outbox.js";
import { Pace } from "./pace.js";
import { Pipelines } from "./pipelines.js";
import { Placer, suspect } from "./placer.js";
import { Proof } from "./proof.js";
import { roomInLimit } from "./quota.js";
import type { Range } from "./ranges.js";
import type {
  JobSpec,
  MachineRecord,
  MachineType,
  Order,
  RentalRecord,
  TermRecord,
  WorkerReport,
} from "./records.js";
import { Returns } from "./returns.js";
import { type SchedulerOptions, Scope } from "./scope.js";
import { termOf, tokenOf } from "./term.js";
import { Tidy } from "./tidy.js";
import type { ZoneWatch } from "./zones.js";

export type Decision =
  | {
      kind: "orders";
      machine: string;
      via: string | null;
      addr: string;
      session: number;
      token: number;
      orders: Order[];
    }
  | { kind: "commit"; job: string; tasks: number }
  | { kind: "record"; machine: string; record: MachineRecord }
  | { kind: "rent"; rent: Rent }
  | { kind: "release"; machines: string[]; why: string }
  | { kind: "note"; text: string };

/**
 * done: executed. rejected: the worker refused. unsent: the worker can't be reached. unknown: it may be executed yet.
 * barred: the node asked may not send (its term or its window); that says nothing about the worker.
 */
export type OrderOutcome = "done" | "rejected" | "unsent" | "unknown" | "barred";

const ASK_AGAIN = Duration.seconds(1);
const HOLD_OFF = Duration.millis(500);
/** Behind a cut there may be hundreds that can't answer: after a few questions each is asked more seldom. */
const ASK_SELDOM = Duration.seconds(4);
const ASKED_OFTEN = 4;
/** Questions put in one step: after a take-over all machines are asked, a few at a time. */
const MAX_QUESTIONS = 12;
const MAX_RELEASED = 5000;
const MAX_RELEASE = 100;

export class Scheduler {
  readonly fleet: Fleet;
  private readonly scope: Scope;
  private readonly proof: Proof;
  private readonly placer: Placer;
  private readonly pace: Pace;
  private readonly tidy: Tidy;
  private readonly returns: Returns;
  private readonly pipelines = new Pipelines();
  /** Jobs that wait for others. */
  private readonly awaiting = new Set<string>();
  private released = new Set<string>();
  /** Machines whose orders could not be sent, and until when nothing is decided for them. */
  private readonly heldOff = new Map<Machine, Instant>();
  private listedOnce = false;

  constructor(
    private readonly options: SchedulerOptions,
    term: TermRecord,
    leaderStamp: number,
    now: Instant,
    zones?: ZoneWatch,
  ) {
    this.scope = new Scope(options, term, now, leaderStamp, zones);
    this.fleet = new Fleet(options.fleet);
    this.proof = new Proof(this.scope);
    this.placer = new Placer(this.scope);
    this.pace = new Pace(this.scope);
    this.tidy = new Tidy(this.scope);
    this.returns = new Returns(this.scope, this.proof);
  }

  get cluster(): Cluster {
    return this.scope.cluster;
  }
  get term(): TermRecord {
    return this.scope.term;
  }

  /** The same leader goes on under a higher token: what it knows stays true. */
  renewTerm(term: TermRecord, now: Instant): void {
    this.scope.term = term;
    this.scope.termBegan = now;
    this.proof.newTerm();
    for (const m of this.cluster.machines.values()) {
      m.inFlight = false;
      m.step = 0;
      this.cluster.attention.add(m);
    }
    this.cluster.chances++;
  }

  setTypes(types: readonly MachineType[]): void {
    this.scope.setTypes(types);
  }

  // --- jobs -------------------------------------------------------------------------------------------

  /** `accepted` and `released`: deadline and age count from there, under whatever leader. */
  jobSeen(spec: JobSpec, stamp: number, accepted: Instant, released: Instant = accepted): void {
    if (this.cluster.jobs.has(spec.id)) return;
    const job = addJob(this.cluster, spec, stamp, accepted, released);
    this.awaiting.delete(spec.id);
    this.pipelines.add(spec, accepted);
    job.rank = this.pipelines.rank(spec.id)!;
    job.due = this.pipelines.due(spec.id);
    this.passOn();
    for (const [index, holds] of job.holds) if (holds.some((h) => h.why === "done")) this.done(job, index);
    this.fleet.arrived(job);
  }

  /** A job that waits for others: it counts only for the jobs that it needs. */
  waitingSeen(spec: JobSpec, accepted: Instant): void {
    if (this.cluster.jobs.has(spec.id)) return;
    this.awaiting.add(spec.id);
    this.pipelines.add(spec, accepted);
    this.passOn();
  }

  /** It waits no longer: released (the order of this and `jobSeen` doesn't matter) or cancelled. */
  waitingOver(id: string): void {
    if (!this.awaiting.delete(id)) return;
    this.pipelines.remove(id);
    this.passOn();
  }

  /** Jobs known to wait for others. */
  get awaitingJobs(): ReadonlySet<string> {
    return this.awaiting;
  }

  /** Gives released jobs what has flowed back to them. */
  private passOn(): void {
    for (const id of this.pipelines.takeChanged()) {
      const job = this.cluster.jobs.get(id);
      const rank = this.pipelines.rank(id);
      if (job === undefined || rank === null) continue;
      const due = this.pipelines.due(id);
      if (job.rank === rank && job.due === due) continue;
      job.rank = rank;
      job.due = due;
      // the queue's order, and what may be stopped for whom
      this.cluster.chances++;
    }
  }

  /** The job record is gone: there is a commit, done or cancelled, and nothing of it may start again. */
  jobOver(id: string): void {
    const job = this.cluster.jobs.get(id);
    if (job !== undefined) dropJob(this.cluster, job);
    this.awaiting.delete(id);
    this.pipelines.remove(id);
    this.passOn();
    this.placer.jobOver(id);
    this.pace.jobOver(id);
  }

  private done(job: Job, index: number): void {
    // the tasks of a gang complete together: if one is done, so are all
    if (job.spec.kind === "gang") finish(this.cluster, job, 0, job.spec.tasks);
    else finish(this.cluster, job, index, index + 1);
  }

  /** Finishes that are in the state service. */
  stored(id: string, ranges: readonly Range[]): void {
    const job = this.cluster.jobs.get(id);
    if (job === undefined) return;
    const whole = job.spec.kind === "gang" && ranges.length > 0;
    for (const [from, to] of whole ? ([[0, job.spec.tasks]] as const) : ranges) {
      job.stored.add(from, to);
      for (let n = from; n < to; n++)
        for (const hold of job.holds.get(n) ?? []) {
          hold.stored = true;
          tidyTask(this.cluster, job, n);
        }
      finish(this.cluster, job, from, to);
    }
  }

  commitFailed(id: string): void {
    const job = this.cluster.jobs.get(id);
    if (job === undefined) return;
    job.committing = false;
    if (job.done.covers(job.spec.tasks)) this.cluster.covered.add(job);
  }

  // --- machines ---------------------------------------------------------------------------------------

  /** A machine record read from the state service, or one just written. */
  recorded(id: string, record: MachineRecord, now: Instant): Machine | null {
    if (this.released.has(id)) return null;
    const known = this.cluster.machines.get(id);
    const m = known ?? newMachine(id, record, now);
    if (known === undefined) addMachine(this.cluster, m);
    m.recording = false;
    m.addr ??= record.addr;
    setMachine(this.cluster, m, { recorded: true });
    if (known === undefined) this.scope.applyType(m);
    return m;
  }

  recordFailed(id: string): void {
    const m = this.cluster.machines.get(id);
    if (m !== undefined) m.recording = false;
  }

  /** A machine without a record (rented, or found in a report or a list) never got a start from anybody. */
  private discovered(id: string, record: MachineRecord, now: Instant): Machine | null {
    if (this.released.has(id)) return null;
    const known = this.cluster.machines.get(id);
    if (known !== undefined) return known;
    const m = newMachine(id, record, now);
    addMachine(this.cluster, m);
    setMachine(this.cluster, m, { confirmed: true });
    this.scope.applyType(m);
    return m;
  }

  listed(
    rows: readonly { id: string; record: MachineRecord; failed: boolean; ageMs: number }[],
    now: Instant,
  ): void {
    this.listedOnce = true;
    for (const row of rows) {
      const created = plus(now, Duration.millis(-row.ageMs));
      const m = this.discovered(row.id, row.record, created);
      if (m === null) continue;
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
      if (this.released.size > MAX_RELEASED) this.released.delete(this.released.values().next().value!);
      dropMachine(this.cluster, m);
      this.proof.forget(id);
    }
  }

  // --- reports ----------------------------------------------------------------------------------------

  /** `at`: when a member took the report. */
  report(r: WorkerReport, via: string, now: Instant, at: Instant = now): void {
    const current = termOf(r.token) >= this.term.token;
    let m = this.cluster.machines.get(r.machine) ?? null;
    if (m === null) {
      // a late copy may speak of a machine long gone: a stranger is believed once it knows the present token
      if (!current) return;
      m = this.discovered(r.machine, { type: r.type, zone: r.zone, spot: r.spot, addr: r.addr }, now);
      if (m === null) return;
    }
    // the message with the larger (session, seq) is the newer one; older ones say nothing about now
    if (r.session < m.session || (r.session === m.session && r.seq <= m.seq)) return;
    const newSession = r.session > m.session && m.session > 0;
    // after a gap (an outage, a take-over) it isn't known when its tasks began and ended
    const inTime =
      m.heard !== null && !passed(at, m.heard, Duration.times(this.options.spans.reportEvery, 1.5));
    m.session = r.session;
    m.seq = r.seq;
    m.token = Math.max(m.token, r.token);
    m.addr = r.addr;
    m.via = via;
    heardOf(this.cluster, m, at);
    if (r.noticeS === null) {
      if (m.noticeUntil !== null) this.cluster.chances++;
      m.noticeUntil = null;
    } else if (m.noticeUntil === null) {
      m.noticeUntil = plus(now, Duration.seconds(r.noticeS));
      this.cluster.attention.add(m);
    }

    const present = new Set<string>();
    for (const t of r.tasks) {
      const key = holdKey(t.job, t.index, t.attempt);
      present.add(key);
      const job = this.cluster.jobs.get(t.job);
      if (t.state === "exited" && t.why === "done" && job !== undefined) this.done(job, t.index);
      const hold = m.holds.get(key);
      if (hold === undefined) {
        addHold(this.cluster, {
          job: t.job,
          index: t.index,
          attempt: t.attempt,
          machine: m.id,
          spec: job?.spec ?? null,
          state: t.state,
          why: t.why,
          since: now,
          began: null,
          doubt: null,
          answered: null,
          stopping: t.state === "saving",
          stored: job?.stored.has(t.index) ?? false,
        });
        if (t.state === "running") this.seenImage(m, job?.spec);
        continue;
      }
      const before = hold.state;
      const doubt = hold.doubt !== null && r.token > hold.doubt ? null : hold.doubt;
      if (before === t.state && doubt === hold.doubt) continue;
      const since = before === t.state ? hold.since : now;
      if (before === "running" && t.why === "done" && inTime) this.pace.done(m, hold, now);
      const began = before === t.state ? hold.began : t.state === "running" && inTime ? now : null;
      changeHold(this.cluster, hold, { state: t.state, why: t.why, since, began, doubt });
      if (t.state === "running" || (t.state === "exited" && before !== "exited"))
        this.seenState(m, hold, now);
    }
    for (const [key, hold] of m.holds) {
      if (present.has(key)) continue;
      // a start on its way, or one without an answer, may still be executed: it holds the task until the
      // worker has seen a higher token or begun a new session (late orders are refused from then on)
      const answered = hold.answered !== null && notOlder(r, hold.answered);
      if (!newSession && hold.state === "ordered" && hold.doubt === null && !answered) continue;
      if (!newSession && hold.doubt !== null && !(r.token > hold.doubt)) continue;
      removeHold(this.cluster, hold);
    }
    if (current && !m.confirmed) {
      setMachine(this.cluster, m, { confirmed: true });
      for (const hold of m.holds.values()) {
        const job = this.cluster.jobs.get(hold.job);
        if (job !== undefined) tidyTask(this.cluster, job, hold.index);
      }
    }
  }

  /** A member heard a newer message of its worker at `at`, with nothing new in it. */
  heard(machine: string, at: Instant): void {
    const m = this.cluster.machines.get(machine);
    // only what has shown itself by a report
    if (m !== undefined && m.session > 0) heardOf(this.cluster, m, at);
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
      if (m.setAside !== null && !m.slow) {
        m.setAside = null;
        this.cluster.chances++;
      }
    }
    if (hold.why === "error" && job !== undefined) {
      job.errorsOn.set(m.id, now);
      m.blame.set(hold.job, (m.blame.get(hold.job) ?? 0) + 1);
      if (suspect(job)) {
        // probably the job is at fault: it is tried ever more seldom, and the machines it failed on are cleared
        job.retryAt = plus(now, Duration.seconds(Math.min(60, 2 ** job.errorsOn.size)));
        for (const id of job.errorsOn.keys()) {
          const other = this.cluster.machines.get(id);
          if (other !== undefined && !other.slow && !this.faulty(other)) other.setAside = null;
        }
      }
      if (m.setAside === null && this.faulty(m)) m.setAside = now;
    }
    if (hold.why === "no_room" && job !== undefined) job.refusedOn.set(m.id, now);
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

  vouched(
    member: string,
    incarnation: number,
    token: number,
    asOf: Instant | null,
    answered: readonly { machine: string; at: Instant }[],
    now: Instant,
  ): void {
    this.proof.vouched(member, incarnation, token, asOf, answered, now);
    for (const { machine, at } of answered) {
      const m = this.cluster.machines.get(machine);
      if (m !== undefined && (m.renewed === null || at > m.renewed)) m.renewed = at;
    }
  }

  /** What became of orders that were sent under this token, and which report they were answered with. */
  ordersAnswered(
    machine: string,
    orders: readonly Order[],
    token: number,
    outcome: OrderOutcome,
    now: Instant,
    by: { session: number; seq: number } = { session: 0, seq: 0 },
  ): void {
    const m = this.cluster.machines.get(machine);
    if (m === undefined) return;
    // not sent: a node whose queue is full, or that may not send now, won't a moment later
    if (outcome === "barred" && token > 0) this.heldOff.set(m, plus(now, HOLD_OFF));
    else if (termOf(token) === this.term.token) m.inFlight = false;
    this.cluster.attention.add(m);
    this.cluster.chances++;
    if (outcome !== "barred")
      answeredDirectly(this.cluster, m, outcome === "done" || outcome === "rejected", now);
    for (const order of orders) {
      const hold = m.holds.get(holdKey(order.job, order.index, order.attempt));
      if (hold === undefined) continue;
      if (order.op === "stop" && outcome !== "done") hold.stopping = false;
      if (order.op !== "start" || hold.state !== "ordered") continue;
      // its report under a higher token came first and didn't show the task: a late start is refused from then on, and
      // no report would settle the doubt, since only changes are told
      const over = m.token > token;
      if (outcome === "unknown" && !over) changeHold(this.cluster, hold, { doubt: token });
      // news go several ways: the report that shows the task may come after the word that it was ordered
      else if (outcome === "done" && !notOlder(m, by)) hold.answered = by;
      else removeHold(this.cluster, hold);
    }
  }

  // --- decisions --------------------------------------------------------------------------------------

  step(now: Instant): Decision[] {
    const out: Decision[] = [];
    const outbox = new Outbox();
    const notes: string[] = [];
    this.goOn(now);
    this.proof.step(now);
    this.tidy.step(now, outbox);
    this.pace.step(now, outbox);
    this.placer.step(now, outbox, notes);
    for (const text of notes) out.push({ kind: "note", text });
    this.commit(out);
    this.records(out);
    this.settleDoubts();
    this.send(now, outbox, out);
    return out;
  }

  private goOn(now: Instant): void {
    for (const [m, until] of this.heldOff) {
      if (now < until) continue;
      this.heldOff.delete(m);
      if (this.cluster.machines.get(m.id) !== m) continue;
      m.inFlight = false;
      this.cluster.attention.add(m);
      this.cluster.chances++;
    }
  }

  private commit(out: Decision[]): void {
    for (const job of this.cluster.covered) {
      job.committing = true;
      out.push({ kind: "commit", job: job.spec.id, tasks: job.spec.tasks });
    }
    this.cluster.covered.clear();
  }

  /** A machine is recorded before the first start on it. */
  private records(out: Decision[]): void {
    for (const m of this.cluster.unrecorded) {
      if (m.recording || m.releasing !== null) continue;
      m.recording = true;
      const { type, zone, spot, addr } = m;
      out.push({ kind: "record", machine: m.id, record: { type, zone, spot, addr } });
    }
  }

  /** A higher token settles whether an unanswered start was executed: a late one is refused from then on. */
  private settleDoubts(): void {
    for (const { machine, doubt } of this.cluster.doubts) {
      const m = this.cluster.machines.get(machine)!;
      if (doubt !== null && doubt >= tokenOf(this.term.token, m.step)) m.step++;
    }
  }

  private send(now: Instant, outbox: Outbox, out: Decision[]): void {
    const order = (m: Machine, orders: Order[]): void => {
      m.inFlight = true;
      out.push({
        kind: "orders",
        machine: m.id,
        // what got no answer by one way is asked by the other
        via: m.unanswered % 2 === 1 ? this.otherWay(m) : m.via,
        addr: m.addr!,
        session: Math.max(1, m.session),
        token: tokenOf(this.term.token, m.step),
        orders,
      });
    };
    for (const id of outbox.orders.keys()) {
      const m = this.cluster.machines.get(id)!;
      const orders = outbox.take(id)!;
      // one batch at a time: what can't go out now is decided again
      if (m.addr === null || m.inFlight) this.ordersAnswered(id, orders, 0, "barred", now);
      else order(m, orders);
    }
    let questions = 0;
    const silence = Duration.sum(Duration.times(this.options.spans.reportEvery, 1.25), Duration.millis(500));
    for (const m of this.toAsk(now, silence)) {
      if (questions >= MAX_QUESTIONS) break;
      const often = m.unanswered < ASKED_OFTEN || (m.heard !== null && !passed(now, m.heard, silence));
      const again = often ? ASK_AGAIN : ASK_SELDOM;
      const asked = m.probedAt !== null && !passed(now, m.probedAt, again);
      if (asked || !m.recorded || m.addr === null || m.inFlight || m.releasing !== null) continue;
      m.probedAt = now;
      questions++;
      order(m, []);
    }
  }

  /**
   * Beside a machine's own member, this node itself; and where that is the same, another member: a leader that lost its
   * workers alone would otherwise take them for dead.
   */
  private otherWay(m: Machine): string | null {
    const { leader, members } = this.term;
    if (m.via !== null && m.via !== leader) return null;
    const others = members.filter((x) => x.name !== leader);
    return (others.find((x) => x.zone === m.zone) ?? others[0])?.name ?? null;
  }

  /** Whom to ask without orders: the answer is their picture. */
  private *toAsk(now: Instant, silence: Duration.Duration): Iterable<Machine> {
    const { cluster } = this;
    for (const { machine } of cluster.doubts) yield cluster.machines.get(machine)!;
    // an earlier leader may have started something on these
    for (const m of cluster.unconfirmed) yield m;
    for (const m of cluster.hearing) {
      if (!passed(now, m.heard!, silence)) break;
      yield m;
    }
    yield* cluster.mute;
  }

  /** One line for operators: what there is, what is in use, what waits. */
  summary(now: Instant): Record<string, number> {
    let cpus = 0;
    let used = 0;
    let booting = 0;
    let bootingCpus = 0;
    let fetching = 0;
    let replicas = 0;
    let aside = 0;
    let ready = 0;
    let spot = 0;
    for (const m of this.cluster.machines.values()) {
      if (m.heard === null) {
        booting++;
        bootingCpus += m.cpus;
        continue;
      }
      for (const { spec, state } of m.holds.values()) {
        if (spec === null) continue;
        if (state === "ordered" || state === "fetching") fetching += spec.cpus;
        else if (state === "running" && spec.kind === "service") replicas += spec.cpus;
      }
      if (!this.scope.usable(m, now)) {
        aside += m.cpus;
        continue;
      }
      ready++;
      cpus += m.cpus;
      used += m.used.cpus;
      if (m.spot) spot++;
    }
    let waiting = 0;
    for (const j of this.cluster.waiting) waiting += j.pending.size * j.spec.cpus;
    return {
      machines: this.cluster.machines.size,
      ready,
      booting,
      unconfirmed: this.cluster.unconfirmed.size,
      mute: this.cluster.mute.size,
      doubts: this.cluster.doubts.size,
      spot,
      cpus,
      used,
      // of these: starts that wait for their image, and replicas; then what is paid for and takes no work
      fetching,
      replicas,
      bootingCpus,
      aside,
      waiting,
      jobs: this.cluster.jobs.size,
    };
  }

  // --- fleet ------------------------------------------------------------------------------------------

  /** Called about once a second, and only while the cloud can be asked. */
  stepFleet(now: Instant): Decision[] {
    const out: Decision[] = [];
    const releases = this.returns.step(now);
    const { typeByName, types, usable } = this.scope;
    for (const m of this.fleet.spare(this.cluster, typeByName, now, (x) => usable(x, now)))
      (releases.get("idle") ?? releases.set("idle", []).get("idle")!).push(m.id);
    for (const [why, machines] of releases)
      for (let at = 0; at < machines.length; at += MAX_RELEASE) {
        const some = machines.slice(at, at + MAX_RELEASE);
        for (const id of some) this.cluster.machines.get(id)!.releasing = now;
        out.push({ kind: "release", machines: some, why });
      }
    this.returns.consolidate(now, this.fleet.expectedCpus(now));
    if (!this.listedOnce) return out;
    const queue: { job: Job; tasks: number }[] = [];
    for (const job of this.placer.queue(now)) {
      const team = this.options.teams.get(job.spec.team);
      if (team === undefined) continue;
      const room = roomInLimit(team, this.scope.usageOf(job.spec.team), job.spec);
      const tasks = Math.min(job.pending.size, room);
      if (tasks > 0) queue.push({ job, tasks });
    }
    for (const rent of this.fleet.rent(this.cluster, queue, types, now, (m) => usable(m, now)))
      out.push({ kind: "rent", rent });
    return out;
  }

  /** A recorded rental's certain outcome. */
  rentalAnswered(name: string, record: RentalRecord, machines: readonly string[], now: Instant): void {
    this.fleet.asked.delete(name);
    if (machines.length < record.count)
      this.fleet.refused(offerKey(record.type, record.zone, record.spot), now);
    const { type, zone, spot } = record;
    for (const id of machines) this.discovered(id, { type, zone, spot, addr: null }, now);
  }
}
