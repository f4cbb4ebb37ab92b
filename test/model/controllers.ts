/**
 * A step of a simulated controller: it renews its lease, reads jobs, sends updates to the leader, stores finished
 * tasks and, as the leader, runs the scheduler.
 */
import * as Duration from "effect/Duration";
import { type WorldState } from "./world-state.js";
import { commitsSince, drawStateDelayMs, transact, hasNoCommit } from "./state-service.js";
import { sendLater, whenAwake, reachesState, areConnected } from "./network.js";
import { type Node } from "./nodes.js";
import { mayAct, askPeers, renewLease } from "./election.js";
import { carryOutDecision, listMachines } from "./decisions.js";
import { settleCommands } from "./commands.js";
import { keys } from "../../src/core/records.js";
import { RangeSet } from "../../src/core/ranges.js";
import { type Scheduler } from "../../src/core/scheduler/scheduler.js";
import { instant, minus } from "../../src/core/time.js";
import { type JobRow } from "./job-views.js";

export function stepController(world: WorldState, node: Node): void {
  if (world.leader !== null && world.now >= world.leader.expiresAt && world.now >= world.stateDownUntil)
    world.leader = null;
  if (!node.alive || world.now < node.frozenUntil) return;
  if (world.now >= node.nextRenewalAt) renewLease(world, node);
  if (world.now >= node.nextReadAt) readJobs(world, node);
  askPeers(world, node);
  if (world.now >= node.nextUpdateAt && node.term !== null) sendMemberUpdate(world, node);
  storeFinishes(world, node);
  const scheduler = node.scheduler;
  if (scheduler === null || node.term?.leader !== node.name) return world.waitingJobs.stopReview(node);
  world.waitingJobs.review(node, scheduler);
  if (!mayAct(world, node)) return;
  countLeader(world, node, scheduler);
  applyJobs(world, node, scheduler);
  world.shardMoves?.step(scheduler, node.term);
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

/** Counts each leader once, when it may act for the first time. */
export function countLeader(world: WorldState, node: Node, scheduler: Scheduler): void {
  const released = [...world.jobs.values()].some((job) => job.spec.dependsOn.length > 0);
  const isWaiting = world.waitingJobs.waiting.size > 0;
  for (const event of world.waitingJobs.versions.leaderEvents(scheduler, node.version, released, isWaiting))
    world.count(event);
}

/** Passes a released job to a leader's core. */
export function showJob(
  world: WorldState,
  scheduler: Scheduler,
  { spec, revision, accepted, released }: JobRow,
): void {
  const shownSpec =
    world.disabledGuard === "zone" ? { ...spec, oneZone: false, zone: null, types: null } : spec;
  scheduler.jobReleased(shownSpec, revision, instant(accepted), instant(released));
}

/** Reads the unfinished jobs from the state service, which takes a moment and fails while it can't be reached. */
export function readJobs(world: WorldState, node: Node): void {
  node.nextReadAt = world.now + 500;
  const { incarnation } = node;
  const askedAt = instant(world.now);
  if (!reachesState(world, node)) return;
  sendLater(
    world,
    () => {
      if (!reachesState(world, node)) return;
      const { revision } = world;
      world.unreadWrites = world.unreadWrites.filter((write) => {
        if (write.writer === node.name) return true;
        world.count("writes read by others whose answer was lost");
        return false;
      });
      const snapshot = world.waitingJobs.snapshot(revision, node.version);
      const ends = readEnds(world, node);
      sendLater(
        world,
        whenAwake(world, node, () => {
          if (node.incarnation !== incarnation || askedAt < (node.jobsReadAt ?? -1)) return;
          node.jobsReadAt = askedAt;
          node.knownJobs = snapshot.jobs;
          node.knownJobsRevision = revision;
          node.view.refresh(snapshot);
          for (const id of ends.jobs) node.endedJobs.add(id);
          node.endedJobs.listed(askedAt, ends.isTooOld);
          node.endedJobs.readAnswered(askedAt, (id) => snapshot.jobs.has(id) || node.view.isUnfinished(id));
          node.endsKnownUpTo = revision;
        }),
      );
    },
    true,
    drawStateDelayMs(world),
  );
}

/** The jobs that ended since the process's last read; a new process reads all that the state service still reports. */
function readEnds(world: WorldState, node: Node): { jobs: string[]; isTooOld: boolean } {
  const isNew = node.endsKnownUpTo === null;
  // without the guard a new process knows only of ends after its first read
  if (isNew && world.disabledGuard === "earlier_ends") return { jobs: [], isTooOld: false };
  return commitsSince(world, node.endsKnownUpTo ?? 0);
}

/** Updates a leader's core with the jobs that its process has read. */
export function applyJobs(world: WorldState, node: Node, scheduler: Scheduler): void {
  for (const [id, row] of node.knownJobs)
    if (!(world.commits.has(id) && !scheduler.cluster.jobs.has(id))) showJob(world, scheduler, row);
  const { view } = node;
  // released by this process since that read
  for (const row of view.jobs.values())
    if (row.revision > node.knownJobsRevision) showJob(world, scheduler, row);
  for (const row of view.waiting.values())
    if (world.disabledGuard === "release") showJob(world, scheduler, row);
    else scheduler.jobBlocked(row.spec, instant(row.accepted));
  for (const id of [...scheduler.blockedJobs]) if (!view.waiting.has(id)) scheduler.jobUnblocked(id);
  if (world.disabledGuard === "cancel") return;
  for (const [id, job] of [...scheduler.cluster.jobs])
    if (!node.knownJobs.has(id) && !view.waiting.has(id) && job.revision <= node.knownJobsRevision)
      scheduler.jobEnded(id);
}

/** Sends a member's gathered heartbeats, contacts and command outcomes to the leader. */
export function sendMemberUpdate(world: WorldState, node: Node): void {
  node.nextUpdateAt = world.now + 200;
  const term = node.term!;
  if (node.leaderClockMarkTerm !== term.number) {
    node.leaderClockMark = -1;
    node.leaderClockMarkTerm = term.number;
  }
  const update = node.partition.takeUpdate(instant(world.now));
  const { incarnation, leaderClockMark: clockMark } = node;
  const leader = world.nodes.find((node) => node.name === term.leader)!;
  let arrived = false;
  if (areConnected(world, node, leader))
    sendLater(
      world,
      whenAwake(world, leader, () => {
        const scheduler = leader.scheduler;
        if (scheduler === null || leader.term?.number !== term.number || !mayAct(world, leader)) return;
        if (!term.members.some((member) => member.name === node.name && member.incarnation === incarnation))
          return;
        arrived = true;
        const receivedAt = instant(world.now);
        for (const { heartbeat, ageMs } of update.heartbeats)
          scheduler.heartbeatReceived(
            heartbeat,
            node.name,
            receivedAt,
            minus(receivedAt, Duration.millis(ageMs)),
          );
        for (const stored of update.storedFinishes) scheduler.finishesStored(stored.job, stored.ranges);
        const leaseRenewals = [];
        for (const contact of update.contacts) {
          if (contact.heartbeatAgeMs >= 0)
            scheduler.contactReported(
              contact.machine,
              minus(receivedAt, Duration.millis(contact.heartbeatAgeMs)),
            );
          if (contact.answerAgeMs >= 0)
            leaseRenewals.push({
              machine: contact.machine,
              at: minus(receivedAt, Duration.millis(contact.answerAgeMs)),
            });
        }
        const completeUpTo = clockMark < 0 ? null : instant(clockMark);
        scheduler.leaseRenewalsReported(
          { member: node.name, incarnation, termNumber: term.number, completeUpTo, renewals: leaseRenewals },
          receivedAt,
        );
        for (const result of update.commandResults)
          settleCommands(world, leader, scheduler, result.id, result.outcome, {
            workerEpoch: result.workerEpoch,
            sequence: result.sequence,
          });
        const leaderTime = world.now;
        sendLater(
          world,
          whenAwake(world, node, () => {
            if (node.leaderClockMarkTerm === term.number && node.incarnation === incarnation)
              node.leaderClockMark = Math.max(node.leaderClockMark, leaderTime);
          }),
        );
      }),
    );
  world.messages.push({
    at: world.now + 1500,
    run: whenAwake(world, node, () => {
      if (!arrived && node.incarnation === incarnation) node.partition.putBack(update);
    }),
  });
}

/** Writes the finished tasks that a member has gathered to the state service. */
export function storeFinishes(world: WorldState, node: Node): void {
  if (!reachesState(world, node) || node.leaseUntil <= world.now) return;
  const isUnfinished = (job: string): boolean => world.jobs.has(job);
  const at = instant(world.now);
  const writer = `${node.name}.${node.incarnation}`;
  for (const write of node.partition.finishes.beginWrites(writer, 8, at, isUnfinished)) {
    if (world.commits.has(write.job)) {
      node.partition.finishes.writeAnswered(write, "over", at);
      continue;
    }
    const written = transact(
      world,
      node,
      (late) => hasNoCommit(world, write.job, late),
      () => {
        const jobFinishes = world.storedFinishes.get(write.job) ?? new Map<string, RangeSet>();
        world.storedFinishes.set(write.job, jobFinishes);
        for (const put of write.puts) {
          const ranges = RangeSet.of(put.ranges);
          const key =
            world.disabledGuard === "finish_key" ? keys.rangesOf(write.job, writer, put.window) : put.key;
          const losesRanges = (jobFinishes.get(key)?.ranges() ?? []).some(([from, to]) => {
            for (let n = from; n < to; n++) if (!ranges.has(n)) return true;
            return false;
          });
          // a machine may forget a finish once it is stored, so no write may remove it
          if (losesRanges) world.violations.push({ rule: "lost_finish", text: `${key} at ${world.now}` });
          jobFinishes.set(key, ranges);
        }
      },
    );
    node.partition.finishes.writeAnswered(
      write,
      world.random() < 0.1 || written !== true ? "failed" : "stored",
      at,
    );
  }
}
