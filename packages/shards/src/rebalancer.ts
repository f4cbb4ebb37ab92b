/**
 * Plans which shards should move, and where to. Deterministic: the same ownership and loads always give the same moves.
 * Moves are only proposed: the coordinator decides whether a handoff can begin, and refused moves are proposed again later.
 */
import type { Assignment } from "./assignment.js";
import { type Member, nearMembers } from "./rendezvous.js";
import { type ShardId, zoneOfShard } from "./shard-id.js";

/** The load that a shard puts on its owner. */
export interface ShardLoad {
  readonly machines: number;
  readonly heartbeatsPerSecond: number;
  readonly commandsPerSecond: number;
}

/** Why a shard should move. */
export type MoveReason = "drain" | "zone" | "balance";

/** A proposed move of a shard from its owner to another controller. */
export interface ProposedMove {
  readonly shard: ShardId;
  readonly source: string;
  readonly target: string;
  readonly reason: MoveReason;
}

/** The input of a plan. */
export interface RebalanceInput {
  readonly assignment: Assignment;
  /** Loads of the shards that have machines; others have no load. */
  readonly loads: ReadonlyMap<ShardId, ShardLoad>;
  /** Controllers that are being drained before a planned shutdown. */
  readonly draining: ReadonlySet<string>;
  /** Whether a shard must not be proposed now: it is in a handoff, or was refused or moved a moment ago. */
  readonly isBlocked: (shard: ShardId, reason: MoveReason) => boolean;
  /** How much the load of the most loaded controller may exceed the least, as a share of the mean, before shards move. */
  readonly hysteresis: number;
  /** The maximum number of moves to propose. */
  readonly maxMoves: number;
}

/** The load of a machine's connection and index entries, which it causes even without messages. */
const MACHINE_OVERHEAD_MESSAGES_PER_SECOND = 0.01;

/** The load of a shard as one number, in messages a second. */
export const weightOf = (load: ShardLoad): number =>
  load.heartbeatsPerSecond + load.commandsPerSecond + load.machines * MACHINE_OVERHEAD_MESSAGES_PER_SECOND;

/** The moves planned so far, and the owners and loads that result from them. */
class MovePlan {
  private readonly owners = new Map<ShardId, string>();
  private readonly weights = new Map<ShardId, number>();
  private readonly loadByMember = new Map<string, number>();
  readonly moves: ProposedMove[] = [];

  constructor(private readonly input: RebalanceInput) {
    for (const member of this.members) this.loadByMember.set(member.name, 0);
    for (const shard of [...input.loads.keys()].sort()) {
      const owner = input.assignment.ownershipOf(shard)?.owner;
      const load = input.loads.get(shard);
      if (owner === undefined || load === undefined) continue;
      const weight = weightOf(load);
      this.owners.set(shard, owner);
      this.weights.set(shard, weight);
      this.loadByMember.set(owner, (this.loadByMember.get(owner) ?? 0) + weight);
    }
  }

  get members(): readonly Member[] {
    return this.input.assignment.term?.members ?? [];
  }

  get isFull(): boolean {
    return this.moves.length >= this.input.maxMoves;
  }

  loadOf(member: string): number {
    return this.loadByMember.get(member) ?? 0;
  }

  weightOfShard(shard: ShardId): number {
    return this.weights.get(shard) ?? 0;
  }

  /** Controllers that may get the shard: those in its zone, or all if it has none; never one that is being drained. */
  candidateTargets(shard: ShardId): readonly Member[] {
    const staying = this.members.filter((member) => !this.input.draining.has(member.name));
    return nearMembers(staying, zoneOfShard(shard));
  }

  /** The shards of a controller that may be moved for this reason. */
  movableShardsOf(member: string, reason: MoveReason): readonly ShardId[] {
    return [...this.owners]
      .filter(([shard, owner]) => owner === member && !this.input.isBlocked(shard, reason))
      .map(([shard]) => shard);
  }

  shardsWithOwners(): readonly (readonly [ShardId, string])[] {
    return [...this.owners];
  }

  isBlocked(shard: ShardId, reason: MoveReason): boolean {
    return this.input.isBlocked(shard, reason);
  }

