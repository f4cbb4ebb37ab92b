/** This node's lease, its member key, the term, and the race for the leader's key. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import {
  isWithinFencingWindow,
  isConfirmedByPeers,
  hasFreshJobView,
  sameMembers,
  type LeaseTimings,
} from "../../core/leases/term.js";
import { type Instant, hasElapsed } from "../../core/time.js";
import {
  keys,
  type LeaderRecord,
  type MemberRecord,
  type TermMember,
  type TermRecord,
} from "../../core/records.js";
import { now } from "../../io/clock.js";
import type { Change, Row } from "../../io/codec.js";
import type { Log } from "../../io/log.js";
import {
  decodeLeader,
  decodeMember,
  decodeTerm,
  encodeLeader,
  encodeMember,
  encodeTerm,
} from "../../io/record-codec.js";
import type { CommitResult, StateClient, StateError } from "../../io/state-client.js";
import { RejectionBackoff } from "../rejection-backoff.js";
import { Signal } from "../signal.js";

export interface Leadership {
  readonly revision: number;
  readonly leaseId: number;
}

/** What a subsystem writes together with this process's membership. */
export interface MembershipExtension {
  /** Written with the member key, on the same lease. */
  announcement(leaseId: number): Change[];
  /** Written with a term of these members. */
  withTerm(token: number, members: readonly TermMember[]): Effect.Effect<Change[], StateError>;
}

const NO_EXTENSION: MembershipExtension = {
  announcement: () => [],
  withTerm: () => Effect.succeed([]),
};

