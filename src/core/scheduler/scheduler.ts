/**
 * The leader's core: events in, decisions out. It reads no clock, draws no random number and touches no socket.
 * Safety rests on one invariant: a task is started only while it has no attempt, and an attempt is removed only once it is
 * certain that it neither runs nor can still start (S4 in docs/design.md). The class only brings the parts of
 * the core together; each has a module of its own, and all share the `SchedulerContext`.
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

/** One leader's core, from its first term on. A new leader makes a new one and reads everything anew (S5). */
export class Scheduler {
  /** Scale-out requests without an outcome, and what the autoscaler remembers. */
  readonly autoscaler: Autoscaler;
  /** The handoff of machines to another controller. */
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
  /** Whether the cloud's list was read: before that, machines rented by an earlier leader are not known. */
  private hasCloudInventory = false;

  /** `leaderRevision`: the revision of the leader's key, which tells older jobs from younger ones (S5). */
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

  /** The present term. */
  get term(): TermRecord {
    return this.context.term;
  }

  /** Whether the leader has to begin a new term: this one has hardly any attempt numbers left (S4). */
  get needsNewTerm(): boolean {
    return this.placer.needsNewTerm;
  }

  /** Jobs known to wait for others. */
  get blockedJobs(): ReadonlySet<string> {
    return this.jobIntake.blockedJobs;
  }

  /** The same leader goes on under a higher token: what it knows stays true. */
  renewTerm(term: TermRecord, now: Instant): void {
    this.context.term = term;
    this.context.termBegan = now;
    this.leaseExpiry.beginTerm();
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

  /** A released job. Its deadline and its age count from `acceptedAt` and `releasedAt`, under whatever leader. */
  jobReleased(spec: JobSpec, revision: number, acceptedAt: Instant, releasedAt: Instant = acceptedAt): void {
    const job = this.jobIntake.addReleased(spec, revision, acceptedAt, releasedAt);
    if (job !== null) this.autoscaler.recordArrival(job);
  }

  /** A job that waits for others (S12): it counts only for the jobs that it needs. */
  jobBlocked(spec: JobSpec, acceptedAt: Instant): void {
    this.jobIntake.addBlocked(spec, acceptedAt);
  }

  /** It waits no longer: cancelled, or released (whether this or `jobReleased` comes first doesn't matter). */
  jobUnblocked(id: string): void {
    this.jobIntake.removeBlocked(id);
  }

  /** The job record is gone: there is a commit, done or cancelled, and nothing of it may start again (S9). */
  jobEnded(id: string): void {
    this.jobIntake.removeEnded(id);
    this.placer.forgetJob(id);
    this.slowMachineDetector.forgetJob(id);
  }

  /** Finishes that are in the state service (S7). */
  finishesStored(id: string, ranges: readonly Range[]): void {
    this.jobIntake.markRangesStored(id, ranges);
  }

  /** A commit that was decided on could not be made. */
  commitFailed(id: string): void {
    this.jobIntake.commitFailed(id);
  }

  /** A machine record read from the state service, or one just written (S5). */
  machineRecorded(id: string, record: MachineRecord, now: Instant): Machine | null {
    return this.machineIntake.addRecorded(id, record, now);
  }

  /** The write of a machine's record failed. */
  machineRecordFailed(id: string): void {
    this.machineIntake.recordWriteFailed(id);
  }

  /** The cloud's list of machines. */
  machinesListed(rows: readonly ListedMachine[], now: Instant): void {
    this.hasCloudInventory = true;
    this.machineIntake.mergeList(rows, now);
  }

  /** The cloud's answer to a release; `removeReleased`: it was carried out (S3). */
  releaseAnswered(ids: readonly string[], released: boolean, now: Instant): void {
    for (const id of ids) {
      if (!released) this.machineIntake.releaseFailed(id, now);
      else if (this.machineIntake.removeReleased(id)) this.leaseExpiry.forgetMachine(id);
    }
  }

  /** A worker's heartbeat, passed on by the member `relayedBy`, which took it at `heardAt`. */
  heartbeatReceived(heartbeat: Heartbeat, relayedBy: string, now: Instant, heardAt: Instant = now): void {
    this.heartbeatHandler.apply(heartbeat, relayedBy, now, heardAt);
  }

  /** A member heard a newer message of a worker at `heardAt`, with nothing new in it. */
  contactReported(id: string, heardAt: Instant): void {
    const machine = this.cluster.machines.get(id);
    // only of a machine that has shown itself by a heartbeat
    if (machine !== undefined && machine.workerEpoch > 0) recordHeartbeat(this.cluster, machine, heardAt);
  }

  /** A member's evidence for the expiry of leases: which workers it answered (S3). */
  leaseRenewalsReported(report: LeaseRenewalReport, now: Instant): void {
    this.leaseExpiry.renewalsReported(report, now);
    for (const { machine: id, at } of report.renewals) {
      const machine = this.cluster.machines.get(id);
      if (machine === undefined) continue;
      if (machine.leaseRenewedAt === null || at > machine.leaseRenewedAt) machine.leaseRenewedAt = at;
    }
  }

  /** What became of commands that were sent under this token, and which heartbeat they were answered with (S4). */
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

  /** Decides on everything but scaling. Its work is in proportion to what changed and what waits. */
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

  /** Every job of which all tasks are finished gets its commit. */
  private decideCommits(decisions: Decision[]): void {
    for (const job of this.cluster.awaitingCommit) {
      job.committing = true;
      decisions.push({ kind: "commit", job: job.spec.id, tasks: job.spec.tasks });
    }
    this.cluster.awaitingCommit.clear();
  }

  /** A machine is recorded before the first start on it (S5). */
  private decideRecords(decisions: Decision[]): void {
    for (const machine of this.cluster.unrecorded) {
      if (machine.recording || machine.releaseRequestedAt !== null) continue;
      machine.recording = true;
      const { type, zone, spot, addr } = machine;
      decisions.push({ kind: "record", machine: machine.id, record: { type, zone, spot, addr } });
    }
  }

  /** One line of figures for operators. */
  summary(now: Instant): Record<string, number> {
    return summaryOf(this.context, now);
  }

  /** Decides on scaling out and in. Called about once a second, and only while the cloud can be asked. */
  stepAutoscaler(now: Instant): Decision[] {
    const releases = this.autoscalerDecisions.release(now);
    if (!this.hasCloudInventory) return releases;
    return [...releases, ...this.autoscalerDecisions.scaleOut(now)];
  }

  /** The certain outcome of a recorded rental (S10). */
  rentalAnswered(name: string, record: RentalRecord, machines: readonly string[], now: Instant): void {
    this.autoscaler.outstandingRequests.delete(name);
    const { type, zone, spot, count } = record;
    if (machines.length < count) this.autoscaler.markRefused(offerKey(type, zone, spot), now);
    for (const id of machines) this.machineIntake.addDiscovered(id, { type, zone, spot, addr: null }, now);
  }
}
