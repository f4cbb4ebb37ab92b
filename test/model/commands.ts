/**
 * The way of commands from the leader through a member to a worker, and of their outcomes back to the leader.
 */
import { type WorldState } from "./world-state.js";
import { sendLater, whenAwake, areConnected, areZonesApart } from "./network.js";
import { type Node } from "./nodes.js";
import { newHeartbeat, executeCommands } from "./workers.js";
import { mayAct } from "./election.js";
import { copyToWorker, keepForCopies } from "./command-copies.js";
import { type Version } from "./versions.js";
import { type Heartbeat, type TermRecord } from "../../src/core/records.js";
import { type HeartbeatId } from "../../src/core/cluster/cluster.js";
import { type Decision, type CommandOutcome, type Scheduler } from "../../src/core/scheduler/scheduler.js";
import { instant } from "../../src/core/time.js";

/** Below every step of a machine's token: the leader then doesn't raise the token before the attempt is forgotten. */
const NO_TOKEN_STEP = -1;

/** Reports the outcome of a batch of commands to the leader's core. */
export function settleCommands(
  world: WorldState,
  leader: Node,
  scheduler: Scheduler,
  batchId: number,
  outcome: CommandOutcome,
  answeredIn?: HeartbeatId,
): void {
  const batch = leader.pendingCommands.get(batchId);
  if (batch === undefined) return;
  leader.pendingCommands.delete(batchId);
  const reported = world.disabledGuard === "unknown_outcome" && outcome === "unknown" ? "unsent" : outcome;
  scheduler.commandsAnswered(
    batch.machine,
    batch.orders,
    batch.token,
    reported,
    instant(world.now),
    answeredIn,
  );
}

/** A batch of commands on its way through a member. */
interface Delivery {
  readonly term: TermRecord;
  readonly via: Node;
  readonly batchId: number;
  readonly batch: Extract<Decision, { kind: "commands" }>;
  /** The version of the leader that decided on it. */
  readonly leaderVersion: Version;
}

/** Sends a batch of commands to a worker through a member. */
export function sendCommands(
  world: WorldState,
  leader: Node,
  scheduler: Scheduler,
  decision: Extract<Decision, { kind: "commands" }>,
): void {
  const term = leader.term!;
  const via = world.nodes.find((node) => node.name === decision.via) ?? leader;
  const batchId = term.number * 1e9 + ++leader.batchCount;
  leader.pendingCommands.set(batchId, {
    machine: decision.machine,
    orders: decision.commands,
    token: decision.fencingToken,
    at: world.now,
  });
  if (!areConnected(world, leader, via)) return settleCommands(world, leader, scheduler, batchId, "unsent");
  const { incarnation } = via;
  const delivery: Delivery = { term, via, batchId, batch: decision, leaderVersion: leader.version };
  sendLater(
    world,
    whenAwake(world, via, () => {
      if (via.alive && via.incarnation === incarnation) receiveDelivery(world, delivery);
    }),
  );
  if (via === leader || leader.version !== "new") return;
  keepForCopies(world, "delivery", () => {
    // an earlier version doesn't recognise copies
    if (via.version !== "new") return;
    world.count("copies of messages to members");
    whenAwake(world, via, () => {
      if (via.alive) receiveDelivery(world, delivery, true);
    })();
  });
}

/** A member receives a batch, or a copy of it, and sends it to the worker if it may. */
function receiveDelivery(world: WorldState, delivery: Delivery, isCopy = false): void {
  const { term, via, batchId, batch } = delivery;
  const { incarnation } = via;
  let outcome: CommandOutcome | null = null;
  const settled = (result: CommandOutcome, heartbeat: Heartbeat | null): void => {
    if (outcome !== null || !via.alive || via.incarnation !== incarnation) return;
    outcome = result;
    via.partition.commandsAnswered(batchId, result, heartbeat, instant(world.now));
  };
  const settle = (result: CommandOutcome, heartbeat: Heartbeat | null): void =>
    whenAwake(world, via, () => settled(result, heartbeat))();
  const isNew = via.receivedBatches.receive(batch.machine, batchId);
  if (!isNew && via.version === "new" && world.disabledGuard !== "received_batches")
    return world.count("copies recognised by members");
  if (via.term?.number !== term.number || !mayAct(world, via)) {
    // the receipt says so; that of a copy reaches nobody
    if (!isCopy) settle("barred", null);
    return;
  }
  if (world.refusedConnectionShare > 0 && world.copyRandom() < world.refusedConnectionShare) {
    world.count("connections refused by workers");
    return settle("unsent", null);
  }
  sendToWorker(world, delivery, settle);
}

