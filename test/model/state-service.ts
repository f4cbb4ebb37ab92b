/**
 * The simulated state service: conditional transactions that may be executed late or lose their answer, outages, and
 * commit records.
 */
import * as Duration from "effect/Duration";
import { CONTROLLER_LEASE } from "./settings.js";
import { type WorldState } from "./world-state.js";
import { reachesState } from "./network.js";
import { type Node } from "./nodes.js";
import { RangeSet } from "../../src/core/ranges.js";

/** Draws the extra delay of the state service. */
export function drawStateDelayMs(world: WorldState): number {
  return world.maxStateDelayMs > 0 ? world.extraRandom() * world.maxStateDelayMs : 0;
}

/**
 * Sends a transaction to the state service. Returns true if it was executed, false if its condition failed, and null if
 * there was no answer: it may then have been executed, or be executed later, after newer ones, if its condition holds.
 */
export function transact(
  world: WorldState,
  node: Node,
  conditionHolds: (late: boolean) => boolean,
  apply: () => void,
): boolean | null {
  if (!reachesState(world, node)) return null;
  if (world.lateWriteShare > 0 && world.extraRandom() < world.lateWriteShare) {
    carryOutLate(world, conditionHolds, apply);
    return null;
  }
  world.writeCount++;
  if (!conditionHolds(false)) return false;
  apply();
  if (world.lostAnswerShare === 0 || world.extraRandom() >= world.lostAnswerShare) return true;
  world.count("answers lost");
  world.unreadWrites.push({ writer: node.name, write: world.writeCount });
  return null;
}

/** Executes a transaction 2 to 12 s later, if its condition holds then. */
export function carryOutLate(
  world: WorldState,
  conditionHolds: (late: boolean) => boolean,
  apply: () => void,
): void {
  const { writeCount: writesBefore } = world;
  const run = (): void => {
    if (world.now < world.stateDownUntil) return void world.messages.push({ at: world.stateDownUntil, run });
    if (world.writeCount > writesBefore) world.count("late writes after newer ones");
    world.writeCount++;
    if (conditionHolds(true)) apply();
    else world.count("late writes refused");
  };
  world.messages.push({ at: world.now + 2000 + world.extraRandom() * 10_000, run });
}

/** Draws whether a request to the cloud is executed 2 to 12 s late, after its sender's time-out. */
export function delayCloudRequest(world: WorldState, event: string, run: () => void): boolean {
  if (world.lateWriteShare === 0 || world.extraRandom() >= world.lateWriteShare) return false;
  const runLate = (): void => {
    world.count(event);
    run();
  };
  world.messages.push({ at: world.now + 2000 + world.extraRandom() * 10_000, run: runLate });
  return true;
}

/** A condition of a transaction: the leader's key still has this revision. */
export function isLeaderKey(world: WorldState, revision: number, late: boolean): boolean {
  return (late && world.disabledGuard === "leader_key") || world.leader?.revision === revision;
}

/** A condition of a transaction: the job has no commit yet. */
export function hasNoCommit(world: WorldState, job: string, late: boolean): boolean {
  return (late && world.disabledGuard === "no_commit") || !world.commits.has(job);
}

/** After an outage of the state service every lease runs for its full time again. */
export function endOutage(world: WorldState): void {
  if (world.stateDownFrom === null || world.now < world.stateDownUntil) return;
  const leaseEnd = world.now + Duration.toMillis(CONTROLLER_LEASE);
  for (const node of world.nodes) if (node.leaseUntil > world.stateDownFrom) node.leaseUntil = leaseEnd;
  if (world.leader !== null && world.leader.expiresAt > world.stateDownFrom)
    world.leader.expiresAt = leaseEnd;
  world.stateDownFrom = null;
}

/** Makes the state service unreachable for this time. */
export function beginOutage(world: WorldState, ms: number): void {
  world.stateDownFrom ??= world.now;
  world.stateDownUntil = Math.max(world.stateDownUntil, world.now + ms);
}

/** The jobs whose commits were written after `from`; `isTooOld`: the service no longer keeps all changes since then. */
export function commitsSince(world: WorldState, from: number): { jobs: string[]; isTooOld: boolean } {
  const oldestKept = Math.max(from, world.revision - world.keptRevisions);
  const jobs = [...world.commits].filter(([, { revision }]) => revision > oldestKept).map(([id]) => id);
  return { jobs, isTooOld: oldestKept > from };
}

/** Writes a job's commit record. */
export function commitJob(world: WorldState, id: string, outcome: "done" | "cancelled"): void {
  const previous = world.commits.get(id);
  if (previous !== undefined) {
    if (previous.outcome !== outcome)
      world.violations.push({ rule: "went_back", text: `${id}: ${previous.outcome}, then ${outcome}` });
    return;
  }
  world.commits.set(id, { outcome, at: world.now, revision: ++world.revision });
  world.jobs.delete(id);
  if (outcome !== "done") return;
  world.jobsCommitted++;
  const spec = world.allJobs.get(id)!;
  if (!(world.completedTasks.get(id) ?? new RangeSet()).covers(spec.tasks))
    world.violations.push({ rule: "not_done", text: `${id} at ${world.now}` });
}
