/** The work per event must not grow with the number of machines. Visited elements are counted, since times vary. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { countVisits, LargeFleet } from "./large-fleet.js";

test("an event visits each waiting job once, and no more machines in a fleet of 2,000 than in one of 250", () => {
  const visitsPerEvent = (machines: number, arrays: number): { visits: number; tasks: number } => {
    const fleet = new LargeFleet(machines, arrays, machines / 8);
    const tasks = fleet.taskCount();
    const counter = countVisits(fleet.scheduler.cluster);
    const pendingBefore = [...fleet.scheduler.cluster.pendingJobs].length;
    assert.ok(pendingBefore > 0, "no job is waiting");
    counter.visits = 0;
    for (let i = 0; i < 200; i++) fleet.finishOneTask(i);
    return { visits: counter.visits / 200, tasks };
  };
  const small = visitsPerEvent(250, 200);
  const large = visitsPerEvent(2000, 200);
  const crowded = visitsPerEvent(2000, 800);
  assert.ok(large.tasks > 3000, `${large.tasks} tasks`);
  // each waiting job is visited once, in the queue; the scheduler never iterates over all machines
  assert.ok(large.visits <= small.visits + 20, `${small.visits} visits, then ${large.visits}`);
  assert.ok(crowded.visits <= 800 + 20, `${crowded.visits} visits with 800 jobs waiting`);
});
