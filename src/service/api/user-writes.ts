/**
 * Writes that a user waits for: submissions and cancels. They aren't paced, so during a burst of other changes the
 * state service may refuse one for exceeding its rate. Usually it has room for the one to three changes of such a
 * write within a few hundred milliseconds, while a refused user retries only after a second or more; so the write is
 * retried here.
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
/** Attempts after the first one. */
export const MAX_RETRIES = 4;

/**
 * A transaction on behalf of a user. It is retried only if the state service refused it for its rate, and so
 * certainly didn't carry it out; any other failure is returned at once.
 */
export const commitForUser = (
  state: StateClient,
  when: readonly Condition[],
  apply: readonly Change[],
): Effect.Effect<CommitResult, StateError> =>
  Effect.retry(state.commit(when, apply, "vital"), {
    while: isRateLimited,
    schedule: Schedule.intersect(Schedule.spaced(RETRY_INTERVAL), Schedule.recurs(MAX_RETRIES)),
  });
