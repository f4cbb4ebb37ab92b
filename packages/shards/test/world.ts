/**
 * A simulation of controllers, state service, network and workers around the real package, in virtual time. Invariants are
 * checked after each step, and single guards can be disabled. A world can be copied, to search all interleavings.
 */
import {
  Coordinator,
  type CoordinatorAction,
  type CoordinatorInput,
  encodeShardState,
  HANDOFF_TIMEOUTS,
  Refusal,
  repairsOf,
  type ShardFacts,
  type ShardId,
  shardOf,
  type ShardWrite,
  type StoredShard,
  type TermView,
} from "../src/index.js";
import { Faults } from "./world-faults.js";
import { Invariants } from "./world-invariants.js";
import { type Message, type MessageBody, messageKey, Network, type Process } from "./world-network.js";
import { Node } from "./world-nodes.js";

/** The guards that can be disabled, to show that an invariant then fails. */
export type Guard =
  | "revision"
  | "term"
  | "pause"
  | "fencingToken"
  | "releasing"
  | "settle"
  | "window"
  | "fresh"
  | "patience"
  | "repair";

const LEASE_MS = 3000;
const FENCING_WINDOW_MS = 2000;
const RENEWAL_INTERVAL_MS = 500;
const STEP_MS = 50;
const REPAIR_INTERVAL_MS = 1000;
/** A command without an answer for this long is in doubt. */
const COMMAND_IN_DOUBT_AFTER_MS = 200;
/** A worker: the highest fencing token that it has seen, and whether it has stopped answering. */
interface ModelWorker {
  fencingToken: number;
  silent: boolean;
}

/** The simulated cluster, and what its processes do on their own. */
export class World {
  now = 0;
  revision = 1;
  term: TermView | null = null;
  enabledTerm = 0;
  readonly moveOutcomes: string[] = [];
  network: Network;
  invariants = new Invariants();
  readonly faults = new Faults(this);
  /** Whether the leader sends commands and tries moves on its own. */
  sendsCommands = true;
  records = new Map<ShardId, StoredShard>();
  memberKeys = new Map<string, number>();
  leader: Process | null = null;
  nodes: Map<string, Node>;
  workers: Map<string, ModelWorker>;
  private readonly requestedMoves = new Map<ShardId, string>();
  private moveCount = 0;
  /** The machines of each shard. */
  private readonly machines = new Map<ShardId, string[]>();

  constructor(
    seed: number,
    private readonly disabled: Guard | null,
    nodes: readonly (readonly [string, string])[],
    private readonly machineZones: ReadonlyMap<string, string>,
  ) {
    this.network = new Network(seed);
    this.nodes = new Map(nodes.map(([name, zone]) => [name, new Node(name, zone)]));
    this.workers = new Map([...machineZones.keys()].map((id) => [id, { fencingToken: 0, silent: false }]));
    for (const [id, zone] of machineZones) {
      const shard = shardOf(id, zone);
      this.machines.set(shard, [...(this.machines.get(shard) ?? []), id]);
    }
  }

  /** An independent copy, with a network without faults and without the requested moves. */
  copy(): World {
    const copy = new World(0, this.disabled, [], this.machineZones);
    const { now, revision, term, enabledTerm, sendsCommands, leader } = this;
    Object.assign(copy, { now, revision, term, enabledTerm, sendsCommands, leader });
    copy.records = new Map(this.records);
    copy.memberKeys = new Map(this.memberKeys);
    copy.nodes = new Map([...this.nodes].map(([name, node]) => [name, node.copy()]));
    copy.workers = new Map([...this.workers].map(([id, worker]) => [id, { ...worker }]));
    copy.network = this.network.copy();
    copy.invariants = this.invariants.copy();
    copy.moveCount = this.moveCount;
    return copy;
  }

