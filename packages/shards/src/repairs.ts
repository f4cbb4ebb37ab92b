/** What the leader writes down by itself: owners that are gone, and handoffs that nobody goes on with. */
import type { Assignment } from "./assignment.js";
import type { ShardId } from "./shard-id.js";
import { endHandoff, pinShard, type ShardWrite } from "./transitions.js";

/**
 * A shard without a record follows the members, which costs nothing and moves few machines; from this many machines on it is
 * worth a record, so that it stays where it is when members come and go.
 */
export const MACHINES_WORTH_A_RECORD = 4;

/**
 * Writes that make the records agree with the term, at most so many. `isBeingTried`: a move of the shard is under way, so that its
 * handoff, if it is of this term, isn't touched.
 */
export const repairsOf = (
  assignment: Assignment,
  machines: ReadonlyMap<ShardId, number>,
  isMoving: (shard: ShardId) => boolean,
  maxWrites: number,
): readonly ShardWrite[] => {
  const { term } = assignment;
  if (term === null || !assignment.inForce) return [];
  const writes: ShardWrite[] = [];
  for (const [shard, { state }] of assignment.recordedShards()) {
    if (isMoving(shard)) continue;
    const write = state._tag === "Owned" ? pinShard(assignment, shard) : endHandoff(assignment, shard);
    if (write !== null) writes.push(write);
  }
  for (const [shard, count] of machines) {
    if (count < MACHINES_WORTH_A_RECORD || assignment.recordOf(shard) !== null || isMoving(shard)) continue;
    const write = pinShard(assignment, shard);
    if (write !== null) writes.push(write);
  }
  return writes.slice(0, Math.max(0, maxWrites));
};
