/**
 * Delivers heartbeats and late copies of them to members.
 */
import { type WorldState } from "./world-state.js";
import { whenAwake } from "./network.js";
import { type Node } from "./nodes.js";
import { type Worker } from "./workers.js";
import { mayAnswer } from "./election.js";
import { type JobStanding } from "../../src/core/jobs/ended-jobs.js";
import { type Heartbeat } from "../../src/core/records.js";
import { type HeartbeatAnswer } from "../../src/core/members/worker-partition.js";
import { instant } from "../../src/core/time.js";

/** Delivers a copy of a heartbeat at the time `at`, to the given controller or a random one. */
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
    world.count(
      isEarlierSession ? "heartbeat copies from an earlier session" : "heartbeat copies after newer ones",
    );
    if (showsOutdatedAttempt(world, heartbeat)) world.count("heartbeat copies with an earlier attempt");
    // without the guard the copy is taken for a new heartbeat
    const isAcceptedAsNew = world.disabledGuard === (isEarlierSession ? "session" : "sequence");
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

/** Whether the heartbeat shows an attempt whose task now runs as a later attempt. */
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

/** Hands a heartbeat to a controller, whose process knows only of those ends of jobs that it has read. */
export function deliverHeartbeat(world: WorldState, node: Node, heartbeat: Heartbeat): HeartbeatAnswer {
  const at = instant(world.now);
  const standingOf = (job: string): JobStanding => {
    if (world.disabledGuard === "cancel") return "unfinished";
    const standing = node.endedJobs.standingOf(job, isUnfinished(node, job), at);
    if (standing === "undetermined") world.count("reported jobs that a process knew nothing of");
    // without the guard they count as accepted after the last read
    return standing === "undetermined" && world.disabledGuard === "undetermined" ? "unfinished" : standing;
  };
  return node.partition.handleHeartbeat(heartbeat, mayAnswer(world, node), node.incarnation, at, standingOf);
}

const isUnfinished = (node: Node, job: string): boolean =>
  node.knownJobs.has(job) || node.view.isUnfinished(job);
