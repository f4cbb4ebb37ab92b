/**
 * A step of a simulated controller: it reads jobs, sends its updates to the leader, stores finishes, and leads.
 */
import * as Duration from "effect/Duration";
import { type WorldState } from "./world-state.js";
import { stateDelay, transact, hasNoCommit } from "./state-service.js";
import { sendLater, whenAwake, reachesState, areConnected } from "./network.js";
import { type Node } from "./nodes.js";
import { mayAct, askPeers, renewLease } from "./election.js";
import { carryOutDecision, listMachines } from "./decisions.js";
import { settleCommands } from "./commands.js";
import { keys } from "../../src/core/records.js";
import { RangeSet } from "../../src/core/ranges.js";
import { type Scheduler } from "../../src/core/scheduler/scheduler.js";
import { instant, minus } from "../../src/core/time.js";
import { type Row } from "./job-views.js";

/** One step of a controller. */
export function stepController(world: WorldState, node: Node): void {
  if (world.leader !== null && world.now >= world.leader.until && world.now >= world.stateDownUntil)
    world.leader = null;
  if (!node.alive || world.now < node.frozenUntil) return;
  if (world.now >= node.nextRenew) renewLease(world, node);
  if (world.now >= node.nextRead) readJobs(world, node);
  askPeers(world, node);
  if (world.now >= node.nextSync && node.term !== null) sendMemberUpdate(world, node);
  storeFinishes(world, node);
  const scheduler = node.scheduler;
  if (scheduler === null || node.term?.leader !== node.name) return world.pipelines.stopLooking(node);
  world.pipelines.look(node, scheduler);
  if (!mayAct(world, node)) return;
  countLeader(world, node, scheduler);
  applyJobs(world, node, scheduler);
  world.shards?.step(scheduler, node.term);
  for (const [id, batch] of node.pendingCommands)
    if (world.now - batch.at > 6000) settleCommands(world, node, scheduler, id, "unknown");
  for (const decision of scheduler.step(instant(world.now))) {
    if (node.scheduler !== scheduler) return;
    carryOutDecision(world, node, scheduler, decision);
  }
  if (node.scheduler !== scheduler) return;
  if (world.now % 2000 === 0) listMachines(world, scheduler);
  if (world.now % 500 === 0)
    for (const decision of scheduler.stepAutoscaler(instant(world.now)))
      carryOutDecision(world, node, scheduler, decision);
}

/** Once for each leader that may act. */
export function countLeader(world: WorldState, node: Node, scheduler: Scheduler): void {
  const released = [...world.jobs.values()].some((job) => job.spec.dependsOn.length > 0);
  const isWaiting = world.pipelines.waiting.size > 0;
  for (const what of world.pipelines.versions.leads(scheduler, node.version, released, isWaiting))
    world.count(what);
}

/** Shows a job to a leader's core. */
export function showJob(
  world: WorldState,
  scheduler: Scheduler,
  { spec, revision: stamp, accepted, released }: Row,
): void {
  const seen = world.without === "zone" ? { ...spec, oneZone: false, zone: null, types: null } : spec;
  scheduler.jobReleased(seen, stamp, instant(accepted), instant(released));
}

/** What the state service has of unfinished jobs comes a moment later, and not at all while it can't be reached. */
export function readJobs(world: WorldState, node: Node): void {
  node.nextRead = world.now + 500;
  const { incarnation } = node;
  const asked = instant(world.now);
  if (!reachesState(world, node)) return;
  sendLater(
    world,
    () => {
      if (!reachesState(world, node)) return;
      const { revision } = world;
      world.unread = world.unread.filter((lost) => {
        if (lost.writer === node.name) return true;
        world.count("writes read by others whose answer was lost");
        return false;
      });
      const snapshot = world.pipelines.snapshot(revision, node.version);
      sendLater(
        world,
        whenAwake(world, node, () => {
          if (node.incarnation !== incarnation || asked < (node.jobsReadAt ?? -1)) return;
          node.jobsReadAt = asked;
          node.known = snapshot.jobs;
          node.knownUpTo = revision;
          node.view.refresh(snapshot);
        }),
      );
    },
    true,
    stateDelay(world),
  );
}

