/**
 * A member at work, as the rest of the controller sees it: takes workers' heartbeats, delivers the leader's commands,
 * stores finished tasks, and keeps the leader informed. Each of these is a module of its own.
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { type HeartbeatAnswer, WorkerPartition } from "../../core/members/worker-partition.js";
import type { Heartbeat } from "../../core/records.js";
import { now } from "../../io/clock.js";
import type { Log } from "../../io/log.js";
import type { CommandDelivery, DeliveryReceipt, SyncRequest, SyncResponse } from "../../io/peer-codec.js";
import type { StateClient } from "../../io/state-client.js";
import type { WorkerClient } from "../../io/worker-client.js";
import { RejectionBackoff } from "../rejection-backoff.js";
import { CommandDeliverer } from "./command-deliverer.js";
import { FinishWriter, maxRangeRecordBytes } from "./finish-writer.js";
import { type JobProgress, LeaderSync, type PeerStatus } from "./leader-sync.js";
import type { Membership } from "./membership.js";
import type { Peers } from "./peers.js";
import { UpdateRelaySender } from "./update-relay-sender.js";
import { fragmentLimits } from "./update-relay.js";

export { maxRangeRecordBytes } from "./finish-writer.js";

/** A finish is safe on its machine; it is stored once others of its job had time to join it. */
const FINISH_BATCHING_DELAY = Duration.seconds(4);

/** Settings of a member. */
export interface MemberOptions {
  readonly self: string;
  /** Changes that one transaction of the state service may hold. */
  readonly txnOps: number;
  /** Kilobytes that one of its values may hold. */
  readonly valueKb: number;
  /** How long workers are remembered that don't come any more. */
  readonly contactRetention: Duration.Duration;
}

/** One process's work as a member, for as long as `run` runs. */
export class Member {
  /** The workers that this member answers, and what the leader hasn't heard of them yet. */
  readonly partition: WorkerPartition;
  /** Set while this process leads: the leader is then told without a message. */
  localLeader: ((request: SyncRequest) => SyncResponse) | null = null;
  /** Called when the leader says that a job is done, its commit record being there (S8); set once, before `run`. */
  onDone: (job: string, tasks: number) => void = () => undefined;
  /** Whether a job is known to have its commit; set once, before `run`. */
  isEnded: (job: string) => boolean = () => false;
  /** Whether a job is known and unfinished here; set once, before `run`. */
  isUnfinished: (job: string) => boolean = () => true;
  private readonly sync: LeaderSync;
  private readonly deliverer: CommandDeliverer;
  /** Never ends. */
  readonly run: Effect.Effect<void>;

  constructor(
    options: MemberOptions,
    private readonly membership: Membership,
    private readonly state: StateClient,
    workers: WorkerClient,
    peers: Peers,
    log: Log,
  ) {
    const { self, valueKb, txnOps, contactRetention } = options;
    const rejections = new RejectionBackoff(log);
    const partition = new WorkerPartition(self, maxRangeRecordBytes(valueKb, txnOps), FINISH_BATCHING_DELAY);
    const limits = fragmentLimits(valueKb, txnOps);
    const isUnfinished = (job: string): boolean => this.isUnfinished(job);
    const sync = new LeaderSync({
      ...{ self, contactRetention, membership, partition, peers, log, isUnfinished },
      relay: new UpdateRelaySender({ self, membership, state, rejections, limits, log }),
      reachesStateService: () => this.reachesStateService(),
      localLeader: () => this.localLeader,
      onDone: (job, tasks) => this.onDone(job, tasks),
    });
    const syncIfUpdated = (): void => sync.requestIfUpdated();
    const finishWriter = new FinishWriter({
      ...{ self, txnOps, membership, state, rejections, log, isUnfinished },
      finishes: partition.finishes,
      onWritten: syncIfUpdated,
    });
    this.partition = partition;
    this.sync = sync;
    this.deliverer = new CommandDeliverer(membership, workers, partition, syncIfUpdated);
    this.run = Effect.all([sync.run, finishWriter.run], { concurrency: 2, discard: true });
  }

  /** What other nodes said of themselves: when, and whether they reach the state service. */
  get peerStatus(): ReadonlyMap<string, PeerStatus> {
    return this.sync.peerStatus;
  }

  /** How far the unfinished jobs have come, by what the leader said. */
  get progress(): ReadonlyMap<string, JobProgress> {
    return this.sync.progress;
  }

  /** Whether this node reaches the state service. */
  reachesStateService(): boolean {
    return this.state.failingSince === null;
  }

  /** Takes in a worker's own heartbeat and says what to answer. */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatAnswer {
    const answer = this.partition.handleHeartbeat(
      heartbeat,
      this.membership.mayAnswerWorkers(),
      this.membership.incarnation,
      now(),
      this.isEnded,
    );
    if (answer.kind === "taken") this.sync.requestIfUpdated();
    return answer;
  }

  /** A newer term is known: the leader may be another. */
  readonly termChanged = (): void => this.sync.request();

  /** Delivers the leader's commands to workers, if this node may; answers whether it does. */
  deliver(delivery: CommandDelivery): Effect.Effect<DeliveryReceipt> {
    return this.deliverer.deliver(delivery);
  }

  /** A job ended, and needs nothing more here. */
  jobEnded(job: string): void {
    this.partition.finishes.forgetJob(job);
    this.sync.jobEnded(job);
  }
}