  get shards(): readonly ShardId[] {
    return [...this.machines.keys()];
  }
  private machinesOf(shard: ShardId): readonly string[] {
    return this.machines.get(shard) ?? [];
  }
  private shardOfMachine(machine: string): ShardId {
    const zone = this.machineZones.get(machine);
    if (zone === undefined) throw new Error(`there is no machine ${machine}`);
    return shardOf(machine, zone);
  }
  /** The latest process of a controller, whether alive or not. */
  node(name: string): Node {
    const node = this.nodes.get(name);
    if (node === undefined) throw new Error(`there is no controller ${name}`);
    return node;
  }
  /** A worker by the name of its machine. */
  worker(machine: string): ModelWorker {
    const worker = this.workers.get(machine);
    if (worker === undefined) throw new Error(`there is no machine ${machine}`);
    return worker;
  }
  private send(message: MessageBody): void {
    this.network.send(message, this.now);
  }

  // --- time ---------------------------------------------------------------------------------

  /** Advances time, runs all processes and delivers messages, until an invariant is violated. */
  advance(ms: number): void {
    for (let left = ms; left > 0 && this.invariants.violations.length === 0; left -= STEP_MS) {
      this.now += STEP_MS;
      this.expireLeases();
      for (const node of this.nodes.values()) this.runNode(node);
      for (;;) {
        const index = this.network.inFlight.findIndex((message) => message.due <= this.now);
        if (index < 0) break;
        this.deliver(index);
      }
      this.check();
    }
  }

  removeKey(name: string): void {
    this.memberKeys.delete(name);
    if (this.leader?.node === name) this.leader = null;
  }
  joinMembers(node: Node): void {
    node.incarnation = ++this.revision;
    this.memberKeys.set(node.name, node.incarnation);
    node.leaseUntil = this.now + LEASE_MS;
    node.nextRenew = this.now;
  }
  private expireLeases(): void {
    for (const [name, incarnation] of [...this.memberKeys]) {
      const node = this.node(name);
      if (node.incarnation === incarnation && this.now > node.leaseUntil) this.removeKey(name);
    }
  }

  // --- membership ----------------------------------------------------------------------------------------

  private reachesState(node: Node): boolean {
    return node.alive && this.now >= node.frozenUntil && this.now >= node.stateRefusedUntil;
  }
  mayAct(node: Node): boolean {
    return node.alive && node.isMember && (this.disabled === "window" || this.now < node.windowEnd);
  }

  private runNode(node: Node): void {
    if (!node.alive || this.now < node.frozenUntil) return;
    if (this.reachesState(node)) {
      if (this.memberKeys.get(node.name) !== node.incarnation) this.joinMembers(node);
      if (this.now >= node.nextRenew) this.renewLease(node);
      if (this.now >= node.nextRead) this.readRecords(node);
    }
    if (!node.ownerView.isSettled && this.now >= node.termLearnedAt + FENCING_WINDOW_MS)
      node.ownerView = node.ownerView.settle();
    this.takeReleased(node);
    this.runLeader(node);
  }

  private renewLease(node: Node): void {
    node.nextRenew = this.now + RENEWAL_INTERVAL_MS;
    node.leaseUntil = this.now + LEASE_MS;
    node.windowEnd = this.now + FENCING_WINDOW_MS;
    if (this.term !== null) this.learnTerm(node, this.term);
  }

  learnTerm(node: Node, term: TermView): void {
    if ((node.assignment.term?.number ?? 0) >= term.number) return;
    node.ownerView = node.ownerView.withTerm(term);
    node.termLearnedAt = this.now;
    if (this.disabled === "settle") node.ownerView = node.ownerView.settle();
    if (this.disabled === "fresh") this.markRecordsFresh(node);
    for (const view of node.machines.values()) view.fencingTokenStep = 0;
  }

  /** Marks the records read before the term as up to date. */
  private markRecordsFresh(node: Node): void {
    const { assignment } = node;
    node.ownerView = node.ownerView.withAssignment(
      assignment.withChanges([], this.enabledTerm, this.revision),
    );
  }