/** Brings a leader's core up to what its process knows of the jobs. */
export function applyJobs(world: WorldState, node: Node, scheduler: Scheduler): void {
  for (const [id, row] of node.known)
    if (!(world.commits.has(id) && !scheduler.cluster.jobs.has(id))) showJob(world, scheduler, row);
  const { view } = node;
  // released by this very process a moment ago
  for (const row of view.jobs.values()) if (row.revision > node.knownUpTo) showJob(world, scheduler, row);
  for (const row of view.waiting.values())
    if (world.without === "release") showJob(world, scheduler, row);
    else scheduler.jobBlocked(row.spec, instant(row.accepted));
  for (const id of [...scheduler.blockedJobs]) if (!view.waiting.has(id)) scheduler.jobUnblocked(id);
  if (world.without === "cancel") return;
  for (const [id, job] of [...scheduler.cluster.jobs])
    if (!node.known.has(id) && !view.waiting.has(id) && job.revision <= node.knownUpTo)
      scheduler.jobEnded(id);
}

/** Sends what a member has gathered to the leader. */
export function sendMemberUpdate(world: WorldState, node: Node): void {
  node.nextSync = world.now + 200;
  const term = node.term!;
  if (node.leaderClockMarkTerm !== term.number) {
    node.leaderClockMark = -1;
    node.leaderClockMarkTerm = term.number;
  }
  const news = node.part.takeUpdate(instant(world.now));
  const { incarnation, leaderClockMark: mark } = node;
  const to = world.nodes.find((node) => node.name === term.leader)!;
  let arrived = false;
  if (areConnected(world, node, to))
    sendLater(
      world,
      whenAwake(world, to, () => {
        const scheduler = to.scheduler;
        if (scheduler === null || to.term?.number !== term.number || !mayAct(world, to)) return;
        if (!term.members.some((member) => member.name === node.name && member.incarnation === incarnation))
          return;
        arrived = true;
        const at = instant(world.now);
        for (const { heartbeat, ageMs } of news.heartbeats)
          scheduler.heartbeatReceived(heartbeat, node.name, at, minus(at, Duration.millis(ageMs)));
        for (const x of news.storedFinishes) scheduler.finishesStored(x.job, x.ranges);
        const answered = [];
        for (const contact of news.contacts) {
          if (contact.heartbeatAgeMs >= 0)
            scheduler.contactReported(contact.machine, minus(at, Duration.millis(contact.heartbeatAgeMs)));
          if (contact.answerAgeMs >= 0)
            answered.push({
              machine: contact.machine,
              at: minus(at, Duration.millis(contact.answerAgeMs)),
            });
        }
        const completeUpTo = mark < 0 ? null : instant(mark);
        scheduler.leaseRenewalsReported(
          { member: node.name, incarnation, termNumber: term.number, completeUpTo, renewals: answered },
          at,
        );
        for (const result of news.commandResults)
          settleCommands(world, to, scheduler, result.id, result.outcome, {
            workerEpoch: result.workerEpoch,
            sequence: result.sequence,
          });
        const stamp = world.now;
        sendLater(
          world,
          whenAwake(world, node, () => {
            if (node.leaderClockMarkTerm === term.number && node.incarnation === incarnation)
              node.leaderClockMark = Math.max(node.leaderClockMark, stamp);
          }),
        );
      }),
    );
  world.messages.push({
    at: world.now + 1500,
    run: whenAwake(world, node, () => {
      if (!arrived && node.incarnation === incarnation) node.part.putBack(news);
    }),
  });
}

/** Stores the finishes that a member has gathered. */
export function storeFinishes(world: WorldState, node: Node): void {
  if (!reachesState(world, node) || node.leaseUntil <= world.now) return;
  const open = (job: string): boolean => world.jobs.has(job);
  const at = instant(world.now);
  const writer = `${node.name}.${node.incarnation}`;
  for (const write of node.part.finishes.beginWrites(writer, 8, at, open)) {
    if (world.commits.has(write.job)) {
      node.part.finishes.writeAnswered(write, "over", at);
      continue;
    }
    const wrote = transact(
      world,
      node,
      (late) => hasNoCommit(world, write.job, late),
      () => {
        const rows = world.stored.get(write.job) ?? new Map<string, RangeSet>();
        world.stored.set(write.job, rows);
        for (const put of write.puts) {
          const set = RangeSet.of(put.ranges);
          const key = world.without === "key" ? keys.rangesOf(write.job, writer, put.window) : put.key;
          const lost = (rows.get(key)?.ranges() ?? []).some(([from, to]) => {
            for (let n = from; n < to; n++) if (!set.has(n)) return true;
            return false;
          });
          // what is stored may be forgotten by the machine
          if (lost) world.broken.push({ rule: "lost_finish", text: `${key} at ${world.now}` });
          rows.set(key, set);
        }
      },
    );
    node.part.finishes.writeAnswered(write, world.random() < 0.1 || wrote !== true ? "failed" : "stored", at);
  }
}
