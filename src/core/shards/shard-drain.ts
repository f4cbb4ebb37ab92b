/**
 * The leader's side of handing a shard over: whether the shard's machines can be handed over now, and whether all
 * commands sent to them are settled. A machine is fenced once its worker has reported a fencing token that was raised
 * after the last command: from then on it refuses commands that were sent earlier (S2 in docs/design.md).
 */
import { Refusal, type ShardFacts } from "#shards";
import type { TaskAttempt, Machine } from "../cluster/cluster.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { canRaiseToken, raiseToken } from "../commands/start-fencing.js";
import { fencingTokenOf } from "../leases/term.js";

/** Fences the machines of shards that are handed over. Owns `cluster.awaitingFence`. */
export class ShardDrain {
  /** `context`: the state shared by the parts of the leader's core. */
  constructor(private readonly context: SchedulerContext) {}

  /** Raises the machines' fencing tokens and has their workers asked for heartbeats. */
  raiseTokens(machines: readonly Machine[]): void {
    for (const machine of machines) {
      raiseToken(this.context.cluster, machine);
      machine.probedAt = null;
      this.context.cluster.awaitingFence.add(machine);
    }
  }

  /** The machines may be given commands again. */
  resume(machines: readonly Machine[]): void {
    const { cluster } = this.context;
    for (const machine of machines) {
      cluster.awaitingFence.delete(machine);
      cluster.reconcileQueue.add(machine);
    }
    if (machines.length > 0) cluster.capacityVersion++;
  }

  /** What prevents handing the machines over, if anything, and whether they are fenced. */
  factsOf(machines: readonly Machine[]): ShardFacts {
    const relevant = machines.filter((machine) => this.mayHaveCommands(machine));
    const unfenced = relevant.find((machine) => !this.isFenced(machine));
    return {
      machines: relevant.length,
      obstacle: this.obstacleOf(relevant),
      fenced: unfenced === undefined,
      unfencedMachine: unfenced?.id ?? null,
    };
  }

  /** A machine that is being released, or without a record, which never got a command, needs no fencing. */
  private mayHaveCommands(machine: Machine): boolean {
    return machine.releaseRequestedAt === null && machine.recorded;
  }

  private isFenced(machine: Machine): boolean {
    const token = fencingTokenOf(this.context.term.number, machine.fencingTokenStep);
    const hasSeenToken = machine.confirmed && machine.fencingToken >= token;
    if (hasSeenToken) this.context.cluster.awaitingFence.delete(machine);
    return hasSeenToken && !machine.commandsInFlight && canRaiseToken(machine);
  }

  private obstacleOf(machines: readonly Machine[]): Refusal | null {
    for (const machine of machines) {
      const { id } = machine;
      if (!machine.confirmed || machine.addr === null) return Refusal.MachineNotHeard({ machine: id });
      if (machine.unansweredBatches > 0) return Refusal.CommandInDoubt({ machine: id });
      for (const attempt of machine.attempts.values()) {
        const refusal = this.obstacleOfAttempt(attempt);
        if (refusal !== null) return refusal;
      }
    }
    return null;
  }

  private obstacleOfAttempt(attempt: TaskAttempt): Refusal | null {
    if (attempt.unacknowledgedToken !== null) return Refusal.CommandInDoubt({ machine: attempt.machine });
    if (attempt.spec?.kind !== "gang") return null;
    if (attempt.state === "saving") return Refusal.GangSaving({ job: attempt.job });
    const isAssembling =
      attempt.state === "dispatched" || attempt.state === "fetching" || attempt.state === "waiting";
    return isAssembling ? Refusal.GangAssembling({ job: attempt.job }) : null;
  }
}
