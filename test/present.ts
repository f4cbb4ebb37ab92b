/** An assertion that a value is neither null nor undefined. */
import assert from "node:assert/strict";

/** Returns the value; the test fails if it is null or undefined. */
export const present = <T>(value: T): NonNullable<T> => {
  assert.ok(value !== null && value !== undefined, "expected a value, got null or undefined");
  return value;
};
