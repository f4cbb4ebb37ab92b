/** Attempt numbers: each term has a range of its own, and no number may be used for two starts (S4). */
import assert from "node:assert/strict";
import { test } from "node:test";
import { TaskStarter } from "../src/core/placement/task-starter.js";
import { raiseToken } from "../src/core/commands/start-fencing.js";
import {
  attemptNumberOf,
  ATTEMPTS_PER_TERM,
  fencingTokenOf,
  MAX_TOKEN_STEP,
} from "../src/core/leases/term.js";
import { instant } from "../src/core/time.js";
import { ClusterFixture, EAST_MACHINES } from "./cluster-fixture.js";
import { jobSpec as spec } from "./specs.js";
import { present } from "./present.js";

const termWithNumber = (number: number) => ({ number, leaderRevision: 10, leader: "a", members: [] });

test("the attempt number ranges of successive terms don't overlap", () => {
  assert.ok(attemptNumberOf(1, ATTEMPTS_PER_TERM) < attemptNumberOf(2, 1));
});

test("before a term's attempt numbers run out, starts end and a new term is needed; it has a new range", () => {
  const scope = { term: termWithNumber(7) } as unknown as ConstructorParameters<typeof TaskStarter>[0];
  const starter = new TaskStarter(scope);
  assert.equal(starter.nextAttempt(), attemptNumberOf(7, 1));
  assert.equal(starter.needsNewTerm, false);
  let lastAttempt = 0;
  while (starter.startsLeft > 0) lastAttempt = starter.nextAttempt();
  assert.equal(starter.needsNewTerm, true);
  assert.ok(lastAttempt < attemptNumberOf(8, 1));
  scope.term = termWithNumber(8);
  assert.equal(starter.needsNewTerm, false);
  assert.ok(starter.startsLeft > 0);
  assert.equal(starter.nextAttempt(), attemptNumberOf(8, 1));
});

test("before a machine's token runs out of steps a new term is needed, and its last step is never passed", () => {
  const fixture = new ClusterFixture(EAST_MACHINES);
  fixture.step();
  const { cluster } = fixture.scheduler;
  const machine = present(cluster.machines.get("n-1"));
  const raises = ATTEMPTS_PER_TERM + 10;
  let neededAt: number | null = null;
  for (let i = 0; i < raises; i++) {
    raiseToken(cluster, machine);
    if (neededAt === null && fixture.scheduler.needsNewTerm) neededAt = machine.fencingTokenStep;
  }
  assert.ok(neededAt !== null && neededAt <= 0.9 * raises, `needed at step ${neededAt}`);
  assert.ok(fencingTokenOf(1, machine.fencingTokenStep) < fencingTokenOf(2));
  fixture.scheduler.renewTerm({ ...fixture.scheduler.term, number: 2 }, instant(fixture.now));
  assert.equal(fixture.scheduler.needsNewTerm, false);
  assert.equal(machine.fencingTokenStep, 0);
});

test("with no step left nothing is forgotten until the next term", () => {
  const fixture = new ClusterFixture([{ id: "n-1", zone: "east" }]);
  fixture.scheduler.jobReleased(spec({ id: "req-000001", tasks: 1 }), 20, instant(fixture.now));
  fixture.step();
  present(fixture.scheduler.cluster.machines.get("n-1")).fencingTokenStep = MAX_TOKEN_STEP;
  fixture.endTasks("n-1", "error");
  for (let i = 0; i < 10; i++) fixture.step();
  assert.equal(fixture.commandCount("forget"), 0);
  fixture.scheduler.renewTerm({ ...fixture.scheduler.term, number: 2 }, instant(fixture.now));
  for (let i = 0; i < 10; i++) fixture.step();
  assert.ok(fixture.commandCount("forget") > 0);
});

test("a leader that runs out of attempt numbers requests a new term and continues to start tasks under it", () => {
  const fixture = new ClusterFixture(EAST_MACHINES);
  fixture.step();
  assert.equal(fixture.scheduler.needsNewTerm, false);
  const { nextAttempt } = TaskStarter.prototype;
  const attemptNumbers: number[] = [];
  TaskStarter.prototype.nextAttempt = function (this: TaskStarter) {
    // as if 950 000 tasks had been started in this term
    if (attemptNumbers.length === 0) for (let i = 0; i < 950_000; i++) nextAttempt.call(this);
    attemptNumbers.push(nextAttempt.call(this));
    return present(attemptNumbers.at(-1));
  };
  try {
    fixture.scheduler.jobReleased(spec({ id: "req-000001", tasks: 1 }), 20, instant(fixture.now));
    fixture.step();
    assert.equal(fixture.scheduler.needsNewTerm, true);
    fixture.scheduler.renewTerm({ ...fixture.scheduler.term, number: 2 }, instant(fixture.now));
    fixture.scheduler.jobReleased(spec({ id: "req-000002", tasks: 1 }), 21, instant(fixture.now));
    for (let i = 0; i < 4; i++) fixture.step();
    assert.equal(fixture.scheduler.needsNewTerm, false);
    assert.equal(attemptNumbers.at(-1), attemptNumberOf(2, 1));
    assert.equal(new Set(attemptNumbers).size, 2);
  } finally {
    TaskStarter.prototype.nextAttempt = nextAttempt;
  }
});
