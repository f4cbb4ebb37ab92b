/** A member at work: takes reports, delivers commands, stores finishes, and keeps the leader informed. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import type { Heartbeat } from "../../core/records.js";
import { TXN_BYTES, valueBytes } from "../../core/packing.js";
import { keys, type TermRecord } from "../../core/records.js";
import type { Writing } from "../../core/members/finish-store.js";
import { type HeartbeatAnswer, WorkerPartition } from "../../core/members/worker-partition.js";
import { type Instant, hasElapsed } from "../../core/time.js";
import { now } from "../../io/clock.js";
import type { Change, Condition } from "../../io/codec.js";
import type { Log } from "../../io/log.js";
import type {
  CommandDelivery,
  DeliveryReceipt,
  CommandBatch,
  SyncRequest,
  SyncResponse,
} from "../../io/peer-codec.js";
import type { StateClient } from "../../io/state-client.js";
import type { WorkerClient } from "../../io/worker-client.js";
import { type FragmentLimits, fragmentLimits, relayUpdate } from "./update-relay.js";
import type { Membership } from "./membership.js";
import type { Peers } from "./peers.js";
import { RejectionBackoff } from "../rejection-backoff.js";
import { Signal } from "../signal.js";

/** Bytes of one ranges record; with its key, a condition and names it needs so much more of a transaction. */
const RANGES_BYTES = 3000;
const BYTES_BESIDE = 400;
export const rangesBytes = (valueKb: number, txnOps: number): number =>
  Math.min(RANGES_BYTES, valueBytes(valueKb), Math.floor(TXN_BYTES / txnOps) - BYTES_BESIDE);
const SYNC_EVERY = Duration.seconds(1);
/** News that come together go together: each message costs the same, however much it holds. */
const SYNC_GATHER = Duration.millis(100);
/** A finish is safe on its machine; it is stored once others of its job had time to join it. */
const STORE_GATHER = Duration.seconds(4);
const STORE_EVERY = Duration.seconds(1);
const PRUNE_EVERY = Duration.seconds(5);
/** After this long without reaching the leader, news go through the state service, this often. */
const POST_AFTER = Duration.millis(800);
const POST_EVERY = Duration.seconds(1);
const POST_REPORTS = 60;
/** A command that waited this long for its turn is decided on anew: the leader is about to take it for unanswered. */
const TURN_WITHIN = Duration.seconds(3);

export interface MemberOptions {
  readonly me: string;
  readonly txnOps: number;
  readonly valueKb: number;
  readonly keepFor: Duration.Duration;
}

export class Member {
  readonly partition: WorkerPartition;
  private readonly syncRequested = new Signal();
  private leaderClockMark = -1;
  private progressVersion = -1;
  private markTerm = 0;
  private reachedLeader: Instant = now();
  private lastRelayedAt: Instant | null = null;
  private pruned: Instant = now();
  private readonly fragmentLimits: FragmentLimits;
  private readonly refusals: RejectionBackoff;
  /** How much goes into one post and one transaction of finishes: less once that was too large. */
  private relayedHeartbeats = POST_REPORTS;
  private relayPause = POST_EVERY;
  private storePuts: number;
  /** Whether the other nodes reach the state service, by their own word: node -> (when said, reaches it). */
  readonly peerStatus = new Map<string, { at: Instant; ok: boolean }>();
  readonly progress = new Map<string, { done: number; running: number }>();
  /** Set when this node leads: the leader is then told without a message. */
  localLeader: ((sync: SyncRequest) => SyncResponse) | null = null;
  /** The leader's word that a job is done, its commit record being there. */
  onDone: (job: string, tasks: number) => void = () => undefined;
  /** Whether a job is known to have its commit. */
  isOver: (job: string) => boolean = () => false;
  /** Whether a job is known and unfinished here. */
  isOpen: (job: string) => boolean = () => true;

  constructor(
    private readonly options: MemberOptions,
    private readonly membership: Membership,
    private readonly state: StateClient,
    private readonly workers: WorkerClient,
    private readonly peers: Peers,
    private readonly log: Log,
  ) {
    const { valueKb, txnOps } = options;
    this.partition = new WorkerPartition(options.me, rangesBytes(valueKb, txnOps), STORE_GATHER);
    this.fragmentLimits = fragmentLimits(valueKb, txnOps);
    this.storePuts = txnOps;
    this.refusals = new RejectionBackoff(log);
  }

