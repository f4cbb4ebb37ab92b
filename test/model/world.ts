/**
 * A simulation of workers, users, state service and cloud around the real core, in virtual time. Message loss, delay,
 * duplication, crashes, network partitions and hangs are drawn from a seed. After each step the rules of the protocol that
 * the core is responsible for are checked.
 */
import * as Duration from "effect/Duration";
import { type Guard, type MachineFault, TIMINGS, STEP_MS, FAST_BOOT_MS } from "./settings.js";
import { WorldState } from "./world-state.js";
import { endOutage, beginOutage, commitJob } from "./state-service.js";
import { injectFaults, crashProcess } from "./faults.js";
import { type Node } from "./nodes.js";
import {
  type Worker,
  killWorker,
  newHeartbeat,
  stepWorker,
  workersRunning,
  workersRunningTask,
} from "./workers.js";
import { deliverCopies } from "./command-copies.js";
import { deliverCopy } from "./heartbeats.js";
import { mayAct } from "./election.js";
import { stepController } from "./controllers.js";
import { cancelJob, stepUsers, acceptJob, newSpecs } from "./users.js";
import { checkInvariants, isExcludedByServices } from "./invariants.js";
import { type JobSpec, type Heartbeat } from "../../src/core/records.js";
import { type Scheduler } from "../../src/core/scheduler/scheduler.js";
import { type MixedVersions, type Version } from "./versions.js";

/** A simulated cluster, and the actions of scenarios on it. */
export class World extends WorldState {
  /** Whether new worlds have shards that are handed over between controllers. */
  static withShards = false;

  constructor(seed: number, without: Guard | null = null, rough = 1) {
    super(seed, without, rough, World.withShards);
  }

  step(): void {
    this.now += STEP_MS;
    endOutage(this);
    injectFaults(this);
    stepUsers(this);
    this.waitingJobs.step();
    this.messages.sort((a, b) => a.at - b.at);
    while (this.messages.length > 0 && this.messages[0]!.at <= this.now) this.messages.shift()!.run();
    deliverCopies(this);
    for (const worker of this.workers.values()) stepWorker(this, worker);
    for (const node of this.nodes) stepController(this, node);
    checkInvariants(this);
  }

  /** Accepts jobs with these fields at once; returns their ids. */
  submit(count: number, overrides: Partial<JobSpec>, durationsMs?: readonly number[]): string[] {
    return newSpecs(this, count, overrides, durationsMs).map((spec) => {
      acceptJob(this, spec);
      return spec.id;
    });
  }
  /** Has users submit jobs through random controllers, with retries, and query their status afterwards. */
  submitByUsers(count: number, overrides: Partial<JobSpec>, durationsMs?: readonly number[]): string[] {
    return newSpecs(this, count, overrides, durationsMs).map((spec) => {
      this.allJobs.set(spec.id, spec);
      this.waitingJobs.submit(spec);
      return spec.id;
    });
  }
  /** The share of answers after which users query and resubmit the job at all controllers at once. */
  set probeShare(share: number) {
    this.waitingJobs.statusProbes.share = share;
  }
  /** Has users query a job that was never submitted. */
  queryUnknownJob(): void {
    this.count("queries of jobs never submitted");
    this.waitingJobs.queryUnknownJob(`req-9${String(this.nextJobNumber).padStart(5, "0")}`);
  }
  /** Has a user submit a job that depends on others, through a random controller once those are accepted. */
  submitDependent(
    dependsOn: readonly string[],
    overrides: Partial<JobSpec> = {},
    durationsMs?: readonly number[],
  ): string {
    const spec = newSpecs(this, 1, { ...overrides, dependsOn }, durationsMs)[0]!;
    this.allJobs.set(spec.id, spec);
    this.waitingJobs.submit(spec);
    return spec.id;
  }
  /** Has a user cancel a job through random controllers until it is answered. */
  cancelThroughNode(id: string): void {
    this.waitingJobs.cancel(id);
  }
  /** Has a user submit a job once more through a random controller. */
  resubmit(id: string): void {
    this.waitingJobs.resubmit(id);
  }
  /** When the job's last task completes, users query its status and resubmit it at all controllers. */
  resubmitWhenDone(id: string): void {
    this.queriedAtEnd.add(id);
  }
  isAccepted(id: string): boolean {
    return this.waitingJobs.isAccepted(id);
  }
  isWaiting(id: string): boolean {
    return this.waitingJobs.waiting.has(id);
  }

