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

const WORKER_LEASE_MS = Duration.toMillis(TIMINGS.workerLease);

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

/** Draws faults that begin within seconds of one another, while no machine can be returned. */
function combineFaults(world: WorldState): void {
  world.count("combined faults");
  world.cutsReset = world.random() < 0.5;
  world.cloudDownUntil = Math.max(world.cloudDownUntil, world.now + 2 * WORKER_LEASE_MS);
  if (world.random() < 0.5) cutMachinesOfCancelledJobs(world);
  else cutLeaderBeforeHangs(world);
}

/**
 * Machines are cut off, jobs on them are cancelled, controllers end, and the state service goes out, for all or for one
 * controller, about when the machines are heard again.
 */
function cutMachinesOfCancelledJobs(world: WorldState): void {
  const { random } = world;
  const cutMs = (0.3 + random()) * WORKER_LEASE_MS;
  const cutShare = random();
  const cutOff = [...world.workers.values()].filter(({ gone }) => !gone && random() < cutShare);
  for (const worker of cutOff) worker.cutUntil = world.now + cutMs;
  for (const id of [...world.jobs.keys()])
    if (random() < 0.5 && workersRunning(world, id).some((worker) => cutOff.includes(worker)))
      runWithin(world, 3000, () => void cancelJob(world, id));
  const crashShare = random() < 0.4 ? 1 : random();
  for (const node of world.nodes)
    if (random() < crashShare)
      runWithin(world, 4000, () => {
        crashProcess(world, node, random() * 2000);
      });
  const outageMs = random() * Duration.toMillis(TIMINGS.cancelDeadline) * 1.2;
  const refused = random() < 0.2 ? pick(world, world.nodes) : null;
  const run = (): void => {
    if (refused === null) beginOutage(world, outageMs);
    else refused.stateCutUntil = world.now + outageMs;
  };
  const beginsAt = world.now + cutMs + 1000 - random() * 4000;
  world.messages.push({ at: Math.max(world.now, beginsAt), run });
}

/** The leader misses what members relay, and then machines hang for a little less than their leases. */
function cutLeaderBeforeHangs(world: WorldState): void {
  const { random } = world;
  const leader = world.nodes.find((node) => node.name === world.leader?.name);
  if (leader === undefined) return;
  const refusesPeers = random() < 0.5;
  if (refusesPeers) world.peersRefusedUntil = world.now + random() * 10_000;
  runWithin(world, 4000, () => {
    const endsAt = world.now + 1200 + random() * 1100;
    if (refusesPeers) leader.stateCutUntil = endsAt;
    else leader.isolatedUntil = endsAt;
    const run = (): void => {
      for (const worker of world.workers.values())
        if (!worker.gone && random() < 0.4) worker.hungUntil = world.now + WORKER_LEASE_MS - random() * 1000;
    };
    world.messages.push({ at: endsAt - random() * 600, run });
  });
}

const runWithin = (world: WorldState, ms: number, run: () => void): void =>
  void world.messages.push({ at: world.now + world.random() * ms, run });

/** Crashes a member's process; a new one starts after `downMs`. */
export function crashProcess(world: WorldState, node: Node, downMs: number): void {
  Object.assign(node, newNode(world, node.name, node.zone), { alive: false, restartAt: world.now + downMs });
}
