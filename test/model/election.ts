/**
 * Leases, terms and leader election of the simulated controllers: who may act, who may answer, and how a leader starts.
 */
import * as Duration from "effect/Duration";
import { CONTROLLER_LEASE, TIMINGS, TYPES } from "./settings.js";
import { type WorldState } from "./world-state.js";
import { drawStateDelayMs, transact } from "./state-service.js";
import { sendLater, whenAwake, reachesState, areConnected } from "./network.js";
import { type Node } from "./nodes.js";
import { showJob } from "./controllers.js";
import { type TermRecord } from "../../src/core/records.js";
import { setMachine } from "../../src/core/cluster/cluster.js";
import { Scheduler } from "../../src/core/scheduler/scheduler.js";
import {
  isWithinFencingWindow,
  isConfirmedByPeers,
  hasFreshJobView,
  sameMembers,
} from "../../src/core/leases/term.js";
import { instant } from "../../src/core/time.js";

/** Whether this process may act under its current term. */
export function mayAct(world: WorldState, node: Node): boolean {
  if (!node.alive || node.term === null) return false;
  if (world.disabledGuard === "fence") return node.leaseConfirmedAt !== null;
  return (
    isWithinFencingWindow(TIMINGS, node.leaseConfirmedAt, instant(world.now)) &&
    hasFreshJobs(world, node) &&
    isInTerm(node)
  );
}

/** Whether this process has read the jobs recently enough. */
export function hasFreshJobs(world: WorldState, node: Node): boolean {
  return (
    world.disabledGuard === "fresh_jobs" || hasFreshJobView(TIMINGS, node.jobsReadAt, instant(world.now))
  );
}

/** Whether this process may answer heartbeats: for that, confirmations by all other controllers suffice as well. */
export function mayAnswer(world: WorldState, node: Node): boolean {
  if (mayAct(world, node)) return true;
  if (!node.alive || node.term === null || !isInTerm(node) || !hasFreshJobs(world, node)) return false;
  const others = world.nodes.filter((n) => n !== node).map((node) => node.name);
  return isConfirmedByPeers(TIMINGS, others, node.peerConfirmations, instant(world.now));
}

/** Asks the other members whether they know of a later term. */
export function askPeers(world: WorldState, node: Node): void {
  const { term } = node;
  if (term === null || world.now % 500 !== 0) return;
  const askedAt = instant(world.now);
  for (const other of world.nodes)
    if (other !== node && areConnected(world, node, other))
      sendLater(
        world,
        whenAwake(world, other, () => {
          const knowsNoLaterTerm = other.alive && (other.term?.number ?? 0) <= term.number;
          sendLater(
            world,
            whenAwake(world, node, () => {
              if (knowsNoLaterTerm && node.term === term) node.peerConfirmations.set(other.name, askedAt);
            }),
          );
        }),
      );
}

/** Whether this process is a member of its term. */
export function isInTerm(node: Node): boolean {
  return node.term!.members.some(
    (member) => member.name === node.name && member.incarnation === node.incarnation,
  );
}

/** Renews the lease; the fencing window counts from when the renewal was sent. */
export function renewLease(world: WorldState, node: Node): void {
  node.nextRenewalAt = world.now + 700;
  const sentAt = instant(world.now);
  const { incarnation } = node;
  if (!reachesState(world, node)) return;
  const onRenewed = (): void => {
    tryLead(world, node);
    if (world.leader?.name === node.name && world.leader.revision === node.leaderRevision)
      takeLeadership(world, node);
    if (node.term !== world.term && world.term !== null) {
      node.term = world.term;
      node.partition.setTerm(world.term);
      node.peerConfirmations = new Map();
    }
    node.leaseConfirmedAt = sentAt;
  };
  sendLater(
    world,
    () => {
      if (!reachesState(world, node) || node.incarnation !== incarnation) return;
      if (world.now >= node.leaseUntil) {
        if (world.now < node.frozenUntil) return;
        // the lease has ended: this one is new, and the leader's key was deleted with the old one
        if (world.leader?.name === node.name) world.leader = null;
        node.incarnation = ++world.revision;
        node.scheduler = null;
      }
      node.leaseUntil = world.now + Duration.toMillis(CONTROLLER_LEASE);
      if (world.leader?.name === node.name && world.leader.incarnation === node.incarnation)
        world.leader.expiresAt = node.leaseUntil;
      const renewedIncarnation = node.incarnation;
      whenAwake(world, node, () => {
        // if the lease ended while the process was frozen, the next renewal finds out
        if (node.incarnation === renewedIncarnation && world.now < node.leaseUntil) onRenewed();
      })();
    },
    true,
    drawStateDelayMs(world),
  );
}