  /** Cancels a job at once and confirms it to the user; returns on how many machines the job had tasks. */
  cancel(id: string): number {
    return cancelJob(this, id);
  }

  wait(ms: number): this {
    return this.runTo(this.now + ms);
  }
  /** Runs until the condition holds or `maxMs` have passed; returns whether it holds. */
  runUntil(condition: () => boolean, maxMs: number): boolean {
    const end = this.now + maxMs;
    while (!condition() && this.now < end && this.violations.length === 0) this.step();
    return condition();
  }

  private actingLeader(): Node | undefined {
    return this.nodes.find(
      (node) =>
        node.alive && node.scheduler !== null && node.term?.leader === node.name && mayAct(this, node),
    );
  }
  /** The behaviour of users and operators while versions are mixed. */
  get versions(): MixedVersions {
    return this.waitingJobs.versions;
  }
  /** Sets the version of all processes before the run. */
  setAllVersions(version: Version): void {
    for (const node of this.nodes) node.version = version;
  }
  /** Restarts a controller's process with this version. */
  restartWithVersion(index: number, version: Version): void {
    const node = this.nodes[index]!;
    if (node.version === "new" && version !== "new") this.count("processes downgraded");
    crashProcess(this, node, 200 + this.extraRandom() * 3000);
    node.version = version;
    this.runUntil(() => node.alive && node.term !== null, 20_000);
  }
  isAllNew(): boolean {
    return this.nodes.every((node) => node.version === "new");
  }
  mayDowngrade(): boolean {
    return this.disabledGuard === "downgrade_last" || this.waitingJobs.hasNoWaitingJobs();
  }
  /** Crashes leaders until one of this version leads; returns whether one does. */
  crashUntilLeaderHas(version: Version): boolean {
    for (let tries = 0; tries < 20; tries++) {
      if (!this.runUntil(() => this.hasLeader(), 30_000)) return false;
      if (this.actingLeader()?.version === version) return true;
      this.crashLeader(3500 + this.extraRandom() * 1000);
    }
    return false;
  }
  /** Whether there is a leader that may act. */
  hasLeader(): boolean {
    return this.actingLeader() !== undefined;
  }
  /** Crashes the leader's process, which restarts after `downMs`; returns whether there was a leader. */
  crashLeader(downMs: number): boolean {
    const node = this.nodes.find((node) => node.alive && node.name === this.leader?.name);
    if (node === undefined) return false;
    if (this.now < this.stateDownUntil) this.count("leaders crashed during an outage");
    this.count("leaders crashed");
    crashProcess(this, node, downMs);
    return true;
  }
  /** Freezes the leader and `others` more controllers while their clocks run on; returns how many were frozen. */
  freezeLeader(ms: number, others = 0): number {
    const leader = this.actingLeader();
    if (leader === undefined) return 0;
    const rest = this.nodes.filter((node) => node !== leader && node.alive);
    const frozen = [leader, ...rest.slice(0, others)];
    for (const node of frozen) node.frozenUntil = this.now + ms;
    this.count("controllers frozen", frozen.length);
    return frozen.length;
  }
  /** Crashes a controller that does not lead, so that its machines get other owners; returns whether there was one. */
  crashFollower(downMs: number): boolean {
    const node = this.nodes.find((node) => node.alive && node.name !== this.leader?.name);
    if (node === undefined) return false;
    this.count("followers crashed");
    crashProcess(this, node, downMs);
    return true;
  }
  /** Crashes all processes; the one with this index restarts after `firstDownMs`, the others after `otherDownMs`. */
  crashAll(firstIndex: number, firstDownMs: number, otherDownMs: number): void {
    for (const [i, node] of this.nodes.entries())
      crashProcess(this, node, i === firstIndex ? firstDownMs : otherDownMs);
  }
  outage(ms: number): this {
    beginOutage(this, ms);
    return this;
  }
  /** Cuts the leader off from the state service and, with `fromPeers`, from the other controllers; returns its name. */
  isolateLeader(ms: number, fromPeers: boolean): string | null {
    const node = this.actingLeader();
    if (node === undefined) return null;
    if (fromPeers) node.isolatedUntil = this.now + ms;
    else node.stateCutUntil = this.now + ms;
    return node.name;
  }

