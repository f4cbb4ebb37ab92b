/** This node's lease, its member key, the term, and the race for the leader's key. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import {
  isWithinFencingWindow,
  isConfirmedByPeers,
  hasFreshJobView,
  sameMembers,
  type LeaseTimings,
} from "../core/term.js";
import { type Instant, hasElapsed } from "../core/time.js";
import {
  keys,
  type LeaderRecord,
  type MemberRecord,
  type TermMember,
  type TermRecord,
} from "../core/records.js";
import { now } from "../io/clock.js";
import type { Change, Row } from "../io/codec.js";
import type { Log } from "../io/log.js";
import type { CommitResult, StateClient, StateError } from "../io/state-client.js";
import { RejectionBackoff } from "./rejection-backoff.js";
import { Signal } from "./signal.js";

export interface Leadership {
  readonly stamp: number;
  readonly permit: number;
}

/** What a subsystem writes together with this process's membership. */
export interface MembershipExtension {
  /** Written with the member key, on the same lease. */
  announcement(permit: number): Change[];
  /** Written with a term of these members. */
  withTerm(token: number, members: readonly TermMember[]): Effect.Effect<Change[], StateError>;
}

const NO_EXTENSION: MembershipExtension = {
  announcement: () => [],
  withTerm: () => Effect.succeed([]),
};

export class Membership {
  permit: number | null = null;
  /** The stamp of this process's member record. */
  incarnation = 0;
  /** When the last renewal that showed `term` current was sent. */
  private confirmed: Instant | null = null;
  term: TermRecord | null = null;
  termStamp = 0;
  leadership: Leadership | null = null;
  /** A term that this node has asked the state service to write, whatever became of it. */
  private beginning = 0;
  /** When the other nodes were last asked who then knew of no newer term. */
  private readonly words = new Map<string, Instant>();
  private rows = new Map<string, Row>();
  private synced = false;
  /** The revision up to which `rows` miss nothing. */
  private watched = 0;
  private readonly renewNow = new Signal();
  private readonly refusals: RejectionBackoff;
  readonly changed = new Signal();
  onTerm: (term: TermRecord) => void = () => undefined;
  onLost: () => void = () => undefined;

  constructor(
    private readonly me: string,
    private readonly zone: string,
    private readonly timings: LeaseTimings,
    private readonly state: StateClient,
    private readonly log: Log,
    private readonly others: readonly string[],
    private readonly ask: (member: string, token: number) => Effect.Effect<boolean>,
    /** When the last read that showed every ended job was sent. */
    private readonly read: () => Instant | null,
    private readonly extension = NO_EXTENSION,
  ) {
    this.refusals = new RejectionBackoff(log);
  }

  /** A refused record isn't sent again at once, whoever asks for it. */
  private settled(what: string, result: CommitResult): Effect.Effect<void> {
    if (result.ok === null) return Effect.sleep(this.refusals.refused(what, result.error));
    this.refusals.accepted(what);
    return Effect.void;
  }

  /**
   * May this node answer workers (not: send commands) right now? Either a renewal of its own shows the term current,
   * or the word of all other nodes does: only nodes begin terms. This keeps leases through a long state outage.
   */
  mayAnswer(): boolean {
    return (
      this.entitled() ||
      (this.inTerm() && this.informed() && isConfirmedByPeers(this.timings, this.others, this.words, now()))
    );
  }

  /** Another node asks whether its term is current, as far as this node knows or began itself. */
  knowsNoneNewer(token: number): boolean {
    return Math.max(this.term?.token ?? 0, this.beginning) <= token;
  }

  /**
   * May this node send commands and act for the controllers right now? After an outage of the state service its lease has
   * its full time again, but until it has read the jobs anew it may know too little of cancels to do so.
   */
  entitled(): boolean {
    return isWithinFencingWindow(this.timings, this.confirmed, now()) && this.informed() && this.inTerm();
  }

  private informed(): boolean {
    return hasFreshJobView(this.timings, this.read(), now());
  }

  private inTerm(): boolean {
    return this.term?.members.some((m) => m.name === this.me && m.incarnation === this.incarnation) ?? false;
  }

  leads(): boolean {
    return this.leadership !== null && this.term?.leader === this.me && this.entitled();
  }

  /** A message named a higher token than the one known here. */
  heardOf(token: number): void {
    if (token > (this.term?.token ?? 0)) this.renewNow.poke();
  }

