/** Failures of requests to the state service, which differ in whether the request may have been executed. */
import * as Data from "effect/Data";

/** The request was not executed and won't be: the response was 429 or 503, or it was never sent. */
export class Unavailable extends Data.TaggedError("Unavailable")<{ readonly reason: string }> {}
/** No usable response: the request may have been executed, or may be executed yet. */
export class Unanswered extends Data.TaggedError("Unanswered")<{ readonly reason: string }> {}
/** The service no longer keeps the changes since the watched revision: the keys have to be listed again. */
export class TooOld extends Data.TaggedError("TooOld")<object> {}

/** The failures of all requests except watches. */
export type StateError = Unavailable | Unanswered;

const RATE_LIMITED = "429";

/** The failure of a request that was refused with 429. */
export const rateLimitedError = (): Unavailable => new Unavailable({ reason: RATE_LIMITED });

/** Whether the request was refused with 429, so that it may succeed a moment later. */
export const isRateLimited = (error: StateError): boolean =>
  error._tag === "Unavailable" && error.reason === RATE_LIMITED;
