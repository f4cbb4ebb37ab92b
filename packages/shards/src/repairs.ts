/** Repairs of shard records by the leader: it replaces owners that are gone and ends abandoned handoffs. */
import type { Assignment } from "./assignment.js";
import type { ShardId } from "./shard-id.js";
import { endHandoff, recordOwner, type ShardWrite } from "./transitions.js";

/**
 * Without a record, a shard's owner changes with the members, which costs no writes and moves few machines. A shard with at
 * least this many machines gets a record, so that it keeps its owner when members join or leave.
 */
export const MIN_MACHINES_FOR_RECORD = 4;

/**
 * At most `maxWrites` writes that make the records consistent with the term. `machines`: number of machines by shard.
 * `isMoving`: whether the coordinator has a move of the shard in progress, in which case the shard is skipped.
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
    const write = state._tag === "Owned" ? recordOwner(assignment, shard) : endHandoff(assignment, shard);
    if (write !== null) writes.push(write);
  }
  for (const [shard, count] of machines) {
    if (count < MIN_MACHINES_FOR_RECORD || assignment.recordOf(shard) !== null || isMoving(shard)) continue;
    const write = recordOwner(assignment, shard);
    if (write !== null) writes.push(write);
  }
  return writes.slice(0, Math.max(0, maxWrites));
};
