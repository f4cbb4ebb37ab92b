/**
 * Sends what a step decided to the workers, one batch a machine at a time, and takes in what became of it. Whether a
 * start may still be executed is settled here (S2, S4); machines that are silent or unconfirmed are asked for a heartbeat.
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
import type { PendingCommands } from "./pending-commands.js";
import type { Command } from "../records.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { termNumberOf, fencingTokenOf } from "../leases/term.js";
import { type Instant, hasElapsed, plus } from "../time.js";

/** How long after a question without an answer the next one is put. */
const PROBE_INTERVAL = Duration.seconds(1);
/** Behind a network partition there may be hundreds that can't answer: after a few questions each is asked less often. */
const SLOW_PROBE_INTERVAL = Duration.seconds(4);
const UNANSWERED_BATCHES_BEFORE_SLOW_PROBING = 4;
/** Questions put in one step: after a failover all machines are asked, a few at a time, or a share of all. */
const MIN_PROBE_LIMIT = 12;
const PROBE_LIMIT_SHARE = 0.01;
/** How long nothing is decided for a machine whose commands could not be sent. */
const BLOCK_DURATION = Duration.millis(500);
/** Batches that are made up again without having been sent were sent under no token. */
const NO_TOKEN = 0;

/** What became of a batch, and the heartbeat that the worker answered with. */
export interface CommandBatchResult {
  readonly commands: readonly Command[];
  /** The token under which it was sent; 0: it wasn't. */
  readonly fencingToken: number;
  readonly outcome: CommandOutcome;
  readonly answeredBy: HeartbeatId;
}

/** The route to the workers. Owns which machines are blocked because a batch could not be sent. */
export class CommandSender {
  /** Machines whose commands could not be sent, and until when nothing is decided for them. */
  private readonly blockedUntil = new Map<Machine, Instant>();
  /** How long after its last message a machine is asked for a heartbeat. */
  private readonly probeAfter: Duration.Duration;

  /** `context`: what the parts of the core share. */
  constructor(private readonly context: SchedulerContext) {
    const interval = Duration.times(context.options.timings.heartbeatInterval, 1.25);
    this.probeAfter = Duration.sum(interval, Duration.millis(500));
  }

  /** Machines whose commands could not be sent for a while may be given some again. */
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

  /** A higher token settles whether an unanswered start was executed: a late one is refused from then on (S2). */
  settleUnacknowledgedStarts(): void {
    const { cluster, term } = this.context;
    for (const attempt of cluster.unacknowledgedStarts) {
      const machine = machineOf(cluster, attempt);
      if (
        attempt.unacknowledgedToken !== null &&
        attempt.unacknowledgedToken >= fencingTokenOf(term.number, machine.fencingTokenStep)
      )
        machine.fencingTokenStep++;
    }
  }

  /** Sends this step's commands, then questions to machines that should have been heard. */
  send(now: Instant, pendingCommands: PendingCommands, decisions: Decision[]): void {
    for (const id of pendingCommands.commands.keys()) {
      const machine = this.context.cluster.machines.get(id);
      const commands = pendingCommands.batchFor(id);
      if (machine === undefined || commands === null) continue;
      const isFree = !machine.commandsInFlight && !this.context.isPaused(machine);
      const sent = isFree && this.sendBatch(machine, commands, decisions);
      // one batch at a time: what can't be sent now is decided on again
      if (!sent) this.applyResult(id, barredResult(commands), now);
    }
    this.sendProbes(now, decisions);
  }

  /** Whether the machine has an address to send to. */
  private sendBatch(machine: Machine, commands: Command[], decisions: Decision[]): boolean {
    if (machine.addr === null) return false;
    machine.commandsInFlight = true;
    decisions.push({
      kind: "commands",
      machine: machine.id,
      zone: machine.zone,
      // what got no answer by one route is sent by the other
      via: machine.unansweredBatches % 2 === 1 ? this.alternateRoute(machine) : this.primaryRoute(machine),
      addr: machine.addr,
      workerEpoch: Math.max(1, machine.workerEpoch),
      fencingToken: fencingTokenOf(this.context.term.number, machine.fencingTokenStep),
      commands,
    });
    return true;
  }

  /** The member that passes on its heartbeats; right after its shard was handed over, the new owner. */
  private primaryRoute(machine: Machine): string | null {
    return this.context.options.ownership?.routeOverride(machine.id, machine.zone) ?? machine.relayedBy;
  }