  private setTerm(row: Row | null): void {
    if (row === null || row.stamp <= this.termStamp) return;
    this.termStamp = row.stamp;
    this.term = row.value as TermRecord;
    // the fence window counts from a renewal that showed *this* term
    this.confirmed = null;
    this.words.clear();
    this.log.info(
      { term: this.term.token, leader: this.term.leader, members: this.term.members.map((m) => m.name) },
      "term",
    );
    this.onTerm(this.term);
    this.renewNow.poke();
  }

  private lose(why: string): void {
    if (this.leadership === null) return;
    this.leadership = null;
    this.log.info({ why }, "no longer leading");
    this.onLost();
  }

  /** Ends the lease of this member's previous process, which is dead: nobody has to wait for it. */
  private readonly clearOld = Effect.gen(this, function* () {
    const row = yield* this.state.get(keys.member(this.me));
    if (row !== null) yield* this.state.revoke((row.value as MemberRecord).permit);
  });

  private readonly join = Effect.gen(this, function* () {
    yield* this.clearOld;
    const permit = yield* this.state.grant(this.timings.memberLease);
    const record: MemberRecord = { zone: this.zone, permit };
    // a late copy of an earlier process's write finds this key there and changes nothing
    const done = yield* this.state.commit(
      [{ key: keys.member(this.me), stamp: 0 }],
      [{ put: keys.member(this.me), value: record, permit }, ...this.extension.announcement(permit)],
      "vital",
    );
    if (done.ok === null) yield* Effect.ignore(this.state.revoke(permit));
    yield* this.settled("member", done);
    if (done.ok !== true) return;
    this.permit = permit;
    this.incarnation = done.revision;
    this.log.info({ incarnation: this.incarnation }, "joined");
    this.changed.poke();
  });

  private readonly renew = Effect.gen(this, function* () {
    const permit = this.permit;
    if (permit === null) return yield* this.join;
    const sentAt = now();
    const timeout = Duration.millis(Math.max(500, Duration.toMillis(this.timings.fencingWindow) / 2));
    const [alive, row] = yield* Effect.all([this.state.extend(permit, timeout), this.state.get(keys.term)], {
      concurrency: 2,
    });
    if (!alive) {
      this.permit = null;
      this.confirmed = null;
      this.lose("lease ended");
      return yield* this.join;
    }
    this.setTerm(row);
    if (row !== null && row.stamp === this.termStamp) this.confirmed = sentAt;
    // the lease lives, but the key isn't this process's: nobody counts it as a member
    const mine = this.rows.get(keys.member(this.me))?.stamp;
    if (this.synced && this.incarnation <= this.watched && mine !== this.incarnation) {
      this.log.info("the member key is not this process's: joins anew");
      yield* this.state.revoke(permit);
      this.permit = null;
      this.confirmed = null;
      this.lose("the member key is gone");
      return yield* this.join;
    }
  });

  private readonly renewLoop = Effect.gen(this, function* () {
    const began = now();
    yield* this.renew.pipe(
      Effect.catchAll((e) => Effect.sync(() => this.log.debug({ why: e.why }, "renewal failed"))),
    );
    const left = Duration.toMillis(this.timings.renewalInterval) - (now() - began);
    // never in a tight loop, also when poked
    yield* Effect.sleep(Duration.millis(50));
    if (left > 50) yield* this.renewNow.wait(Duration.millis(left - 50));
  }).pipe(Effect.forever);

  private readonly watchLoop = Effect.gen(this, function* () {
    const list = yield* this.state.list(keys.cluster);
    this.rows = new Map(list.rows.map((r) => [r.key, r]));
    this.synced = true;
    this.watched = list.revision;
    this.react();
    let revision = list.revision;
    for (;;) {
      const got = yield* this.state.watch(keys.cluster, revision, Duration.seconds(10));
      for (const e of got.events)
        if (e.value === undefined) this.rows.delete(e.key);
        else this.rows.set(e.key, { key: e.key, value: e.value, stamp: e.stamp });
      revision = got.revision;
      this.watched = revision;
      if (got.events.length > 0) this.react();
      yield* Effect.sleep(Duration.millis(20));
    }
  }).pipe(
    Effect.catchAll(() => Effect.sync(() => (this.synced = false))),
    Effect.zipRight(Effect.sleep(Duration.millis(300))),
    Effect.forever,
  );

  private react(): void {
    this.setTerm(this.rows.get(keys.term) ?? null);
    const leader = this.rows.get(keys.leader);
    if (this.leadership !== null && leader?.stamp !== this.leadership.stamp)
      this.lose("the leader's key is gone");
    this.changed.poke();
  }