  /** Has controllers refuse one another's connections, so that members relay their updates. */
  refusePeers(ms: number): void {
    this.peersRefusedUntil = this.now + ms;
  }

  /** Puts a fault on at most `max` machines that hold tasks (of these jobs, if given); returns on how many. */
  injectMachineFault(fault: MachineFault, ms: number, max: number, jobs?: readonly string[]): number {
    let n = 0;
    for (const worker of this.workers.values()) {
      const live = [...worker.tasks.values()].filter((t) => t.state !== "exited");
      if (n >= max || worker.gone || !live.some((t) => jobs?.includes(t.job) ?? true)) continue;
      worker[`${fault}Until`] = this.now + ms;
      n++;
    }
    return n;
  }
  /** Kills at most `max` machines that hold tasks of these jobs; returns how many. */
  killMachines(max: number, jobs: readonly string[]): number {
    const machines = new Set(jobs.flatMap((id) => workersRunning(this, id)));
    const dying = [...machines].slice(0, max);
    for (const worker of dying) killWorker(this, worker);
    return dying.length;
  }
  /** How many tasks of these jobs are on machines. */
  runningTaskCount(jobs: readonly string[] = [...this.jobs.keys()]): number {
    let n = 0;
    for (const worker of this.workers.values())
      for (const t of worker.tasks.values()) if (t.state !== "exited" && jobs.includes(t.job)) n++;
    return n;
  }
  /** How many tasks of these jobs have completed. */
  completedTaskCount(jobs: readonly string[]): number {
    return jobs.reduce((sum, id) => sum + (this.completedTasks.get(id)?.size ?? 0), 0);
  }
  outcome(id: string): "done" | "cancelled" | null {
    return this.commits.get(id)?.outcome ?? null;
  }
  unfinishedJobs(): string[] {
    return [...this.jobs.keys()];
  }
  /** The outcome in the job's commit record, if it has one. */
  outcomeOf(id: string): "done" | "cancelled" | null {
    return this.commits.get(id)?.outcome ?? null;
  }
  /** The CPUs that tasks of this team occupy on machines. */
  teamCpus(team: string): number {
    let sum = 0;
    for (const worker of this.workers.values())
      for (const t of worker.tasks.values()) {
        const spec = this.allJobs.get(t.job)!;
        if (t.state !== "exited" && spec.team === team) sum += spec.cpus;
      }
    return sum;
  }
  /** How many tasks the acting leader has not placed. */
  pendingTaskCount(): number {
    let sum = 0;
    for (const job of this.actingLeader()?.scheduler?.cluster.pendingJobs ?? []) sum += job.pending.size;
    return sum;
  }
  /** Copies the present heartbeats of all machines with tasks; the result delivers them to the acting leader. */
  captureHeartbeats(): () => number {
    const captured: [Worker, Heartbeat][] = [];
    for (const worker of this.workers.values())
      if (!worker.gone && this.now >= worker.upAt && worker.tasks.size > 0)
        captured.push([worker, newHeartbeat(worker)]);
    return () => {
      const node = this.actingLeader();
      if (node === undefined) return 0;
      for (const [worker, heartbeat] of captured) deliverCopy(this, worker, heartbeat, this.now, node);
      return captured.length;
    };
  }
  /** Copies the present heartbeats of all machines; the result delivers them to every controller. */
  captureAllHeartbeats(): () => number {
    const captured: [Worker, Heartbeat][] = [];
    for (const worker of this.workers.values())
      if (!worker.gone && this.now >= worker.upAt) captured.push([worker, newHeartbeat(worker)]);
    return () => {
      for (const [worker, heartbeat] of captured)
        for (const node of this.nodes) deliverCopy(this, worker, heartbeat, this.now, node);
      return captured.length;
    };
  }
  /** How many fast-booted machines that have been up for at most `maxAgeMs` have tasks. */
  busyNewMachines(maxAgeMs: number): number {
    return [...this.workers.values()].filter(
      (worker) =>
        !worker.gone &&
        worker.tasks.size > 0 &&
        this.now - worker.upAt <= maxAgeMs &&
        worker.upAt - worker.rentedAt <= FAST_BOOT_MS,
    ).length;
  }
  /** Adds to the number of occurrences of an event of a scenario. */
  note(event: string, n = 1): void {
    this.count(event, n);
  }

