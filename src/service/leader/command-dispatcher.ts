/**
 * Command delivery: batches go to the member that owns the machine, or straight from this node, and stay unanswered
 * until their outcome comes with that member's updates. What isn't heard of may be carried out yet (S4).
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

/** Commands of which nothing was heard for this long count as unknown: they may be carried out yet. */
const OUTCOME_TIMEOUT = Duration.seconds(6);
const BATCHES_PER_TERM = 1_000_000_000;
/** Commands in one message to a member: far below what a message may hold (4 MiB). */
const MAX_COMMANDS_PER_MESSAGE = 10_000;
/** A machine's address counts as two commands. */
const commandWeight = (batch: CommandBatch): number => 2 + batch.commands.length;

/** A decision to send commands to one machine. */
export type CommandsDecision = Extract<Decision, { kind: "commands" }>;

/** Whether a member took a message: `unknown` if it was sent and the answer was lost. */
type DeliveryOutcome = "accepted" | "not accepted" | "unknown";

interface PendingBatch {
  readonly machine: string;
  readonly commands: readonly Command[];
  readonly fencingToken: number;
  readonly sentAt: Instant;
}

/** Sends the scheduler's commands and tells it what became of each. */
export class CommandDispatcher {
  /** The oldest first. */
  private readonly pendingBatches = new Map<number, PendingBatch>();

  constructor(private readonly context: LeaderContext) {}

  /** This node leads no longer: outcomes concern the next leader. */
  clear(): void {
    this.pendingBatches.clear();
  }

  /** The member that sends commands to a machine; null: this node itself. */
  route(via: string | null): string | null {
    const { membership } = this.context.services;
    const isMember = membership.term?.members.some((member) => member.name === via) ?? false;
    return isMember && via !== this.context.options.me ? via : null;
  }

  /** Makes a batch of a decision; from now on an answer is awaited. */
  prepare(decision: CommandsDecision): CommandBatch {
    const { shards } = this.context.services;
    const { machine, zone, addr, workerEpoch, fencingToken, commands } = decision;
    // not used again, also not by a later leader
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
    log.debug({ fencingToken, machine, commands: described.join(", ") }, "commands");
  }

  /** Starts to send batches by a member, in as many messages as they need; null: by this node. */
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
      // the member can't be reached, or may not send: this node sends by itself. Commands that may have been sent aren't
      // sent twice; a batch without commands only asks for a heartbeat, which may be asked for twice
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

  /** The outcome of a batch, and the heartbeat that the worker answered with. Only the first one counts. */
  recordOutcome(scheduler: Scheduler, id: number, outcome: CommandOutcome, answeredBy?: HeartbeatId): void {
    const batch = this.pendingBatches.get(id);
    if (batch === undefined) return;
    this.pendingBatches.delete(id);
    const { machine, commands, fencingToken } = batch;
    scheduler.commandsAnswered(machine, commands, fencingToken, outcome, now(), answeredBy);
    if (outcome !== "done" && outcome !== "barred")
      this.context.services.log.debug({ machine, outcome, count: commands.length }, "commands not answered");
  }

  /** Batches that waited too long for an answer may be carried out yet. */
  expirePending(scheduler: Scheduler): void {
    for (const [id, batch] of this.pendingBatches) {
      if (!hasElapsed(now(), batch.sentAt, OUTCOME_TIMEOUT)) return;
      this.recordOutcome(scheduler, id, "unknown");
    }
  }
}
