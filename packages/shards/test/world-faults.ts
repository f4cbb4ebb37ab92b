/** The faults of the simulation: processes that crash, freeze or lose access to the state service, and silent workers. */
import { Node } from "./world-nodes.js";
import type { World } from "./world.js";

/** Injects faults into a world, and ends them. */
export class Faults {
  constructor(private readonly world: World) {}

  /** The process ends; others notice only when its lease expires. */
  crash(name: string): void {
    this.world.node(name).alive = false;
  }

  /** Starts a new process of the same controller, which ends the lease of the previous one and joins. */
  restart(name: string, knowsShards: boolean): void {
    const before = this.world.node(name);
    const node = new Node(name, before.zone);
    node.knowsShards = knowsShards;
    this.world.nodes.set(name, node);
    this.world.removeKey(name);
    this.world.joinMembers(node);
  }

  /** The process is stopped for a while and doesn't notice it. */
  freeze(name: string, ms: number): void {
    const node = this.world.node(name);
    node.frozenUntil = Math.max(node.frozenUntil, this.world.now + ms);
  }

  /** The state service refuses this node's requests for a while. */
  refuseState(name: string, ms: number): void {
    const node = this.world.node(name);
    node.stateRefusedUntil = Math.max(node.stateRefusedUntil, this.world.now + ms);
  }

  /** For a while, the answers to the node's writes are lost, and it reads no records. */
  loseAnswers(name: string, ms: number): void {
    const node = this.world.node(name);
    node.answersLostUntil = Math.max(node.answersLostUntil, this.world.now + ms);
    this.delayReads(name, ms);
  }

  /** The node reads no records for a while. */
  delayReads(name: string, ms: number): void {
    const node = this.world.node(name);
    node.nextRead = Math.max(node.nextRead, this.world.now + ms);
  }

  /** The worker stops answering for good. */
  silenceWorker(machine: string): void {
    this.world.worker(machine).silent = true;
  }

  /** Ends all faults except silent workers, drops all requested moves, and restarts processes where needed. */
  clear(): void {
    this.world.network.clearFaults();
    this.world.clearRequestedMoves();
    for (const node of this.world.nodes.values()) {
      node.stateRefusedUntil = node.frozenUntil = node.answersLostUntil = node.nextRead = this.world.now;
      if (!node.alive || !node.knowsShards) this.restart(node.name, true);
    }
  }
}