  /** Reads all records; until the next read the process knows nothing newer. */
  readRecords(node: Node): void {
    node.nextRead = this.now + 50 + this.network.random() * (this.network.slowShare > 0 ? 3000 : 100);
    const rows = [...this.records].map(([shard, { revision, state }]) => ({
      shard,
      revision,
      value: encodeShardState(state),
    }));
    node.ownerView = node.ownerView.withAssignment(
      node.assignment.withSnapshot(rows, this.enabledTerm, this.revision),
    );
  }

  // --- the leader ----------------------------------------------------------------------------------------

  private runLeader(node: Node): void {
    if (!this.reachesState(node)) return;
    if (this.leader === null && this.memberKeys.get(node.name) === node.incarnation) {
      this.leader = node.process;
      this.startLeading(node);
      this.writeTerm(node);
    }
    if (this.leader?.node !== node.name || this.leader.incarnation !== node.incarnation) {
      node.coordinator = null;
      return;
    }
    if (this.membersChanged()) this.writeTerm(node);
    if (!this.mayAct(node) || node.coordinator === null) return;
    this.carryOut(node, node.coordinator.step(this.inputOf(node)));
    if (this.disabled !== "repair") for (const write of this.repairs(node)) this.sendWrite(node, null, write);
    if (!this.sendsCommands) return;
    this.sendCommands(node);
    this.attemptMoves(node);
  }

  repairs(node: Node): readonly ShardWrite[] {
    if (this.now < node.nextRepair) return [];
    node.nextRepair = this.now + REPAIR_INTERVAL_MS;
    const isMoving = (shard: ShardId): boolean => node.leadingCoordinator.isMoving(shard);
    return repairsOf(node.assignment, this.machineCounts(), isMoving, 8);
  }

  /** A new leader starts without knowledge of moves and machines. */
  startLeading(node: Node): void {
    const noTimeouts = { ...HANDOFF_TIMEOUTS, drainMs: 1e12, takeMs: 1e12 };
    node.coordinator = new Coordinator(this.disabled === "patience" ? noTimeouts : HANDOFF_TIMEOUTS);
    node.machines = new Map();
  }

  /** Each machine is counted as two, so that only one shard has enough of them for repairs to give it a record. */
  private machineCounts(): Map<ShardId, number> {
    return new Map(this.shards.map((shard) => [shard, 2 * this.machinesOf(shard).length]));
  }

  membersChanged(): boolean {
    const members = this.term?.members ?? [];
    return (
      members.length !== this.memberKeys.size ||
      members.some((member) => this.memberKeys.get(member.name) !== member.incarnation)
    );
  }

  writeTerm(node: Node): void {
    const members = [...this.memberKeys].map(([name, incarnation]) => ({
      name,
      incarnation,
      zone: this.node(name).zone,
    }));
    const number = (this.term?.number ?? 0) + 1;
    this.term = { number, revision: ++this.revision, members };
    if (members.every(({ name }) => this.node(name).knowsShards)) this.enabledTerm = number;
    this.learnTerm(node, this.term);
  }

  inputOf(node: Node): CoordinatorInput {
    return { now: this.now, assignment: node.assignment, facts: (shard) => this.factsOf(node, shard) };
  }

  private factsOf(node: Node, shard: ShardId): ShardFacts {
    const machines = this.machinesOf(shard);
    const unheard = machines.find((id) => node.viewOf(id).seenFencingToken < node.firstFencingToken);
    const isDoubted = (id: string): boolean =>
      node.viewOf(id).unansweredCommands.some(({ sentAt }) => this.now - sentAt > COMMAND_IN_DOUBT_AFTER_MS);
    const doubted = machines.find(isDoubted);
    const unanswered = machines.find((id) => node.viewOf(id).unansweredCommands.length > 0);
    const unfenced = machines.find((id) => node.viewOf(id).seenFencingToken < node.fencingTokenOf(id));
    const obstacle =
      unheard !== undefined
        ? Refusal.MachineNotHeard({ machine: unheard })
        : doubted !== undefined
          ? Refusal.CommandInDoubt({ machine: doubted })
          : null;
    const fenced = this.disabled === "fencingToken" || (unfenced === undefined && unanswered === undefined);
    return { machines: machines.length, obstacle, fenced, unfencedMachine: unfenced ?? unanswered ?? null };
  }

