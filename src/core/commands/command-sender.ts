/**
 * Decides which command batches are sent to workers, with at most one batch in flight per machine, and applies their
 * outcomes. This includes working out whether an unanswered start may still be executed (S2, S4).
 */
import * as Duration from "effect/Duration";
import {
  recordCommandAnswer,
  updateAttempt,
  type TaskAttempt,
  attemptKey,
  type Machine,
  machineOf,
} from "../cluster/cluster.js";
import { isSameOrNewer, removeAttempt, type HeartbeatId } from "../cluster/cluster.js";
import type { Decision, CommandOutcome } from "../scheduler/decisions.js";
import { MachineProber } from "./machine-prober.js";
import type { PendingCommands } from "./pending-commands.js";
import { fenceBatch, raiseToken } from "./start-fencing.js";
import type { Command } from "../records.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { termNumberOf, fencingTokenOf } from "../leases/term.js";
import { type Instant, plus } from "../time.js";

/** How long no commands are decided for a machine after a node was barred from sending to it. */
const BLOCK_DURATION = Duration.millis(500);
/** In place of the token of a batch that never left the scheduler. */
const NO_TOKEN = 0;

/** The outcome of a batch, and the heartbeat with which the worker answered it. */
export interface CommandBatchResult {
  readonly commands: readonly Command[];
  /** The token under which it was sent; 0: it wasn't sent. */
  readonly fencingToken: number;
  readonly outcome: CommandOutcome;
  readonly answeredBy: HeartbeatId;
}

/** Sends command batches, and probes as batches without commands. Owns the list of machines that are blocked because a batch could not be sent. */
export class CommandSender {
  /** Machines whose commands could not be sent, and until when no commands are decided for them. */
  private readonly blockedUntil = new Map<Machine, Instant>();
  private readonly prober: MachineProber;

  constructor(private readonly context: SchedulerContext) {
    this.prober = new MachineProber(context);
  }

  /** Lifts the blocks that have expired, so that commands may be decided for these machines again. */
  unblock(now: Instant): void {
    const { cluster } = this.context;
    for (const [machine, until] of this.blockedUntil) {
      if (now < until) continue;
      this.blockedUntil.delete(machine);
      if (cluster.machines.get(machine.id) !== machine) continue;
      machine.commandsInFlight = false;
      cluster.reconcileQueue.add(machine);
      cluster.capacityVersion++;
    }
  }

  /**
   * Raises the tokens of machines with unanswered starts. Once a worker has reported the higher token it refuses a
   * delayed start, so that its heartbeats show for certain whether the attempt exists (S2).
   */
  settleUnacknowledgedStarts(): void {
    const { cluster, term } = this.context;
    for (const attempt of cluster.unacknowledgedStarts) {
      const machine = machineOf(cluster, attempt);
      if (
        attempt.unacknowledgedToken !== null &&
        attempt.unacknowledgedToken >= fencingTokenOf(term.number, machine.fencingTokenStep)
      )
        raiseToken(cluster, machine);
    }
  }

  /** Sends this step's commands, then probes machines that should have sent a heartbeat. */
  send(now: Instant, pendingCommands: PendingCommands, decisions: Decision[]): void {
    for (const id of pendingCommands.commands.keys()) {
      const machine = this.context.cluster.machines.get(id);
      const commands = pendingCommands.batchFor(id);
      if (machine === undefined || commands === null) continue;
      const isFree = !machine.commandsInFlight && !this.context.isPaused(machine);
      const sent = isFree && this.sendBatch(machine, commands, decisions);
      // commands that can't be sent now are withdrawn, and decided on again in a later step
      if (!sent) this.applyResult(id, barredResult(commands), now);
    }
    for (const machine of this.prober.machinesToProbe(now)) {
      machine.probedAt = now;
      this.sendBatch(machine, [], decisions);
    }
  }

