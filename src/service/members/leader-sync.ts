/**
 * Keeps the leader informed of what this member learned, and takes in what the leader answers. What doesn't reach the
 * leader is put back and goes with the next message, or through the state service while the leader can't be reached.
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import type { WorkerPartition } from "../../core/members/worker-partition.js";
import type { TermRecord } from "../../core/records.js";
import { type Instant, hasElapsed } from "../../core/time.js";
import { now } from "../../io/clock.js";
import type { Log } from "../../io/log.js";
import type { SyncRequest, SyncResponse } from "../../io/peer-codec.js";
import { Signal } from "../signal.js";
import type { Membership } from "./membership.js";
import type { Peers } from "./peers.js";
import type { UpdateRelaySender } from "./update-relay-sender.js";

/** Also when there is nothing to say, which says that this member lives. */
const SYNC_INTERVAL = Duration.seconds(1);
/** What comes together goes together: each message costs the same, however much it holds. */
const BATCHING_DELAY = Duration.millis(100);
const RETRY_PAUSE = Duration.millis(100);
const PRUNE_INTERVAL = Duration.seconds(5);
/** After this long without reaching the leader, updates go through the state service. */
const RELAY_AFTER = Duration.millis(800);
/** Nothing of the leader's was seen yet. */
const UNKNOWN = -1;

/** What another node said of itself: when, and whether it reaches the state service. */
export interface PeerStatus {
  readonly reportedAt: Instant;
  readonly reachesStateService: boolean;
}

/** How far a job has come, in tasks. */
export interface JobProgress {
  readonly done: number;
  readonly running: number;
}

/** What the sync with the leader works with. */
export interface LeaderSyncOptions {
  readonly self: string;
  /** How long workers are remembered that don't come any more. */
  readonly contactRetention: Duration.Duration;
  readonly membership: Membership;
  readonly partition: WorkerPartition;
  readonly peers: Peers;
  readonly relay: UpdateRelaySender;
  readonly log: Log;
  /** Whether this node reaches the state service. */
  readonly reachesStateService: () => boolean;
  /** The leader in this process; null: this process doesn't lead. */
  readonly localLeader: () => ((request: SyncRequest) => SyncResponse) | null;
  /** Whether a job is known and unfinished here. */
  readonly isUnfinished: (job: string) => boolean;
  /** Called when the leader says that a job is done, its commit record being there (S8). */
  readonly onDone: (job: string, tasks: number) => void;
}

/** Tells the leader what is new, for as long as `run` runs. */
export class LeaderSync {
  private readonly syncRequested = new Signal();
  /** The newest answer's mark on the leader's clock and version of the jobs' progress, under `answeredTerm`. */
  private leaderClockMark = UNKNOWN;
  private progressVersion = UNKNOWN;
  private answeredTerm = 0;
  private leaderReachedAt: Instant = now();
  private prunedAt: Instant = now();
  private readonly statusByPeer = new Map<string, PeerStatus>();
  private readonly progressByJob = new Map<string, JobProgress>();

  constructor(private readonly options: LeaderSyncOptions) {}

  /** Whether the leaders that answered reach the state service, by what they said themselves. */
  get peerStatus(): ReadonlyMap<string, PeerStatus> {
    return this.statusByPeer;
  }

  /** How far the unfinished jobs have come, by what the leader said. */
  get progress(): ReadonlyMap<string, JobProgress> {
    return this.progressByJob;
  }

  /** Syncs soon, whatever there is to say. */
  request(): void {
    this.syncRequested.notify();
  }

  /** Syncs soon if there is something that the leader waits for. */
  requestIfUpdated(): void {
    if (this.options.partition.hasUpdate()) this.syncRequested.notify();
  }

  /** A job ended. */
  jobEnded(job: string): void {
    this.progressByJob.delete(job);
  }

  private nextRequest(term: TermRecord): SyncRequest {
    const { self, membership, partition, relay } = this.options;
    if (this.answeredTerm !== term.number) {
      this.leaderClockMark = UNKNOWN;
      this.progressVersion = UNKNOWN;
      this.answeredTerm = term.number;
    }
    const update = partition.takeUpdate(now(), this.isLeaderUnreachable() ? relay.maxHeartbeats : Infinity);
    return {
      termNumber: term.number,
      member: self,
      incarnation: membership.incarnation,
      // the proof by time (S3): an update that names some workers says nothing of the others
      leaderClockMark: partition.isUpdateComplete() ? this.leaderClockMark : UNKNOWN,
      progressVersion: this.progressVersion,
      reachesStateService: this.options.reachesStateService(),
      ...update,
    };
  }

  private isLeaderUnreachable(): boolean {
    return hasElapsed(now(), this.leaderReachedAt, RELAY_AFTER);
  }

  /** null: no answer came. */
  private send(term: TermRecord, request: SyncRequest): Effect.Effect<SyncResponse | null> {
    const { self, peers, localLeader } = this.options;
    if (term.leader === self) return Effect.succeed(localLeader()?.(request) ?? null);
    return peers.sync(term.leader, request).pipe(Effect.orElseSucceed(() => null));
  }

  private readonly syncOnce = Effect.gen(this, function* () {
    const { self, membership, partition, relay } = this.options;
    const { term } = membership;
    if (term === null) return;
    const request = this.nextRequest(term);
    const response = yield* this.send(term, request);
    if (response !== null) this.leaderReachedAt = now();
    if (response?.accepted === true) {
      this.applyResponse(term.leader, response);
      // what didn't fit into this message
      this.requestIfUpdated();
      return;
    }
    if (response !== null) membership.observeTerm(response.termNumber);
    const mayRelay = response === null && term.leader !== self && this.isLeaderUnreachable();
    const isRelayed = mayRelay && (yield* relay.relay(request));
    if (!isRelayed) partition.putBack(request);
    yield* Effect.sleep(RETRY_PAUSE);
  });

  private applyResponse(leader: string, response: SyncResponse): void {
    const { onDone, isUnfinished } = this.options;
    if (this.answeredTerm === response.termNumber) {
      this.leaderClockMark = response.leaderClockMark;
      this.progressVersion = response.progressVersion;
    }
    this.statusByPeer.set(leader, { reportedAt: now(), reachesStateService: response.reachesStateService });
    for (const { job, done, running, over } of response.progress) {
      if (over) onDone(job, done);
      else if (isUnfinished(job)) this.progressByJob.set(job, { done, running });
    }
  }

  /** Never ends; what fails is tried again. */
  readonly run: Effect.Effect<never> = Effect.gen(this, function* () {
    yield* this.syncRequested.wait(SYNC_INTERVAL);
    yield* Effect.sleep(BATCHING_DELAY);
    yield* this.syncOnce;
    if (!hasElapsed(now(), this.prunedAt, PRUNE_INTERVAL)) return;
    this.prunedAt = now();
    this.options.partition.prune(now(), this.options.contactRetention);
  }).pipe(
    Effect.catchAllCause((cause) =>
      Effect.sync(() => this.options.log.error({ reason: cause.toString() }, "sync with the leader failed")),
    ),
    Effect.forever,
  );
}
