/**
 * Sends the leader what this member has learned, and applies the leader's responses. An update that doesn't reach the
 * leader is put back and sent with the next message, or through the state service while the leader can't be reached.
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

/** An update is sent at least this often, even if empty, to show that this member is alive. */
const SYNC_INTERVAL = Duration.seconds(1);
/** Delay before a message, so that it covers more: messages cost the same whatever their size. */
const BATCHING_DELAY = Duration.millis(100);
const RETRY_PAUSE = Duration.millis(100);
const PRUNE_INTERVAL = Duration.seconds(5);
/** Updates go through the state service once the leader has been unreachable for this long. */
const RELAY_AFTER = Duration.millis(800);
/** The clock mark and the progress version before the leader's first response. */
const UNKNOWN = -1;

/** What another node last reported of itself: when, and whether it reaches the state service. */
export interface PeerStatus {
  readonly reportedAt: Instant;
  readonly reachesStateService: boolean;
}

/** A job's progress, as numbers of tasks. */
export interface JobProgress {
  readonly done: number;
  readonly running: number;
}

/** Settings and dependencies of `LeaderSync`. */
export interface LeaderSyncOptions {
  readonly self: string;
  /** How long a worker is remembered after it was last heard or answered. */
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
  /** Whether this node knows a job as unfinished. */
  readonly isUnfinished: (job: string) => boolean;
  /** Called when the leader reports that a job is done, so its commit record exists (S8). */
  readonly onDone: (job: string, tasks: number) => void;
}

/** Sends updates to the leader while `run` runs. */
export class LeaderSync {
  private readonly syncRequested = new Signal();
  /** The clock mark and the progress version in the leader's newest response under `answeredTerm`. */
  private leaderClockMark = UNKNOWN;
  private progressVersion = UNKNOWN;
  private answeredTerm = 0;
  private leaderReachedAt: Instant = now();
  private prunedAt: Instant = now();
  private readonly statusByPeer = new Map<string, PeerStatus>();
  private readonly progressByJob = new Map<string, JobProgress>();

  constructor(private readonly options: LeaderSyncOptions) {}

  /** By member, what each leader that answered last reported about reaching the state service. */
  get peerStatus(): ReadonlyMap<string, PeerStatus> {
    return this.statusByPeer;
  }

  /** The progress of unfinished jobs, as last reported by the leader. */
  get progress(): ReadonlyMap<string, JobProgress> {
    return this.progressByJob;
  }

  /** Requests a sync soon, even without news. */
  request(): void {
    this.syncRequested.notify();
  }

  /** Requests a sync soon if there is news that the leader waits for. */
  requestIfUpdated(): void {
    if (this.options.partition.hasUpdate()) this.syncRequested.notify();
  }

  /** Forgets the progress of a job that has ended. */
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
      // the mark is the proof of expired leases (S3), so only a complete update includes it: an incomplete one says
      // nothing of the workers that it omits
      leaderClockMark: partition.isUpdateComplete() ? this.leaderClockMark : UNKNOWN,
      progressVersion: this.progressVersion,
      reachesStateService: this.options.reachesStateService(),
      ...update,
    };
  }

  private isLeaderUnreachable(): boolean {
    return hasElapsed(now(), this.leaderReachedAt, RELAY_AFTER);
  }

  /** The leader's response; null: there was none. */
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
      // for what didn't fit into this message
      this.requestIfUpdated();
      return;
    }
    if (response !== null) membership.observeTerm(response.termNumber);
    const mayRelay = response === null && term.leader !== self && this.isLeaderUnreachable();
    const isRelayed = mayRelay && (yield* relay.relay(request));
    if (isRelayed) partition.updateRelayed(request);
    else partition.putBack(request);
    yield* Effect.sleep(RETRY_PAUSE);
  });

  private applyResponse(leader: string, response: SyncResponse): void {
    const { onDone, isUnfinished, partition } = this.options;
    partition.reportRelayedAgain();
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

  /** Never ends; failed updates are sent again. */
  readonly run: Effect.Effect<never> = Effect.gen(this, function* () {
    yield* this.syncRequested.wait(SYNC_INTERVAL);
    yield* Effect.sleep(BATCHING_DELAY);
    yield* this.syncOnce;
    if (!hasElapsed(now(), this.prunedAt, PRUNE_INTERVAL)) return;
    this.prunedAt = now();
    this.options.partition.prune(now(), this.options.contactRetention);
  }).pipe(
    Effect.catchAllCause((cause) =>
      Effect.sync(() =>
        this.options.log.error({ reason: cause.toString() }, "unexpected error in the sync with the leader"),
      ),
    ),
    Effect.forever,
  );
}
