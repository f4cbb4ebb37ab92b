/**
 * A model of workers, state service and cloud round the pure core, in virtual time, with loss, delay, duplication, crashes, cuts
 * and hangs drawn from a seed. Every rule of the protocol that the core answers for is checked after each step.
 */
import * as Duration from "effect/Duration";
import { type Guard, type MachineTrouble, TIMINGS, STEP, QUICK_BOOT_MS } from "./settings.js";
import { WorldState } from "./world-state.js";
import { endOutage, beginOutage, commitJob } from "./state-service.js";
import { injectFaults, endProcess } from "./faults.js";
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
import { checkInvariants, isKeptOut } from "./invariants.js";
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
    this.now += STEP;
    endOutage(this);
    injectFaults(this);
    stepUsers(this);
    this.pipelines.step();
    this.messages.sort((a, b) => a.at - b.at);
    while (this.messages.length > 0 && this.messages[0]!.at <= this.now) this.messages.shift()!.run();
    for (const worker of this.workers.values()) stepWorker(this, worker);
    for (const node of this.nodes) stepController(this, node);
    checkInvariants(this);
  }

  /** Jobs of one kind; `lasts`: how long each of the tasks runs. */
  submit(count: number, change: Partial<JobSpec>, lasts?: readonly number[]): string[] {
    return newSpecs(this, count, change, lasts).map((spec) => {
      acceptJob(this, spec);
      return spec.id;
    });
  }
  /** Jobs that users send through any node, repeat until they are answered, and ask about. */
  submitByUsers(count: number, change: Partial<JobSpec>, lasts?: readonly number[]): string[] {
    return newSpecs(this, count, change, lasts).map((spec) => {
      this.allJobs.set(spec.id, spec);
      this.pipelines.submit(spec);
      return spec.id;
    });
  }
  /** The share of answers after which users ask all nodes at once. */
  set closeLooks(share: number) {
    this.pipelines.closeLooks.share = share;
  }
  askAboutNothing(): void {
    this.count("questions about jobs that nobody sent");
    this.pipelines.askAboutNothing(`req-9${String(this.nextJob).padStart(5, "0")}`);
  }
  /** A job that waits for others, sent by a user through any node as soon as they are accepted. */
  submitAfter(
    dependsOn: readonly string[],
    change: Partial<JobSpec> = {},
    lasts?: readonly number[],
  ): string {
    const spec = newSpecs(this, 1, { ...change, dependsOn }, lasts)[0]!;
    this.allJobs.set(spec.id, spec);
    this.pipelines.submit(spec);
    return spec.id;
  }
  /** A user calls a job off, or sends it once more, through any node. */
  cancelThroughNode(id: string): void {
    this.pipelines.cancel(id);
  }
  repeat(id: string): void {
    this.pipelines.repeat(id);
  }
  /** At the end of the job's last task a user asks about it at all nodes and sends it once more. */
  repeatWhenDone(id: string): void {
    this.askedAtEnd.add(id);
  }
  isAccepted(id: string): boolean {
    return this.pipelines.isAccepted(id);
  }
  isWaiting(id: string): boolean {
    return this.pipelines.waiting.has(id);
  }

  /** A user calls a job off, and is told that it is over; says on how many machines it was. */
  cancel(id: string): number {
    return cancelJob(this, id);
  }

  wait(ms: number): this {
    return this.run(this.now + ms);
  }
  /** Goes on until this is so, or so long at the most; says whether it is. */
  until(so: () => boolean, most: number): boolean {
    const end = this.now + most;
    while (!so() && this.now < end && this.broken.length === 0) this.step();
    return so();
  }

  private leads(): Node | undefined {
    return this.nodes.find(
      (node) =>
        node.alive && node.scheduler !== null && node.term?.leader === node.name && mayAct(this, node),
    );
  }
  /** What users and operators keep to while versions are mixed. */
  get versions(): MixedVersions {
    return this.pipelines.versions;
  }
  /** All processes have this version, from the beginning. */
  beginWith(version: Version): void {
    for (const node of this.nodes) node.version = version;
  }
  /** A member's process ends and comes back with this version. */
  replace(which: number, version: Version): void {
    const node = this.nodes[which]!;
    if (node.version === "new" && version === "old") this.count("processes that went back");
    endProcess(this, node, 200 + this.extra() * 3000);
    node.version = version;
    this.until(() => node.alive && node.term !== null, 20_000);
  }
  isAllNew(): boolean {
    return this.nodes.every((node) => node.version === "new");
  }
  mayGoBack(): boolean {
    return this.without === "back" || this.pipelines.nothingWaits();
  }
  /** Leaders end until one of this version leads; says whether one does. */
  leadBy(version: Version): boolean {
    for (let tries = 0; tries < 20; tries++) {
      if (!this.until(() => this.led(), 30_000)) return false;
      if (this.leads()?.version === version) return true;
      this.endLeader(3500 + this.extra() * 1000);
    }
    return false;
  }
  /** Whether somebody leads who can act. */
  led(): boolean {
    return this.leads() !== undefined;
  }
  /** The process of the leader ends and is back after `away`; says whether there was one. */
  endLeader(away: number): boolean {
    const node = this.nodes.find((node) => node.alive && node.name === this.leader?.name);
    if (node === undefined) return false;
    if (this.now < this.stateDownUntil) this.count("leaders ended inside an outage");
    this.count("leaders ended");
    endProcess(this, node, away);
    return true;
  }
  /** The leader stands still while its clocks run on, with `others` more; says how many do. */
  freezeLeader(ms: number, others = 0): number {
    const leader = this.leads();
    if (leader === undefined) return 0;
    const rest = this.nodes.filter((node) => node !== leader && node.alive);
    const frozen = [leader, ...rest.slice(0, others)];
    for (const node of frozen) node.frozenUntil = this.now + ms;
    this.count("controllers that stood still", frozen.length);
    return frozen.length;
  }
  /** The process of a member that doesn't lead ends, so that its part changes hands; says whether there was one. */
  endMember(away: number): boolean {
    const node = this.nodes.find((node) => node.alive && node.name !== this.leader?.name);
    if (node === undefined) return false;
    this.count("members ended");
    endProcess(this, node, away);
    return true;
  }
  /** All processes end; the one with this number is back after `first`, the others after `rest`. */
  endAll(which: number, first: number, rest: number): void {
    for (const [i, node] of this.nodes.entries()) endProcess(this, node, i === which ? first : rest);
  }
  outage(ms: number): this {
    beginOutage(this, ms);
    return this;
  }
  /** The state service refuses the leader alone; `peers`: the other controllers can't be reached by it either. */
  cutLeader(ms: number, peers: boolean): string | null {
    const node = this.leads();
    if (node === undefined) return null;
    if (peers) node.aloneUntil = this.now + ms;
    else node.stateCutUntil = this.now + ms;
    return node.name;
  }

  /** A trouble of machines that hold tasks (of these jobs, if named), at most `most`; says of how many. */
  strike(trouble: MachineTrouble, ms: number, most: number, jobs?: readonly string[]): number {
    let n = 0;
    for (const worker of this.workers.values()) {
      const live = [...worker.tasks.values()].filter((t) => t.state !== "exited");
      if (n >= most || worker.gone || !live.some((t) => jobs?.includes(t.job) ?? true)) continue;
      worker[`${trouble}Until`] = this.now + ms;
      n++;
    }
    return n;
  }
  /** Machines with tasks of these jobs die. */
  killSome(most: number, jobs: readonly string[]): number {
    const on = new Set(jobs.flatMap((id) => workersRunning(this, id)));
    const dying = [...on].slice(0, most);
    for (const worker of dying) killWorker(this, worker);
    return dying.length;
  }
  /** How many tasks of these jobs are on machines; how many of their jobs' tasks have completed. */
  running(jobs: readonly string[] = [...this.jobs.keys()]): number {
    let n = 0;
    for (const worker of this.workers.values())
      for (const t of worker.tasks.values()) if (t.state !== "exited" && jobs.includes(t.job)) n++;
    return n;
  }
  finished(jobs: readonly string[]): number {
    return jobs.reduce((sum, id) => sum + (this.completed.get(id)?.size ?? 0), 0);
  }
  outcome(id: string): "done" | "cancelled" | null {
    return this.commits.get(id)?.outcome ?? null;
  }
  open(): string[] {
    return [...this.jobs.keys()];
  }
  /** A job's commit, if it has one. */
  outcomeOf(id: string): "done" | "cancelled" | null {
    return this.commits.get(id)?.outcome ?? null;
  }
  /** What this team has on machines, and how many tasks no leader could place. */
  usageOf(team: string): number {
    let sum = 0;
    for (const worker of this.workers.values())
      for (const t of worker.tasks.values()) {
        const spec = this.allJobs.get(t.job)!;
        if (t.state !== "exited" && spec.team === team) sum += spec.cpus;
      }
    return sum;
  }
  waiting(): number {
    let sum = 0;
    for (const job of this.leads()?.scheduler?.cluster.pendingJobs ?? []) sum += job.pending.size;
    return sum;
  }
  /** The heartbeats that all machines with tasks send now are held back; they arrive at whoever leads when it is called. */
  holdBackHeartbeats(): () => number {
    const held: [Worker, Heartbeat][] = [];
    for (const worker of this.workers.values())
      if (!worker.gone && this.now >= worker.up && worker.tasks.size > 0)
        held.push([worker, newHeartbeat(worker)]);
    return () => {
      const node = this.leads();
      if (node === undefined) return 0;
      for (const [worker, heartbeat] of held) deliverCopy(this, worker, heartbeat, this.now, node);
      return held.length;
    };
  }
  /** The heartbeats of all machines are held back; they arrive at every controller when it is called. */
  holdBackAllHeartbeats(): () => number {
    const held: [Worker, Heartbeat][] = [];
    for (const worker of this.workers.values())
      if (!worker.gone && this.now >= worker.up) held.push([worker, newHeartbeat(worker)]);
    return () => {
      for (const [worker, heartbeat] of held)
        for (const node of this.nodes) deliverCopy(this, worker, heartbeat, this.now, node);
      return held.length;
    };
  }
  /** How many machines that were quick to be up have tasks and have been up for at most so long. */
  newAtWork(ms: number): number {
    return [...this.workers.values()].filter(
      (worker) =>
        !worker.gone &&
        worker.tasks.size > 0 &&
        this.now - worker.up <= ms &&
        worker.up - worker.rented <= QUICK_BOOT_MS,
    ).length;
  }
  note(what: string, n = 1): void {
    this.count(what, n);
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
  gap(refused: number, untilOutage: number): number {
    const leader = this.nodes.find((node) => node.name === this.leader?.name);
    if (leader === undefined) return 0;
    leader.stateCutUntil = this.now + refused;
    const outage = this.now + untilOutage;
    this.run(outage - 2 * STEP);
    let met = 0;
    for (const id of [...this.jobs.keys()]) {
      if (!leader.known.has(id) || this.random() < 0.3) continue;
      if (workersRunning(this, id).length > 0) met++;
      commitJob(this, id, "cancelled");
      this.pipelines.receiveOutcome(id, "cancelled", true);
    }
    this.run(outage);
    beginOutage(this, Duration.toMillis(TIMINGS.cancelDeadline) + 5000);
    this.run(this.stateDownUntil + 20_000);
    return met;
  }

  /** No more troubles, and no more jobs: what was accepted has to run. */
  calmDown(): this {
    this.rough = 0;
    this.calmSince ??= this.now;
    this.lateWrites = 0;
    this.lostAnswers = 0;
    this.lateCommands = 0;
    this.quickBoots = false;
    this.closeLooks = 0;
    this.lateHeartbeats = 0;
    this.delayedCommands = 0;
    this.cancelsAtEnd = 0;
    this.endsAfterCommit = 0;
    this.slowLinksMs = 0;
    this.slowStateMs = 0;
    this.stateDownUntil = 0;
    this.cloudDownUntil = 0;
    this.zoneCutUntil.clear();
    for (const node of this.nodes) {
      node.stateCutUntil = 0;
      node.aloneUntil = 0;
      node.frozenUntil = 0;
      node.back = 0;
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
    const out = this.pipelines.unserved();
    for (const { spec } of this.jobs.values()) {
      let running = 0;
      for (let i = 0; i < spec.tasks; i++) if (workersRunningTask(this, spec.id, i).length > 0) running++;
      if (spec.kind === "service" ? running < spec.tasks : !isKeptOut(this, spec)) out.push(spec.id);
    }
    return out;
  }

  /** The pictures of all leaders that there are. */
  pictures(): Scheduler["cluster"][] {
    return this.nodes.flatMap((node) => (node.scheduler === null ? [] : [node.scheduler.cluster]));
  }

  run(ms: number): this {
    while (this.now < ms && this.broken.length === 0) this.step();
    return this;
  }
}