  /**
   * Beside the member that passes on a machine's heartbeats, this node itself; and where that is the same, another member:
   * a leader that lost only its connections to workers would otherwise take them for dead.
   */
  private alternateRoute(machine: Machine): string | null {
    const { leader, members } = this.context.term;
    if (machine.relayedBy !== null && machine.relayedBy !== leader) return null;
    const others = members.filter((member) => member.name !== leader);
    const inZone = others.find((member) => member.zone === machine.zone);
    return (inZone ?? others[0])?.name ?? null;
  }

  private sendProbes(now: Instant, decisions: Decision[]): void {
    const probeLimit = Math.max(MIN_PROBE_LIMIT, this.context.cluster.machines.size * PROBE_LIMIT_SHARE);
    for (const machine of this.machinesToProbe(now, Math.ceil(probeLimit))) {
      machine.probedAt = now;
      this.sendBatch(machine, [], decisions);
    }
  }

  /**
   * Up to `probeLimit` machines to be asked now. Where more are wanted, those asked longest ago come first: with hundreds behind
   * a partition the first ones, asked again and again, would keep the others from being asked at all.
   */
  private machinesToProbe(now: Instant, limit: number): Machine[] {
    const candidates = [...new Set(this.probeCandidates(now))].filter((machine) =>
      this.mayProbe(machine, now),
    );
    if (candidates.length <= limit) return candidates;
    const lastProbedAt = (machine: Machine): number => machine.probedAt ?? -Infinity;
    return candidates.sort((one, other) => lastProbedAt(one) - lastProbedAt(other)).slice(0, limit);
  }

  /** Machines whose heartbeat is wanted; some come up more than once. */
  private *probeCandidates(now: Instant): Iterable<Machine> {
    const { cluster } = this.context;
    for (const attempt of cluster.unacknowledgedStarts) yield machineOf(cluster, attempt);
    // an earlier leader may have started something on these
    for (const machine of cluster.unconfirmed) yield machine;
    for (const machine of cluster.byLastHeartbeat) {
      if (!this.isSilent(machine, now)) break;
      yield machine;
    }
    yield* cluster.unreachable;
    yield* cluster.awaitingFence;
  }

  private isSilent(machine: Machine, now: Instant): boolean {
    return machine.lastHeartbeatAt === null || hasElapsed(now, machine.lastHeartbeatAt, this.probeAfter);
  }

  private mayProbe(machine: Machine, now: Instant): boolean {
    if (!machine.recorded || machine.addr === null) return false;
    if (machine.commandsInFlight || machine.releaseRequestedAt !== null) return false;
    const isProbedOften =
      machine.unansweredBatches < UNANSWERED_BATCHES_BEFORE_SLOW_PROBING || !this.isSilent(machine, now);
    const interval = isProbedOften ? PROBE_INTERVAL : SLOW_PROBE_INTERVAL;
    return machine.probedAt === null || hasElapsed(now, machine.probedAt, interval);
  }

  /** What became of a batch; also of one that was not sent. */
  applyResult(id: string, result: CommandBatchResult, now: Instant): void {
    const { cluster } = this.context;
    const machine = cluster.machines.get(id);
    if (machine === undefined) return;
    const { outcome, fencingToken } = result;
    // a node whose queue is full, or that may not send now, won't send a moment later
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

  /** A start that no heartbeat has shown yet: whether it may still be executed (S4). */
  private applyStartResult(
    machine: Machine,
    attempt: TaskAttempt,
    { outcome, fencingToken, answeredBy }: CommandBatchResult,
  ): void {
    const { cluster } = this.context;
    // A heartbeat under a higher token came before this and didn't show the task: a late start is refused from then on. No
    // later heartbeat would settle it, since workers report changes alone.
    const isLateStartRefused = machine.fencingToken > fencingToken;
    if (outcome === "unknown" && !isLateStartRefused)
      updateAttempt(cluster, attempt, { unacknowledgedToken: fencingToken });
    // heartbeats come by several routes: the one that shows the task may arrive after this answer
    else if (outcome === "done" && !isSameOrNewer(machine, answeredBy)) attempt.acknowledgedBy = answeredBy;
    else removeAttempt(cluster, attempt);
  }
}

/** The outcome of commands that stayed here. */
const barredResult = (commands: readonly Command[]): CommandBatchResult => ({
  commands,
  fencingToken: NO_TOKEN,
  outcome: "barred",
  answeredBy: { workerEpoch: 0, sequence: 0 },
});
