/**
 * The simulated network: delay and loss of messages, network cuts, and frozen processes.
 */
import { STEP_MS } from "./settings.js";
import { type WorldState } from "./world-state.js";
import { type Node } from "./nodes.js";

/** Draws whether an event with this rate happens in this step. */
export function chance(world: WorldState, perSecond: number): boolean {
  return world.random() < (perSecond * world.faultRate * STEP_MS) / 1000;
}

/** Draws an element of the list. */
export function pick<T>(world: WorldState, list: readonly T[]): T {
  return list[Math.floor(world.random() * list.length)]!;
}

/** Sends a message, which takes milliseconds, in rare cases seconds, or is lost. */
export function sendLater(world: WorldState, run: () => void, mayBeLost = true, extraDelayMs = 0): void {
  const drawn = world.random();
  if (mayBeLost && drawn < 0.01 * world.faultRate) return;
  const delayMs = drawn > 1 - 0.02 * world.faultRate ? 500 + world.random() * 9000 : 2 + world.random() * 40;
  const linkDelayMs = world.maxLinkDelayMs > 0 ? world.extraRandom() * world.maxLinkDelayMs : 0;
  world.messages.push({ at: world.now + delayMs + linkDelayMs + extraDelayMs, run });
}

/** Defers the handling of a message while the receiving process is frozen. */
export function whenAwake(world: WorldState, node: Node, run: () => void): () => void {
  return () => {
    if (world.now < node.frozenUntil)
      world.messages.push({ at: node.frozenUntil, run: whenAwake(world, node, run) });
    else run();
  };
}

/** Whether this process can reach the state service now. */
export function reachesState(world: WorldState, node: Node): boolean {
  const cut = Math.max(world.stateDownUntil, node.stateCutUntil, node.isolatedUntil);
  return node.alive && world.now >= cut && !isZoneCut(world, node.zone);
}

/** Whether two controllers can reach each other. */
export function areConnected(world: WorldState, node: Node, other: Node): boolean {
  return (
    node === other ||
    (world.now >= Math.max(world.peersRefusedUntil, node.isolatedUntil, other.isolatedUntil) &&
      !areZonesApart(world, node.zone, other.zone))
  );
}

export function isZoneCut(world: WorldState, zone: string): boolean {
  return world.now < (world.zoneCutUntil.get(zone) ?? 0);
}

/** Whether two zones are cut off from each other. */
export function areZonesApart(world: WorldState, a: string, b: string): boolean {
  return a !== b && (isZoneCut(world, a) || isZoneCut(world, b));
}
