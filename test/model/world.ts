/**
 * A model of workers, state service and cloud round the pure core, in virtual time, with loss, delay, duplication, crashes, cuts
 * and hangs drawn from a seed. Every rule of the protocol that the core answers for is checked after each step.
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
import { deliverCopy } from "./heartbeats.js";
import { mayAct } from "./election.js";
import { stepController } from "./controllers.js";
import { cancelJob, stepUsers, acceptJob, newSpecs } from "./users.js";
import { checkInvariants, isExcludedByServices } from "./invariants.js";
import { type JobSpec, type Heartbeat } from "../../src/core/records.js";
import { type Scheduler } from "../../src/core/scheduler/scheduler.js";
import { type MixedVersions, type Version } from "./versions.js";

/** A simulated cluster, and what scripts do to it. */
export class World extends WorldState {
  /** Whether worlds have shards that change hands. */
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
    for (const worker of this.workers.values()) stepWorker(this, worker);
    for (const node of this.nodes) stepController(this, node);
    checkInvariants(this);
  }

  /** Jobs of one kind; `durationsMs`: how long each of the tasks runs. */
  submit(count: number, overrides: Partial<JobSpec>, durationsMs?: readonly number[]): string[] {
    return newSpecs(this, count, overrides, durationsMs).map((spec) => {
      acceptJob(this, spec);
      return spec.id;
    });
  }
  /** Jobs that users send through any node, repeat until they are answered, and ask about. */
  submitByUsers(count: number, overrides: Partial<JobSpec>, durationsMs?: readonly number[]): string[] {
    return newSpecs(this, count, overrides, durationsMs).map((spec) => {
      this.allJobs.set(spec.id, spec);
      this.waitingJobs.submit(spec);
      return spec.id;
    });
  }
  /** The share of answers after which users ask all nodes at once. */
  set probeShare(share: number) {
    this.waitingJobs.statusProbes.share = share;
  }
  queryUnknownJob(): void {
    this.count("questions about jobs that nobody sent");
    this.waitingJobs.queryUnknownJob(`req-9${String(this.nextJobNumber).padStart(5, "0")}`);
  }
  /** A job that waits for others, sent by a user through any node as soon as they are accepted. */
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
  /** A user calls a job off, or sends it once more, through any node. */
  cancelThroughNode(id: string): void {
    this.waitingJobs.cancel(id);
  }
  resubmit(id: string): void {
    this.waitingJobs.resubmit(id);
  }
  /** At the end of the job's last task a user asks about it at all nodes and sends it once more. */
  resubmitWhenDone(id: string): void {
    this.queriedAtEnd.add(id);
  }
  isAccepted(id: string): boolean {
    return this.waitingJobs.isAccepted(id);
  }
  isWaiting(id: string): boolean {
    return this.waitingJobs.waiting.has(id);
  }

  /** A user calls a job off, and is told that it is over; says on how many machines it was. */
  cancel(id: string): number {
    return cancelJob(this, id);
  }

  wait(ms: number): this {
    return this.runTo(this.now + ms);
  }
  /** Goes on until this is so, or so long at the most; says whether it is. */
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
  /** What users and operators keep to while versions are mixed. */
  get versions(): MixedVersions {
    return this.waitingJobs.versions;
  }
  /** All processes have this version, from the beginning. */
  setAllVersions(version: Version): void {
    for (const node of this.nodes) node.version = version;
  }
  /** A member's process ends and comes back with this version. */
  restartWithVersion(index: number, version: Version): void {
    const node = this.nodes[index]!;
    if (node.version === "new" && version === "old") this.count("processes that went back");
    crashProcess(this, node, 200 + this.extraRandom() * 3000);
    node.version = version;
    this.runUntil(() => node.alive && node.term !== null, 20_000);
  }
  isAllNew(): boolean {
    return this.nodes.every((node) => node.version === "new");
  }
  mayDowngrade(): boolean {
    return this.disabledGuard === "back" || this.waitingJobs.hasNoWaitingJobs();
  }
  /** Leaders end until one of this version leads; says whether one does. */
  crashUntilLeaderHas(version: Version): boolean {
    for (let tries = 0; tries < 20; tries++) {
      if (!this.runUntil(() => this.hasLeader(), 30_000)) return false;
      if (this.actingLeader()?.version === version) return true;
      this.crashLeader(3500 + this.extraRandom() * 1000);
    }
    return false;
  }
  /** Whether somebody leads who can act. */
  hasLeader(): boolean {
    return this.actingLeader() !== undefined;
  }
  /** The process of the leader ends and is back after `downMs`; says whether there was one. */
  crashLeader(downMs: number): boolean {
    const node = this.nodes.find((node) => node.alive && node.name === this.leader?.name);
    if (node === undefined) return false;
    if (this.now < this.stateDownUntil) this.count("leaders ended inside an outage");
    this.count("leaders ended");
    crashProcess(this, node, downMs);
    return true;
  }
  /** The leader stands still while its clocks run on, with `others` more; says how many do. */
  freezeLeader(ms: number, others = 0): number {
    const leader = this.actingLeader();
    if (leader === undefined) return 0;
    const rest = this.nodes.filter((node) => node !== leader && node.alive);
    const frozen = [leader, ...rest.slice(0, others)];
    for (const node of frozen) node.frozenUntil = this.now + ms;
    this.count("controllers that stood still", frozen.length);
    return frozen.length;
  }
  /** The process of a member that doesn't lead ends, so that its part changes hands; says whether there was one. */
  crashFollower(downMs: number): boolean {
    const node = this.nodes.find((node) => node.alive && node.name !== this.leader?.name);
    if (node === undefined) return false;
    this.count("members ended");
    crashProcess(this, node, downMs);
    return true;
  }
  /** All processes end; the one with this number is back after `firstDownMs`, the others after `otherDownMs`. */
  crashAll(firstIndex: number, firstDownMs: number, otherDownMs: number): void {
    for (const [i, node] of this.nodes.entries())
      crashProcess(this, node, i === firstIndex ? firstDownMs : otherDownMs);
  }
  outage(ms: number): this {
    beginOutage(this, ms);
    return this;
  }
  /** The state service refuses the leader alone; `fromPeers`: the other controllers can't be reached by it either. */
  isolateLeader(ms: number, fromPeers: boolean): string | null {
    const node = this.actingLeader();
    if (node === undefined) return null;
    if (fromPeers) node.isolatedUntil = this.now + ms;
    else node.stateCutUntil = this.now + ms;
    return node.name;
  }

  /** A trouble of machines that hold tasks (of these jobs, if named), at most `maxMs`; says of how many. */
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
  /** Machines with tasks of these jobs die. */
  killMachines(max: number, jobs: readonly string[]): number {
    const machines = new Set(jobs.flatMap((id) => workersRunning(this, id)));
    const dying = [...machines].slice(0, max);
    for (const worker of dying) killWorker(this, worker);
    return dying.length;
  }
  /** How many tasks of these jobs are on machines; how many of their jobs' tasks have completed. */
  runningTaskCount(jobs: readonly string[] = [...this.jobs.keys()]): number {
    let n = 0;
    for (const worker of this.workers.values())
      for (const t of worker.tasks.values()) if (t.state !== "exited" && jobs.includes(t.job)) n++;
    return n;
  }
  completedTaskCount(jobs: readonly string[]): number {
    return jobs.reduce((sum, id) => sum + (this.completedTasks.get(id)?.size ?? 0), 0);
  }
  outcome(id: string): "done" | "cancelled" | null {
    return this.commits.get(id)?.outcome ?? null;
  }
  unfinishedJobs(): string[] {
    return [...this.jobs.keys()];
  }
  /** A job's commit, if it has one. */
  outcomeOf(id: string): "done" | "cancelled" | null {
    return this.commits.get(id)?.outcome ?? null;
  }
  /** What this team has on machines, and how many tasks no leader could place. */
  teamCpus(team: string): number {
    let sum = 0;
    for (const worker of this.workers.values())
      for (const t of worker.tasks.values()) {
        const spec = this.allJobs.get(t.job)!;
        if (t.state !== "exited" && spec.team === team) sum += spec.cpus;
      }
    return sum;
  }
  pendingTaskCount(): number {
    let sum = 0;
    for (const job of this.actingLeader()?.scheduler?.cluster.pendingJobs ?? []) sum += job.pending.size;
    return sum;
  }
  /** The heartbeats that all machines with tasks send now are held back; they arrive at whoever leads when it is called. */
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
  /** The heartbeats of all machines are held back; they arrive at every controller when it is called. */
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
  /** How many machines that were quick to be up have tasks and have been up for at most so long. */
  busyNewMachines(maxAgeMs: number): number {
    return [...this.workers.values()].filter(
      (worker) =>
        !worker.gone &&
        worker.tasks.size > 0 &&
        this.now - worker.upAt <= maxAgeMs &&
        worker.upAt - worker.rentedAt <= FAST_BOOT_MS,
    ).length;
  }
  note(event: string, n = 1): void {
    this.count(event, n);
  }

  /** A zone with workers and a controller is cut off, while the cloud releases nothing: only time is proof. */
  cutZone(zone: string, ms: number): this {
    this.zoneCutUntil.set(zone, this.now + ms);
    this.cloudDownUntil = this.now + ms;
    return this;
  }

  /**
   * The state service refuses the leader alone; the others confirm that jobs are cancelled; then it is out for all, for
   * longer than a cancel has, while workers go on reporting to the old leader. Says how many jobs were cancelled that
   * then had tasks on machines, and that the leader knew nothing of.
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

  /** No more troubles, and no more jobs: what was accepted has to run. */
  stopFaults(): this {
    this.faultRate = 0;
    this.faultFreeSince ??= this.now;
    this.lateWriteShare = 0;
    this.lostAnswerShare = 0;
    this.lateCommandShare = 0;
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

  /** Accepted jobs that are neither over nor, as services are, all running. */
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

  /** The pictures of all leaders that there are. */
  leaderClusters(): Scheduler["cluster"][] {
    return this.nodes.flatMap((node) => (node.scheduler === null ? [] : [node.scheduler.cluster]));
  }

  runTo(timeMs: number): this {
    while (this.now < timeMs && this.violations.length === 0) this.step();
    return this;
  }
}
