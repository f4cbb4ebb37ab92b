/**
 * Simulated workers, which execute commands, run tasks and send heartbeats.
 */
import * as Duration from "effect/Duration";
import { TIMINGS, STEP_MS, FAST_BOOT_MS, TYPES } from "./settings.js";
import { type WorldState } from "./world-state.js";
import { chance, pick, sendLater, whenAwake, areZonesApart } from "./network.js";
import { deliverCopy, deliverHeartbeat } from "./heartbeats.js";
import { onTaskEnded } from "./users.js";
import { type MachineRecord, type Command, type Heartbeat } from "../../src/core/records.js";
import { RangeSet } from "../../src/core/ranges.js";

/** A task attempt in a worker's own state. */
export interface WorkerTask {
  attempt: number;
  job: string;
  index: number;
  state: "fetching" | "running" | "exited";
  exitReason: "done" | "stopped" | "error" | "busy" | "no_room" | null;
  remainingMs: number;
}

const keyOf = ({ job, index, attempt }: Command): string => `${job}/${index}#${attempt}`;

/** A simulated worker on its machine. */
export class Worker {
  workerEpoch = 1;
  sequence = 0;
  fencingToken = 0;
  leaseRenewedAt: number;
  gone = false;
  goneAt = 0;
  hungUntil = 0;
  cutUntil = 0;
  /** Until when nothing reaches it, although its heartbeats arrive. */
  deafUntil = 0;
  /** Until when its heartbeats are lost, although commands reach it. */
  muteUntil = 0;
  nodeIndex = 0;
  nextHeartbeatAt: number;
  readonly tasks = new Map<string, WorkerTask>();
  /** All attempts that it has ever been told to start, by key. */
  private readonly attemptsSeen = new Set<string>();
  constructor(
    readonly id: string,
    readonly record: MachineRecord,
    readonly rentedAt: number,
    readonly upAt: number,
    readonly cpus: number,
  ) {
    this.leaseRenewedAt = upAt;
    this.nextHeartbeatAt = upAt;
  }

  /** Whether it once had this attempt and no longer knows it. */
  hasForgotten(command: Command): boolean {
    const key = keyOf(command);
    return this.attemptsSeen.has(key) && !this.tasks.has(key);
  }

  /** Remembers that it was told to start the attempt. */
  markSeen(command: Command): void {
    this.attemptsSeen.add(keyOf(command));
  }
}

/** Rents a machine, which is up after its boot time. */
export function addMachine(world: WorldState, type: string, zone: string, spot: boolean): string {
  const id = `n-${String(world.machineCount++).padStart(4, "0")}`;
  const cpus = TYPES.find((t) => t.name === type)!.cpus;
  const usualBootMs = 500 + world.random() * 3000;
  const bootMs = world.fastBoots ? world.extraRandom() * FAST_BOOT_MS : usualBootMs;
  world.workers.set(id, new Worker(id, { type, zone, spot, addr: id }, world.now, world.now + bootMs, cpus));
  return id;
}

/** Removes a machine with its tasks. */
export function killWorker(world: WorldState, worker: Worker): void {
  worker.gone = true;
  worker.goneAt = world.now;
  worker.tasks.clear();
}

/** The worker's next heartbeat. */
export function newHeartbeat(worker: Worker): Heartbeat {
  return {
    machine: worker.id,
    addr: worker.id,
    type: worker.record.type,
    zone: worker.record.zone,
    spot: worker.record.spot,
    workerEpoch: worker.workerEpoch,
    sequence: ++worker.sequence,
    fencingToken: worker.fencingToken,
    reclaimNoticeSeconds: null,
    tasks: [...worker.tasks.values()].map((t) => ({ ...t })),
  };
}

