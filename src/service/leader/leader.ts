/**
 * The leader: campaigns when there is no leader, recovers the state once elected, and runs the modules of this folder
 * while this node leads. Owns the scheduler's lock; each module has one concern and shares the `LeaderContext`.
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { ZoneMembership } from "../../core/leases/zone-membership.js";
import type { TermRecord } from "../../core/records.js";
import type { Scheduler } from "../../core/scheduler/scheduler.js";
import { now } from "../../io/clock.js";
import type { SyncRequest, SyncResponse } from "../../io/peer-codec.js";
import type { StateError } from "../../io/state-client.js";
import type { BlockedJob, ReleasedJob } from "../job-cache.js";
import { receiveUpdates } from "../members/update-relay.js";
import { CloudInventory } from "./cloud-inventory.js";
import { CommandDispatcher } from "./command-dispatcher.js";
import { FailoverRecovery, type LoadedState } from "./failover-recovery.js";
import { GarbageCollector } from "./garbage-collector.js";
import { JobCommitter } from "./job-committer.js";
import { LeaderContext, type LeaderOptions, type LeaderServices } from "./leader-context.js";
import { Locked } from "./locked.js";
import { MachineRecorder } from "./machine-recorder.js";
import { MemberSync } from "./member-sync.js";
import { ProgressReporter } from "./progress-reporter.js";
import { ScaleIn } from "./scale-in.js";
import { ScaleOut } from "./scale-out.js";
import { StepLoop } from "./step-loop.js";
import { rentalIn } from "./stored-records.js";

export type { LeaderOptions, LeaderServices } from "./leader-context.js";

const MEMBERS_CHECK_INTERVAL = Duration.millis(500);
const RETRY_PAUSE = Duration.millis(200);
/** Pause after a new term, so that member changes in quick succession share one term. */
const NEW_TERM_PAUSE = Duration.millis(200);

/** Why a leader starts a new term. */
type NewTermReason = "members changed" | "attempt numbers or token steps run out";

/** This node's leader role: election, failover and all leader loops. */
export class Leader {
  /** Jobs written up to this revision were loaded on failover; later ones come from the job cache. */
  private loadedRevision = 0;
  private readonly zones = new ZoneMembership();
  private readonly context: LeaderContext;
  private readonly progress = new ProgressReporter();
  private readonly dispatcher: CommandDispatcher;
  private readonly recorder: MachineRecorder;
  private readonly scaleOut: ScaleOut;
  private readonly inventory: CloudInventory;
  private readonly collector: GarbageCollector;
  private readonly recovery: FailoverRecovery;
  private readonly stepLoop: StepLoop;
  private readonly memberSync: MemberSync;
  /** Handles a member's update; this node's own member calls it directly. */
  readonly sync: (request: SyncRequest) => SyncResponse;
  /** Never ends: campaigns and leads; while not leading, fetches the machine types if they are missing. */
  readonly run: Effect.Effect<void>;

  constructor(options: LeaderOptions, services: LeaderServices) {
    const context = new LeaderContext(options, services);
    this.context = context;
    this.dispatcher = new CommandDispatcher(context);
    this.recorder = new MachineRecorder(context);
    this.scaleOut = new ScaleOut(context);
    this.inventory = new CloudInventory(context);
    this.collector = new GarbageCollector(context, this.recorder);
    this.recovery = new FailoverRecovery(context, this.recorder, this.progress, this.zones);
    this.stepLoop = new StepLoop(context, {
      dispatcher: this.dispatcher,
      committer: new JobCommitter(context, this.progress),
      recorder: this.recorder,
      scaleOut: this.scaleOut,
      scaleIn: new ScaleIn(context, this.recorder),
    });
    this.memberSync = new MemberSync(context, this.dispatcher, this.progress);
    this.sync = this.memberSync.sync;
    this.run = Effect.all([this.watchMembers, this.inventory.fetchMissingTypes], {
      concurrency: 2,
      discard: true,
    });
    this.registerListeners();
  }

  /** Subscribes to events of the job cache and the membership. */
  private registerListeners(): void {
    const { jobCache, membership } = this.context.services;
    jobCache.onBlocked = (job) => this.onBlockedJob(job);
    jobCache.onUnblocked = (id) => this.withScheduler((scheduler) => scheduler.jobUnblocked(id));
    jobCache.onReleased = (job) => this.onReleasedJob(job);
    jobCache.onEnded = (id) => this.onJobEnded(id);
    jobCache.onTypes = (types) => this.withScheduler((scheduler) => scheduler.setMachineTypes(types));
    membership.onLost = () => this.stop();
  }

  /** Runs a critical section on the scheduler; does nothing while this node doesn't lead. */
  private withScheduler(section: (scheduler: Scheduler) => void): void {
    this.context.schedulerLock?.with(section);
  }

  private onReleasedJob(job: ReleasedJob): void {
    if (this.context.schedulerLock === null || job.revision <= this.loadedRevision) return;
    this.withScheduler((scheduler) =>
      scheduler.jobReleased(job.spec, job.revision, job.acceptedAt, job.releasedAt),
    );
    this.context.stepRequested.notify();
  }

