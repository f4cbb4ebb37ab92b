/** A member at work: takes reports, delivers orders, stores finishes, and keeps the leader informed. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import type { WorkerReport } from "../core/records.js";
import { keys } from "../core/records.js";
import { type BeatAnswer, Part, type Writing } from "../core/part.js";
import type { Instant } from "../core/time.js";
import { now } from "../io/clock.js";
import type { Change, Condition } from "../io/codec.js";
import type { Log } from "../io/log.js";
import type { Deliver, Delivered, Sync, SyncAnswer } from "../io/peer-codec.js";
import type { StateClient } from "../io/state-client.js";
import type { WorkerClient } from "../io/worker-client.js";
import type { Membership } from "./membership.js";
import type { Peers } from "./peers.js";
import { Signal } from "./signal.js";

/** Bytes of one ranges record: so small that a full transaction stays under its limit. */
const RANGES_BYTES = 3000;
const SYNC_EVERY = Duration.seconds(1);

export interface MemberOptions {
  readonly me: string;
  readonly txnOps: number;
  readonly valueKb: number;
  readonly keepFor: Duration.Duration;
}

export class Member {
  readonly part: Part;
  private readonly syncNow = new Signal();
  private readonly storeNow = new Signal();
  private mark = -1;
  private markToken = 0;
  /** Whether the other nodes reach the state service, by their own word: node -> (when said, reaches it). */
  readonly others = new Map<string, { at: Instant; ok: boolean }>();
  progress = new Map<string, { done: number; running: number }>();
  /** Set when this node leads: the leader is then told without a message. */
  localLeader: ((sync: Sync) => SyncAnswer) | null = null;

  constructor(
    private readonly options: MemberOptions,
    private readonly membership: Membership,
    private readonly state: StateClient,
    private readonly workers: WorkerClient,
    private readonly peers: Peers,
    private readonly log: Log,
  ) {
    this.part = new Part(options.me, Math.min(RANGES_BYTES, options.valueKb * 1024));
  }

  /** Whether this node reaches the state service. */
  stateOk(): boolean {
    const { lastBad, lastGood } = this.state;
    return lastBad === null || lastGood > lastBad || now() - lastGood < 2000;
  }

  beat(r: WorkerReport): BeatAnswer {
    const answer = this.part.beat(r, this.membership.mayAnswer(), this.membership.incarnation, now());
    if (answer.kind === "taken") {
      this.wake();
    }
    return answer;
  }

  private wake(): void {
    if (this.part.hasNews()) this.syncNow.poke();
    if (this.part.hasUnstored()) this.storeNow.poke();
  }

  readonly termChanged = (): void => this.syncNow.poke();

  /** Orders go out only under the term in force, and only while this node is entitled. */
  deliver(d: Deliver): Effect.Effect<Delivered> {
    return Effect.gen(this, function* () {
      if ((this.membership.term?.token ?? 0) < d.term.token) {
        this.membership.heardOf(d.term.token);
        for (let i = 0; i < 20 && (this.membership.term?.token ?? 0) < d.term.token; i++)
          yield* Effect.sleep(Duration.millis(25));
      }
      for (let i = 0; i < 20 && !this.membership.entitled(); i++) yield* Effect.sleep(Duration.millis(25));
      if (this.membership.term?.token !== d.term.token || !this.membership.entitled())
        return { outcome: "barred" as const, report: null };
      const result = yield* this.workers.orders(d.addr, d.term.token, d.session, d.orders);
      if (result.report !== null) {
        this.part.take(result.report, now());
        this.wake();
      }
      return result;
    });
  }

  private readonly syncOnce = Effect.gen(this, function* () {
    const term = this.membership.term;
    if (term === null) return;
    if (this.markToken !== term.token) {
      this.mark = -1;
      this.markToken = term.token;
    }
    const at = now();
    const news = this.part.news(at);
    const sync: Sync = {
      token: term.token,
      member: this.options.me,
      incarnation: this.membership.incarnation,
      mark: this.mark,
      stateOk: this.stateOk(),
      answered: [...this.part.answeredAt].map(([machine, t]) => ({ machine, ageMs: Math.max(0, at - t) })),
      ...news,
    };
    const answer =
      term.leader === this.options.me
        ? (this.localLeader?.(sync) ?? null)
        : yield* this.peers.sync(term.leader, sync).pipe(Effect.orElseSucceed(() => null));
    if (answer === null || !answer.ok) {
      if (answer !== null) this.membership.heardOf(answer.token);
      this.part.untold(news);
      yield* Effect.sleep(Duration.millis(100));
      return;
    }
    if (this.markToken === answer.token) this.mark = answer.mark;
    this.others.set(term.leader, { at: now(), ok: answer.stateOk });
    this.progress = new Map(answer.progress.map((p) => [p.job, p]));
  });

  private readonly syncLoop = Effect.gen(this, function* () {
    yield* this.syncNow.wait(SYNC_EVERY);
    // several changes make one message
    yield* Effect.sleep(Duration.millis(15));
    yield* this.syncOnce;
    this.part.prune(now(), this.options.keepFor);
  }).pipe(
    Effect.catchAllCause((cause) =>
      Effect.sync(() => this.log.error({ cause: cause.toString() }, "sync failed")),
    ),
    Effect.forever,
  );

  private write(writings: readonly Writing[]): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const when: Condition[] = writings.map((w) => ({ key: keys.commit(w.job), stamp: 0 }));
      const apply: Change[] = writings.flatMap((w) =>
        w.puts.map((p) => ({ put: p.key, value: { ranges: p.ranges } })),
      );
      const result = yield* this.state
        .commit(when, apply, "later")
        .pipe(Effect.catchAll((e) => Effect.succeed({ ok: null, error: e.why } as const)));
      if (result.ok === null) this.log.debug({ why: result.error }, "finishes not stored yet");
      let retry = false;
      for (const w of writings) {
        const over = result.ok === false && result.failed.includes(keys.commit(w.job));
        this.part.storeAnswered(w, result.ok === true ? "stored" : over ? "over" : "failed");
        if (result.ok !== true && !over) retry = true;
      }
      if (retry && result.ok === null) yield* Effect.sleep(Duration.millis(200));
      this.wake();
    });
  }

  private readonly storeLoop = Effect.gen(this, function* () {
    yield* this.storeNow.wait(SYNC_EVERY);
    // finishes that come together are stored together, well within a second of their report
    yield* Effect.sleep(Duration.millis(150));
    for (;;) {
      if (this.membership.permit === null) break;
      const writer = `${this.options.me}.${this.membership.incarnation}`;
      const writings = this.part.toStore(writer, this.options.txnOps);
      if (writings.length === 0) break;
      yield* this.write(writings);
    }
  }).pipe(
    Effect.catchAllCause((cause) =>
      Effect.sync(() => this.log.error({ cause: cause.toString() }, "storing failed")),
    ),
    Effect.forever,
  );

  readonly run = Effect.all([this.syncLoop, this.storeLoop], { concurrency: 2, discard: true });
}
