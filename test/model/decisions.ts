/**
 * Carries out the decisions of a leader's core at the simulated state service and cloud.
 */
import { type WorldState } from "./world-state.js";
import { transact, delayCloudRequest, isLeaderKey, hasNoCommit, commitJob } from "./state-service.js";
import { sendLater, whenAwake, reachesState } from "./network.js";
import { crashProcess } from "./faults.js";
import { type Node } from "./nodes.js";
import { addMachine, killWorker, machineTotal } from "./workers.js";
import { sendCommands } from "./commands.js";
import { type Decision, type Scheduler } from "../../src/core/scheduler/scheduler.js";
import { instant } from "../../src/core/time.js";

export function carryOutDecision(
  world: WorldState,
  node: Node,
  scheduler: Scheduler,
  decision: Decision,
): void {
  const holdsLeaderKey = () => reachesState(world, node) && world.leader?.revision === node.leaderRevision;
  const { leaderRevision: leaderKeyRevision, version } = node;
  if (decision.kind === "commands") sendCommands(world, node, scheduler, decision);
  else if (decision.kind === "commit") {
    // a job that was cancelled in the meantime already has a commit record
    const written = transact(
      world,
      node,
      (late) => isLeaderKey(world, leaderKeyRevision, late) && hasNoCommit(world, decision.job, late),
      () => commitJob(world, decision.job, "done"),
    );
    scheduler.commitFailed(decision.job);
    if (written === true && world.crashAfterCommitShare > 0 && world.waitingJobs.hasChildren(decision.job))
      if (world.extraRandom() < world.crashAfterCommitShare) {
        world.count("leaders crashed between commit and join");
        return crashProcess(world, node, 300 + world.extraRandom() * 6000);
      }
    world.waitingJobs.commitAnswered(node, decision.job, written);
  } else if (decision.kind === "record") {
    const wrote = transact(
      world,
      node,
      (late) => isLeaderKey(world, leaderKeyRevision, late),
      () => {
        world.machineRecords.set(decision.machine, decision.record);
        world.count(`machines recorded by ${version} leaders`);
      },
    );
    if (wrote === true || world.disabledGuard === "record")
      scheduler.machineRecorded(decision.machine, decision.record, instant(world.now));
    else scheduler.machineRecordFailed(decision.machine);
  } else if (decision.kind === "rent") {
    const rent = (): string[] => {
      const ids: string[] = [];
      for (let i = 0; i < decision.rent.count && machineTotal(world) < 12; i++)
        ids.push(addMachine(world, decision.rent.type.name, decision.rent.zone, decision.rent.spot));
      return ids;
    };
    // not answered and executed much later: no leader expects these machines
    if (delayCloudRequest(world, "rentals executed late", rent)) return;
    const ids = rent();
    const record = {
      type: decision.rent.type.name,
      zone: decision.rent.zone,
      spot: decision.rent.spot,
      count: decision.rent.count,
    };
    // if the leader crashes here, the next one finds the unrecorded machines in the cloud's list
    if (holdsLeaderKey()) scheduler.rentalAnswered("", record, ids, instant(world.now));
  } else if (decision.kind === "release") {
    // the cloud may be slow, and its answer may be lost
    const ids = decision.machines;
    const isCloudDown = world.now < world.cloudDownUntil;
    const release = (): void => {
      for (const id of ids) {
        const worker = world.workers.get(id);
        if (worker !== undefined) killWorker(world, worker);
      }
    };
    if (delayCloudRequest(world, "releases executed late", release)) return;
    sendLater(world, () => {
      if (isCloudDown)
        return whenAwake(world, node, () => scheduler.releaseAnswered(ids, false, instant(world.now)))();
      release();
      sendLater(
        world,
        whenAwake(world, node, () => {
          scheduler.releaseAnswered(ids, true, instant(world.now));
          transact(
            world,
            node,
            (late) => isLeaderKey(world, leaderKeyRevision, late),
            () => {
              const gone = ids.filter((id) => world.machineRecords.delete(id));
              if (gone.length > 0) world.count(`records of machines rewritten by ${version} leaders`);
            },
          );
        }),
      );
    });
  }
}

/** Reads the cloud's list, which lags: released machines stay in it for a while, and new ones appear late. */
export function listMachines(world: WorldState, scheduler: Scheduler): void {
  const listed = [...world.workers.values()]
    .filter(
      (worker) => world.now > worker.rentedAt + 1000 && (!worker.gone || world.now < worker.goneAt + 3000),
    )
    .map((worker) => ({
      id: worker.id,
      record: worker.record,
      failed: false,
      ageMs: world.now - worker.rentedAt,
    }));
  const listedAt = world.now;
  if (listedAt >= world.cloudDownUntil)
    sendLater(world, () => scheduler.machinesListed(listed, instant(Math.max(listedAt, world.now))));
}
