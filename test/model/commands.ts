/**
 * The way of commands from the leader through a member to a worker, and of their outcomes back to the leader.
 */
import { type WorldState } from "./world-state.js";
import { sendLater, whenAwake, areConnected, areZonesApart } from "./network.js";
import { type Node } from "./nodes.js";
import { newHeartbeat, executeCommands } from "./workers.js";
import { mayAct } from "./election.js";
import { type Heartbeat } from "../../src/core/records.js";
import { type HeartbeatId } from "../../src/core/cluster/cluster.js";
import { type Decision, type CommandOutcome, type Scheduler } from "../../src/core/scheduler/scheduler.js";
import { instant } from "../../src/core/time.js";

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

/** Sends a batch of commands to a worker through a member. */
export function sendCommands(
  world: WorldState,
  leader: Node,
  scheduler: Scheduler,
  decision: Extract<Decision, { kind: "commands" }>,
): void {
  const term = leader.term!;
  const via = world.nodes.find((node) => node.name === decision.via) ?? leader;
  const worker = world.workers.get(decision.machine);
  const batchId = term.number * 1e9 + ++leader.batchCount;
  leader.pendingCommands.set(batchId, {
    machine: decision.machine,
    orders: decision.commands,
    token: decision.fencingToken,
    at: world.now,
  });
  if (!areConnected(world, leader, via)) return settleCommands(world, leader, scheduler, batchId, "unsent");
  const { incarnation } = via;
  let outcome: CommandOutcome | null = null;
  const settled = (result: CommandOutcome, heartbeat: Heartbeat | null): void => {
    if (outcome !== null || !via.alive || via.incarnation !== incarnation) return;
    outcome = result;
    via.partition.commandsAnswered(batchId, result, heartbeat, instant(world.now));
  };
  const settle = (result: CommandOutcome, heartbeat: Heartbeat | null): void =>
    whenAwake(world, via, () => settled(result, heartbeat))();
  sendLater(
    world,
    whenAwake(world, via, () => {
      if (!via.alive || via.incarnation !== incarnation) return;
      if (via.term?.number !== term.number || !mayAct(world, via)) return settle("barred", null);
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
        if (worker.fencingToken > decision.fencingToken && decision.commands.length > 0)
          world.count("command batches of an earlier leader");
        const accepted = executeCommands(
          world,
          worker,
          decision.fencingToken,
          decision.workerEpoch,
          decision.commands,
        );
        const heartbeat = newHeartbeat(worker);
        if (accepted && world.now < worker.muteUntil)
          world.count("commands executed while heartbeats are lost");
        if (accepted && world.now - sent > 2000 && decision.commands.length > 0)
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
    }),
  );
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
