/** A breadth-first search of everything that can happen during one handoff, within stated bounds. */
import type { ShardId } from "../src/index.js";
import { type Message, messageKey } from "./world-network.js";
import type { Node } from "./world-nodes.js";
import { type Guard, World } from "./world.js";

/** The parties of the handoff. */
export type Party = "source" | "target" | "leader";
const NAMES: Readonly<Record<Party, string>> = { source: "inland", target: "north", leader: "south" };

/** How often each event may occur in one history. */
export interface Bounds {
  readonly crashes: readonly Party[];
  readonly losses: number;
  readonly copies: number;
  /** Commands that the leader sends to the shard's machine. */
  readonly commands: number;
  /** How often so much time passes that every phase of the handoff times out. */
  readonly timeouts: number;
}

interface State {
  readonly world: World;
  readonly remaining: Bounds;
}

/** The result of a search. */
export interface SearchResult {
  readonly states: number;
  readonly violations: readonly string[];
  /** The number of final states by the shard's owner. In a final state nothing more can happen. */
  readonly finalOwners: ReadonlyMap<string, number>;
  /** The number of final states in which the handoff is still in progress. */
  readonly openHandoffs: number;
}

const TIMEOUT_MS = 3500;
const MAX_STATES = 200_000;

const newWorld = (disabled: Guard | null): World => {
  const nodes = [
    [NAMES.leader, "west"],
    [NAMES.source, "east"],
    [NAMES.target, "east"],
  ] as const;
  const world = new World(1, disabled, nodes, new Map([["n-4", "east"]]));
  world.sendsCommands = false;
  for (const [name] of nodes) world.faults.restart(name, true);
  world.advance(5000);
  for (const node of world.nodes.values()) node.windowEnd = node.leaseUntil = Infinity;
  return world;
};

/** A search within the given bounds. */
export class Interleavings {
  constructor(
    private readonly bounds: Bounds,
    private readonly disabled: Guard | null = null,
  ) {}

  explore(shard: ShardId): SearchResult {
    const first = newWorld(this.disabled);
    const leader = first.node(NAMES.leader);
    // without a heartbeat of the machine the handoff couldn't begin
    first.requestHeartbeats(leader, shard);
    while (first.network.inFlight.length > 0) first.deliver(0);
    const request = { id: "move-1", shard, target: NAMES.target, by: "operator" } as const;
    const begun = leader.leadingCoordinator.startMove(request, first.inputOf(leader));
    if ("_tag" in begun) throw new Error(`not begun: ${begun._tag}`);
    first.carryOut(leader, begun);
    return this.search({ world: first, remaining: this.bounds }, shard);
  }

  private search(start: State, shard: ShardId): SearchResult {
    const seen = new Set<string>();
    const finalOwners = new Map<string, number>();
    let openHandoffs = 0;
    let queue: State[] = [start];
    while (queue.length > 0) {
      const next: State[] = [];
      for (const state of queue) {
        const successors = this.successors(state);
        // checked before known states are dropped, since only one of two paths to the same state may violate an invariant
        for (const { world } of successors) {
          world.check();
          if (world.invariants.violations.length > 0)
            return {
              states: seen.size,
              violations: world.invariants.violations,
              finalOwners,
              openHandoffs,
            };
        }
        const fresh = successors.filter((successor) => {
          const key = JSON.stringify(successor.remaining) + successor.world.stateKey();
          if (seen.has(key)) return false;
          seen.add(key);
          return true;
        });
        if (seen.size > MAX_STATES) throw new Error(`more than ${MAX_STATES} states`);
        next.push(...fresh);
        if (fresh.length > 0 || state.world.network.inFlight.length > 0) continue;
        const record = state.world.records.get(shard)?.state;
        const owner = record?.owner ?? "default";
        finalOwners.set(owner, (finalOwners.get(owner) ?? 0) + 1);
        if (record !== undefined && record._tag !== "Owned") openHandoffs++;
      }
      queue = next;
    }
    return { states: seen.size, violations: [], finalOwners, openHandoffs };
  }

