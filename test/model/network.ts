/**
 * The simulated network: how long messages take, which are lost, who reaches whom, and processes that stand still.
 */
import { STEP_MS } from "./settings.js";
import { type WorldState } from "./world-state.js";
import { type Node } from "./nodes.js";

/** Whether something that happens so often per second happens in this step. */
export function chance(world: WorldState, perSecond: number): boolean {
  return world.random() < (perSecond * world.faultRate * STEP_MS) / 1000;
}

/** One of the list, drawn from the seed. */
export function pick<T>(world: WorldState, list: readonly T[]): T {
  return list[Math.floor(world.random() * list.length)]!;
}

/** Messages are quick, slow, or held back for long; some never arrive. */
export function sendLater(world: WorldState, run: () => void, mayBeLost = true, extraDelayMs = 0): void {
  const drawn = world.random();
  if (mayBeLost && drawn < 0.01 * world.faultRate) return;
  const delayMs = drawn > 1 - 0.02 * world.faultRate ? 500 + world.random() * 9000 : 2 + world.random() * 40;
  const linkDelayMs = world.maxLinkDelayMs > 0 ? world.extraRandom() * world.maxLinkDelayMs : 0;
  world.messages.push({ at: world.now + delayMs + linkDelayMs + extraDelayMs, run });
}

/** Something that a node's process does when a message is there: a process that stands still does it later. */
export function whenAwake(world: WorldState, node: Node, run: () => void): () => void {
  return () => {
    if (world.now < node.frozenUntil)
      world.messages.push({ at: node.frozenUntil, run: whenAwake(world, node, run) });
    else run();
  };
}

/** Whether this process reaches the state service now. */
export function reachesState(world: WorldState, node: Node): boolean {
  const cut = Math.max(world.stateDownUntil, node.stateCutUntil, node.isolatedUntil);
  return node.alive && world.now >= cut && !isZoneCut(world, node.zone);
}

/** Whether two controllers reach one another. */
export function areConnected(world: WorldState, node: Node, other: Node): boolean {
  return (
    node === other ||
    (world.now >= Math.max(node.isolatedUntil, other.isolatedUntil) &&
      !areZonesApart(world, node.zone, other.zone))
  );
}

/** Whether this zone is cut off. */
export function isZoneCut(world: WorldState, zone: string): boolean {
  return world.now < (world.zoneCutUntil.get(zone) ?? 0);
}

/** Whether a cut lies between two zones. */
export function areZonesApart(world: WorldState, a: string, b: string): boolean {
  return a !== b && (isZoneCut(world, a) || isZoneCut(world, b));
}
