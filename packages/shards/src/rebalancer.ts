/**
 * Which shards should move, and where to. Deterministic: the same ownership and loads give the same moves, whoever asks.
 * It only proposes; whether a handoff can be begun is decided elsewhere, and what was refused comes again later.
 */
import type { Assignment } from "./assignment.js";
import { type Member, nearMembers } from "./rendezvous.js";
import { type ShardId, zoneOfShard } from "./shard-id.js";

/** What a shard costs its owner: messages a second, and machines. */
export interface ShardLoad {
  readonly machines: number;
  readonly heartbeatsPerSecond: number;
  readonly commandsPerSecond: number;
}

/** Why a shard is to move. */
export type MoveReason = "drain" | "zone" | "balance";

/** A proposal: this shard from its owner to another controller. */
export interface ProposedMove {
  readonly shard: ShardId;
  readonly source: string;
  readonly target: string;
  readonly reason: MoveReason;
}

/** What the rebalancer goes by. */
export interface RebalanceInput {
  readonly assignment: Assignment;
  /** Loads of the shards that have machines; others weigh nothing. */
  readonly loads: ReadonlyMap<ShardId, ShardLoad>;
  /** Controllers that are being emptied before their planned end. */
  readonly draining: ReadonlySet<string>;
  /** Shards that aren't to be proposed now: in a handoff, refused or moved a moment ago. */
  readonly isBlocked: (shard: ShardId, reason: MoveReason) => boolean;
  /** How much the heaviest controller may exceed the lightest, as a share of their mean, before anything moves. */
  readonly hysteresis: number;
  /** How many moves may be proposed. */
  readonly maxMoves: number;
}

/** Connections and indices cost something without any message. */
const MACHINE_WEIGHT = 0.01;

/** The weight of a shard in messages a second. */
export const weightOf = (load: ShardLoad): number =>
  load.heartbeatsPerSecond + load.commandsPerSecond + load.machines * MACHINE_WEIGHT;

/** Loads by controller while moves are being planned. */
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

  /** Controllers that may get the shard, those near its machines first; none that is being drained. */
  candidateTargets(shard: ShardId): readonly Member[] {
    const staying = this.members.filter((member) => !this.input.draining.has(member.name));
    return nearMembers(staying, zoneOfShard(shard));
  }

  /** The shards of a controller that may be proposed for this reason. */
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

/** Empties the controllers that are about to end. */
const planDrains = (plan: MovePlan, draining: ReadonlySet<string>): void => {
  for (const member of [...draining].sort())
    for (const shard of plan.movableShardsOf(member, "drain")) {
      if (plan.isFull) return;
      const target = leastLoaded(plan, plan.candidateTargets(shard));
      if (target !== null) plan.move(shard, target, "drain");
    }
};

/** Brings shards back to a controller of their own zone, after that zone had none. */
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

/** The best move from the heaviest to the lightest of the controllers that share a zone's shards; null: none is worth it. */
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
    // a shard heavier than half the gap would turn the imbalance round: it would come back again
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

/** The moves to begin now, the most pressing first: drains, then shards far from home, then balance. */
export const planMoves = (input: RebalanceInput): readonly ProposedMove[] => {
  if (!input.assignment.inForce || input.maxMoves <= 0) return [];
  const plan = new MovePlan(input);
  planDrains(plan, input.draining);
  planReturnsToZone(plan);
  const zones = [...new Set([...input.loads.keys()].map(zoneOfShard))].sort();
  planBalance(plan, zones, input);
  return plan.moves;
};