  /** Whether this node reaches the state service. */
  reachesStateService(): boolean {
    return this.state.failingSince === null;
  }

  handleHeartbeat(heartbeat: Heartbeat): HeartbeatAnswer {
    const { incarnation } = this.membership;
    const answer = this.partition.handleHeartbeat(
      heartbeat,
      this.membership.mayAnswerWorkers(),
      incarnation,
      now(),
      this.isOver,
    );
    if (answer.kind === "taken") this.wake();
    return answer;
  }

  private wake(): void {
    if (this.partition.hasUpdate()) this.syncRequested.notify();
  }

  readonly termChanged = (): void => this.syncRequested.notify();

  /** Commands go out only under the term in force, and only while this node is entitled. */
  deliver(delivery: CommandDelivery): Effect.Effect<DeliveryReceipt> {
    return Effect.gen(this, function* () {
      if ((this.membership.term?.number ?? 0) < delivery.term.number) {
        this.membership.observeTerm(delivery.term.number);
        for (let i = 0; i < 20 && (this.membership.term?.number ?? 0) < delivery.term.number; i++)
          yield* Effect.sleep(Duration.millis(25));
      }
      for (let i = 0; i < 20 && !this.membership.mayAct(); i++) yield* Effect.sleep(Duration.millis(25));
      const may = this.maySend(delivery.term) && this.workers.hasRoom();
      if (may) for (const item of delivery.batches) Effect.runFork(this.send(delivery.term, item));
      return { accepted: may };
    });
  }

  private maySend(term: TermRecord): boolean {
    return this.membership.term?.number === term.number && this.membership.mayAct();
  }

  /** One machine's commands; their outcome is news for the leader. */
  private send(term: TermRecord, batch: CommandBatch): Effect.Effect<void> {
    const came = now();
    const may = (): boolean => this.maySend(term) && !hasElapsed(now(), came, TURN_WITHIN);
    // a queue may have held it up: what isn't allowed any more isn't sent
    const send = Effect.suspend(() =>
      may()
        ? this.workers.sendCommands({ ...batch, maySend: may })
        : Effect.succeed({ outcome: "barred" as const, report: null }),
    );
    return Effect.map(send, ({ outcome, report: heartbeat }) => {
      this.partition.commandsAnswered(batch.id, outcome, heartbeat, now());
      this.wake();
    });
  }

  private nextUpdate(): SyncRequest {
    const termNumber = this.membership.term!.number;
    if (this.markTerm !== termNumber) {
      this.leaderClockMark = -1;
      this.progressVersion = -1;
      this.markTerm = termNumber;
    }
    const news = this.partition.takeUpdate(now(), this.leaderIsCut() ? this.relayedHeartbeats : Infinity);
    return {
      termNumber,
      member: this.options.me,
      incarnation: this.membership.incarnation,
      // the proof by time: a word on some workers says nothing of the others
      leaderClockMark: this.partition.isUpdateComplete() ? this.leaderClockMark : -1,
      progressVersion: this.progressVersion,
      reachesStateService: this.reachesStateService(),
      ...news,
    };
  }

  private leaderIsCut(): boolean {
    return hasElapsed(now(), this.reachedLeader, POST_AFTER);
  }

  private readonly syncOnce = Effect.gen(this, function* () {
    const term = this.membership.term;
    if (term === null) return;
    const sync = this.nextUpdate();
    const answer =
      term.leader === this.options.me
        ? (this.localLeader?.(sync) ?? null)
        : yield* this.peers.sync(term.leader, sync).pipe(Effect.orElseSucceed(() => null));
    if (answer?.accepted === true) {
      this.reachedLeader = now();
      this.applyResponse(term.leader, answer);
      // what didn't fit into this message
      this.wake();
      return;
    }
    if (answer !== null) {
      this.reachedLeader = now();
      this.membership.observeTerm(answer.termNumber);
    }
    if (!(answer === null && term.leader !== this.options.me && (yield* this.relayThroughStore(sync))))
      this.partition.putBack(sync);
    yield* Effect.sleep(Duration.millis(100));
  });