  private onBlockedJob(job: BlockedJob): void {
    this.withScheduler((scheduler) => scheduler.jobBlocked(job.spec, job.acceptedAt));
    this.context.services.jobReleaser.requestCheck(job.spec.id);
  }

  private onJobEnded(id: string): void {
    const { jobReleaser, member } = this.context.services;
    member.jobEnded(id);
    jobReleaser.jobEnded(id);
    if (this.context.schedulerLock === null) return;
    this.withScheduler((scheduler) => scheduler.jobEnded(id));
    this.context.stepRequested.notify();
  }

  /** Handles a newer term; stops leading if the term names another leader. */
  readonly termChanged = (term: TermRecord): void => {
    this.zones.termObserved(term, now());
    if (term.leader !== this.context.options.self) this.stop();
    else this.withScheduler((scheduler) => scheduler.renewTerm(term, now()));
    this.context.stepRequested.notify();
  };

  /** Whether this node can't reach the state service although another node can. */
  isStateOutageLocal(): boolean {
    return this.memberSync.isStateOutageLocal();
  }

  /** How many tasks of a job are done and running, as last reported to this node by the leader. */
  progressOf(id: string): { done: number; running: number } {
    return this.context.services.member.progress.get(id) ?? { done: 0, running: 0 };
  }

  /** Campaigns when there is no leader, and starts a new term when the members change or a term is used up. */
  private get watchMembers(): Effect.Effect<never> {
    const { log } = this.context.services;
    return this.watchOnce.pipe(
      Effect.catchAll((error) =>
        Effect.zipRight(
          Effect.sync(() =>
            log.info({ reason: error.reason }, "leader loop: state service request failed, retrying"),
          ),
          Effect.sleep(RETRY_PAUSE),
        ),
      ),
      Effect.catchAllCause((cause) =>
        Effect.sync(() => log.error({ cause: cause.toString() }, "unexpected error in the leader loop")),
      ),
      Effect.forever,
    );
  }

  private readonly watchOnce: Effect.Effect<void, StateError> = Effect.gen(this, function* () {
    const { membership } = this.context.services;
    yield* membership.clusterChanged.wait(MEMBERS_CHECK_INTERVAL);
    if (membership.leadership === null && !(yield* membership.campaign)) return;
    const { schedulerLock } = this.context;
    if (schedulerLock === null) yield* this.takeOver;
    else if (membership.isTermOutdated()) yield* this.beginTerm("members changed");
    else if (schedulerLock.with((scheduler) => scheduler.needsNewTerm))
      yield* this.beginTerm("attempt numbers or token steps run out");
  });

  private beginTerm(reason: NewTermReason): Effect.Effect<void, StateError> {
    return Effect.gen(this, function* () {
      const { log, membership } = this.context.services;
      if (this.context.schedulerLock === null) return;
      log.info({ reason }, "starting a new term");
      yield* membership.writeTerm;
      yield* Effect.sleep(NEW_TERM_PAUSE);
    });
  }

  /** Failover: writes the first term of this leadership, restores the scheduler, and starts the leader's loops. */
  private readonly takeOver: Effect.Effect<void, StateError> = Effect.gen(this, function* () {
    const loaded = yield* this.recovery.load();
    if (loaded === null || !this.recovery.isCurrent(loaded)) return;
    this.startLeading(this.recovery.restore(loaded), loaded);
    yield* this.startLoops(loaded);
  });

  private startLeading(scheduler: Scheduler, { term, jobs, jobsRevision, rentals }: LoadedState): void {
    const { log, member, shards, state } = this.context.services;
    const schedulerLock = new Locked(scheduler);
    this.loadedRevision = jobsRevision;
    this.context.schedulerLock = schedulerLock;
    shards?.startLeading(schedulerLock);
    state.setLeading(true);
    member.localLeader = this.sync;
    const machines = scheduler.cluster.machines.size;
    log.info(
      { termNumber: term.number, jobs: jobs.length, machines, requests: rentals.length },
      "took over as leader",
    );
  }

  private startLoops({ leadership, rentals }: LoadedState): Effect.Effect<void> {
    const { jobReleaser, log, membership, state } = this.context.services;
    const resolutions = rentals.map((row) => {
      const { name, record } = rentalIn(row);
      return this.scaleOut.resolve(name, record, leadership);
    });
    const loops: readonly Effect.Effect<unknown>[] = [
      ...resolutions,
      this.stepLoop.run,
      this.stepLoop.autoscale,
      this.inventory.listMachines,
      this.inventory.refreshTypes,
      this.recorder.run(leadership),
      this.collector.run,
      jobReleaser.run,
      receiveUpdates({
        ...{ state, log },
        leaderRevision: leadership.revision,
        mayReceive: () => membership.isActingLeader(),
        onUpdate: this.sync,
      }),
      this.stepLoop.logSummaries,
    ];
    return Effect.forEach(loops, (loop) => this.context.fork(loop), { discard: true });
  }

  /** Stops leading and interrupts all loops at once. Their unfinished work is left to the next leader. */
  private stop(): void {
    const { member, shards, state } = this.context.services;
    this.context.schedulerLock = null;
    shards?.stopLeading();
    this.dispatcher.clear();
    this.recorder.clear();
    this.context.staleKeys.clear();
    state.setLeading(false);
    member.localLeader = null;
    this.context.interruptAll();
  }
}
