/**
 * Random faults: crashes and freezes of processes, network cuts, outages, and machines that hang or die.
 */
import * as Duration from "effect/Duration";
import { TIMINGS } from "./settings.js";
import { type WorldState } from "./world-state.js";
import { beginOutage } from "./state-service.js";
import { chance, pick } from "./network.js";
import { type Node, newNode } from "./nodes.js";
import { cancelJob } from "./users.js";
import { killWorker, workersRunning } from "./workers.js";

/** Draws the faults of one step. */
export function injectFaults(world: WorldState): void {
  if (world.combinesFaults && chance(world, 0.08)) combineFaults(world);
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

/**
 * Draws faults that begin within seconds of one another: machines are cut off, jobs on them are cancelled, controllers end,
 * and the state service goes out, for all or for one controller, about when the machines are heard again.
 */
function combineFaults(world: WorldState): void {
  const { random } = world;
  world.cutsReset = random() < 0.5;
  const within = (ms: number, run: () => void): void =>
    void world.messages.push({ at: world.now + random() * ms, run });
  const leaseMs = Duration.toMillis(TIMINGS.workerLease);
  const cutMs = (0.3 + random()) * leaseMs;
  const cutShare = random();
  const cutOff = [...world.workers.values()].filter(({ gone }) => !gone && random() < cutShare);
  for (const worker of cutOff) worker.cutUntil = world.now + cutMs;
  world.cloudDownUntil = Math.max(world.cloudDownUntil, world.now + 2 * leaseMs);
  for (const id of [...world.jobs.keys()])
    if (random() < 0.5 && workersRunning(world, id).some((worker) => cutOff.includes(worker)))
      within(3000, () => void cancelJob(world, id));
  const crashShare = random() < 0.4 ? 1 : random();
  for (const node of world.nodes)
    if (random() < crashShare) within(4000, () => crashProcess(world, node, random() * 2000));
  const outageMs = random() * Duration.toMillis(TIMINGS.cancelDeadline) * 1.2;
  const refused = random() < 0.2 ? pick(world, world.nodes) : null;
  const beginsAt = world.now + cutMs - random() * 4000 + 1000;
  const run = (): void => {
    if (refused === null) beginOutage(world, outageMs);
    else refused.stateCutUntil = world.now + outageMs;
  };
  world.messages.push({ at: Math.max(world.now, beginsAt), run });
  world.count("combined faults");
}

/** Crashes a member's process; a new one starts after `downMs`. */
export function crashProcess(world: WorldState, node: Node, downMs: number): void {
  Object.assign(node, newNode(world, node.name, node.zone), { alive: false, restartAt: world.now + downMs });
}