/** Creates the leader's key on this process's lease, or adopts a key of its own that was written late. */
export function tryLead(world: WorldState, node: Node): void {
  const { incarnation } = node;
  const written = transact(
    world,
    node,
    () => world.leader === null && node.incarnation === incarnation && world.now < node.leaseUntil,
    () => {
      world.leader = { name: node.name, incarnation, expiresAt: node.leaseUntil, revision: ++world.revision };
      world.leadersElected++;
    },
  );
  const { leader } = world;
  if (leader === null || leader.name !== node.name || leader.incarnation !== incarnation) return;
  if (leader.revision === node.leaderRevision) return;
  // without the guard its process does not adopt a key that was written late
  if (world.disabledGuard === "adopt_key" && written !== true) return;
  node.leaderRevision = leader.revision;
  node.scheduler = null;
}

/** The holder of the leader's key writes a new term if the members changed, and creates a scheduler if it has none. */
export function takeLeadership(world: WorldState, node: Node): void {
  const members = world.nodes
    .filter((node) => node.alive && node.leaseUntil > world.now)
    .map((node) => ({ name: node.name, incarnation: node.incarnation, zone: node.zone }));
  const isNewLeader = node.scheduler === null;
  const hasSameMembers = !isNewLeader && world.term !== null && sameMembers(world.term.members, members);
  if (!hasSameMembers && !writeTerm(world, node, members)) return;
  if (!isNewLeader) {
    // this includes a term of its own that was written late
    const { term } = world;
    if (node.scheduler!.term !== term && term!.leaderRevision === node.leaderRevision)
      node.scheduler!.renewTerm(term!, instant(world.now));
    return;
  }
  // in the model this read of the state service takes no time
  const scheduler = new Scheduler(
    {
      timings: TIMINGS,
      teams: new Map(
        world.teams.map((team) => [
          team.name,
          world.disabledGuard === "quota" ? { ...team, maxCpus: 0 } : team,
        ]),
      ),
      fleet: { reuse: 0.5, idleBoots: 1.5, warmFor: Duration.seconds(2) },
      startLatencyObjectives: new Map([["service", Duration.millis(100)]]),
      ...(world.shardMoves === null ? {} : { ownership: world.shardMoves.ownership }),
    },
    world.term!,
    node.leaderRevision,
    instant(world.now),
  );
  for (const [id, record] of world.machineRecords) {
    const machine = scheduler.machineRecorded(id, record, instant(world.now));
    if (world.disabledGuard === "confirm" && machine !== null)
      setMachine(scheduler.cluster, machine, { confirmed: true });
  }
  scheduler.setMachineTypes(TYPES);
  for (const [id, row] of world.jobs) {
    node.view.putJob(id, row);
    showJob(world, scheduler, row);
  }
  for (const { spec, accepted } of node.view.waiting.values()) scheduler.jobBlocked(spec, instant(accepted));
  for (const [id, rows] of world.storedFinishes)
    for (const set of rows.values()) scheduler.finishesStored(id, set.ranges());
  node.pendingCommands.clear();
  node.scheduler = scheduler;
}

/** Writes the next term; without an answer the old one stays until the process reads the new one. */
export function writeTerm(world: WorldState, node: Node, members: TermRecord["members"]): boolean {
  const previousTerm = world.term;
  const { leaderRevision: leaderKeyRevision } = node;
  const term: TermRecord = {
    number: (previousTerm?.number ?? 0) + 1,
    leaderRevision: leaderKeyRevision,
    leader: node.name,
    members,
  };
  const written = transact(
    world,
    node,
    (late) =>
      (late && world.disabledGuard === "leader_key") ||
      (world.leader?.revision === leaderKeyRevision && world.term === previousTerm),
    () => {
      world.termsWritten++;
      world.term = term;
    },
  );
  if (written !== true) return false;
  node.term = term;
  node.partition.setTerm(term);
  node.peerConfirmations = new Map();
  node.leaseConfirmedAt = null;
  node.nextRenewalAt = world.now;
  return true;
}