/** Advances a worker's tasks by one step and sends a heartbeat when one is due. */
export function stepWorker(world: WorldState, worker: Worker): void {
  if (worker.gone || world.now < worker.upAt) return;
  if (world.now - worker.leaseRenewedAt > Duration.toMillis(TIMINGS.workerLease)) {
    worker.tasks.clear();
    worker.workerEpoch++;
    worker.leaseRenewedAt = world.now;
  }
  // a hanging machine continues if the hang ends within its lease; otherwise it has lost its tasks
  if (world.now < worker.hungUntil) return;
  for (const t of worker.tasks.values()) {
    if (t.state === "exited") continue;
    t.remainingMs -= STEP_MS;
    if (t.state === "fetching" && t.remainingMs <= 0) {
      // the result of a task that completed before is kept: the attempt exits as soon as it has its image
      const wasCompleted = world.completedTasks.get(t.job)?.has(t.index) ?? false;
      t.state = wasCompleted ? "exited" : "running";
      if (wasCompleted) t.exitReason = "done";
      const usualDurationMs =
        world.allJobs.get(t.job)!.kind === "service" ? Infinity : 500 + world.random() * 6000;
      t.remainingMs = world.taskDurationsMs.get(t.job)?.[t.index] ?? usualDurationMs;
    } else if (t.remainingMs <= 0) {
      t.state = "exited";
      // tasks with a duration set by a scenario don't fail
      t.exitReason = world.random() < 0.05 && !world.taskDurationsMs.has(t.job) ? "error" : "done";
      if (world.failingJobs.has(t.job)) {
        t.exitReason = "error";
        world.count("attempts that failed");
      }
      if (t.exitReason === "done") {
        const completed = world.completedTasks.get(t.job) ?? new RangeSet();
        if (!completed.has(t.index)) completed.add(t.index);
        world.completedTasks.set(t.job, completed);
        onTaskEnded(world, t.job, completed);
      }
    }
  }
  if (world.now < worker.nextHeartbeatAt || world.now < worker.cutUntil) return;
  worker.nextHeartbeatAt = world.now + 1000;
  const sentAt = world.now;
  if (world.now < worker.muteUntil) {
    worker.nodeIndex++;
    return;
  }
  const heartbeat = newHeartbeat(worker);
  if (world.lateHeartbeatShare > 0 && world.extraRandom() < world.lateHeartbeatShare) {
    const lease = Duration.toMillis(TIMINGS.workerLease);
    deliverCopy(
      world,
      worker,
      heartbeat,
      world.now + 2000 + world.extraRandom() * (2.5 * lease - 2000),
      null,
    );
  }
  const node = world.nodes[worker.nodeIndex % world.nodes.length]!;
  // a late copy may arrive at any controller, up to 2.5 leases later
  if (chance(world, 0.2)) {
    const arrivesAt = world.now + world.random() * 2.5 * Duration.toMillis(TIMINGS.workerLease);
    const target = pick(world, world.nodes);
    world.messages.push({
      at: arrivesAt,
      run: whenAwake(world, target, () => {
        if (target.alive) deliverHeartbeat(world, target, heartbeat);
      }),
    });
  }
  // the request waits at the frozen process, and the next heartbeat goes to another controller
  if (world.now < node.frozenUntil) worker.nodeIndex++;
  if (areZonesApart(world, node.zone, worker.record.zone)) {
    worker.nodeIndex++;
    return;
  }
  sendLater(
    world,
    whenAwake(world, node, () => {
      if (!node.alive) {
        worker.nodeIndex++;
        return;
      }
      const answer = deliverHeartbeat(world, node, heartbeat);
      if (answer.kind === "elsewhere")
        worker.nodeIndex = world.nodes.findIndex((node) => node.name === answer.member);
      else if (answer.kind === "unsure") worker.nodeIndex++;
      if (answer.kind !== "taken") return;
      const { fencingToken, stopCommands } = answer;
      const workerEpoch = heartbeat.workerEpoch;
      sendLater(world, () => {
        if (world.now < Math.max(worker.cutUntil, worker.deafUntil) || worker.workerEpoch !== workerEpoch)
          return;
        if (areZonesApart(world, node.zone, worker.record.zone)) return;
        if (fencingToken < worker.fencingToken || world.now - sentAt > 4000) return;
        for (const { job } of stopCommands)
          if (!world.commits.has(job))
            world.violations.push({
              rule: "stopped_unfinished",
              text: `${job} on ${worker.id} at ${world.now}`,
            });
        executeCommands(world, worker, fencingToken, workerEpoch, stopCommands);
        worker.leaseRenewedAt = Math.max(worker.leaseRenewedAt, sentAt);
      });
    }),
  );
}

