/**
 * Which controller counts a shard's machines as its own. This depends only on the shard's record and the term:
 *
 * - owned or draining: the owner,
 * - released: none,
 * - no record: the owner by rendezvous hash in the current term.
 *
 * So two processes that have read the same record in the same term never both count a machine. A process whose records are
 * older than its term, or whose fencing window has closed, counts nothing (`OwnerView.ownsForCertain`).
 */
import type { Assignment } from "./assignment.js";
import { type ShardId, shardOf } from "./shard-id.js";

/** The controller that counts the shard's machines, or null. */
export const countingController = (assignment: Assignment, shard: ShardId): string | null => {
  if (assignment.recordOf(shard)?.state._tag === "Released") return null;
  return assignment.ownershipOf(shard)?.owner ?? null;
};

/** How many of the machines each controller counts; controllers that count none are omitted. */
export const countMachines = (
  assignment: Assignment,
  machines: Iterable<{ readonly id: string; readonly zone: string }>,
): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>();
  for (const { id, zone } of machines) {
    const controller = countingController(assignment, shardOf(id, zone));
    if (controller !== null) counts.set(controller, (counts.get(controller) ?? 0) + 1);
  }
  return counts;
};