  /** An operator requests a move. Whoever leads retries it until the target owns the shard. */
  move(shard: ShardId, target: string): void {
    this.requestedMoves.set(shard, target);
  }

  private attemptMoves(node: Node): void {
    for (const [shard, target] of this.requestedMoves) {
      if (node.leadingCoordinator.isMoving(shard) || this.network.random() > 0.2) continue;
      const request = { id: `move-${++this.moveCount}`, shard, target, by: "operator" } as const;
      const answer = node.leadingCoordinator.startMove(request, this.inputOf(node));
      if (!("_tag" in answer)) this.carryOut(node, answer);
      else if (answer._tag === "SameOwner") this.requestedMoves.delete(shard);
      else this.moveOutcomes.push(answer._tag);
    }
  }

  carryOut(node: Node, actions: readonly CoordinatorAction[]): void {
    for (const action of actions)
      switch (action.kind) {
        case "offer":
          this.send({ kind: "offer", from: node.process, to: action.to, offer: action.offer });
          break;
        case "write":
          this.sendWrite(node, action.id, action.write);
          break;
        case "raise":
          for (const id of this.machinesOf(action.shard)) node.viewOf(id).fencingTokenStep++;
          this.requestHeartbeats(node, action.shard);
          break;
        case "release":
          this.send({ kind: "release", from: node.process, to: action.to, request: action.request });
          break;
        case "ended":
          this.moveOutcomes.push(action.attempt.refusal?._tag ?? "done");
      }
  }

  /** Requests heartbeats from machines that haven't shown their current fencing token, and now and then commands others. */
  private sendCommands(node: Node): void {
    for (const machine of this.machineZones.keys()) {
      const view = node.viewOf(machine);
      const fencingToken = node.fencingTokenOf(machine);
      // once the worker has seen a raised fencing token, an unanswered command is certainly not executed any more
      if (view.unansweredCommands.length > 0 && this.network.random() < 0.02) view.fencingTokenStep++;
      if (view.seenFencingToken < fencingToken || view.unansweredCommands.length > 0) {
        if (this.network.random() < 0.3) this.sendCommand(node, machine, null);
        continue;
      }
      if (this.network.random() < 0.15) this.commandMachine(node, machine);
    }
  }

  /** Sends a start or stop unless the shard's commands are paused; returns whether it was sent. */
  commandMachine(node: Node, machine: string): boolean {
    const shard = this.shardOfMachine(machine);
    const isPaused = node.leadingCoordinator.isPaused(node.assignment, shard);
    if (isPaused && this.disabled !== "pause") return false;
    const view = node.viewOf(machine);
    view.unansweredCommands.push({ fencingToken: node.fencingTokenOf(machine), sentAt: this.now });
    const epoch = node.assignment.inForce ? (node.assignment.ownershipOf(shard)?.epoch ?? null) : null;
    this.sendCommand(node, machine, epoch, true);
    return true;
  }

  /** Requests heartbeats from the machines of a shard, under their current fencing tokens. */
  requestHeartbeats(node: Node, shard: ShardId): void {
    for (const id of this.machinesOf(shard)) this.sendCommand(node, id, null);
  }

  private sendCommand(node: Node, machine: string, epoch: number | null, isCommand = false): void {
    const sentAt = this.now;
    const term = node.assignment.term?.number ?? 0;
    const fencingToken = node.fencingTokenOf(machine);
    this.send({ kind: "command", from: node.process, machine, fencingToken, term, epoch, isCommand, sentAt });
  }

  // --- members -------------------------------------------------------------------------------------------

