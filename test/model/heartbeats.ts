/**
 * How heartbeats reach a member, also late copies of them.
 */
import { type WorldState } from "./world-state.js";
import { whenAwake } from "./network.js";
import { type Node } from "./nodes.js";
import { type Worker } from "./workers.js";
import { mayAnswer } from "./election.js";
import { type Heartbeat } from "../../src/core/records.js";
import { type HeartbeatAnswer } from "../../src/core/members/worker-partition.js";
import { instant } from "../../src/core/time.js";

/** A copy of a heartbeat arrives at `at`, at any node or at who leads then. */
export function deliverCopy(
  world: WorldState,
  worker: Worker,
  heartbeat: Heartbeat,
  at: number,
  target: Node | null,
): void {
  const node = target ?? world.nodes[Math.floor(world.extraRandom() * world.nodes.length)]!;
  const run = whenAwake(world, node, () => {
    if (!node.alive) return;
    const isEarlierSession = heartbeat.workerEpoch < worker.workerEpoch;
    world.count(isEarlierSession ? "copies from an earlier session" : "copies after newer ones");
    if (showsOutdatedAttempt(world, heartbeat)) world.count("copies with an earlier attempt");
    // without the guard the copy counts as new
    const isAcceptedAsNew = world.disabledGuard === (isEarlierSession ? "session" : "seq");
    deliverHeartbeat(
      world,
      node,
      isAcceptedAsNew
        ? {
            ...heartbeat,
            workerEpoch: worker.workerEpoch,
            sequence: ++worker.sequence,
            fencingToken: worker.fencingToken,
          }
        : heartbeat,
    );
  });
  world.messages.push({ at, run });
}

/** Whether a task that it shows runs under a later attempt by now. */
export function showsOutdatedAttempt(world: WorldState, heartbeat: Heartbeat): boolean {
  const workerTasks = [...world.workers.values()].flatMap((worker) => [...worker.tasks.values()]);
  return heartbeat.tasks.some(
    (task) =>
      task.state !== "exited" &&
      workerTasks.some(
        (other) =>
          other.state !== "exited" &&
          other.job === task.job &&
          other.index === task.index &&
          other.attempt > task.attempt,
      ),
  );
}

/** What a node was told by the state service, it knows for as long as it lives. */
export function deliverHeartbeat(world: WorldState, node: Node, heartbeat: Heartbeat): HeartbeatAnswer {
  const hasEnded = (job: string): boolean => {
    const commit = world.commits.get(job);
    return world.disabledGuard !== "cancel" && commit !== undefined && commit.at < (node.jobsReadAt ?? -1);
  };
  return node.partition.handleHeartbeat(
    heartbeat,
    mayAnswer(world, node),
    node.incarnation,
    instant(world.now),
    hasEnded,
  );
}
