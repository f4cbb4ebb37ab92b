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
import { keepForCopies } from "./command-copies.js";
import { applyVersionToLeader, settleCommands } from "./commands.js";
import { type MemberUpdate } from "../../src/core/members/member-update.js";
import { keys, type TermRecord } from "../../src/core/records.js";
import { RangeSet } from "../../src/core/ranges.js";
import { type Scheduler } from "../../src/core/scheduler/scheduler.js";
import { type Instant, instant, minus } from "../../src/core/time.js";
import { type JobRow } from "./job-views.js";

/** A member relays updates once it has not reached the leader for this long, and then this often. */
const RELAY_AFTER_MS = 800;
const RELAY_INTERVAL_MS = 1000;

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
  applyVersionToLeader(world, node, scheduler);
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

/** A member's update on its way to the leader. */
interface SentUpdate {
  readonly member: Node;
  readonly incarnation: number;
  readonly term: TermRecord;
  readonly content: MemberUpdate;
  /** Up to this time of the leader's clock the member has reported everything; negative: it can't tell. */
  readonly completeUpTo: number;
}

/** Sends a member's gathered heartbeats, contacts and command outcomes to the leader. */
export function sendMemberUpdate(world: WorldState, node: Node): void {
  node.nextUpdateAt = world.now + 200;
  const term = node.term!;
  if (node.leaderClockMarkTerm !== term.number) {
    node.leaderClockMark = -1;
    node.leaderClockMarkTerm = term.number;
  }
  const content = node.partition.takeUpdate(instant(world.now));
  const { incarnation, partition } = node;
  // an update on its way may be refused, so what it reports isn't certain to reach the leader (S3)
  const isComplete = node.unansweredUpdates === 0 && node.partition.isUpdateComplete();
  const completeUpTo = isComplete ? node.leaderClockMark : -1;
  const update: SentUpdate = { member: node, incarnation, term, content, completeUpTo };
  const leader = world.nodes.find((node) => node.name === term.leader)!;
  keepForCopies(world, "update", () => {
    world.count("copies of updates to leaders");
    whenAwake(world, leader, () => void receiveUpdate(world, leader, update))();
  });
  if (relayUpdate(world, leader, update)) return;
  let arrived = false;
  let isAnswered = false;
  const answered = (): void => {
    if (!isAnswered && node.partition === partition) node.unansweredUpdates--;
    isAnswered = true;
  };
  node.unansweredUpdates++;
  if (areConnected(world, node, leader))
    sendLater(
      world,
      whenAwake(world, leader, () => {
        if (!receiveUpdate(world, leader, update)) return;
        arrived = true;
        const leaderTime = world.now;
        sendLater(
          world,
          whenAwake(world, node, () => {
            if (node.incarnation !== incarnation) return;
            answered();
            node.leaderReachedAt = world.now;
            node.partition.reportRelayedAgain();
            if (node.leaderClockMarkTerm === term.number)
              node.leaderClockMark = Math.max(node.leaderClockMark, leaderTime);
          }),
        );
      }),
    );
  world.messages.push({
    at: world.now + 1500,
    run: whenAwake(world, node, () => {
      if (!arrived && node.incarnation === incarnation) node.partition.putBack(content);
      answered();
    }),
  });
}

/**
 * Sends an update through the state service while the leader can't be reached; returns whether it was stored there. The
 * leader misses it if it can't reach the state service then.
 */
function relayUpdate(world: WorldState, leader: Node, update: SentUpdate): boolean {
  const { member, content } = update;
  if (areConnected(world, member, leader) || world.now - member.leaderReachedAt < RELAY_AFTER_MS)
    return false;
  if (world.now < member.nextRelayAt || !mayAct(world, member) || !reachesState(world, member)) return false;
  member.nextRelayAt = world.now + RELAY_INTERVAL_MS;
  // without the guard a relayed update counts as reported
  if (world.disabledGuard !== "relayed_updates") member.partition.updateRelayed(content);
  world.count("updates relayed");
  sendLater(
    world,
    whenAwake(world, leader, () => {
      if (!reachesState(world, leader)) world.count("relayed updates missed");
      else receiveUpdate(world, leader, update);
    }),
  );
  return true;
}

/** Passes a member's update to the scheduler; returns whether the leader accepted it. */
function receiveUpdate(world: WorldState, leader: Node, update: SentUpdate): boolean {
  const { member, incarnation, term, content, completeUpTo } = update;
  const { name } = member;
  const { scheduler } = leader;
  if (scheduler === null || leader.term?.number !== term.number || !mayAct(world, leader)) return false;
  if (!term.members.some((other) => other.name === name && other.incarnation === incarnation)) return false;
  const receivedAt = instant(world.now);
  const ago = (ms: number): Instant => minus(receivedAt, Duration.millis(ms));
  for (const { heartbeat, ageMs } of content.heartbeats)
    scheduler.heartbeatReceived(heartbeat, name, receivedAt, ago(ageMs));
  for (const stored of content.storedFinishes) scheduler.finishesStored(stored.job, stored.ranges);
  const renewals = [];
  for (const { machine, heartbeatAgeMs, answerAgeMs } of content.contacts) {
    if (heartbeatAgeMs >= 0) scheduler.contactReported(machine, ago(heartbeatAgeMs));
    if (answerAgeMs >= 0) renewals.push({ machine, at: ago(answerAgeMs) });
  }
  const completeMark = completeUpTo < 0 ? null : instant(completeUpTo);
  const report = { member: name, incarnation, termNumber: term.number, completeUpTo: completeMark, renewals };
  scheduler.leaseRenewalsReported(report, receivedAt);
  for (const { id, outcome, workerEpoch, sequence } of content.commandResults)
    settleCommands(world, leader, scheduler, id, outcome, { workerEpoch, sequence });
  return true;
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
