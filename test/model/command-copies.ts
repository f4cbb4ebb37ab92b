/**
 * Late copies of commands: every request to a worker, every message from the leader to a member and every update from a
 * member to the leader is kept, and copies of them arrive at any later step.
 */
import { STEP_MS } from "./settings.js";
import { type WorldState } from "./world-state.js";
import { type Worker, executeCommands } from "./workers.js";
import { type Command } from "../../src/core/records.js";

/** Half of the copies are of one of this many latest messages; the others are of any message. */
const RECENT_MESSAGES = 40;

/** Delivers a copy of one message. */
export type CopyDelivery = () => void;

/** What is copied: a request to a worker, a leader's message to a member, a member's update, or a move of a shard. */
export type MessageKind = "request" | "delivery" | "update" | "move";

/** The messages of which copies may arrive. */
export class KeptMessages {
  private readonly deliveries = new Map<MessageKind, CopyDelivery[]>();

  keep(kind: MessageKind, delivery: CopyDelivery): void {
    const kept = this.deliveries.get(kind);
    if (kept === undefined) this.deliveries.set(kind, [delivery]);
    else kept.push(delivery);
  }

  /** Draws a kind and then a message, which may be drawn again. */
  draw(random: () => number): CopyDelivery | undefined {
    const kinds = [...this.deliveries.values()];
    const ofKind = kinds[Math.floor(random() * kinds.length)] ?? [];
    const among = random() < 0.5 ? Math.min(ofKind.length, RECENT_MESSAGES) : ofKind.length;
    return ofKind[ofKind.length - 1 - Math.floor(random() * among)];
  }
}

/** Keeps a message, if copies may be delivered later in this run. */
export function keepForCopies(world: WorldState, kind: MessageKind, delivery: CopyDelivery): void {
  if (world.keepsMessages) world.keptMessages.keep(kind, delivery);
}

/** Delivers the copies that arrive in this step. */
export function deliverCopies(world: WorldState): void {
  const expected = (world.copiesPerSecond * STEP_MS) / 1000;
  if (expected === 0 || world.copyRandom() >= expected) return;
  world.keptMessages.draw(world.copyRandom)?.();
}

/** A copy of a request with commands arrives at its worker, which may hang at first. Nobody awaits its answer. */
export function copyToWorker(
  world: WorldState,
  worker: Worker,
  request: { fencingToken: number; workerEpoch: number; commands: readonly Command[] },
): void {
  if (worker.gone || world.now < worker.upAt) return;
  const blockedUntil = Math.max(worker.hungUntil, worker.cutUntil, worker.deafUntil);
  if (world.now < blockedUntil) {
    world.messages.push({ at: blockedUntil + 1, run: () => copyToWorker(world, worker, request) });
    return;
  }
  const { fencingToken, workerEpoch, commands } = request;
  world.count("copies of requests to workers");
  for (const command of commands)
    if (command.op === "start" && worker.hasForgotten(command)) {
      world.count("copies of starts whose attempts were forgotten");
      if (worker.workerEpoch === workerEpoch) world.count("copies of such starts within the session");
    }
  executeCommands(world, worker, fencingToken, workerEpoch, commands);
}
