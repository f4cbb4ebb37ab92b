/**
 * Simulated users, who submit and cancel jobs, also just as a job ends.
 */
import * as Duration from "effect/Duration";
import { type WorldState } from "./world-state.js";
import { carryOutLate, hasNoCommit, commitJob } from "./state-service.js";
import { chance, pick } from "./network.js";
import { workersRunning } from "./workers.js";
import { type JobSpec } from "../../src/core/records.js";
import { type RangeSet } from "../../src/core/ranges.js";
import { type JobRow } from "./job-views.js";

/** Draws the submissions and cancellations of one step. */
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

/** Writes the record of a released job. */
export function acceptJob(world: WorldState, spec: JobSpec): void {
  world.allJobs.set(spec.id, spec);
  world.jobs.set(spec.id, newRow(world, spec));
  // the user submitted the job twice, and the first write is executed late
  if (world.lateWriteShare > 0 && world.extraRandom() < world.lateWriteShare)
    carryOutLate(
      world,
      (late) => !world.jobs.has(spec.id) && hasNoCommit(world, spec.id, late),
      () => {
        if (world.commits.has(spec.id))
          world.violations.push({
            rule: "went_back",
            text: `${spec.id}: committed, then written again at ${world.now}`,
          });
        world.jobs.set(spec.id, newRow(world, spec));
      },
    );
}

/** A new record of a job. */
export function newRow(world: WorldState, spec: JobSpec): JobRow {
  return { spec, revision: ++world.revision, accepted: world.now, released: world.now };
}

/** Cancels a job and confirms it to the user; returns on how many machines the job had tasks. */
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

/** After a job's last task some users cancel the job, before or after its completion is committed. */
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
      world.count(outcome === "done" ? "cancelled after the commit" : "cancelled before the commit");
      // cancels the job only if it has not been committed
      cancelJob(world, id);
    },
  });
}

/** Has users query and resubmit a job at all controllers. */
export function queryAtEnd(world: WorldState, id: string): void {
  for (const node of world.nodes)
    world.messages.push({
      at: world.now + world.extraRandom() * 1500,
      run: () => {
        world.count("queries at the end of the last task");
        world.waitingJobs.queryAndResubmit(node, id);
      },
    });
}

/** Specs of new jobs: defaults with overrides; `durationsMs`: the duration of each task. */
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
