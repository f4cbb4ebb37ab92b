/**
 * The fault generator: processes that end or stand still, cuts, outages, and machines that hang or die, drawn from the seed.
 */
import * as Duration from "effect/Duration";
import { TIMINGS } from "./settings.js";
import { type WorldState } from "./world-state.js";
import { beginOutage } from "./state-service.js";
import { chance, pick } from "./network.js";
import { type Node, newNode } from "./nodes.js";
import { killWorker } from "./workers.js";

/** The faults of one step. */
export function injectFaults(world: WorldState): void {
  if (chance(world, 0.02)) {
    const node = pick(world, world.nodes);
    if (node.alive) {
      // some are back at once, also in the middle of an election
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
  // with no releases, only time proves that a machine is over
  if (chance(world, 0.004)) world.cloudDownUntil = world.now + world.random() * 40_000;
  // longer than its own lease and a worker's; mostly the busiest
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

/** The process of a member ends, and another one is back after so long. */
export function crashProcess(world: WorldState, node: Node, downMs: number): void {
  Object.assign(node, newNode(world, node.name, node.zone), { alive: false, restartAt: world.now + downMs });
}