  takeReleased(node: Node): void {
    if (!this.mayAct(node)) return;
    for (const write of node.ownerView.pendingTakes())
      if (!this.isInFlight(node, write)) this.sendWrite(node, null, write);
  }

  /** Whether a write of the same shard by this node, or the answer to one, is in flight. */
  isInFlight(node: Node, write: ShardWrite): boolean {
    return this.network.inFlight.some((message) => {
      const by =
        message.kind === "write" ? message.from.node : message.kind === "written" ? message.to.node : null;
      return by === node.name && "write" in message && message.write.shard === write.shard;
    });
  }

  sendWrite(node: Node, id: string | null, write: ShardWrite): void {
    if (!this.reachesState(node)) return;
    this.send({ kind: "write", from: node.process, id, write });
  }

  // --- messages ------------------------------------------------------------------------------------------

  /** The process that a message is addressed to; null if it has ended. */
  private processOf({ node, incarnation }: Process): Node | null {
    const found = this.node(node);
    return found.alive && found.incarnation === incarnation ? found : null;
  }

  /** Delivers one message, or postpones it if its process is frozen. */
  deliver(index: number): void {
    const message = this.network.remove(index);
    const addressee =
      "to" in message ? (typeof message.to === "string" ? message.to : message.to.node) : null;
    const frozenUntil = addressee === null ? 0 : this.node(addressee).frozenUntil;
    if (frozenUntil > this.now) this.network.postpone(message, frozenUntil);
    else this.receive(message);
  }

  private receive(msg: Message): void {
    switch (msg.kind) {
      case "write":
        return this.applyWrite(msg);
      case "command":
        return this.receiveCommand(msg);
      case "offer":
        return this.receiveOffer(msg);
      case "release":
        return this.receiveReleaseRequest(msg);
    }
    const node = this.processOf(msg.to);
    if (node === null) return;
    const coordinator = node.coordinator;
    switch (msg.kind) {
      case "written": {
        if (this.now < node.answersLostUntil) return;
        const { write, revision, outcome } = msg;
        if (outcome === "written")
          node.ownerView = node.ownerView.withAssignment(
            node.assignment.withOwnWrite(write.shard, { revision, state: write.state }),
          );
        if (coordinator !== null && msg.id !== null)
          this.carryOut(
            node,
            coordinator.onWriteOutcome(write.shard, msg.id, write, outcome, this.inputOf(node)),
          );
        return;
      }
      case "offered":
        if (coordinator !== null)
          this.carryOut(
            node,
            coordinator.onOfferAnswer(msg.offer.shard, msg.offer.id, msg.answer, this.inputOf(node)),
          );
        return;
      case "releaseAnswer":
        if (coordinator !== null)
          this.carryOut(
            node,
            coordinator.onReleaseAnswer(msg.request.shard, msg.request.id, msg.answer, this.inputOf(node)),
          );
        return;
      case "commandAnswer": {
        const view = node.viewOf(msg.machine);
        view.seenFencingToken = Math.max(view.seenFencingToken, msg.seenFencingToken);
        view.unansweredCommands = view.unansweredCommands.filter(
          ({ fencingToken, sentAt }) =>
            !(msg.isCommand && sentAt === msg.sentAt) && fencingToken >= view.seenFencingToken,
        );
      }
    }
  }

  private applyWrite({ from, id, write }: Extract<Message, { kind: "write" }>): void {
    const before = this.records.get(write.shard);
    const isCarriedOut =
      (this.disabled === "revision" || (before?.revision ?? 0) === write.revision) &&
      (this.disabled === "term" || this.term?.revision === write.termRevision);
    if (isCarriedOut) {
      this.records.set(write.shard, { revision: ++this.revision, state: write.state });
      this.invariants.recordWrite(write, before);
    }
    const outcome = isCarriedOut ? "written" : "failed";
    this.send({ kind: "written", to: from, id, write, outcome, revision: this.revision });
  }

