/**
 * The leader's scheduler: takes in events and returns decisions. It is deterministic: it reads no clock, draws no
 * random numbers and does no I/O. Safety rests on one invariant: a task is started only while it has no attempt, and
 * an attempt is removed only once it is certain that it neither runs nor can still start (S4 in docs/design.md). The
 * class only connects its parts; each has a module of its own, and all share the `SchedulerContext`.
 */
import { type Cluster, recordHeartbeat, type Machine } from "../cluster/cluster.js";
import { type CommandBatchResult, CommandSender } from "../commands/command-sender.js";
import type { Decision, CommandOutcome } from "./decisions.js";
import { Autoscaler } from "../autoscaling/autoscaler.js";
import { offerKey } from "../autoscaling/offers.js";
import { AutoscalerDecisions } from "../autoscaling/autoscaler-decisions.js";
import { JobIntake } from "../jobs/job-intake.js";
import { JobQueue } from "../placement/job-queue.js";
import { type ListedMachine, MachineIntake } from "../autoscaling/machine-intake.js";
import { PendingCommands } from "../commands/pending-commands.js";
import { isRunningOutOfSteps } from "../commands/start-fencing.js";
import { SlowMachineDetector } from "../heartbeats/slow-machine-detector.js";
import { Placer } from "../placement/placer.js";
import { type LeaseRenewalReport, LeaseExpiry } from "../leases/lease-expiry.js";
import type { Range } from "../ranges.js";
import type { JobSpec, MachineRecord, MachineType, Command, RentalRecord } from "../records.js";
import type { TermRecord, Heartbeat } from "../records.js";
import { HeartbeatHandler } from "../heartbeats/heartbeat-handler.js";
import { ScaleIn } from "../autoscaling/scale-in.js";
import { type SchedulerOptions, SchedulerContext } from "./scheduler-context.js";
import { summaryOf } from "./summary.js";
import { Reconciler } from "./reconciler.js";
import { ShardDrain } from "../shards/shard-drain.js";
import type { Instant } from "../time.js";
import type { ZoneMembership } from "../leases/zone-membership.js";

export type { Decision, CommandOutcome } from "./decisions.js";

/** One leader's scheduler, from its first term on. Each new leader creates one and loads all stored state (S5). */
export class Scheduler {
  /** Decides on scaling out; holds outstanding scale-out requests, job arrivals and refused offers. */
  readonly autoscaler: Autoscaler;
  /** Checks and prepares machines for being handed over to another controller. */
  readonly shardDrain: ShardDrain;
  private readonly context: SchedulerContext;
  private readonly jobIntake: JobIntake;
  private readonly machineIntake: MachineIntake;
  private readonly heartbeatHandler: HeartbeatHandler;
  private readonly commandSender: CommandSender;
  private readonly leaseExpiry: LeaseExpiry;
  private readonly jobQueue: JobQueue;
  private readonly placer: Placer;
  private readonly slowMachineDetector: SlowMachineDetector;
  private readonly reconciler: Reconciler;
  private readonly autoscalerDecisions: AutoscalerDecisions;
  /** Whether the cloud's list was read: until then, machines rented by an earlier leader may be unknown. */
  private hasCloudInventory = false;

  /** `leaderRevision`: the revision of the leader's key; jobs with a higher one are younger than this leader (S5). */
  constructor(
    options: SchedulerOptions,
    term: TermRecord,
    leaderRevision: number,
    now: Instant,
    zones?: ZoneMembership,
  ) {
    this.context = new SchedulerContext(options, term, now, leaderRevision, zones);
    this.autoscaler = new Autoscaler(options.fleet);
    this.shardDrain = new ShardDrain(this.context);
    this.jobIntake = new JobIntake(this.context.cluster);
    this.machineIntake = new MachineIntake(this.context);
    this.slowMachineDetector = new SlowMachineDetector(this.context);
    this.heartbeatHandler = new HeartbeatHandler(this.context, this.machineIntake, this.slowMachineDetector);
    this.commandSender = new CommandSender(this.context);
    this.leaseExpiry = new LeaseExpiry(this.context);
    this.jobQueue = new JobQueue(this.context);
    this.placer = new Placer(this.context, this.jobQueue);
    this.reconciler = new Reconciler(this.context);
    const scaleIn = new ScaleIn(this.context, this.leaseExpiry);
    this.autoscalerDecisions = new AutoscalerDecisions(this.context, this.autoscaler, scaleIn, this.jobQueue);
  }

