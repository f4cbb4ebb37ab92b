/**
 * Simulated users: they submit and cancel, also at the very end of a job.
 */
import * as Duration from "effect/Duration";
import { type WorldState } from "./world-state.js";
import { carryOutLate, hasNoCommit, commitJob } from "./state-service.js";
import { chance, pick } from "./network.js";
import { workersRunning } from "./workers.js";
import { type JobSpec } from "../../src/core/records.js";
import { type RangeSet } from "../../src/core/ranges.js";
import { type JobRow } from "./job-views.js";

/** The users of one step: some submit, some cancel. */
export function stepUsers(world: WorldState): void {
  if (world.now < world.stateDownUntil) return;
  if (world.jobs.size < 8 && world.faultRate > 0 && chance(world, 0.8 / world.faultRate)) {
    const kind = pick(world, ["array", "array", "service"] as const);
    const n = world.nextJobNumber++;
    const spec: JobSpec = {
      id: `req-${String(n).padStart(6, "0")}`,
      className: kind,
      team: pick(world, ["red", "blue"]),
      kind,
      priority: kind === "service" ? "production" : pick(world, ["normal", "low"] as const),
      tasks: kind === "service" ? 1 : 1 + Math.floor(world.random() * 8),
      cpus: pick(world, [1, 2, 4]),
      gpus: 0,
      memoryGb: 2,
      image: pick(world, ["a", "b"]),
      imageGb: 1,
      types: world.random() < 0.2 ? ["large"] : null,
      zone: world.random() < 0.2 ? "west" : null,
      oneZone: world.random() < 0.3,
      spreadOverZones: false,
      spot: world.random() < 0.5,
      estimate: Duration.seconds(5),
      checkpointInterval: Duration.zero,
      saveDuration: Duration.zero,
      deadline: null,
      dependsOn: [],
    };
    acceptJob(world, spec);
  }
  if (
    world.jobs.size > 0 &&
    world.faultRate > 0 &&
    chance(world, 0.15 / world.faultRate) &&
    world.randomCancels
  )
    cancelJob(world, pick(world, [...world.jobs.keys()]));
}

/** A job's record is written. */
export function acceptJob(world: WorldState, spec: JobSpec): void {
  world.allJobs.set(spec.id, spec);
  world.jobs.set(spec.id, newRow(world, spec));
  // the user sent it twice, and the first one comes last
  if (world.lateWriteShare > 0 && world.extraRandom() < world.lateWriteShare)
    carryOutLate(
      world,
      (late) => !world.jobs.has(spec.id) && hasNoCommit(world, spec.id, late),
      () => {
        if (world.commits.has(spec.id))
          world.violations.push({ rule: "went_back", text: `${spec.id} queued at ${world.now}` });
        world.jobs.set(spec.id, newRow(world, spec));
      },
    );
}

/** A new record of a job. */
export function newRow(world: WorldState, spec: JobSpec): JobRow {
  return { spec, revision: ++world.revision, accepted: world.now, released: world.now };
}

/** A user calls a job off, and is told that it is over; says on how many machines it was. */
export function cancelJob(world: WorldState, id: string): number {
  if (!world.jobs.has(id) || world.now < world.stateDownUntil) return 0;
  const machineCount = workersRunning(world, id).length;
  commitJob(world, id, "cancelled");
  world.waitingJobs.receiveOutcome(id, "cancelled", true);
  if (world.lateWriteShare > 0 && world.extraRandom() < world.lateWriteShare)
    carryOutLate(
      world,
      (late) => hasNoCommit(world, id, late),
      () => commitJob(world, id, "cancelled"),
    );
  return machineCount;
}

/** The last task of a job has completed: some users call it off at this very moment, before or after it is known. */
export function onTaskEnded(world: WorldState, id: string, completed: RangeSet): void {
  if (world.queriedAtEnd.has(id) && completed.covers(world.allJobs.get(id)!.tasks)) queryAtEnd(world, id);
  if (world.cancelAtEndShare === 0 || !world.jobs.has(id)) return;
  if (!completed.covers(world.allJobs.get(id)!.tasks) || world.extraRandom() >= world.cancelAtEndShare)
    return;
  world.messages.push({
    at: world.now + world.extraRandom() * 1500,
    run: () => {
      if (world.now < world.stateDownUntil) return;
      const outcome = world.commits.get(id)?.outcome;
      world.count(outcome === "done" ? "called off once done" : "called off before it was known");
      // the answer is done already, or cancelled for ever
      cancelJob(world, id);
    },
  });
}

/** Users ask about a job at all nodes and send it once more. */
export function queryAtEnd(world: WorldState, id: string): void {
  for (const node of world.nodes)
    world.messages.push({
      at: world.now + world.extraRandom() * 1500,
      run: () => {
        world.count("questions at the end of the last task");
        world.waitingJobs.queryAndResubmit(node, id);
      },
    });
}

/** New jobs of one kind. */
export function newSpecs(
  world: WorldState,
  count: number,
  overrides: Partial<JobSpec>,
  durationsMs?: readonly number[],
): JobSpec[] {
  const specs: JobSpec[] = [];
  for (let i = 0; i < count; i++) {
    const id = `req-${String(world.nextJobNumber++).padStart(6, "0")}`;
    const spec: JobSpec = {
      id,
      className: "array",
      team: "blue",
      kind: "array",
      priority: "normal",
      tasks: 2,
      cpus: 2,
      gpus: 0,
      memoryGb: 2,
      image: "a",
      imageGb: 1,
      types: null,
      zone: null,
      oneZone: false,
      spreadOverZones: false,
      spot: false,
      estimate: Duration.seconds(5),
      checkpointInterval: Duration.zero,
      saveDuration: Duration.zero,
      deadline: null,
      dependsOn: [],
      ...overrides,
    };
    if (durationsMs !== undefined) world.taskDurationsMs.set(id, durationsMs);
    specs.push(spec);
  }
  return specs;
}
