/**
 * This process's work as a member, as seen by the rest of the controller: it accepts workers' heartbeats, delivers the
 * leader's commands, stores finished tasks, and keeps the leader informed. Each of these tasks has its own module.
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import {
  type HeartbeatAnswer,
  type JobStandingLookup,
  WorkerPartition,
} from "../../core/members/worker-partition.js";
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

/** Delay before a finished task is stored, so that one record covers more of them; the worker keeps it meanwhile. */
const FINISH_BATCHING_DELAY = Duration.seconds(4);

/** Settings of `Member`. */
export interface MemberOptions {
  readonly self: string;
  /** Maximum number of changes in one transaction of the state service. */
  readonly txnOps: number;
  /** Maximum size of one value in the state service, in KiB. */
  readonly valueKb: number;
  /** How long a worker is remembered after it was last heard or answered. */
  readonly contactRetention: Duration.Duration;
}

/** Does this process's work as a member while `run` runs. */
export class Member {
  /** The workers that this member answers, and what the leader hasn't been told of them yet. */
  readonly partition: WorkerPartition;
  /** Set while this process leads: updates are then passed to the leader by a direct call. */
  localLeader: ((request: SyncRequest) => SyncResponse) | null = null;
  /** Called when the leader reports that a job is done, so its commit record exists (S8); set once, before `run`. */
  onDone: (job: string, tasks: number) => void = () => undefined;
  /** What this node knows of a job whose task a worker reports; set once, before `run`. */
  standingOf: JobStandingLookup = () => "unfinished";
  /** Whether this node knows a job as unfinished; set once, before `run`. */
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

  /** By member, what each leader that answered last reported about reaching the state service. */
  get peerStatus(): ReadonlyMap<string, PeerStatus> {
    return this.sync.peerStatus;
  }

  /** The progress of unfinished jobs, as last reported by the leader. */
  get progress(): ReadonlyMap<string, JobProgress> {
    return this.sync.progress;
  }

  /** Whether this node reaches the state service. */
  reachesStateService(): boolean {
    return this.state.failingSince === null;
  }

  /** Processes a worker's own heartbeat and returns the answer to it. */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatAnswer {
    const answer = this.partition.handleHeartbeat(
      heartbeat,
      this.membership.mayAnswerWorkers(),
      this.membership.incarnation,
      now(),
      this.standingOf,
    );
    if (answer.kind === "taken") this.sync.requestIfUpdated();
    return answer;
  }

  /** Requests a sync soon after a newer term was adopted, since the leader may have changed. */
  readonly termChanged = (): void => this.sync.request();

  /** Starts to deliver the leader's commands to workers if this node may, and answers whether it did. */
  deliver(delivery: CommandDelivery): Effect.Effect<DeliveryReceipt> {
    return this.deliverer.deliver(delivery);
  }

  /** Forgets the finished tasks and the progress of a job that has ended. */
  jobEnded(job: string): void {
    this.partition.finishes.forgetJob(job);
    this.sync.jobEnded(job);
  }
}
