/** A value that has to be there. */
import assert from "node:assert/strict";

/** The value itself; the test fails when it is null or undefined. */
export const present = <T>(value: T): NonNullable<T> => {
  assert.ok(value !== null && value !== undefined, "a value that has to be there is missing");
  return value;
};