/** Sends a member's request with commands to the worker. */
function sendToWorker(
  world: WorldState,
  { via, batch, leaderVersion }: Delivery,
  settle: (result: CommandOutcome, heartbeat: Heartbeat | null) => void,
): void {
  const { fencingToken, workerEpoch, commands } = batch;
  const worker = world.workers.get(batch.machine);
  const sent = world.now;
  const arrive = (): void => {
    if (worker === undefined || worker.gone || world.now < worker.upAt) return;
    // the worker can't be reached: the batch waits and is executed once it can
    const zoneCutUntil = areZonesApart(world, via.zone, worker.record.zone)
      ? Math.max(world.zoneCutUntil.get(via.zone) ?? 0, world.zoneCutUntil.get(worker.record.zone) ?? 0)
      : 0;
    const blockedUntil = Math.max(worker.hungUntil, worker.cutUntil, worker.deafUntil, zoneCutUntil);
    if (world.cutsReset && world.now < Math.max(worker.cutUntil, zoneCutUntil)) return;
    if (world.now < blockedUntil) {
      world.messages.push({ at: blockedUntil + 1, run: arrive });
      return;
    }
    if (worker.fencingToken > fencingToken && commands.length > 0)
      world.count("command batches of an earlier leader");
    const accepted = executeCommands(world, worker, fencingToken, workerEpoch, commands);
    const heartbeat = newHeartbeat(worker);
    if (accepted && world.now < worker.muteUntil) world.count("commands executed while heartbeats are lost");
    if (accepted && world.now - sent > 2000 && commands.length > 0)
      world.count("command batches executed late");
    sendLater(
      world,
      () => settle(accepted ? "done" : "rejected", heartbeat),
      true,
      drawHoldUpMs(world, "command answers delayed"),
    );
  };
  sendLater(world, arrive, true, drawHoldUpMs(world, "command batches delayed") + drawLateDelayMs(world));
  world.messages.push({ at: world.now + 2000, run: () => settle("unknown", null) });
  // an earlier version's leader has workers forget attempts under the token of their start
  if (leaderVersion === "new" && worker !== undefined)
    keepForCopies(world, "request", () =>
      copyToWorker(world, worker, { fencingToken, workerEpoch, commands }),
    );
}

/** Has a leader without the guard, or of an earlier version, forget under which tokens it started attempts. */
export function applyVersionToLeader(world: WorldState, leader: Node, scheduler: Scheduler): void {
  if (world.disabledGuard !== "forget_fence" && leader.version === "new") return;
  for (const machine of scheduler.cluster.machines.values())
    for (const attempt of machine.attempts.values()) attempt.startTokenStep = NO_TOKEN_STEP;
}

/** The extra delay of a command batch or of its answer; 0 for most. */
export function drawHoldUpMs(world: WorldState, event: string): number {
  if (world.delayedCommandShare === 0 || world.extraRandom() >= world.delayedCommandShare) return 0;
  world.count(event);
  return 1000 + world.extraRandom() * 7000;
}

/** The extra delay of a command batch beyond the time that the sender waits; 0 for most. */
export function drawLateDelayMs(world: WorldState): number {
  if (world.lateCommandShare === 0 || world.extraRandom() >= world.lateCommandShare) return 0;
  world.count("late command batches");
  return 2000 + world.extraRandom() * 14_000;
}
