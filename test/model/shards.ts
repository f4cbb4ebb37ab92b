/**
 * Shards in the simulated cluster: the leader hands shards over between controllers during normal operation, and each
 * controller knows the owners with a delay. The handoff protocol has its own model in packages/shards; this one covers
 * the core's part of it (draining, fencing tokens, ownership of machines) under all faults and rules.
 */
import { rendezvousOwner, type ShardId, shardOf } from "#shards";
import type { Machine } from "../../src/core/cluster/cluster.js";
import type { TermRecord } from "../../src/core/records.js";
import type { Scheduler } from "../../src/core/scheduler/scheduler.js";
import type { MachineOwnership } from "../../src/core/scheduler/scheduler-context.js";
import type { OwnerNameLookup } from "../../src/core/members/worker-partition.js";

const HANDOFF_INTERVAL_MS = 700;
const DRAIN_TIMEOUT_MS = 3000;
/** How much a controller's knowledge of the owners may lag. */
const MAX_READ_LAG_MS = 1500;

/** An operator's request to move a shard to a controller. */
export interface ShardMove {
  readonly shard: ShardId;
  readonly target: string;
}

interface Handoff {
  readonly shard: ShardId;
  readonly target: string;
  readonly scheduler: Scheduler;
  readonly startedAt: number;
  /** When the target takes the shard over; null: it is not drained yet. */
  takeoverAt: number | null;
}

/** The owners of all shards, and the handoff in progress. */
export class ShardMoves {
  private readonly owners = new Map<ShardId, string>();
  private readonly cachedOwners = new Map<
    string,
    { staleAt: number; owners: ReadonlyMap<ShardId, string> }
  >();
  private handoff: Handoff | null = null;
  /** A copy of an operator's earlier request to move a shard. */
  private repeatedMove: ShardMove | null = null;
  private lastAttemptAt = 0;

  constructor(
    private readonly now: () => number,
    private readonly draw: () => number,
    private readonly count: (what: string) => void,
    /** Called with each request to move a shard. */
    private readonly onMove: (move: ShardMove) => void,
  ) {}

  /** An earlier request arrives once more. */
  repeat(move: ShardMove): void {
    this.repeatedMove = move;
  }

  /** The owner of a machine as this controller knows it. */
  ownerLookupOf(node: string): OwnerNameLookup {
    return (term, machine, zone) => {
      const shard = shardOf(machine, zone);
      const owner = this.ownersSeenBy(node).get(shard);
      const isMember = term.members.some(({ name }) => name === owner);
      if (owner !== undefined && isMember) return owner;
      return rendezvousOwner(term.members, shard, zone)?.name ?? null;
    };
  }

  private ownersSeenBy(node: string): ReadonlyMap<ShardId, string> {
    const cached = this.cachedOwners.get(node);
    if (cached !== undefined && this.now() < cached.staleAt) return cached.owners;
    const owners = new Map(this.owners);
    this.cachedOwners.set(node, { staleAt: this.now() + this.draw() * MAX_READ_LAG_MS, owners });
    return owners;
  }

  /** What the leader's core is told about ownership. */
  readonly ownership: MachineOwnership = {
    isPaused: (machine, zone) => this.handoff?.shard === shardOf(machine, zone),
    routeOverride: () => null,
  };

  private machinesOf(scheduler: Scheduler, shard: ShardId): Machine[] {
    return [...scheduler.cluster.machines.values()].filter(
      (machine) => shardOf(machine.id, machine.zone) === shard,
    );
  }

  /** A step of the leader; it ends a handoff that an earlier leader left. */
  step(scheduler: Scheduler, term: TermRecord): void {
    const { handoff } = this;
    if (handoff === null) return this.beginHandoff(scheduler, term);
    if (handoff.scheduler !== scheduler) return this.endHandoff(scheduler, "handoffs left by another leader");
    const facts = scheduler.shardDrain.factsOf(this.machinesOf(scheduler, handoff.shard));
    if (handoff.takeoverAt !== null) {
      if (this.now() < handoff.takeoverAt) return;
      this.owners.set(handoff.shard, handoff.target);
      return this.endHandoff(scheduler, "shards handed over");
    }
    if (facts.fenced) handoff.takeoverAt = this.now() + this.draw() * 1000;
    else if (this.now() - handoff.startedAt > DRAIN_TIMEOUT_MS) this.endHandoff(scheduler, "drains given up");
  }

  private beginHandoff(scheduler: Scheduler, term: TermRecord): void {
    if (this.now() - this.lastAttemptAt < HANDOFF_INTERVAL_MS) return;
    this.lastAttemptAt = this.now();
    const move = this.takeRepeatedMove(term) ?? this.drawMove(scheduler, term);
    if (move === null) return;
    this.onMove(move);
    const { shard, target } = move;
    const shardMachines = this.machinesOf(scheduler, shard);
    if (scheduler.shardDrain.factsOf(shardMachines).obstacle !== null) return this.count("handoffs refused");
    this.handoff = { shard, target, scheduler, startedAt: this.now(), takeoverAt: null };
    scheduler.shardDrain.raiseTokens(shardMachines);
  }

  private takeRepeatedMove(term: TermRecord): ShardMove | null {
    const move = this.repeatedMove;
    this.repeatedMove = null;
    if (move === null || !term.members.some(({ name }) => name === move.target)) return null;
    this.count("copies of shard moves");
    return move;
  }

  private drawMove(scheduler: Scheduler, term: TermRecord): ShardMove | null {
    const machines = [...scheduler.cluster.machines.values()];
    const machine = machines[Math.floor(this.draw() * machines.length)];
    const target = term.members[Math.floor(this.draw() * term.members.length)];
    if (machine === undefined || target === undefined) return null;
    return { shard: shardOf(machine.id, machine.zone), target: target.name };
  }

  private endHandoff(scheduler: Scheduler, event: string): void {
    this.count(event);
    const { shard } = this.handoff!;
    this.handoff = null;
    scheduler.shardDrain.resume(this.machinesOf(scheduler, shard));
  }
}
