/** Stops what must not run, forgets what is over, moves replicas off machines that go. */
import * as Duration from "effect/Duration";
import { type TaskAttempt, type Machine, occupiesCapacity } from "../cluster/cluster.js";
import type { PendingCommands } from "../commands/pending-commands.js";
import { chooseMachine } from "../placement/placement.js";
import type { SchedulerContext } from "./scheduler-context.js";
import { type Instant, hasElapsed } from "../time.js";

/** An exited task takes no room: forgetting it waits this long for other commands to the same machine. */
const FORGET_AFTER = Duration.seconds(2);
const STOP_AGAIN_AFTER = Duration.seconds(3);

/** A replica that has run long enough for its start to count, and that nobody is stopping. */
export const isMovableReplica = (attempt: TaskAttempt, now: Instant): boolean =>
  attempt.spec?.kind === "service" &&
  attempt.state === "running" &&
  !attempt.stopping &&
  attempt.unacknowledgedToken === null &&
  hasElapsed(now, attempt.stateSince, Duration.seconds(35));

export class Reconciler {
  constructor(private readonly context: SchedulerContext) {}

  /** Looks at the machines about which something changed; keeps an eye on those where something is under way. */
  step(now: Instant, pendingCommands: PendingCommands): void {
    const { reconcileQueue } = this.context.cluster;
    for (const machine of [...reconcileQueue]) {
      machine.idleSince =
        machine.attempts.size === 0 && machine.lastHeartbeatAt !== null ? (machine.idleSince ?? now) : null;
      // whatever ends these states puts the machine back
      const isBusy = machine.commandsInFlight || this.context.isPaused(machine);
      if (
        isBusy ||
        !machine.confirmed ||
        machine.addr === null ||
        !this.machine(machine, now, pendingCommands)
      )
        reconcileQueue.delete(machine);
    }
  }

  /** Whether there is more to do here later. */
  private machine(machine: Machine, now: Instant, pendingCommands: PendingCommands): boolean {
    let more = machine.draining || machine.reclaimAt !== null;
    if (machine.reclaimAt !== null) this.evacuate(machine, now, pendingCommands);
    let moving = machine.draining && [...machine.attempts.values()].some((attempt) => attempt.stopping);
    for (const attempt of machine.attempts.values()) {
      if (attempt.state === "dispatched") continue;
      const job = this.context.cluster.jobs.get(attempt.job);
      if (attempt.state === "exited") {
        // a finish is reaped only once stored; nothing is reaped while its start may yet be executed again
        if (
          attempt.unacknowledgedToken === null &&
          (job === undefined || attempt.exitReason !== "done" || attempt.stored)
        ) {
          pendingCommands.forget(attempt, hasElapsed(now, attempt.stateSince, FORGET_AFTER));
          more = true;
        }
        continue;
      }
      if (machine.draining && !moving && isMovableReplica(attempt, now)) {
        moving = true;
        pendingCommands.stop(attempt);
        continue;
      }
      if (job === undefined || job.done.has(attempt.index) || this.hasTwin(attempt)) {
        if (!attempt.stopping || hasElapsed(now, attempt.stateSince, STOP_AGAIN_AFTER))
          pendingCommands.stop(attempt, 0);
        more = true;
      }
    }
    return more;
  }

  /**
   * Whether an earlier attempt of the same task is on another machine, by that machine's own present word: a late copy
   * of an old heartbeat must not get the real task stopped.
   */
  private hasTwin(attempt: TaskAttempt): boolean {
    const { cluster } = this.context;
    const attempts = cluster.jobs.get(attempt.job)?.attempts.get(attempt.index) ?? [];
    return attempts.some(
      (taskAttempt) =>
        taskAttempt !== attempt &&
        occupiesCapacity(taskAttempt) &&
        taskAttempt.attempt < attempt.attempt &&
        cluster.machines.get(taskAttempt.machine)!.confirmed,
    );
  }

  /** A machine that the cloud takes back soon: what can save does so, replicas move if there is room. */
  private evacuate(machine: Machine, now: Instant, pendingCommands: PendingCommands): void {
    const { cluster } = this.context;
    let room: Machine[] | null = null;
    for (const attempt of machine.attempts.values()) {
      const { spec } = attempt;
      const job = cluster.jobs.get(attempt.job);
      if (spec === null || job === undefined || attempt.state !== "running" || attempt.stopping) continue;
      const saves =
        Duration.toMillis(spec.checkpoint) > 0 && machine.reclaimAt! - now >= Duration.toMillis(spec.save);
      if (spec.kind === "gang") {
        if (saves) stopGang([...job.attempts.values()].flat(), pendingCommands);
        continue;
      }
      if (!saves && spec.kind !== "service") continue;
      room ??= [...cluster.capacityIndex.atLeast(spec.cpus)].filter((machine) =>
        this.context.usable(machine, now),
      );
      if (saves || chooseMachine(cluster, job, room, now, () => 0) !== null) pendingCommands.stop(attempt);
    }
  }
}

/** Takes a gang down with time to save, all tasks at once; says how many are still there. */
export const stopGang = (attempts: readonly TaskAttempt[], pendingCommands: PendingCommands): number => {
  const live = attempts.filter(occupiesCapacity);
  for (const attempt of live)
    if (attempt.state !== "dispatched" && !attempt.stopping) pendingCommands.stop(attempt);
  return live.length;
};
