/**
 * Random faults: crashes and freezes of processes, network cuts, outages, and machines that hang or die.
 */
import * as Duration from "effect/Duration";
import { TIMINGS } from "./settings.js";
import { type WorldState } from "./world-state.js";
import { beginOutage } from "./state-service.js";
import { chance, pick } from "./network.js";
import { type Node, newNode } from "./nodes.js";
import { killWorker } from "./workers.js";

/** Draws the faults of one step. */
export function injectFaults(world: WorldState): void {
  if (chance(world, 0.02)) {
    const node = pick(world, world.nodes);
    if (node.alive) {
      // some restart almost at once, even during an election
      const downMs = world.random() < 0.3 ? world.random() * 200 : world.random() * 4000;
      Object.assign(node, newNode(world, node.name, node.zone), {
        alive: false,
        restartAt: world.now + downMs,
      });
    }
  }
  if (chance(world, 0.02)) pick(world, world.nodes).stateCutUntil = world.now + world.random() * 10_000;
  if (chance(world, 0.01)) pick(world, world.nodes).isolatedUntil = world.now + world.random() * 40_000;
  if (chance(world, 0.004)) beginOutage(world, world.random() * 25_000);
  // while nothing can be released, only the end of a lease proves that a machine has stopped
  if (chance(world, 0.004)) world.cloudDownUntil = world.now + world.random() * 40_000;
  // up to twice a worker's lease, and so longer than its own; it is the leader if there is one
  if (chance(world, 0.01)) {
    const node = world.nodes.find((node) => node.name === world.leader?.name) ?? pick(world, world.nodes);
    node.frozenUntil = world.now + world.random() * 2 * Duration.toMillis(TIMINGS.workerLease);
  }
  const workers = [...world.workers.values()].filter((worker) => !worker.gone);
  if (workers.length > 0) {
    if (chance(world, 0.03)) pick(world, workers).hungUntil = world.now + world.random() * 15_000;
    if (chance(world, 0.03)) pick(world, workers).cutUntil = world.now + world.random() * 20_000;
    if (chance(world, 0.01)) killWorker(world, pick(world, workers));
    if (chance(world, 0.01)) pick(world, workers).deafUntil = world.now + world.random() * 40_000;
  }
  for (const node of world.nodes)
    if (!node.alive && world.now >= node.restartAt) Object.assign(node, newNode(world, node.name, node.zone));
}

/** Crashes a member's process; a new one starts after `downMs`. */
export function crashProcess(world: WorldState, node: Node, downMs: number): void {
  Object.assign(node, newNode(world, node.name, node.zone), { alive: false, restartAt: world.now + downMs });
}