  /** The members that hold keys now. */
  present(): TermMember[] {
    const out: TermMember[] = [];
    for (const row of this.rows.values())
      if (row.key.startsWith(keys.members))
        out.push({
          name: row.key.slice(keys.members.length),
          incarnation: row.stamp,
          zone: (row.value as MemberRecord).zone,
        });
    return out.sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  /** Whether the term names other members than those that are there. */
  outdated(): boolean {
    const present = this.present();
    return this.term === null || (present.length > 0 && !sameMembers(this.term.members, present));
  }

  /** Tries to become the leader when there is none. */
  readonly tryLead = Effect.gen(this, function* () {
    const permit = this.permit;
    if (permit === null || this.leadership !== null || !this.synced) return false;
    const held = this.rows.get(keys.leader);
    if (held !== undefined) {
      // a write without an answer may be carried out after the reread: then the key is this process's all the same, and
      // as long as its lease lives nobody else can lead
      if ((held.value as LeaderRecord).permit !== permit) return false;
      this.leadership = { stamp: held.stamp, permit };
      this.log.info({ stamp: held.stamp }, "holds the leader's key, which was written late");
      return true;
    }
    const record: LeaderRecord = { member: this.me, permit };
    const result = yield* this.state
      .commit([{ key: keys.leader, stamp: 0 }], [{ put: keys.leader, value: record, permit }], "vital")
      .pipe(
        Effect.tap((r) => this.settled("leader", r)),
        Effect.map((r) => (r.ok === true ? r.revision : null)),
        // the answer was lost: reread
        Effect.catchTag("Unanswered", () =>
          Effect.map(this.state.get(keys.leader), (row) =>
            row !== null && (row.value as LeaderRecord).permit === permit ? row.stamp : null,
          ),
        ),
      );
    if (result === null || this.permit !== permit) return false;
    this.leadership = { stamp: result, permit };
    this.rows.set(keys.leader, { key: keys.leader, value: record, stamp: result });
    this.log.info({ stamp: result }, "holds the leader's key");
    return true;
  });

  /** Writes the next term; every leader write has a condition on the leader's key. */
  readonly writeTerm = Effect.gen(this, function* () {
    const leadership = this.leadership;
    if (leadership === null) return false;
    const [row, list] = yield* Effect.all([this.state.get(keys.term), this.state.list(keys.members)], {
      concurrency: 2,
    });
    const old = row === null ? null : (row.value as TermRecord);
    const members: TermMember[] = list.rows.map((r) => ({
      name: r.key.slice(keys.members.length),
      incarnation: r.stamp,
      zone: (r.value as MemberRecord).zone,
    }));
    if (!members.some((m) => m.name === this.me && m.incarnation === this.incarnation)) return false;
    const term: TermRecord = {
      token: (old?.token ?? 0) + 1,
      key: leadership.stamp,
      leader: this.me,
      members,
    };
    const extra = yield* this.extension.withTerm(term.token, members);
    const before = this.beginning;
    this.beginning = Math.max(before, term.token);
    // what certainly wasn't written is no term: others must not be refused this node's word for it
    const notBegun = Effect.sync(() => (this.beginning = before));
    const result = yield* this.state
      .commit(
        [
          { key: keys.leader, stamp: leadership.stamp },
          { key: keys.term, stamp: row?.stamp ?? 0 },
        ],
        [{ put: keys.term, value: term }, ...extra],
        "vital",
      )
      .pipe(Effect.tapErrorTag("Unavailable", () => notBegun));
    if (result.ok !== true) yield* notBegun;
    yield* this.settled("term", result);
    if (result.ok === true) {
      this.setTerm({ key: keys.term, value: term, stamp: result.revision });
      return true;
    }
    if (result.ok === false && result.failed.includes(keys.leader)) this.lose("another leader");
    return false;
  });

  /** While renewals fail, asks the others; the window counts from before each question. */
  private readonly askLoop = Effect.gen(this, function* () {
    yield* Effect.sleep(Duration.times(this.timings.fencingWindow, 0.25));
    const term = this.term;
    const late =
      this.confirmed === null ||
      hasElapsed(now(), this.confirmed, Duration.times(this.timings.fencingWindow, 0.5));
    if (!late || term === null || !this.inTerm()) return;
    yield* Effect.forEach(
      this.others,
      (member) => {
        const asked = now();
        return Effect.map(this.ask(member, term.token), (ok) => {
          if (ok && this.term === term) this.words.set(member, asked);
        });
      },
      { concurrency: "unbounded", discard: true },
    );
  }).pipe(Effect.forever);

  readonly run = Effect.all([this.renewLoop, this.watchLoop, this.askLoop], {
    concurrency: 3,
    discard: true,
  });
}
