/** That the model's checker of unanswered questions notices a forgotten job, and nothing else. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { UnansweredQuestions } from "./model/users-questions.js";

const askFor = (questions: UnansweredQuestions, id: string, from: number, to: number): void => {
  for (let now = from; now <= to; now += 10_000) questions.asked(id, now);
};

test("a job whose questions all fail for 90 s is forgotten while most others are answered", () => {
  const questions = new UnansweredQuestions();
  askFor(questions, "lost", 0, 90_000);
  for (const id of ["first", "second"]) questions.answeredNow(id, 80_000);
  assert.deepEqual(questions.forgotten(90_000, null), []);
  assert.deepEqual(questions.forgotten(90_001, null), ["lost"]);
  questions.answeredNow("lost", 90_002);
  assert.deepEqual(questions.forgotten(200_000, null), []);
});

test("nobody is forgotten while most questions fail", () => {
  const questions = new UnansweredQuestions();
  for (const id of ["first", "second", "third"]) askFor(questions, id, 0, 90_000);
  questions.answeredNow("fourth", 85_000);
  assert.deepEqual(questions.forgotten(95_000, null), []);
});

test("once all troubles are over 75 s count, however others fare", () => {
  const questions = new UnansweredQuestions();
  askFor(questions, "lost", 0, 90_000);
  assert.deepEqual(questions.forgotten(95_000, 20_000), []);
  assert.deepEqual(questions.forgotten(95_001, 20_000), ["lost"]);
});
