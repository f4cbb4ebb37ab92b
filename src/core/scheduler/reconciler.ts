/**
 * Reconciliation: stops attempts that must not run, has workers forget exited ones, and moves tasks off machines that
 * are draining or being reclaimed by the cloud.
 */
import * as Duration from "effect/Duration";
import { type Job, type TaskAttempt, type Machine, machineOf, occupiesCapacity } from "../cluster/cluster.js";
import type { PendingCommands } from "../commands/pending-commands.js";
import { canRaiseToken } from "../commands/start-fencing.js";
import { chooseMachine } from "../placement/bin-packing.js";
import type { SchedulerContext } from "./scheduler-context.js";
import type { JobSpec } from "../records.js";
import { type Instant, hasElapsed } from "../time.js";

/** How long a `forget` command waits to share a batch with others; an exited task uses no capacity meanwhile. */
const FORGET_BATCHING_DELAY = Duration.seconds(2);
/** A stop is sent again if no heartbeat has shown its effect for this long. */
const STOP_RETRY_DELAY = Duration.seconds(3);

/** Whether an attempt is a service replica that isn't being stopped and has run long enough to count as started. */
export const isMovableReplica = (attempt: TaskAttempt, now: Instant): boolean =>
  attempt.spec?.kind === "service" &&
  attempt.state === "running" &&
  !attempt.stopping &&
  attempt.unacknowledgedToken === null &&
  hasElapsed(now, attempt.stateSince, Duration.seconds(35));

/** Compares the attempts on each machine with the desired state, and issues commands to remove the difference. */
export class Reconciler {
  constructor(private readonly context: SchedulerContext) {}

  /** Reconciles the queued machines. A machine stays in the queue while there may be more to do on it. */
  step(now: Instant, pendingCommands: PendingCommands): void {
    const { reconcileQueue } = this.context.cluster;
    for (const machine of [...reconcileQueue]) {
      machine.idleSince =
        machine.attempts.size === 0 && machine.lastHeartbeatAt !== null ? (machine.idleSince ?? now) : null;
      if (!this.canReceiveCommands(machine) || !this.reconcile(machine, now, pendingCommands))
        reconcileQueue.delete(machine);
    }
  }

  /** A machine that can't receive commands leaves the queue, and is queued again as soon as it can. */
  private canReceiveCommands(machine: Machine): boolean {
    const isBusy = machine.commandsInFlight || this.context.isPaused(machine);
    return !isBusy && machine.confirmed && machine.addr !== null;
  }

  /** Issues commands for one machine. Returns whether it has to be checked again in the next step. */
  private reconcile(machine: Machine, now: Instant, pendingCommands: PendingCommands): boolean {
    let needsRecheck = machine.draining || machine.reclaimAt !== null;
    if (machine.reclaimAt !== null) this.evacuate(machine, machine.reclaimAt, now, pendingCommands);
    // replicas are moved off a draining machine one at a time
    let isMoveInProgress =
      machine.draining && [...machine.attempts.values()].some((attempt) => attempt.stopping);
    for (const attempt of machine.attempts.values()) {
      if (attempt.state === "dispatched") continue;
      const job = this.context.cluster.jobs.get(attempt.job);
      if (attempt.state === "exited") {
        if (!mayBeForgotten(attempt, job) || !canRaiseToken(machine)) continue;
        pendingCommands.forget(attempt, hasElapsed(now, attempt.stateSince, FORGET_BATCHING_DELAY));
        needsRecheck = true;
      } else if (machine.draining && !isMoveInProgress && isMovableReplica(attempt, now)) {
        isMoveInProgress = true;
        pendingCommands.stop(attempt);
      } else if (this.mustStop(attempt, job)) {
        if (!attempt.stopping || hasElapsed(now, attempt.stateSince, STOP_RETRY_DELAY))
          pendingCommands.stop(attempt, 0);
        needsRecheck = true;
      }
    }
    return needsRecheck;
  }

  /** Whether an attempt must be stopped: its job has ended, its task is finished, or an earlier attempt exists. */
  private mustStop(attempt: TaskAttempt, job: Job | undefined): boolean {
    return job === undefined || job.done.has(attempt.index) || this.hasEarlierAttempt(attempt, job);
  }

  /**
   * Whether an earlier attempt of the same task is on a machine that was confirmed in this term. Without
   * confirmation, a delayed copy of an old heartbeat could get the live attempt stopped.
   */
  private hasEarlierAttempt(attempt: TaskAttempt, job: Job): boolean {
    const attempts = job.attempts.get(attempt.index);
    if (attempts === undefined) return false;
    return attempts.some(
      (other) =>
        other !== attempt &&
        occupiesCapacity(other) &&
        other.attempt < attempt.attempt &&
        machineOf(this.context.cluster, other).confirmed,
    );
  }

  /**
   * Moves tasks off a machine that the cloud takes back at `reclaimAt`: stops those with time to write a checkpoint,
   * and service replicas for which another machine has capacity.
   */
  private evacuate(
    machine: Machine,
    reclaimAt: Instant,
    now: Instant,
    pendingCommands: PendingCommands,
  ): void {
    const { cluster } = this.context;
    let candidates: Machine[] | null = null;
    for (const attempt of machine.attempts.values()) {
      const { spec } = attempt;
      const job = cluster.jobs.get(attempt.job);
      if (spec === null || job === undefined || attempt.state !== "running" || attempt.stopping) continue;
      const canSave = canSaveWithin(spec, reclaimAt - now);
      if (spec.kind === "gang") {
        if (canSave) stopGang([...job.attempts.values()].flat(), pendingCommands);
        continue;
      }
      if (!canSave && spec.kind !== "service") continue;
      candidates ??= this.schedulableMachines(spec.cpus, now);
      if (canSave || chooseMachine(cluster, job, { candidates, now, partitionFreeCpus: () => 0 }) !== null)
        pendingCommands.stop(attempt);
    }
  }

  private schedulableMachines(cpus: number, now: Instant): Machine[] {
    const { cluster } = this.context;
    return [...cluster.capacityIndex.atLeast(cpus)].filter((machine) =>
      this.context.isSchedulable(machine, now),
    );
  }
}

/**
 * Whether a worker may forget an exited attempt. A finished one must be stored first (S7), and none may be forgotten
 * while an unacknowledged start could still be executed (S4).
 */
const mayBeForgotten = (attempt: TaskAttempt, job: Job | undefined): boolean =>
  attempt.unacknowledgedToken === null &&
  (job === undefined || attempt.exitReason !== "done" || attempt.stored);

/** Whether a task writes checkpoints, and has enough time left to write one. */
const canSaveWithin = (spec: JobSpec, availableMs: number): boolean =>
  Duration.toMillis(spec.checkpointInterval) > 0 && availableMs >= Duration.toMillis(spec.saveDuration);

/** Stops all tasks of a gang, with time to save. Returns how many attempts still occupy capacity. */
export const stopGang = (attempts: readonly TaskAttempt[], pendingCommands: PendingCommands): number => {
  const remaining = attempts.filter(occupiesCapacity);
  for (const attempt of remaining)
    if (attempt.state !== "dispatched" && !attempt.stopping) pendingCommands.stop(attempt);
  return remaining.length;
};