/** Executes commands; refuses them (false) under an older fencing token or for another worker epoch. */
export function executeCommands(
  world: WorldState,
  worker: Worker,
  token: number,
  workerEpoch: number,
  commands: readonly Command[],
): boolean {
  if (token < worker.fencingToken || workerEpoch !== worker.workerEpoch) return false;
  worker.fencingToken = token;
  for (const command of commands) {
    const key = keyOf(command);
    const task = worker.tasks.get(key);
    if (command.op === "forget") {
      if (task?.state === "exited") worker.tasks.delete(key);
    } else if (command.op === "stop") {
      if (task !== undefined && task.state !== "exited")
        Object.assign(task, { state: "exited", exitReason: "stopped" });
    } else if (task === undefined) {
      if (worker.hasForgotten(command)) reportSecondStart(world, worker, command);
      worker.markSeen(command);
      startAttempt(world, worker, command, key);
    }
  }
  return true;
}

/** Reports that a worker starts an attempt that it had before and has forgotten (S4). */
function reportSecondStart(world: WorldState, worker: Worker, { job, index }: Command): void {
  const isCancelled = world.commits.get(job)?.outcome === "cancelled";
  world.violations.push({
    rule: isCancelled ? "cancelled_started_again" : "started_again",
    text: `${job}/${index} on ${worker.id} at ${world.now}`,
  });
}

/** Starts an attempt if the worker has room, and checks the rules about starts. */
export function startAttempt(world: WorldState, worker: Worker, command: Command, key: string): void {
  const live = [...worker.tasks.values()].filter((t) => t.state !== "exited");
  const spec = world.allJobs.get(command.job)!;
  const usedCpus = live.reduce((sum, t) => sum + world.allJobs.get(t.job)!.cpus, 0);
  const base = { attempt: command.attempt, job: command.job, index: command.index, remainingMs: 0 };
  if (live.some((t) => t.job === command.job && t.index === command.index)) {
    worker.tasks.set(key, { ...base, state: "exited", exitReason: "busy" });
    return;
  }
  if (usedCpus + spec.cpus > worker.cpus) {
    worker.tasks.set(key, { ...base, state: "exited", exitReason: "no_room" });
    return;
  }
  world.attemptsStarted++;
  if (spec.dependsOn.some((p) => world.commits.get(p)?.outcome !== "done"))
    world.violations.push({
      rule: "too_early",
      text: `${command.job}/${command.index} starts at ${world.now}`,
    });
  const commit = world.commits.get(command.job);
  if (commit?.outcome === "cancelled") {
    world.count("starts after a confirmed cancellation");
    // the attempt may end within this step, so that the check after the step would miss it
    if (world.now > commit.at + Duration.toMillis(TIMINGS.cancelDeadline))
      world.violations.push({
        rule: "ran_cancelled",
        text: `${command.job}/${command.index} starts at ${world.now}`,
      });
  }
  const otherWorkers = workersRunningTask(world, command.job, command.index).filter((x) => x !== worker);
  if (otherWorkers.length > 0)
    world.violations.push({
      rule: "ran_twice",
      text: `${command.job}/${command.index} on ${worker.id} and ${otherWorkers[0]!.id} at ${world.now}`,
    });
  const record = worker.record;
  const zones = new Set(workersRunning(world, command.job).map((worker) => worker.record.zone));
  if (
    (spec.types !== null && !spec.types.includes(record.type)) ||
    (spec.zone !== null && spec.zone !== record.zone) ||
    (!spec.spot && record.spot) ||
    (spec.oneZone && [...zones].some((z) => z !== record.zone))
  )
    world.violations.push({
      rule: "wrong_place",
      text: `${command.job}/${command.index} on ${worker.id} at ${world.now}`,
    });
  worker.tasks.set(key, { ...base, state: "fetching", exitReason: null, remainingMs: 200 });
}

/** The workers with live attempts of a job. */
export function workersRunning(world: WorldState, job: string): Worker[] {
  return [...world.workers.values()].filter((worker) =>
    [...worker.tasks.values()].some((t) => t.job === job && t.state !== "exited"),
  );
}

/** The workers with a live attempt of a task. */
export function workersRunningTask(world: WorldState, job: string, index: number): Worker[] {
  return [...world.workers.values()].filter((worker) =>
    [...worker.tasks.values()].some((t) => t.job === job && t.index === index && t.state !== "exited"),
  );
}

/** How many machines there are. */
export function machineTotal(world: WorldState): number {
  return [...world.workers.values()].filter((worker) => !worker.gone).length;
}