  private receiveOffer({ from, to, offer }: Extract<Message, { kind: "offer" }>): void {
    const node = this.node(to);
    if (!node.alive) return;
    const condition = { mayAct: this.mayAct(node), reachesWorkers: true, freeConnections: 100 };
    const answer = node.ownerView.answerOffer(offer, condition);
    this.send({ kind: "offered", to: from, offer, answer });
  }

  private receiveReleaseRequest({ from, to, request }: Extract<Message, { kind: "release" }>): void {
    const node = this.node(to);
    if (!node.alive) return;
    const transition = node.ownerView.answerRelease(request);
    const answer = "refusal" in transition ? transition.refusal : null;
    if ("write" in transition && this.reachesState(node)) {
      if (this.disabled !== "releasing") node.ownerView = node.ownerView.markReleaseSent(transition.write);
      this.sendWrite(node, null, transition.write);
    }
    this.send({ kind: "releaseAnswer", to: from, request, answer });
  }

  private receiveCommand(message: Extract<Message, { kind: "command" }>): void {
    const worker = this.worker(message.machine);
    if (worker.silent) return;
    const accepted = message.fencingToken >= worker.fencingToken;
    worker.fencingToken = Math.max(worker.fencingToken, message.fencingToken);
    if (accepted && message.epoch !== null)
      this.commandExecuted(message.machine, message.term, message.epoch);
    const { from: to, machine, isCommand, sentAt } = message;
    this.send({
      kind: "commandAnswer",
      to,
      machine,
      isCommand,
      sentAt,
      seenFencingToken: worker.fencingToken,
    });
  }

  /** Drops all requested moves. */
  clearRequestedMoves(): void {
    this.requestedMoves.clear();
  }

  /** The state as text, without the arrival times of messages. */
  stateKey(): string {
    const { now, records, term, enabledTerm, memberKeys, leader } = this;
    const nodes = [...this.nodes.values()].map((node) => [
      node.name,
      node.alive,
      node.incarnation,
      node.ownerView.stateKey(),
      node.coordinator?.stateKey() ?? null,
      [...node.machines],
    ]);
    const messages = this.network.inFlight.map(messageKey).sort();
    return JSON.stringify([
      now,
      [...records],
      term?.number,
      enabledTerm,
      [...memberKeys],
      leader,
      nodes,
      [...this.workers],
      messages,
    ]);
  }

  // --- invariants ----------------------------------------------------------------------------------------

  private commandExecuted(machine: string, term: number, epoch: number): void {
    const shard = this.shardOfMachine(machine);
    const isInForce = this.term !== null && this.enabledTerm === this.term.number;
    this.invariants.recordExecution(
      { machine, shard, term, epoch },
      this.records.get(shard)?.state,
      isInForce ? (this.term?.number ?? null) : null,
    );
  }

  /** Checks the invariants that hold after each step. */
  check(): void {
    this.invariants.check(
      this.shards,
      [...this.nodes.values()].map((node) => ({
        name: node.name,
        counts: (shard: ShardId) => node.ownerView.ownsForCertain(shard, this.mayAct(node)),
      })),
    );
  }

  /** Handoffs and moves still in progress, and shards without exactly one owner; empty once all handoffs have ended. */
  unfinished(): string[] {
    const open = [...this.records].filter(([, { state }]) => state._tag !== "Owned").map(([shard]) => shard);
    const leading = this.leader === null ? null : this.node(this.leader.node);
    const tried = leading?.coordinator?.moveCount ?? 0;
    const unowned = this.shards.filter((shard) => {
      const owners = [...this.nodes.values()].filter((node) =>
        node.ownerView.ownsForCertain(shard, this.mayAct(node)),
      );
      return owners.length !== 1;
    });
    return [
      ...open.map((shard) => `${shard} is in a handoff`),
      ...(tried > 0 ? [`${tried} moves are in progress`] : []),
      ...unowned.map((shard) => `${shard} doesn't have exactly one owner`),
    ];
  }
}