  /** Sends a batch, or a probe if it is empty. Returns false if the machine's address is unknown. */
  private sendBatch(machine: Machine, commands: Command[], decisions: Decision[]): boolean {
    if (machine.addr === null) return false;
    machine.commandsInFlight = true;
    const { cluster, term } = this.context;
    // a copy of a start that arrives after its attempt was forgotten would otherwise run the attempt again
    fenceBatch(cluster, machine, commands, term.number);
    decisions.push({
      kind: "commands",
      machine: machine.id,
      zone: machine.zone,
      // after an odd number of unanswered batches the alternate route is used
      via: machine.unansweredBatches % 2 === 1 ? this.alternateRoute(machine) : this.primaryRoute(machine),
      addr: machine.addr,
      workerEpoch: Math.max(1, machine.workerEpoch),
      fencingToken: fencingTokenOf(term.number, machine.fencingTokenStep),
      commands,
    });
    return true;
  }

  /** The member that relays the machine's heartbeats or, right after its shard was handed over, the new owner. */
  private primaryRoute(machine: Machine): string | null {
    return this.context.options.ownership?.routeOverride(machine.id, machine.zone) ?? machine.relayedBy;
  }

  /**
   * This node itself (null) if another member relays the machine's heartbeats, or else another member, preferably in
   * the machine's zone: a leader that lost only its own connections to workers must not take them for dead.
   */
  private alternateRoute(machine: Machine): string | null {
    const { leader, members } = this.context.term;
    if (machine.relayedBy !== null && machine.relayedBy !== leader) return null;
    const others = members.filter((member) => member.name !== leader);
    const inZone = others.find((member) => member.zone === machine.zone);
    return (inZone ?? others[0])?.name ?? null;
  }

  /** Applies the outcome of a batch, also of one that was not sent. */
  applyResult(id: string, result: CommandBatchResult, now: Instant): void {
    const { cluster } = this.context;
    const machine = cluster.machines.get(id);
    if (machine === undefined) return;
    const { outcome, fencingToken } = result;
    // a node that may not send now, or whose queue is full, won't be able to send a moment later
    if (outcome === "barred" && fencingToken !== NO_TOKEN)
      this.blockedUntil.set(machine, plus(now, BLOCK_DURATION));
    else if (termNumberOf(fencingToken) === this.context.term.number) machine.commandsInFlight = false;
    cluster.reconcileQueue.add(machine);
    cluster.capacityVersion++;
    const isAnswered = outcome === "done" || outcome === "rejected";
    if (outcome !== "barred") recordCommandAnswer(cluster, machine, isAnswered, now);
    for (const command of result.commands) {
      const attempt = machine.attempts.get(attemptKey(command.job, command.index, command.attempt));
      if (attempt === undefined) continue;
      if (command.op === "stop" && outcome !== "done") attempt.stopping = false;
      if (command.op === "start" && attempt.state === "dispatched")
        this.applyStartResult(machine, attempt, result);
    }
  }

  /** Applies the outcome of a start that no heartbeat has shown yet: it may or may not still be executed (S4). */
  private applyStartResult(
    machine: Machine,
    attempt: TaskAttempt,
    { outcome, fencingToken, answeredBy }: CommandBatchResult,
  ): void {
    const { cluster } = this.context;
    // An earlier heartbeat under a higher token didn't show the attempt, so a delayed start is refused. This has to
    // be settled now: a later heartbeat may never arrive here, since members relay only those that show a change.
    const isLateStartRefused = machine.fencingToken > fencingToken;
    if (outcome === "unknown" && !isLateStartRefused)
      updateAttempt(cluster, attempt, { unacknowledgedToken: fencingToken });
    // heartbeats arrive by several routes: the one that shows the attempt may arrive after this answer
    else if (outcome === "done" && !isSameOrNewer(machine, answeredBy)) attempt.acknowledgedBy = answeredBy;
    else removeAttempt(cluster, attempt);
  }
}

/** The result of commands that never left the scheduler. */
const barredResult = (commands: readonly Command[]): CommandBatchResult => ({
  commands,
  fencingToken: NO_TOKEN,
  outcome: "barred",
  answeredBy: { workerEpoch: 0, sequence: 0 },
});