  /** Cuts a zone off while the cloud is out too: only the end of a lease proves then that a machine has stopped. */
  cutZone(zone: string, ms: number): this {
    this.zoneCutUntil.set(zone, this.now + ms);
    this.cloudDownUntil = this.now + ms;
    return this;
  }

  /**
   * Cuts the leader off from the state service while users cancel jobs through the other controllers. Then the state
   * service is out for all for longer than the cancel deadline, while workers go on sending heartbeats to the old leader.
   * Returns how many of the cancelled jobs had tasks on machines.
   */
  cancelUnseenByLeader(refusedMs: number, untilOutageMs: number): number {
    const leader = this.nodes.find((node) => node.name === this.leader?.name);
    if (leader === undefined) return 0;
    leader.stateCutUntil = this.now + refusedMs;
    const outageAt = this.now + untilOutageMs;
    this.runTo(outageAt - 2 * STEP_MS);
    let affected = 0;
    for (const id of [...this.jobs.keys()]) {
      if (!leader.knownJobs.has(id) || this.random() < 0.3) continue;
      if (workersRunning(this, id).length > 0) affected++;
      commitJob(this, id, "cancelled");
      this.waitingJobs.receiveOutcome(id, "cancelled", true);
    }
    this.runTo(outageAt);
    beginOutage(this, Duration.toMillis(TIMINGS.cancelDeadline) + 5000);
    this.runTo(this.stateDownUntil + 20_000);
    return affected;
  }

  /** Stops all faults and new jobs: all accepted jobs have to be served from now on. */
  stopFaults(): this {
    this.faultRate = 0;
    this.faultFreeSince ??= this.now;
    this.lateWriteShare = 0;
    this.lostAnswerShare = 0;
    this.lateCommandShare = 0;
    this.copiesPerSecond = 0;
    this.refusedConnectionShare = 0;
    this.fastBoots = false;
    this.probeShare = 0;
    this.lateHeartbeatShare = 0;
    this.delayedCommandShare = 0;
    this.cancelAtEndShare = 0;
    this.crashAfterCommitShare = 0;
    this.maxLinkDelayMs = 0;
    this.maxStateDelayMs = 0;
    this.stateDownUntil = 0;
    this.cloudDownUntil = 0;
    this.peersRefusedUntil = 0;
    this.zoneCutUntil.clear();
    for (const node of this.nodes) {
      node.stateCutUntil = 0;
      node.isolatedUntil = 0;
      node.frozenUntil = 0;
      node.restartAt = 0;
    }
    for (const worker of this.workers.values()) {
      worker.hungUntil = 0;
      worker.cutUntil = 0;
      worker.deafUntil = 0;
      worker.muteUntil = 0;
    }
    return this;
  }

  /** Submitted jobs that are not accepted, batch jobs without an outcome, and services with tasks that do not run. */
  unserved(): string[] {
    const unserved = this.waitingJobs.unserved();
    for (const { spec } of this.jobs.values()) {
      let running = 0;
      for (let i = 0; i < spec.tasks; i++) if (workersRunningTask(this, spec.id, i).length > 0) running++;
      if (spec.kind === "service" ? running < spec.tasks : !isExcludedByServices(this, spec))
        unserved.push(spec.id);
    }
    return unserved;
  }

  /** The cluster states of all schedulers that exist, including those of former leaders. */
  leaderClusters(): Scheduler["cluster"][] {
    return this.nodes.flatMap((node) => (node.scheduler === null ? [] : [node.scheduler.cluster]));
  }

  runTo(timeMs: number): this {
    while (this.now < timeMs && this.violations.length === 0) this.step();
    return this;
  }
}
