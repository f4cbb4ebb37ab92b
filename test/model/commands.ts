/**
 * Commands on their way from the leader through a member to a worker, and what becomes of them.
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

/** The outcome of a batch of commands reaches the leader. */
export function settleCommands(
  world: WorldState,
  leader: Node,
  scheduler: Scheduler,
  id: number,
  outcome: CommandOutcome,
  by?: HeartbeatId,
): void {
  const batch = leader.pendingCommands.get(id);
  if (batch === undefined) return;
  leader.pendingCommands.delete(id);
  const told = world.without === "doubt" && outcome === "unknown" ? "unsent" : outcome;
  scheduler.commandsAnswered(batch.machine, batch.orders, batch.token, told, instant(world.now), by);
}

/** Sends a batch of commands to a worker through a member. */
export function sendCommands(
  world: WorldState,
  leader: Node,
  scheduler: Scheduler,
  d: Extract<Decision, { kind: "commands" }>,
): void {
  const term = leader.term!;
  const via = world.nodes.find((node) => node.name === d.via) ?? leader;
  const worker = world.workers.get(d.machine);
  const id = term.number * 1e9 + ++leader.batches;
  leader.pendingCommands.set(id, {
    machine: d.machine,
    orders: d.commands,
    token: d.fencingToken,
    at: world.now,
  });
  if (!areConnected(world, leader, via)) return settleCommands(world, leader, scheduler, id, "unsent");
  const { incarnation } = via;
  let outcome: CommandOutcome | null = null;
  const settled = (result: CommandOutcome, heartbeat: Heartbeat | null): void => {
    if (outcome !== null || !via.alive || via.incarnation !== incarnation) return;
    outcome = result;
    via.part.commandsAnswered(id, result, heartbeat, instant(world.now));
  };
  const settle = (result: CommandOutcome, heartbeat: Heartbeat | null): void =>
    whenAwake(world, via, () => settled(result, heartbeat))();
  sendLater(
    world,
    whenAwake(world, via, () => {
      if (!via.alive || via.incarnation !== incarnation) return;
      if (via.term?.number !== term.number || !mayAct(world, via)) return settle("barred", null);
      const sent = world.now;
      const reach = (): void => {
        if (worker === undefined || worker.gone || world.now < worker.up) return;
        // hung, cut or deaf: the order waits, and is executed when that ends
        const cut = areZonesApart(world, via.zone, worker.record.zone)
          ? Math.max(world.zoneCutUntil.get(via.zone) ?? 0, world.zoneCutUntil.get(worker.record.zone) ?? 0)
          : 0;
        const until = Math.max(worker.hungUntil, worker.cutUntil, worker.deafUntil, cut);
        if (world.now < until) {
          world.messages.push({ at: until + 1, run: reach });
          return;
        }
        if (worker.fencingToken > d.fencingToken && d.commands.length > 0)
          world.count("orders of an earlier leader");
        const done = executeCommands(world, worker, d.fencingToken, d.workerEpoch, d.commands);
        const heartbeat = newHeartbeat(worker);
        if (done && world.now < worker.muteUntil) world.count("orders carried out by mute machines");
        if (done && world.now - sent > 2000 && d.commands.length > 0) world.count("orders carried out late");
        sendLater(
          world,
          () => settle(done ? "done" : "rejected", heartbeat),
          true,
          drawHoldUp(world, "answers held up"),
        );
      };
      sendLater(world, reach, true, drawHoldUp(world, "orders held up") + drawLateDelay(world));
      world.messages.push({ at: world.now + 2000, run: () => settle("unknown", null) });
    }),
  );
}

/** How long something is held up, if it is. */
export function drawHoldUp(world: WorldState, what: string): number {
  if (world.delayedCommands === 0 || world.extra() >= world.delayedCommands) return 0;
  world.count(what);
  return 1000 + world.extra() * 7000;
}

/** How late a command is, if it is. */
export function drawLateDelay(world: WorldState): number {
  if (world.lateCommands === 0 || world.extra() >= world.lateCommands) return 0;
  world.count("late orders");
  return 2000 + world.extra() * 14_000;
}
