/** Attempt numbers: one term has a million, and none may ever be used for two starts (S4). */
import assert from "node:assert/strict";
import { test } from "node:test";
import { TaskStarter } from "../src/core/placement/task-starter.js";
import { attemptNumberOf, ATTEMPTS_PER_TERM } from "../src/core/leases/term.js";
import { instant } from "../src/core/time.js";
import { ClusterFixture, EAST_MACHINES } from "./cluster-fixture.js";
import { jobSpec as spec } from "./specs.js";
import { present } from "./present.js";

const termWithNumber = (number: number) => ({ number, leaderRevision: 10, leader: "a", members: [] });

test("no attempt number of a term is one of the next term's", () => {
  assert.ok(attemptNumberOf(1, ATTEMPTS_PER_TERM) < attemptNumberOf(2, 1));
});

test("numbers begin anew with each term, and before they are used up a new term is asked for and nothing is started", () => {
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

test("a leader whose numbers run out asks for a new term, and goes on under it", () => {
  const fixture = new ClusterFixture(EAST_MACHINES);
  fixture.step();
  assert.equal(fixture.scheduler.needsNewTerm, false);
  const { nextAttempt } = TaskStarter.prototype;
  const attemptNumbers: number[] = [];
  TaskStarter.prototype.nextAttempt = function (this: TaskStarter) {
    // as after so many starts
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