  /** The leader can't be reached: its news are left in the state service. */
  private relayThroughStore(sync: SyncRequest): Effect.Effect<boolean> {
    const { leaseId } = this.membership;
    if (!this.leaderIsCut() || leaseId === null || !this.membership.mayAct()) return Effect.succeed(false);
    if (this.lastRelayedAt !== null && !hasElapsed(now(), this.lastRelayedAt, this.relayPause))
      return Effect.succeed(false);
    this.lastRelayedAt = now();
    return Effect.map(
      relayUpdate(this.state, this.options.me, leaseId, sync, this.fragmentLimits),
      (posted) => {
        const refused = typeof posted === "object";
        this.relayedHeartbeats =
          refused || posted === "too large"
            ? Math.max(1, Math.floor(this.relayedHeartbeats / 2))
            : Math.min(POST_REPORTS, this.relayedHeartbeats + 1);
        this.relayPause = refused
          ? Duration.max(POST_EVERY, this.refusals.refused("news", posted.refused))
          : POST_EVERY;
        if (posted === "posted") this.refusals.accepted("news");
        this.log.info({ posted, reports: sync.heartbeats.length }, "news left for the leader");
        return posted === "posted";
      },
    );
  }

  private applyResponse(leader: string, answer: SyncResponse): void {
    if (this.markTerm === answer.termNumber) {
      this.leaderClockMark = answer.leaderClockMark;
      this.progressVersion = answer.progressVersion;
    }
    this.peerStatus.set(leader, { at: now(), ok: answer.reachesStateService });
    for (const { job, done, running, over } of answer.progress) {
      if (over) this.onDone(job, done);
      else if (this.isOpen(job)) this.progress.set(job, { done, running });
    }
  }

  jobOver(job: string): void {
    this.partition.finishes.jobOver(job);
    this.progress.delete(job);
  }

  private readonly syncLoop = Effect.gen(this, function* () {
    yield* this.syncRequested.wait(SYNC_EVERY);
    yield* Effect.sleep(SYNC_GATHER);
    yield* this.syncOnce;
    if (!hasElapsed(now(), this.pruned, PRUNE_EVERY)) return;
    this.pruned = now();
    this.partition.prune(now(), this.options.keepFor);
  }).pipe(
    Effect.catchAllCause((cause) =>
      Effect.sync(() => this.log.error({ cause: cause.toString() }, "sync failed")),
    ),
    Effect.forever,
  );

  private write(writings: readonly Writing[]): Effect.Effect<boolean> {
    return Effect.gen(this, function* () {
      const when: Condition[] = writings.map((write) => ({ key: keys.commit(write.job), revision: 0 }));
      const apply: Change[] = writings.flatMap((write) =>
        write.puts.map((p) => ({ put: p.key, value: { ranges: p.ranges } })),
      );
      const result = yield* this.state
        .commit(when, apply, "later")
        .pipe(Effect.catchAll((e) => Effect.succeed({ ok: null, error: e.why, why: e._tag } as const)));
      const refused = result.ok === null && !("why" in result);
      // which one is too large isn't known until it goes alone; it then gives way to the others
      const alone = apply.length <= 1;
      if (refused) {
        // half of what was sent, which may be less than could have been: that soon shows which one it is
        this.storePuts = Math.max(1, Math.floor(apply.length / 2));
        const pause = this.refusals.refused("finishes", result.error);
        // one by itself is put off by the part; others needn't wait for that
        if (!alone) yield* Effect.sleep(pause);
      } else if (result.ok === null) this.log.debug({ why: result.error }, "finishes not stored yet");
      else {
        this.refusals.accepted("finishes");
        this.storePuts = Math.min(this.options.txnOps, this.storePuts + 1);
      }
      for (const write of writings) {
        const over = result.ok === false && result.failed.includes(keys.commit(write.job));
        const failed = refused && alone ? "refused" : "failed";
        this.partition.finishes.storeAnswered(
          write,
          result.ok === true ? "stored" : over ? "over" : failed,
          now(),
        );
      }
      this.wake();
      return result.ok === true || (result.ok === false && result.failed.length > 0);
    });
  }

  private readonly storeLoop = Effect.gen(this, function* () {
    yield* Effect.sleep(STORE_EVERY);
    let answered = true;
    while (answered && this.membership.leaseId !== null) {
      const writer = `${this.options.me}.${this.membership.incarnation}`;
      const writings = this.partition.finishes.toStore(writer, this.storePuts, now(), this.isOpen);
      if (writings.length === 0) break;
      answered = yield* this.write(writings);
    }
  }).pipe(
    Effect.catchAllCause((cause) =>
      Effect.sync(() => this.log.error({ cause: cause.toString() }, "storing failed")),
    ),
    Effect.forever,
  );

  readonly run = Effect.all([this.syncLoop, this.storeLoop], { concurrency: 2, discard: true });
}