  move(shard: ShardId, target: string, reason: MoveReason): void {
    const source = this.owners.get(shard);
    if (source === undefined) return;
    const weight = this.weightOfShard(shard);
    this.owners.set(shard, target);
    this.loadByMember.set(source, this.loadOf(source) - weight);
    this.loadByMember.set(target, this.loadOf(target) + weight);
    this.moves.push({ shard, source, target, reason });
  }
}

const leastLoaded = (plan: MovePlan, members: readonly Member[]): string | null => {
  let best: string | null = null;
  for (const { name } of members) {
    if (best === null || plan.loadOf(name) < plan.loadOf(best)) best = name;
    else if (plan.loadOf(name) === plan.loadOf(best) && name < best) best = name;
  }
  return best;
};

/** Moves all shards away from controllers that are being drained. */
const planDrains = (plan: MovePlan, draining: ReadonlySet<string>): void => {
  for (const member of [...draining].sort())
    for (const shard of plan.movableShardsOf(member, "drain")) {
      if (plan.isFull) return;
      const target = leastLoaded(plan, plan.candidateTargets(shard));
      if (target !== null) plan.move(shard, target, "drain");
    }
};

/** Moves shards to a controller in their own zone, for example after that zone had none for a while. */
const planReturnsToZone = (plan: MovePlan): void => {
  for (const [shard, owner] of plan.shardsWithOwners()) {
    if (plan.isFull) return;
    const targets = plan.candidateTargets(shard);
    const isNear = targets.some((member) => member.name === owner);
    const hasNear = targets.some((member) => member.zone === zoneOfShard(shard));
    if (isNear || !hasNear || plan.isBlocked(shard, "zone")) continue;
    const target = leastLoaded(plan, targets);
    if (target !== null) plan.move(shard, target, "zone");
  }
};

/** The best move from the most to the least loaded of `members`; null if their loads are close enough or no shard fits. */
const bestMove = (
  plan: MovePlan,
  members: readonly Member[],
  hysteresis: number,
): { shard: ShardId; target: string } | null => {
  const names = members.map((member) => member.name).sort();
  if (names.length < 2) return null;
  const heaviestFirst = [...names].sort((one, other) => plan.loadOf(other) - plan.loadOf(one));
  const [heaviest] = heaviestFirst;
  const target = leastLoaded(plan, members);
  if (heaviest === undefined || target === null) return null;
  const gap = plan.loadOf(heaviest) - plan.loadOf(target);
  const mean = names.reduce((sum, name) => sum + plan.loadOf(name), 0) / names.length;
  if (gap <= hysteresis * mean) return null;
  let best: ShardId | null = null;
  for (const shard of plan.movableShardsOf(heaviest, "balance")) {
    const weight = plan.weightOfShard(shard);
    const isShared = plan.candidateTargets(shard).some((member) => member.name === target);
    // moving more than half the gap would reverse the imbalance, and the shard would move back again
    if (!isShared || weight <= 0 || weight > gap / 2) continue;
    if (best === null || weight > plan.weightOfShard(best)) best = shard;
  }
  return best === null ? null : { shard: best, target };
};

const planBalance = (plan: MovePlan, zones: readonly string[], input: RebalanceInput): void => {
  for (const zone of zones) {
    const staying = plan.members.filter((member) => !input.draining.has(member.name));
    const members = nearMembers(staying, zone);
    for (;;) {
      if (plan.isFull) return;
      const move = bestMove(plan, members, input.hysteresis);
      if (move === null) break;
      plan.move(move.shard, move.target, "balance");
    }
  }
};

/** The moves to begin now, in order of priority: drains, then returns to a shard's own zone, then balancing. */
export const planMoves = (input: RebalanceInput): readonly ProposedMove[] => {
  if (!input.assignment.inForce || input.maxMoves <= 0) return [];
  const plan = new MovePlan(input);
  planDrains(plan, input.draining);
  planReturnsToZone(plan);
  const zones = [...new Set([...input.loads.keys()].map(zoneOfShard))].sort();
  planBalance(plan, zones, input);
  return plan.moves;
};
