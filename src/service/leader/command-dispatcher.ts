/**
 * Command delivery: batches are sent through the member that owns the machine, or directly by this node, and stay
 * pending until their outcome arrives with that member's updates. Without an outcome they may still be executed (S4).
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import type { HeartbeatId } from "../../core/cluster/cluster.js";
import { groupByWeight } from "../../core/packing.js";
import type { Command, TermRecord } from "../../core/records.js";
import type { CommandOutcome, Decision, Scheduler } from "../../core/scheduler/scheduler.js";
import { hasElapsed, type Instant } from "../../core/time.js";
import { now } from "../../io/clock.js";
import type { CommandBatch } from "../../io/peer-codec.js";
import type { LeaderContext } from "./leader-context.js";

/** After this long without an outcome, commands count as `unknown`: they may still be executed. */
const OUTCOME_TIMEOUT = Duration.seconds(6);
const BATCHES_PER_TERM = 1_000_000_000;
/** Keeps messages to members far below their size limit of 4 MiB. */
const MAX_COMMANDS_PER_MESSAGE = 10_000;
/** Size of a batch in commands; the machine's address counts as two. */
const commandWeight = (batch: CommandBatch): number => 2 + batch.commands.length;

/** A decision to send commands to one machine. */
export type CommandsDecision = Extract<Decision, { kind: "commands" }>;

/** Whether a member accepted a message; `unknown`: it was sent and the answer was lost. */
type DeliveryOutcome = "accepted" | "not accepted" | "unknown";

interface PendingBatch {
  readonly machine: string;
  readonly commands: readonly Command[];
  readonly fencingToken: number;
  readonly sentAt: Instant;
}

/** Sends the scheduler's commands and reports their outcomes to it. */
export class CommandDispatcher {
  /** By batch id, oldest first. */
  private readonly pendingBatches = new Map<number, PendingBatch>();

  constructor(private readonly context: LeaderContext) {}

  /** Forgets all pending batches when this node stops leading. */
  clear(): void {
    this.pendingBatches.clear();
  }

  /** The member to send commands through, where `via` is the machine's owner; null: this node sends them. */
  route(via: string | null): string | null {
    const { membership } = this.context.services;
    const isMember = membership.term?.members.some((member) => member.name === via) ?? false;
    return isMember && via !== this.context.options.self ? via : null;
  }

  /** Turns a decision into a batch, which is pending from now on. */
  prepare(decision: CommandsDecision): CommandBatch {
    const { shards } = this.context.services;
    const { machine, zone, addr, workerEpoch, fencingToken, commands } = decision;
    // never reused, not even by a later leader
    const id = (this.context.termNumber ?? 0) * BATCHES_PER_TERM + this.context.nextSequence();
    this.pendingBatches.set(id, { machine, commands, fencingToken, sentAt: now() });
    if (commands.length > 0) {
      shards?.countCommandBatch(machine, zone);
      this.logCommands(decision);
    }
    return { id, machine, addr, workerEpoch, fencingToken, commands };
  }

  private logCommands({ machine, fencingToken, commands }: CommandsDecision): void {
    const { log } = this.context.services;
    if (!log.isLevelEnabled("debug")) return;
    const described = commands.map((command) => `${command.op} ${command.job}/${command.index}`);
    log.debug({ fencingToken, machine, commands: described.join(", ") }, "sending commands");
  }

  /** Starts sending batches through a member, in as many messages as needed; `via` null: from this node. */
  dispatch(via: string | null, batches: readonly CommandBatch[]): Effect.Effect<void> {
    return Effect.forEach(
      groupByWeight(batches, commandWeight, MAX_COMMANDS_PER_MESSAGE),
      (message) => this.context.fork(this.send(via, message)),
      { discard: true },
    );
  }

  private send(via: string | null, batches: readonly CommandBatch[]): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const { member, membership } = this.context.services;
      const { term } = membership;
      if (term === null || this.context.schedulerLock === null) return;
      const outcome = via === null ? "not accepted" : yield* this.deliverThrough(via, term, batches);
      if (outcome === "accepted") return;
      // the member can't be reached or may not send, so this node sends the batches. Commands that may already have
      // been sent are not repeated; a batch without commands only requests a heartbeat, so repeating it does no harm
      const ownBatches =
        outcome === "not accepted" ? batches : batches.filter((batch) => batch.commands.length === 0);
      const receipt = yield* member.deliver({ term, batches: ownBatches });
      this.context.schedulerLock?.with((scheduler) => {
        for (const batch of batches)
          if (!ownBatches.includes(batch)) this.recordOutcome(scheduler, batch.id, "unknown");
          else if (!receipt.accepted) this.recordOutcome(scheduler, batch.id, "barred");
      });
      this.context.stepRequested.notify();
    });
  }

  private deliverThrough(
    via: string,
    term: TermRecord,
    batches: readonly CommandBatch[],
  ): Effect.Effect<DeliveryOutcome> {
    return this.context.services.peers.deliver(via, { term, batches }).pipe(
      Effect.map((receipt): DeliveryOutcome => (receipt?.accepted === true ? "accepted" : "not accepted")),
      Effect.catchAll((error) => Effect.succeed<DeliveryOutcome>(error.sent ? "unknown" : "not accepted")),
    );
  }

  /** Reports the first outcome of a batch, and the heartbeat that the worker answered with, to the scheduler. */
  recordOutcome(scheduler: Scheduler, id: number, outcome: CommandOutcome, answeredBy?: HeartbeatId): void {
    const batch = this.pendingBatches.get(id);
    if (batch === undefined) return;
    this.pendingBatches.delete(id);
    const { machine, commands, fencingToken } = batch;
    scheduler.commandsAnswered(machine, commands, fencingToken, outcome, now(), answeredBy);
    if (outcome !== "done" && outcome !== "barred")
      this.context.services.log.debug(
        { machine, outcome, count: commands.length },
        "commands not confirmed as executed",
      );
  }

  /** Reports batches that have been pending too long as `unknown`. */
  expirePending(scheduler: Scheduler): void {
    for (const [id, batch] of this.pendingBatches) {
      if (!hasElapsed(now(), batch.sentAt, OUTCOME_TIMEOUT)) return;
      this.recordOutcome(scheduler, id, "unknown");
    }
  }
}
