/** Reconciliation: stops what must not run, forgets what is over, moves replicas off machines that go. */
import * as Duration from "effect/Duration";
import { type Job, type TaskAttempt, type Machine, machineOf, occupiesCapacity } from "../cluster/cluster.js";
import type { PendingCommands } from "../commands/pending-commands.js";
import { chooseMachine } from "../placement/bin-packing.js";
import type { SchedulerContext } from "./scheduler-context.js";
import type { JobSpec } from "../records.js";
import { type Instant, hasElapsed } from "../time.js";

/** An exited task uses no capacity: forgetting it waits this long for other commands to the same machine. */
const FORGET_BATCHING_DELAY = Duration.seconds(2);
/** A stop whose effect no heartbeat has shown for so long is sent again. */
const STOP_RETRY_DELAY = Duration.seconds(3);

/** A replica that has run long enough for its start to count, and that nobody is stopping. */
export const isMovableReplica = (attempt: TaskAttempt, now: Instant): boolean =>
  attempt.spec?.kind === "service" &&
  attempt.state === "running" &&
  !attempt.stopping &&
  attempt.unacknowledgedToken === null &&
  hasElapsed(now, attempt.stateSince, Duration.seconds(35));

/** Compares what is on machines with what should be, and decides on the commands that bring them together. */
export class Reconciler {
  /** `context`: what the parts of the core share. */
  constructor(private readonly context: SchedulerContext) {}

  /** Looks at the machines about which something changed; keeps those in the queue where something is under way. */
  step(now: Instant, pendingCommands: PendingCommands): void {
    const { reconcileQueue } = this.context.cluster;
    for (const machine of [...reconcileQueue]) {
      machine.idleSince =
        machine.attempts.size === 0 && machine.lastHeartbeatAt !== null ? (machine.idleSince ?? now) : null;
      if (!this.canReceiveCommands(machine) || !this.reconcile(machine, now, pendingCommands))
        reconcileQueue.delete(machine);
    }
  }

  /** Whatever ends one of the states that this excludes puts the machine back into the queue. */
  private canReceiveCommands(machine: Machine): boolean {
    const isBusy = machine.commandsInFlight || this.context.isPaused(machine);
    return !isBusy && machine.confirmed && machine.addr !== null;
  }

  /** Whether there is more to do here later. */
  private reconcile(machine: Machine, now: Instant, pendingCommands: PendingCommands): boolean {
    let needsRecheck = machine.draining || machine.reclaimAt !== null;
    if (machine.reclaimAt !== null) this.evacuate(machine, machine.reclaimAt, now, pendingCommands);
    // replicas leave a draining machine one at a time
    let isMoveInProgress =
      machine.draining && [...machine.attempts.values()].some((attempt) => attempt.stopping);
    for (const attempt of machine.attempts.values()) {
      if (attempt.state === "dispatched") continue;
      const job = this.context.cluster.jobs.get(attempt.job);
      if (attempt.state === "exited") {
        if (!mayBeForgotten(attempt, job)) continue;
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

  /** Whether an attempt must not go on: its job is over, its task is finished, or an earlier attempt of it exists. */
  private mustStop(attempt: TaskAttempt, job: Job | undefined): boolean {
    return job === undefined || job.done.has(attempt.index) || this.hasEarlierAttempt(attempt, job);
  }

  /**
   * Whether an earlier attempt of the same task is on another machine, as that machine itself has confirmed in this term:
   * a late copy of an old heartbeat must not get the real task stopped.
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

  /** A machine that the cloud takes back at `reclaimAt`: what can save does so, replicas move if they fit elsewhere. */
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

/** A finish is forgotten only once it is stored (S7), and nothing is while its start may yet be executed again (S4). */
const mayBeForgotten = (attempt: TaskAttempt, job: Job | undefined): boolean =>
  attempt.unacknowledgedToken === null &&
  (job === undefined || attempt.exitReason !== "done" || attempt.stored);

/** Whether a task keeps checkpoints, and has the time to write one. */
const canSaveWithin = (spec: JobSpec, availableMs: number): boolean =>
  Duration.toMillis(spec.checkpointInterval) > 0 && availableMs >= Duration.toMillis(spec.saveDuration);

/** Takes a gang down with time to save, all tasks at once; returns how many are still there. */
export const stopGang = (attempts: readonly TaskAttempt[], pendingCommands: PendingCommands): number => {
  const remaining = attempts.filter(occupiesCapacity);
  for (const attempt of remaining)
    if (attempt.state !== "dispatched" && !attempt.stopping) pendingCommands.stop(attempt);
  return remaining.length;
};