  /** Jobs, machines and attempts. */
  get cluster(): Cluster {
    return this.context.cluster;
  }

  /** The current term. */
  get term(): TermRecord {
    return this.context.term;
  }

  /** Whether the leader has to begin a new term because this one runs out of attempt numbers or token steps (S2, S4). */
  get needsNewTerm(): boolean {
    return this.placer.needsNewTerm || isRunningOutOfSteps(this.cluster);
  }

  /** Jobs that wait for the jobs they depend on. */
  get blockedJobs(): ReadonlySet<string> {
    return this.jobIntake.blockedJobs;
  }

  /** The same leader begins a new term, with a higher fencing token. Its knowledge of the cluster stays valid. */
  renewTerm(term: TermRecord, now: Instant): void {
    this.context.term = term;
    this.context.termBegan = now;
    this.leaseExpiry.beginTerm();
    this.cluster.highestTokenStep = 0;
    for (const machine of this.cluster.machines.values()) {
      machine.commandsInFlight = false;
      machine.fencingTokenStep = 0;
      this.cluster.awaitingFence.delete(machine);
      this.cluster.reconcileQueue.add(machine);
    }
    this.cluster.capacityVersion++;
  }

  /** The machine types that the platform offers. */
  setMachineTypes(types: readonly MachineType[]): void {
    this.context.setMachineTypes(types);
  }

  /** A job was released. Under any leader its deadline counts from `acceptedAt` and its age from `releasedAt`. */
  jobReleased(spec: JobSpec, revision: number, acceptedAt: Instant, releasedAt: Instant = acceptedAt): void {
    const job = this.jobIntake.addReleased(spec, revision, acceptedAt, releasedAt);
    if (job !== null) this.autoscaler.recordArrival(job);
  }

  /** A job waits for others (S12). It isn't started, but those jobs inherit its rank and deadline. */
  jobBlocked(spec: JobSpec, acceptedAt: Instant): void {
    this.jobIntake.addBlocked(spec, acceptedAt);
  }

  /** A job no longer waits: it was cancelled or released. This and `jobReleased` may come in either order. */
  jobUnblocked(id: string): void {
    this.jobIntake.removeBlocked(id);
  }

  /** A job ended: its record was replaced by a commit, and none of its tasks may start again (S9). */
  jobEnded(id: string): void {
    this.jobIntake.removeEnded(id);
    this.placer.forgetJob(id);
    this.slowMachineDetector.forgetJob(id);
  }

  /** Finished tasks were stored in the state service (S7). */
  finishesStored(id: string, ranges: readonly Range[]): void {
    this.jobIntake.markRangesStored(id, ranges);
  }

  /** A commit record that was decided on could not be created. */
  commitFailed(id: string): void {
    this.jobIntake.commitFailed(id);
  }

  /** A machine record was read from the state service, or has just been written (S5). */
  machineRecorded(id: string, record: MachineRecord, now: Instant): Machine | null {
    return this.machineIntake.addRecorded(id, record, now);
  }

  /** Writing a machine's record failed. */
  machineRecordFailed(id: string): void {
    this.machineIntake.recordWriteFailed(id);
  }

  /** The cloud listed its machines. */
  machinesListed(rows: readonly ListedMachine[], now: Instant): void {
    this.hasCloudInventory = true;
    this.machineIntake.mergeList(rows, now);
  }

  /** The cloud answered a release request; `wasReleased`: it carried the request out (S3). */
  releaseAnswered(ids: readonly string[], wasReleased: boolean, now: Instant): void {
    for (const id of ids) {
      if (!wasReleased) this.machineIntake.releaseFailed(id, now);
      else if (this.machineIntake.removeReleased(id)) this.leaseExpiry.forgetMachine(id);
    }
  }

