/** How requests to the state service fail: certainly not carried out, or perhaps. */
import * as Data from "effect/Data";

/** Not carried out, and won't be: 429, 503, or never sent. */
export class Unavailable extends Data.TaggedError("Unavailable")<{ readonly why: string }> {}
/** May have been carried out, or may be yet. */
export class Unanswered extends Data.TaggedError("Unanswered")<{ readonly why: string }> {}
/** The watched changes are no longer kept: read the keys again. */
export class TooOld extends Data.TaggedError("TooOld")<object> {}

/** The failure of any request but a watch. */
export type StateError = Unavailable | Unanswered;

const RATE_LIMITED = "429";

/** The failure of a request that the service refused for its rate. */
export const rateLimited = (): Unavailable => new Unavailable({ why: RATE_LIMITED });

/** The service couldn't take it within its rate, and may be able to a moment later. */
export const isRateLimited = (error: StateError): boolean =>
  error._tag === "Unavailable" && error.why === RATE_LIMITED;
