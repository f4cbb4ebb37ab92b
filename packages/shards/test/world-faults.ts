/** The troubles of the model: processes that end, stand still or are cut off, and workers that answer nothing. */
import { Node } from "./world-nodes.js";
import type { World } from "./world.js";

/** Brings troubles into a world, and ends them. Durations are in virtual milliseconds. */
export class Faults {
  constructor(private readonly world: World) {}

  /** The process ends, and nothing tells the others but its lease. */
  crash(name: string): void {
    this.world.node(name).alive = false;
  }

  /** A new process of the same controller: it ends the lease of its earlier one, and joins. */
  restart(name: string, knowsShards: boolean): void {
    const before = this.world.node(name);
    const node = new Node(name, before.zone);
    node.knowsShards = knowsShards;
    this.world.nodes.set(name, node);
    this.world.removeKey(name);
    this.world.joinMembers(node);
  }

  /** The process stands still, and doesn't notice it. */
  freeze(name: string, ms: number): void {
    const node = this.world.node(name);
    node.frozenUntil = Math.max(node.frozenUntil, this.world.now + ms);
  }

  /** The state service refuses this node. */
  refuseState(name: string, ms: number): void {
    const node = this.world.node(name);
    node.stateRefusedUntil = Math.max(node.stateRefusedUntil, this.world.now + ms);
  }

  /** Answers to a node's writes are lost, and what it reads falls behind. */
  loseAnswers(name: string, ms: number): void {
    const node = this.world.node(name);
    node.answersLostUntil = Math.max(node.answersLostUntil, this.world.now + ms);
    this.delayReads(name, ms);
  }

  /** A node reads nothing new for a while. */
  delayReads(name: string, ms: number): void {
    const node = this.world.node(name);
    node.nextRead = Math.max(node.nextRead, this.world.now + ms);
  }

  /** A worker answers nothing any more. */
  silenceWorker(machine: string): void {
    this.world.worker(machine).silent = true;
  }

  /** Ends all troubles, but for workers that are silent. */
  clear(): void {
    this.world.network.clearFaults();
    this.world.clearRequestedMoves();
    for (const node of this.world.nodes.values()) {
      node.stateRefusedUntil = node.frozenUntil = node.answersLostUntil = node.nextRead = this.world.now;
      if (!node.alive || !node.knowsShards) this.restart(node.name, true);
    }
  }
}
