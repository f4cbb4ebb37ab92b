/** The model's check for forgotten jobs reports a job whose status requests keep failing, and no other. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { UnansweredRequests } from "./model/status-requests.js";

const askRepeatedly = (questions: UnansweredRequests, id: string, from: number, to: number): void => {
  for (let now = from; now <= to; now += 10_000) questions.requestSent(id, now);
};

test("a job whose status requests all fail for 90 s is forgotten if most others are answered", () => {
  const questions = new UnansweredRequests();
  askRepeatedly(questions, "lost", 0, 90_000);
  for (const id of ["first", "second"]) questions.requestAnswered(id, 80_000);
  assert.deepEqual(questions.forgotten(90_000, null), []);
  assert.deepEqual(questions.forgotten(90_001, null), ["lost"]);
  questions.requestAnswered("lost", 90_002);
  assert.deepEqual(questions.forgotten(200_000, null), []);
});

test("no job is forgotten while most status requests fail", () => {
  const questions = new UnansweredRequests();
  for (const id of ["first", "second", "third"]) askRepeatedly(questions, id, 0, 90_000);
  questions.requestAnswered("fourth", 85_000);
  assert.deepEqual(questions.forgotten(95_000, null), []);
});

test("once all faults have ended, 75 s suffice, whether or not others are answered", () => {
  const questions = new UnansweredRequests();
  askRepeatedly(questions, "lost", 0, 90_000);
  assert.deepEqual(questions.forgotten(95_000, 20_000), []);
  assert.deepEqual(questions.forgotten(95_001, 20_000), ["lost"]);
});
