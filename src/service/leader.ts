/** Carries out the scheduler's decisions for as long as this node leads. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import type { FleetOptions } from "../core/fleet.js";
import {
  type CommitRecord,
  keys,
  type MachineRecord,
  type RangesRecord,
  type RentalRecord,
  type Team,
  type TermRecord,
  type WorkerReport,
} from "../core/records.js";
import { type Decision, Scheduler } from "../core/scheduler.js";
import type { Spans } from "../core/term.js";
import { type Instant, instant, minus } from "../core/time.js";
import { now } from "../io/clock.js";
import type { CloudClient } from "../io/cloud-client.js";
import { type Change, specOf, type WireJob, type WireType } from "../io/codec.js";
import type { Log } from "../io/log.js";
import type { Deliver, Delivered, Sync, SyncAnswer } from "../io/peer-codec.js";
import type { StateClient } from "../io/state-client.js";
import { Guarded } from "./guarded.js";
import type { Member } from "./member.js";
import type { Leadership, Membership } from "./membership.js";
import type { Mirror, MirroredJob } from "./mirror.js";
import type { Peers } from "./peers.js";
import { Signal } from "./signal.js";

export interface LeaderOptions {
  readonly me: string;
  readonly spans: Spans;
  readonly teams: ReadonlyMap<string, Team>;
  readonly fleet: FleetOptions;
  readonly startGoals: ReadonlyMap<string, Duration.Duration>;
  readonly txnOps: number;
  readonly listEvery: Duration.Duration;
}

const STEP_EVERY = Duration.millis(250);

const describe = (r: WorkerReport): string =>
  r.tasks.map((t) => `${t.job}/${t.index} ${t.state}${t.why === null ? "" : ` ${t.why}`}`).join(", ");

export class Leader {
  private guarded: Guarded<Scheduler> | null = null;
  /** Jobs written up to this revision are in what was reread; later ones come from the mirror. */
  private reread = 0;
  private readonly stepNow = new Signal();
  private readonly records: { id: string; record: MachineRecord }[] = [];
  private readonly stray: string[] = [];
  private rentals = 0;
  private fibers: Fiber.RuntimeFiber<unknown, unknown>[] = [];
  private members = new Map<string, { at: Instant; ok: boolean }>();

  constructor(
    private readonly options: LeaderOptions,
    private readonly membership: Membership,
    private readonly member: Member,
    private readonly mirror: Mirror,
    private readonly state: StateClient,
    private readonly cloud: CloudClient,
    private readonly peers: Peers,
    private readonly log: Log,
  ) {
    mirror.onJob = (job) => this.jobSeen(job);
    mirror.onOver = (id) => this.jobOver(id);
    mirror.onTypes = (types) => this.guarded?.with((s) => s.setTypes(types));
    membership.onLost = () => this.stop();
  }

  private jobSeen(job: MirroredJob): void {
    if (this.guarded === null || job.stamp <= this.reread) return;
    this.guarded.with((s) => s.jobSeen(job.spec, job.stamp, now()));
    this.stepNow.poke();
  }

  private jobOver(id: string): void {
    this.member.part.jobOver(id);
    if (this.guarded === null) return;
    this.guarded.with((s) => s.jobOver(id));
    this.stray.push(id);
    this.stepNow.poke();
  }

  private stop(): void {
    this.guarded = null;
    this.member.localLeader = null;
    const fibers = this.fibers;
    this.fibers = [];
    for (const fiber of fibers) Effect.runFork(Fiber.interrupt(fiber));
  }

  /** A member's news; also asked by this node's own part. */
  readonly sync = (m: Sync): SyncAnswer => {
    this.members.set(m.member, { at: now(), ok: m.stateOk });
    const term = this.membership.term;
    const scheduler = this.guarded;
    const base = { token: term?.token ?? 0, mark: now(), stateOk: this.member.stateOk() };
    if (scheduler === null || term === null || m.token !== term.token || !this.membership.leads()) {
      this.membership.heardOf(m.token);
      return { ...base, ok: false, progress: [] };
    }
    const at = now();
    return scheduler.with((s) => {
      for (const { report: r, ageMs } of m.reports) {
        s.report(r, m.member, at, minus(at, Duration.millis(ageMs)));
        if (this.log.isLevelEnabled("debug"))
          this.log.debug({ machine: r.machine, tasks: describe(r) }, "report");
      }
      for (const { job, ranges } of m.stored) s.stored(job, ranges);
      s.vouched(
        m.member,
        m.incarnation,
        m.token,
        m.mark < 0 ? null : instant(m.mark),
        m.answered.map((a) => ({ machine: a.machine, at: minus(at, Duration.millis(a.ageMs)) })),
      );
      if (m.reports.length > 0 || m.stored.length > 0) this.stepNow.poke();
      return { ...base, ok: true, progress: s.progress() };
    });
  };

  /** Whether some other node says that it reaches the state service. */
  othersReachState(): boolean {
    const recent = (x: { at: Instant; ok: boolean }) => x.ok && now() - x.at < 2500;
    return (
      [...this.members.entries()].some(([name, x]) => name !== this.options.me && recent(x)) ||
      [...this.member.others.entries()].some(([name, x]) => name !== this.options.me && recent(x))
    );
  }

  progressOf(id: string): { done: number; running: number } {
    return this.member.progress.get(id) ?? { done: 0, running: 0 };
  }

  // --- taking over -------------------------------------------------------------------------------------

  private readonly takeOver = Effect.gen(this, function* () {
    const leadership = this.membership.leadership;
    if (leadership === null || !(yield* this.membership.writeTerm)) return;
    const term = this.membership.term!;
    const began = now();
    const [jobs, ranges, machines, rentals] = yield* Effect.all(
      [
        this.state.list(keys.jobs),
        this.state.list(keys.ranges),
        this.state.list(keys.machines),
        this.state.list(keys.rentals),
      ],
      { concurrency: 4 },
    );
    if (this.membership.leadership !== leadership || this.membership.term !== term) return;
    const scheduler = new Scheduler(this.options, term, leadership.stamp, began);
    for (const row of machines.rows)
      scheduler.recorded(row.key.slice(keys.machines.length), row.value as MachineRecord, began);
    scheduler.setTypes(this.mirror.types);
    this.reread = jobs.revision;
    for (const row of jobs.rows) {
      scheduler.jobSeen(specOf(row.value as WireJob), row.stamp, now());
      this.mirror.put(row.key, row.value, row.stamp);
    }
    for (const row of ranges.rows) {
      const id = row.key.split("/")[1]!;
      if (scheduler.cluster.jobs.has(id)) scheduler.stored(id, (row.value as RangesRecord).ranges);
      else this.stray.push(id);
    }
    // the mirror may have heard of later jobs, and later ends, while the records were read
    for (const job of this.mirror.jobs.values())
      if (job.stamp > jobs.revision) scheduler.jobSeen(job.spec, job.stamp, now());
    for (const id of [...scheduler.cluster.jobs.keys()]) if (!this.mirror.jobs.has(id)) scheduler.jobOver(id);
    this.guarded = new Guarded(scheduler);
    this.member.localLeader = this.sync;
    this.log.info(
      {
        term: term.token,
        jobs: jobs.rows.length,
        machines: machines.rows.length,
        rentals: rentals.rows.length,
      },
      "leads",
    );
    for (const row of rentals.rows) {
      const name = row.key.slice(keys.rentals.length);
      yield* this.fork(this.resolveRental(name, row.value as RentalRecord, leadership));
    }
    yield* this.fork(this.stepLoop);
    yield* this.fork(this.fleetLoop);
    yield* this.fork(this.listLoop);
    yield* this.fork(this.typesLoop);
    yield* this.fork(this.recordLoop(leadership));
    yield* this.fork(this.strayLoop);
    yield* this.fork(this.summaryLoop);
  });

  private fork<A, E>(effect: Effect.Effect<A, E>): Effect.Effect<void> {
    return Effect.sync(() => {
      this.fibers = this.fibers.filter((f) => f.unsafePoll() === null);
      this.fibers.push(Effect.runFork(effect));
    });
  }

  /** Follows the members: tries to lead when nobody does, and writes a new term when the members change. */
  private readonly watchMembers = Effect.gen(this, function* () {
    yield* this.membership.changed.wait(Duration.millis(500));
    if (this.membership.leadership === null && !(yield* this.membership.tryLead)) return;
    if (this.guarded === null) yield* this.takeOver;
    else if (this.membership.outdated()) yield* this.renewTerm("members changed");
  }).pipe(
    Effect.catchAll((e) =>
      Effect.zipRight(
        Effect.sync(() => this.log.info({ why: e.why }, "leading is delayed")),
        Effect.sleep(Duration.millis(200)),
      ),
    ),
    Effect.catchAllCause((cause) =>
      Effect.sync(() => this.log.error({ cause: cause.toString() }, "leading failed")),
    ),
    Effect.forever,
  );

  private renewTerm(why: string) {
    return Effect.gen(this, function* () {
      if (this.guarded === null) return;
      this.log.info({ why }, "new term");
      yield* this.membership.writeTerm;
      yield* Effect.sleep(Duration.millis(200));
    });
  }

  readonly termChanged = (term: TermRecord): void => {
    if (term.leader !== this.options.me) this.stop();
    else this.guarded?.with((s) => s.renewTerm(term, now()));
    this.stepNow.poke();
  };

  // --- decisions ---------------------------------------------------------------------------------------

  private readonly stepLoop = Effect.gen(this, function* () {
    yield* this.stepNow.wait(STEP_EVERY);
    yield* Effect.sleep(Duration.millis(5));
    if (this.guarded === null || !this.membership.leads()) return;
    for (const d of this.guarded.with((s) => s.step(now()))) yield* this.fork(this.carryOut(d));
  }).pipe(
    Effect.catchAllCause((cause) =>
      Effect.sync(() => this.log.error({ cause: cause.toString() }, "step failed")),
    ),
    Effect.forever,
  );

  private carryOut(d: Decision): Effect.Effect<void> {
    switch (d.kind) {
      case "orders":
        return this.sendOrders(d);
      case "commit":
        return this.commitJob(d.job, d.tasks);
      case "record":
        return Effect.sync(() => void this.records.push({ id: d.machine, record: d.record }));
      case "rent":
        return this.rent(d);
      case "release":
        return this.release(d.machines, d.why);
      case "newTerm":
        return this.renewTerm(d.why).pipe(Effect.ignore);
      case "note":
        return Effect.sync(() => this.log.info({ term: this.membership.term?.token }, d.text));
    }
  }

  private sendOrders(d: Extract<Decision, { kind: "orders" }>): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const term = this.membership.term;
      if (term === null || this.guarded === null) return;
      const deliver: Deliver = {
        term,
        machine: d.machine,
        addr: d.addr,
        session: d.session,
        orders: d.orders,
      };
      if (d.orders.length > 0)
        this.log.info(
          {
            term: term.token,
            machine: d.machine,
            orders: d.orders.map((o) => `${o.op} ${o.job}/${o.index}`).join(", "),
          },
          "orders",
        );
      const via = d.via === this.options.me || !term.members.some((m) => m.name === d.via) ? null : d.via;
      let result: Delivered | null = null;
      if (via !== null)
        result = yield* this.peers.deliver(via, deliver).pipe(
          Effect.map((r) => r ?? { outcome: "unsent" as const, report: null }),
          Effect.catchAll((e) =>
            Effect.succeed({ outcome: e.sent ? ("unknown" as const) : ("unsent" as const), report: null }),
          ),
        );
      // the part's member can't be reached, or didn't send: this node sends by itself
      // and a question without orders may be asked twice
      if (
        result === null ||
        result.outcome === "unsent" ||
        result.outcome === "barred" ||
        (result.outcome === "unknown" && d.orders.length === 0)
      )
        result = yield* this.member.deliver(deliver);
      const { outcome, report } = result;
      if (outcome !== "done")
        this.log.info(
          { term: term.token, machine: d.machine, outcome, count: d.orders.length },
          "orders not answered",
        );
      this.guarded?.with((s) => {
        if (report !== null) s.report(report, via ?? this.options.me, now());
        s.ordersAnswered(d.machine, d.orders, term.token, outcome);
      });
      this.stepNow.poke();
    });
  }

  private commitJob(id: string, tasks: number): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const leadership = this.membership.leadership;
      if (leadership === null) return;
      const record: CommitRecord = { outcome: "done", tasks };
      const ranges = yield* this.state.list(`${keys.ranges}${id}/`);
      const deletes = ranges.rows.slice(0, this.options.txnOps - 2).map((r): Change => ({ delete: r.key }));
      const result = yield* this.state.commit(
        [
          { key: keys.commit(id), stamp: 0 },
          { key: keys.leader, stamp: leadership.stamp },
        ],
        [{ put: keys.commit(id), value: record }, { delete: keys.job(id) }, ...deletes],
      );
      if (result.ok === true) {
        this.log.info({ job: id, term: this.membership.term?.token }, "done");
        if (deletes.length < ranges.rows.length) this.stray.push(id);
        this.mirror.remove(id);
        return;
      }
      // a commit that exists is the outcome for ever, whichever it is
      if (result.ok === false && result.failed.includes(keys.commit(id))) this.mirror.remove(id);
      else this.guarded?.with((s) => s.commitFailed(id));
    }).pipe(
      Effect.catchAll((e) =>
        Effect.gen(this, function* () {
          this.log.info({ job: id, why: e.why }, "commit delayed");
          yield* Effect.sleep(Duration.millis(250));
          this.guarded?.with((s) => s.commitFailed(id));
          this.stepNow.poke();
        }),
      ),
    );
  }

  /** Machine records are written in batches; a machine gets its first start only afterwards. */
  private recordLoop(leadership: Leadership) {
    return Effect.gen(this, function* () {
      yield* Effect.sleep(Duration.millis(50));
      const batch = this.records.splice(0, this.options.txnOps);
      if (batch.length === 0) return;
      const result = yield* this.state
        .commit(
          [{ key: keys.leader, stamp: leadership.stamp }],
          batch.map((b) => ({ put: keys.machine(b.id), value: b.record })),
        )
        .pipe(Effect.orElseSucceed(() => null));
      this.guarded?.with((s) => {
        for (const b of batch) {
          if (result?.ok === true) s.recorded(b.id, b.record, now());
          else s.recordFailed(b.id);
        }
      });
      this.stepNow.poke();
      if (result?.ok !== true) yield* Effect.sleep(Duration.millis(300));
    }).pipe(Effect.forever);
  }

  /** Ranges of jobs that are over: deleted after the commit. */
  private readonly strayLoop = Effect.gen(this, function* () {
    yield* Effect.sleep(Duration.seconds(1));
    const id = this.stray.shift();
    const leadership = this.membership.leadership;
    if (id === undefined || leadership === null) return;
    const [ranges, job] = yield* Effect.all([
      this.state.list(`${keys.ranges}${id}/`),
      this.state.get(keys.job(id)),
    ]);
    if (job !== null) return;
    for (let at = 0; at < ranges.rows.length; at += this.options.txnOps)
      yield* this.state.commit(
        [{ key: keys.leader, stamp: leadership.stamp }],
        ranges.rows.slice(at, at + this.options.txnOps).map((r) => ({ delete: r.key })),
        "later",
      );
  }).pipe(Effect.ignore, Effect.forever);

  // --- cloud -------------------------------------------------------------------------------------------

  private readonly fleetLoop = Effect.gen(this, function* () {
    yield* Effect.sleep(Duration.millis(700));
    if (this.guarded === null || !this.membership.leads()) return;
    for (const d of this.guarded.with((s) => s.stepFleet(now()))) yield* this.fork(this.carryOut(d));
  }).pipe(
    Effect.catchAllCause((cause) =>
      Effect.sync(() => this.log.error({ cause: cause.toString() }, "fleet failed")),
    ),
    Effect.forever,
  );

  private readonly summaryLoop = Effect.gen(this, function* () {
    yield* Effect.sleep(Duration.seconds(5));
    this.guarded?.with((s) => this.log.info({ term: s.term.token, ...s.summary(now()) }, "summary"));
  }).pipe(Effect.forever);

  private rent(d: Extract<Decision, { kind: "rent" }>): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const leadership = this.membership.leadership;
      const term = this.membership.term;
      if (leadership === null || term === null || this.guarded === null) return;
      const name = `r-${term.token}-${++this.rentals}`;
      const { type, zone, spot, count } = d.rent;
      this.guarded.with((s) => s.fleet.asked.set(name, { offer: d.rent, count, at: now() }));
      const record: RentalRecord = { type: type.name, zone, spot, count };
      const stored = yield* this.state
        .commit([{ key: keys.leader, stamp: leadership.stamp }], [{ put: keys.rental(name), value: record }])
        .pipe(Effect.orElseSucceed(() => null));
      if (stored?.ok !== true) {
        // not sent: the name is never used again
        this.guarded?.with((s) => s.fleet.asked.delete(name));
        return;
      }
      this.log.info({ term: term.token, rental: name, type: type.name, zone, spot, count }, "rents");
      yield* this.resolveRental(name, record, leadership);
    });
  }

  /** Sends a recorded rental until its outcome is certain, then records its machines. */
  private resolveRental(name: string, r: RentalRecord, leadership: Leadership): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      let machines: string[] | null = null;
      let tries = 0;
      for (;;) {
        if (this.membership.leadership !== leadership) return;
        const answer = yield* Effect.either(this.cloud.rent(name, r.type, r.zone, r.spot, r.count));
        if (answer._tag === "Right") {
          machines = answer.right;
          break;
        }
        // while it is uncertain it stays asked for, so nothing is rented twice
        yield* Effect.sleep(Duration.millis(Math.min(4000, 500 * 2 ** tries++)));
      }
      const record: MachineRecord = { type: r.type, zone: r.zone, spot: r.spot, addr: null, open: false };
      const got = machines ?? [];
      let stored = false;
      const key = { key: keys.leader, stamp: leadership.stamp };
      for (let i = 0; i < 20 && !stored; i++) {
        const batch = got.slice(0, this.options.txnOps - 1);
        const result = yield* this.state
          .commit(
            // a machine may be up and recorded as open by now: that must not be taken back, also not late
            [key, ...batch.map((id) => ({ key: keys.machine(id), stamp: 0 }))],
            [
              { delete: keys.rental(name) },
              ...batch.map((id): Change => ({ put: keys.machine(id), value: record })),
            ],
          )
          .pipe(Effect.orElseSucceed(() => null));
        if (result?.ok === true) stored = true;
        else if (result?.ok === false) {
          if (result.failed.includes(keys.leader)) return;
          // an earlier try was carried out, or the machines were recorded otherwise
          yield* this.state.commit([key], [{ delete: keys.rental(name) }]).pipe(Effect.ignore);
          break;
        } else yield* Effect.sleep(Duration.millis(400));
      }
      this.log.info({ rental: name, machines: got, refused: machines === null }, "rental answered");
      this.guarded?.with((s) => s.rentalAnswered(name, r, got, now()));
      this.stepNow.poke();
    });
  }

  private release(machines: readonly string[], why: string): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const leadership = this.membership.leadership;
      if (leadership === null) return;
      this.log.info({ machines, why, term: this.membership.term?.token }, "releases");
      const gone = yield* this.cloud.release(machines).pipe(
        Effect.as(true),
        Effect.orElseSucceed(() => false),
      );
      this.guarded?.with((s) => s.releaseAnswered(machines, gone, now()));
      this.stepNow.poke();
      if (!gone) return;
      for (let at = 0; at < machines.length; at += this.options.txnOps)
        yield* this.state
          .commit(
            [{ key: keys.leader, stamp: leadership.stamp }],
            machines.slice(at, at + this.options.txnOps).map((id) => ({ delete: keys.machine(id) })),
          )
          .pipe(Effect.ignore);
    });
  }

  private readonly listLoop = Effect.gen(this, function* () {
    const rows = yield* this.cloud.list();
    this.guarded?.with((s) => s.listed(rows, now()));
    this.stepNow.poke();
    yield* Effect.sleep(this.options.listEvery);
  }).pipe(
    Effect.catchAll(() => Effect.sleep(Duration.seconds(1))),
    Effect.forever,
  );

  private readonly typesLoop = Effect.gen(this, function* () {
    const rows = yield* this.cloud.types();
    const old = this.mirror.types;
    this.mirror.setTypes(rows);
    const same = (a: typeof old, b: typeof old) =>
      a.length === b.length && a.every((t, i) => t.name === b[i]!.name && t.cpus === b[i]!.cpus);
    const leadership = this.membership.leadership;
    if (leadership !== null && !same(old, this.mirror.types))
      yield* this.state
        .commit(
          [{ key: keys.leader, stamp: leadership.stamp }],
          [{ put: keys.types, value: rows satisfies WireType[] }],
        )
        .pipe(Effect.ignore);
    this.stepNow.poke();
    yield* Effect.sleep(Duration.seconds(30));
  }).pipe(
    Effect.catchAll(() => Effect.sleep(Duration.seconds(1))),
    Effect.forever,
  );

  readonly run = this.watchMembers;
}
