/**
 * Writes that a user waits for: submissions and cancels. They keep to no pace, so one that meets a burst of other changes
 * is refused by the state service for its rate. The rate mostly allows its one to three changes within some hundred
 * milliseconds, while a user who is refused comes back only after a second or more; so it is sent again a few times.
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import * as Schedule from "effect/Schedule";
import type { Change, Condition } from "../../io/codec.js";
import {
  type CommitResult,
  isRateLimited,
  type StateClient,
  type StateError,
} from "../../io/state-client.js";

const RETRY_INTERVAL = Duration.millis(150);
/** How often a write is sent again after its first attempt. */
export const MAX_RETRIES = 4;

/** A compare-and-swap for a user. Only what was certainly not carried out, and only for its rate, is sent again; any other failure is told at once. */
export const commitForUser = (
  state: StateClient,
  when: readonly Condition[],
  apply: readonly Change[],
): Effect.Effect<CommitResult, StateError> =>
  Effect.retry(state.commit(when, apply, "vital"), {
    while: isRateLimited,
    schedule: Schedule.intersect(Schedule.spaced(RETRY_INTERVAL), Schedule.recurs(MAX_RETRIES)),
  });