export class Membership {
  leaseId: number | null = null;
  /** The revision of this process's member record. */
  incarnation = 0;
  /** When the last renewal that showed `term` current was sent. */
  private termConfirmedAt: Instant | null = null;
  term: TermRecord | null = null;
  termRevision = 0;
  leadership: Leadership | null = null;
  /** A term that this node has asked the state service to write, whatever became of it. */
  private attemptedTerm = 0;
  /** When the other nodes were last asked who then knew of no newer term. */
  private readonly peerConfirmations = new Map<string, Instant>();
  private rows = new Map<string, Row>();
  private synced = false;
  /** The revision up to which `rows` miss nothing. */
  private watched = 0;
  private readonly renewalRequested = new Signal();
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
    private readonly askPeer: (member: string, token: number) => Effect.Effect<boolean>,
    /** When the last read that showed every ended job was sent. */
    private readonly jobViewReadAt: () => Instant | null,
    private readonly extension = NO_EXTENSION,
  ) {
    this.refusals = new RejectionBackoff(log);
  }

  /** A refused record isn't sent again at once, whoever asks for it. */
  private pauseAfterRejection(what: string, result: CommitResult): Effect.Effect<void> {
    if (result.ok === null) return Effect.sleep(this.refusals.refused(what, result.error));
    this.refusals.accepted(what);
    return Effect.void;
  }

  /**
   * May this node answer workers (not: send commands) right now? Either a renewal of its own shows the term current,
   * or the word of all other nodes does: only nodes begin terms. This keeps leases through a long state outage.
   */
  mayAnswerWorkers(): boolean {
    return (
      this.mayAct() ||
      (this.inTerm() &&
        this.hasFreshJobView() &&
        isConfirmedByPeers(this.timings, this.others, this.peerConfirmations, now()))
    );
  }

  /** Another node asks whether its term is current, as far as this node knows or began itself. */
  knowsNoNewerTerm(token: number): boolean {
    return Math.max(this.term?.number ?? 0, this.attemptedTerm) <= token;
  }

  /**
   * May this node send commands and act for the controllers right now? After an outage of the state service its lease has
   * its full time again, but until it has read the jobs anew it may know too little of cancels to do so.
   */
  mayAct(): boolean {
    return (
      isWithinFencingWindow(this.timings, this.termConfirmedAt, now()) &&
      this.hasFreshJobView() &&
      this.inTerm()
    );
  }

  private hasFreshJobView(): boolean {
    return hasFreshJobView(this.timings, this.jobViewReadAt(), now());
  }

  private inTerm(): boolean {
    return (
      this.term?.members.some(
        (member) => member.name === this.me && member.incarnation === this.incarnation,
      ) ?? false
    );
  }

  isActingLeader(): boolean {
    return this.leadership !== null && this.term?.leader === this.me && this.mayAct();
  }

  /** A message named a higher token than the one known here. */
  observeTerm(token: number): void {
    if (token > (this.term?.number ?? 0)) this.renewalRequested.notify();
  }

  private setTerm(row: Row | null): void {
    if (row === null || row.revision <= this.termRevision) return;
    this.termRevision = row.revision;
    this.term = decodeTerm(row.value);
    // the fence window counts from a renewal that showed *this* term
    this.termConfirmedAt = null;
    this.peerConfirmations.clear();
    this.log.info(
      {
        term: this.term.number,
        leader: this.term.leader,
        members: this.term.members.map((member) => member.name),
      },
      "term",
    );
    this.onTerm(this.term);
    this.renewalRequested.notify();
  }

  private stepDown(why: string): void {
    if (this.leadership === null) return;
    this.leadership = null;
    this.log.info({ why }, "no longer leading");
    this.onLost();
  }

  /** Ends the lease of this member's previous process, which is dead: nobody has to wait for it. */
  private readonly revokePreviousLease = Effect.gen(this, function* () {
    const row = yield* this.state.get(keys.member(this.me));
    if (row !== null) yield* this.state.revoke(decodeMember(row.value).leaseId);
  });

  private readonly join = Effect.gen(this, function* () {
    yield* this.revokePreviousLease;
    const leaseId = yield* this.state.grant(this.timings.memberLease);
    const record: MemberRecord = { zone: this.zone, leaseId };
    // a late copy of an earlier process's write finds this key there and changes nothing
    const done = yield* this.state.commit(
      [{ key: keys.member(this.me), revision: 0 }],
      [
        { put: keys.member(this.me), value: encodeMember(record), leaseId },
        ...this.extension.announcement(leaseId),
      ],
      "vital",
    );
    if (done.ok === null) yield* Effect.ignore(this.state.revoke(leaseId));
    yield* this.pauseAfterRejection("member", done);
    if (done.ok !== true) return;
    this.leaseId = leaseId;
    this.incarnation = done.revision;
    this.log.info({ incarnation: this.incarnation }, "joined");
    this.changed.notify();
  });

  private readonly renew = Effect.gen(this, function* () {
    const leaseId = this.leaseId;
    if (leaseId === null) return yield* this.join;
    const sentAt = now();
    const timeout = Duration.millis(Math.max(500, Duration.toMillis(this.timings.fencingWindow) / 2));
    const [alive, row] = yield* Effect.all([this.state.extend(leaseId, timeout), this.state.get(keys.term)], {
      concurrency: 2,
    });
    if (!alive) {
      this.leaseId = null;
      this.termConfirmedAt = null;
      this.stepDown("lease ended");
      return yield* this.join;
    }
    this.setTerm(row);
    if (row !== null && row.revision === this.termRevision) this.termConfirmedAt = sentAt;
    // the lease lives, but the key isn't this process's: nobody counts it as a member
    const mine = this.rows.get(keys.member(this.me))?.revision;
    if (this.synced && this.incarnation <= this.watched && mine !== this.incarnation) {
      this.log.info("the member key is not this process's: joins anew");
      yield* this.state.revoke(leaseId);
      this.leaseId = null;
      this.termConfirmedAt = null;
      this.stepDown("the member key is gone");
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
    if (left > 50) yield* this.renewalRequested.wait(Duration.millis(left - 50));
  }).pipe(Effect.forever);

  private readonly watchLoop = Effect.gen(this, function* () {
    const list = yield* this.state.list(keys.cluster);
    this.rows = new Map(list.rows.map((row) => [row.key, row]));
    this.synced = true;
    this.watched = list.revision;
    this.react();
    let revision = list.revision;
    for (;;) {
      const got = yield* this.state.watch(keys.cluster, revision, Duration.seconds(10));
      for (const event of got.events)
        if (event.value === undefined) this.rows.delete(event.key);
        else this.rows.set(event.key, { key: event.key, value: event.value, revision: event.revision });
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
    if (this.leadership !== null && leader?.revision !== this.leadership.revision)
      this.stepDown("the leader's key is gone");
    this.changed.notify();
  }

  /** The members that hold keys now. */
  presentMembers(): TermMember[] {
    const out: TermMember[] = [];
    for (const row of this.rows.values())
      if (row.key.startsWith(keys.members))
        out.push({
          name: row.key.slice(keys.members.length),
          incarnation: row.revision,
          zone: decodeMember(row.value).zone,
        });
    return out.sort((member, b) => (member.name < b.name ? -1 : 1));
  }

  /** Whether the term names other members than those that are there. */
  isTermOutdated(): boolean {
    const present = this.presentMembers();
    return this.term === null || (present.length > 0 && !sameMembers(this.term.members, present));
  }

  /** Tries to become the leader when there is none. */
  readonly campaign = Effect.gen(this, function* () {
    const leaseId = this.leaseId;
    if (leaseId === null || this.leadership !== null || !this.synced) return false;
    const held = this.rows.get(keys.leader);
    if (held !== undefined) {
      // a write without an answer may be carried out after the reread: then the key is this process's all the same, and
      // as long as its lease lives nobody else can lead
      if (decodeLeader(held.value).leaseId !== leaseId) return false;
      this.leadership = { revision: held.revision, leaseId };
      this.log.info({ revision: held.revision }, "holds the leader's key, which was written late");
      return true;
    }
    const record: LeaderRecord = { member: this.me, leaseId };
    const result = yield* this.state
      .commit(
        [{ key: keys.leader, revision: 0 }],
        [{ put: keys.leader, value: encodeLeader(record), leaseId }],
        "vital",
      )
      .pipe(
        Effect.tap((r) => this.pauseAfterRejection("leader", r)),
        Effect.map((r) => (r.ok === true ? r.revision : null)),
        // the answer was lost: reread
        Effect.catchTag("Unanswered", () =>
          Effect.map(this.state.get(keys.leader), (row) =>
            row !== null && decodeLeader(row.value).leaseId === leaseId ? row.revision : null,
          ),
        ),
      );
    if (result === null || this.leaseId !== leaseId) return false;
    this.leadership = { revision: result, leaseId };
    this.rows.set(keys.leader, { key: keys.leader, value: encodeLeader(record), revision: result });
    this.log.info({ revision: result }, "holds the leader's key");
    return true;
  });

  /** Writes the next term; every leader write has a condition on the leader's key. */
  readonly writeTerm = Effect.gen(this, function* () {
    const leadership = this.leadership;
    if (leadership === null) return false;
    const [row, list] = yield* Effect.all([this.state.get(keys.term), this.state.list(keys.members)], {
      concurrency: 2,
    });
    const old = row === null ? null : decodeTerm(row.value);
    const members: TermMember[] = list.rows.map((row) => ({
      name: row.key.slice(keys.members.length),
      incarnation: row.revision,
      zone: decodeMember(row.value).zone,
    }));
    if (!members.some((member) => member.name === this.me && member.incarnation === this.incarnation))
      return false;
    const term: TermRecord = {
      number: (old?.number ?? 0) + 1,
      leaderRevision: leadership.revision,
      leader: this.me,
      members,
    };
    const extra = yield* this.extension.withTerm(term.number, members);
    const before = this.attemptedTerm;
    this.attemptedTerm = Math.max(before, term.number);
    // what certainly wasn't written is no term: others must not be refused this node's word for it
    const notBegun = Effect.sync(() => (this.attemptedTerm = before));
    const result = yield* this.state
      .commit(
        [
          { key: keys.leader, revision: leadership.revision },
          { key: keys.term, revision: row?.revision ?? 0 },
        ],
        [{ put: keys.term, value: encodeTerm(term) }, ...extra],
        "vital",
      )
      .pipe(Effect.tapErrorTag("Unavailable", () => notBegun));
    if (result.ok !== true) yield* notBegun;
    yield* this.pauseAfterRejection("term", result);
    if (result.ok === true) {
      this.setTerm({ key: keys.term, value: encodeTerm(term), revision: result.revision });
      return true;
    }
    if (result.ok === false && result.failed.includes(keys.leader)) this.stepDown("another leader");
    return false;
  });

  /** While renewals fail, asks the others; the window counts from before each question. */
  private readonly confirmationLoop = Effect.gen(this, function* () {
    yield* Effect.sleep(Duration.times(this.timings.fencingWindow, 0.25));
    const term = this.term;
    const late =
      this.termConfirmedAt === null ||
      hasElapsed(now(), this.termConfirmedAt, Duration.times(this.timings.fencingWindow, 0.5));
    if (!late || term === null || !this.inTerm()) return;
    yield* Effect.forEach(
      this.others,
      (member) => {
        const asked = now();
        return Effect.map(this.askPeer(member, term.number), (ok) => {
          if (ok && this.term === term) this.peerConfirmations.set(member, asked);
        });
      },
      { concurrency: "unbounded", discard: true },
    );
  }).pipe(Effect.forever);

  readonly run = Effect.all([this.renewLoop, this.watchLoop, this.confirmationLoop], {
    concurrency: 3,
    discard: true,
  });
}
