/**
 * The simulated state service: transactions on conditions that may be carried out late or lose their answer, outages, and
 * the commit records.
 */
import * as Duration from "effect/Duration";
import { TTL } from "./settings.js";
import { type WorldState } from "./world-state.js";
import { reachesState } from "./network.js";
import { type Node } from "./nodes.js";
import { RangeSet } from "../../src/core/ranges.js";

/** How much longer the state service takes. */
export function stateDelay(world: WorldState): number {
  return world.slowStateMs > 0 ? world.extra() * world.slowStateMs : 0;
}

/**
 * A transaction to the state service: true: carried out; false: a condition failed; null: no answer, and it may be
 * carried out yet, after newer ones, if its conditions hold then.
 */
export function transact(
  world: WorldState,
  node: Node,
  attempts: (late: boolean) => boolean,
  apply: () => void,
): boolean | null {
  if (!reachesState(world, node)) return null;
  if (world.lateWrites > 0 && world.extra() < world.lateWrites) {
    carryOutLate(world, attempts, apply);
    return null;
  }
  world.writes++;
  if (!attempts(false)) return false;
  apply();
  if (world.lostAnswers === 0 || world.extra() >= world.lostAnswers) return true;
  world.count("answers lost");
  world.unread.push({ writer: node.name, write: world.writes });
  return null;
}

/** A transaction that is carried out 2 to 12 s later, if its conditions hold then. */
export function carryOutLate(
  world: WorldState,
  attempts: (late: boolean) => boolean,
  apply: () => void,
): void {
  const { writes } = world;
  const run = (): void => {
    if (world.now < world.stateDownUntil) return void world.messages.push({ at: world.stateDownUntil, run });
    if (world.writes > writes) world.count("late writes after newer ones");
    world.writes++;
    if (attempts(true)) apply();
    else world.count("late writes refused");
  };
  world.messages.push({ at: world.now + 2000 + world.extra() * 10_000, run });
}

/** Requests to the cloud may be carried out late too, when whoever sent them has long given up. */
export function delayCloudRequest(world: WorldState, what: string, run: () => void): boolean {
  if (world.lateWrites === 0 || world.extra() >= world.lateWrites) return false;
  const late = (): void => {
    world.count(what);
    run();
  };
  world.messages.push({ at: world.now + 2000 + world.extra() * 10_000, run: late });
  return true;
}

/** Conditions of a transaction: the leader's key still has this stamp; the job has no commit yet. */
export function isLeaderKey(world: WorldState, stamp: number, late: boolean): boolean {
  return (late && world.without === "stamp") || world.leader?.stamp === stamp;
}

/** A condition of a transaction: the job has no commit yet. */
export function hasNoCommit(world: WorldState, job: string, late: boolean): boolean {
  return (late && world.without === "absent") || !world.commits.has(job);
}

/** Once the state service has had an outage, every lease has its full time again. */
export function endOutage(world: WorldState): void {
  if (world.stateDownFrom === null || world.now < world.stateDownUntil) return;
  const full = world.now + Duration.toMillis(TTL);
  for (const node of world.nodes) if (node.leaseUntil > world.stateDownFrom) node.leaseUntil = full;
  if (world.leader !== null && world.leader.until > world.stateDownFrom) world.leader.until = full;
  world.stateDownFrom = null;
}

/** The state service is out for so long. */
export function beginOutage(world: WorldState, ms: number): void {
  world.stateDownFrom ??= world.now;
  world.stateDownUntil = Math.max(world.stateDownUntil, world.now + ms);
}

/** The commit record is written. */
export function commitJob(world: WorldState, id: string, outcome: "done" | "cancelled"): void {
  const before = world.commits.get(id);
  if (before !== undefined) {
    if (before.outcome !== outcome)
      world.broken.push({ rule: "went_back", text: `${id}: ${before.outcome}, then ${outcome}` });
    return;
  }
  world.commits.set(id, { outcome, at: world.now });
  world.jobs.delete(id);
  world.revision++;
  if (outcome !== "done") return;
  world.committed++;
  const spec = world.allJobs.get(id)!;
  if (!(world.completed.get(id) ?? new RangeSet()).covers(spec.tasks))
    world.broken.push({ rule: "not_done", text: `${id} at ${world.now}` });
}
