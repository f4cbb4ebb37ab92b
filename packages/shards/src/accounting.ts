/**
 * Which controller counts a shard's machines as its own. It follows from the record and the term alone:
 *
 * - owned or draining: the owner,
 * - released: nobody,
 * - no record: the owner by rendezvous hash under the present term.
 *
 * Two processes that have read the same record under the same term therefore never both count a machine. A process whose
 * reading is older than its term, or whose fencing window is over, counts nothing (`OwnerView.ownsForCertain`).
 */
import type { Assignment } from "./assignment.js";
import { type ShardId, shardOf } from "./shard-id.js";

/** The controller that counts the shard's machines; null: none does. */
export const countingController = (assignment: Assignment, shard: ShardId): string | null => {
  if (assignment.recordOf(shard)?.state._tag === "Released") return null;
  return assignment.ownershipOf(shard)?.owner ?? null;
};

/** How many of the machines each controller counts. Controllers that count none are left out. */
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