  private successors(state: State): State[] {
    const { world, remaining } = state;
    const states: State[] = [];
    const addSuccessor = (change: (copy: World) => void, bounds: Partial<Bounds> = {}): void => {
      const copy = world.copy();
      change(copy);
      states.push({ world: copy, remaining: { ...remaining, ...bounds } });
    };
    world.network.inFlight.forEach((message, index) => {
      addSuccessor((copy) => deliver(copy, index, true));
      if (remaining.losses > 0)
        addSuccessor((copy) => deliver(copy, index, false), { losses: remaining.losses - 1 });
      if (remaining.copies > 0)
        addSuccessor((copy) => void copy.network.inFlight.push(message), { copies: remaining.copies - 1 });
    });
    for (const name of world.nodes.keys()) this.ownSteps(name, world, addSuccessor);
    if (mayBeSettled(world)) addSuccessor(settle);
    if (remaining.commands > 0) addSuccessor((copy) => command(copy), { commands: remaining.commands - 1 });
    if (remaining.timeouts > 0)
      addSuccessor((copy) => void (copy.now += TIMEOUT_MS), { timeouts: remaining.timeouts - 1 });
    for (const party of remaining.crashes)
      addSuccessor((copy) => crash(copy, NAMES[party]), {
        crashes: remaining.crashes.filter((other) => other !== party),
      });
    return states;
  }

  /** The steps that a process takes on its own, as far as they change anything. */
  private ownSteps(name: string, world: World, addSuccessor: (change: (copy: World) => void) => void): void {
    const node = world.node(name);
    const known = node.assignment.term?.number ?? 0;
    const { term } = world;
    if (term !== null && known < term.number) addSuccessor((copy) => copy.learnTerm(copy.node(name), term));
    if (!knowsRecords(world, node)) addSuccessor((copy) => copy.readRecords(copy.node(name)));
    if (node.ownerView.pendingTakes().length > 0) addSuccessor((copy) => copy.takeReleased(copy.node(name)));
    if (world.leader?.node !== name) return;
    if (world.membersChanged()) addSuccessor((copy) => copy.writeTerm(copy.node(name)));
    addSuccessor((copy) => lead(copy, copy.node(name)));
  }
}

/**
 * Delivers a request, and either delivers its answer at once or drops it. A lost request needs no step of its own: it is the
 * same as one that never arrives.
 */
const deliver = (world: World, index: number, isAnswered: boolean): void => {
  const known = new Set(world.network.inFlight);
  world.deliver(index);
  const isReply = (message: Message): boolean =>
    message.kind === "written" ||
    message.kind === "offered" ||
    message.kind === "releaseAnswer" ||
    message.kind === "commandAnswer";
  const reply = world.network.inFlight.findIndex((message) => !known.has(message) && isReply(message));
  if (reply < 0) return;
  if (isAnswered) world.deliver(reply);
  else world.network.inFlight.splice(reply, 1);
};

/** Whether reading the records would tell a process nothing new. */
const knowsRecords = (world: World, node: Node): boolean => {
  const { assignment } = node;
  const isSame = [...world.records].every(
    ([shard, { revision }]) => assignment.recordOf(shard)?.revision === revision,
  );
  return isSame && (assignment.isFresh || (assignment.term?.number ?? 0) !== world.term?.number);
};

/** Whether all processes know the term, so that none acts in an earlier one, and at least one view isn't settled yet. */
const mayBeSettled = (world: World): boolean => {
  const nodes = [...world.nodes.values()];
  const allKnow = nodes.every(({ assignment }) => assignment.term?.number === world.term?.number);
  return allKnow && nodes.some(({ ownerView }) => !ownerView.isSettled);
};

const settle = (world: World): void => {
  for (const node of world.nodes.values()) node.ownerView = node.ownerView.settle();
};

/** A step of the leader. Messages that are already in flight aren't sent again, so that the search terminates. */
const lead = (world: World, node: Node): void => {
  if (!world.mayAct(node) || node.coordinator === null) return;
  const before = new Set(world.network.inFlight.map(messageKey));
  const known = world.network.inFlight.length;
  world.carryOut(node, node.coordinator.step(world.inputOf(node)));
  node.nextRepair = 0;
  for (const write of world.repairs(node))
    if (!world.isInFlight(node, write)) world.sendWrite(node, null, write);
  world.network.inFlight = world.network.inFlight.filter(
    (message, index) => index < known || !before.has(messageKey(message)),
  );
  node.nextRepair = 0;
};

const command = (world: World): void => {
  const leader = world.leader === null ? undefined : world.nodes.get(world.leader.node);
  if (leader?.coordinator == null || !world.mayAct(leader)) return;
  world.commandMachine(leader, "n-4");
};

/** The process crashes and restarts at once; a leader is elected again, but hasn't written a new term yet. */
const crash = (world: World, name: string): void => {
  const wasLeader = world.leader?.node === name;
  world.faults.restart(name, true);
  const node = world.node(name);
  node.windowEnd = node.leaseUntil = Infinity;
  if (!wasLeader) return;
  world.leader = node.process;
  world.startLeading(node);
};