  /** A worker's heartbeat arrived, relayed by the member `relayedBy`, which received it at `heardAt`. */
  heartbeatReceived(heartbeat: Heartbeat, relayedBy: string, now: Instant, heardAt: Instant = now): void {
    this.heartbeatHandler.apply(heartbeat, relayedBy, now, heardAt);
  }

  /** A member received a newer heartbeat at `heardAt`. One that shows no change is reported only in this way. */
  contactReported(id: string, heardAt: Instant): void {
    const machine = this.cluster.machines.get(id);
    // counts only for a machine whose first heartbeat this leader has received
    if (machine !== undefined && machine.workerEpoch > 0) recordHeartbeat(this.cluster, machine, heardAt);
  }

  /** A member reported which workers' leases it renewed; this is evidence for the expiry of other leases (S3). */
  leaseRenewalsReported(report: LeaseRenewalReport, now: Instant): void {
    this.leaseExpiry.addReport(report, now);
    for (const { machine: id, at } of report.renewals) {
      const machine = this.cluster.machines.get(id);
      if (machine === undefined) continue;
      if (machine.leaseRenewedAt === null || at > machine.leaseRenewedAt) machine.leaseRenewedAt = at;
    }
  }

  /** Commands sent under `fencingToken` have an outcome; `answeredBy`: the heartbeat that answered them (S4). */
  commandsAnswered(
    machine: string,
    commands: readonly Command[],
    fencingToken: number,
    outcome: CommandOutcome,
    now: Instant,
    answeredBy: CommandBatchResult["answeredBy"] = { workerEpoch: 0, sequence: 0 },
  ): void {
    this.commandSender.applyResult(machine, { commands, fencingToken, outcome, answeredBy }, now);
  }

  /** Makes all decisions except scaling. The cost is proportional to what changed and what waits. */
  step(now: Instant): Decision[] {
    const decisions: Decision[] = [];
    const pendingCommands = new PendingCommands();
    const notes: string[] = [];
    this.commandSender.unblock(now);
    this.leaseExpiry.step(now);
    this.reconciler.step(now, pendingCommands);
    this.slowMachineDetector.step(now, pendingCommands);
    this.placer.step(now, pendingCommands, notes);
    for (const text of notes) decisions.push({ kind: "note", text });
    this.decideCommits(decisions);
    this.decideRecords(decisions);
    this.commandSender.settleUnacknowledgedStarts();
    this.commandSender.send(now, pendingCommands, decisions);
    return decisions;
  }

  /** Every job whose tasks are all finished gets its commit. */
  private decideCommits(decisions: Decision[]): void {
    for (const job of this.cluster.awaitingCommit) {
      job.committing = true;
      decisions.push({ kind: "commit", job: job.spec.id, tasks: job.spec.tasks });
    }
    this.cluster.awaitingCommit.clear();
  }

  /** Machines are recorded before the first task is started on them (S5). */
  private decideRecords(decisions: Decision[]): void {
    for (const machine of this.cluster.unrecorded) {
      if (machine.recording || machine.releaseRequestedAt !== null) continue;
      machine.recording = true;
      const { type, zone, spot, addr } = machine;
      decisions.push({ kind: "record", machine: machine.id, record: { type, zone, spot, addr } });
    }
  }

  /** Figures for the operators' log, by name. */
  summary(now: Instant): Record<string, number> {
    return summaryOf(this.context, now);
  }

  /** Decides on scaling in and out. Called about once a second, and only while the cloud can be reached. */
  stepAutoscaler(now: Instant): Decision[] {
    const releases = this.autoscalerDecisions.release(now);
    if (!this.hasCloudInventory) return releases;
    return [...releases, ...this.autoscalerDecisions.scaleOut(now)];
  }

  /** The outcome of a recorded scale-out request has become certain (S10). */
  rentalAnswered(name: string, record: RentalRecord, machines: readonly string[], now: Instant): void {
    this.autoscaler.outstandingRequests.delete(name);
    const { type, zone, spot, count } = record;
    if (machines.length < count) this.autoscaler.markRefused(offerKey(type, zone, spot), now);
    for (const id of machines) this.machineIntake.addDiscovered(id, { type, zone, spot, addr: null }, now);
  }
}
