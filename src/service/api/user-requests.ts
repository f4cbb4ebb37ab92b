/** Routes users' requests to their handlers by method and path. */
import * as Effect from "effect/Effect";
import { apiPaths } from "../../io/codec.js";
import { type Answer, refusal } from "./answers.js";
import type { CancelHandler } from "./cancels.js";
import type { StatusQueryFailure, StatusQueries } from "./status-queries.js";
import type { SubmissionHandler } from "./submissions.js";

/** A user's request with a larger body is answered 400. */
export const MAX_USER_BODY_BYTES = 64 * 1024;

const JOB_ID = /^req-[0-9]{1,18}$/;

/** A user's request; `body` is null if it was too large. */
export interface UserRequest {
  readonly url: string;
  readonly method: string;
  readonly body: Buffer | null;
}

/** Whether the path belongs to the API for users, whether or not the job in it exists. */
export const isUserPath = (url: string): boolean =>
  url === apiPaths.jobs || url.startsWith(`${apiPaths.jobs}/`);

/** Passes each request to the handler for submissions, status queries or cancels. */
export class UserRequestRouter {
  /** One handler for each kind of request. */
  constructor(
    private readonly submissions: SubmissionHandler,
    private readonly statusQueries: StatusQueries,
    private readonly cancels: CancelHandler,
  ) {}

  /** Answers a request whose path is one of `isUserPath`; fails if the user should send it again. */
  handle({ url, method, body }: UserRequest): Effect.Effect<Answer, StatusQueryFailure> {
    if (url === apiPaths.jobs) {
      if (method !== "POST") return Effect.succeed(refusal(405, "POST a run here"));
      if (body === null) return Effect.succeed(refusal(400, "body over 64 KiB"));
      return this.submissions.submit(body.toString("utf8"));
    }
    const [id = "", verb, ...rest] = url.slice(apiPaths.jobs.length + 1).split("/");
    // an id of another form can't belong to an accepted job and may not be a valid key
    if (!JOB_ID.test(id) || rest.length > 0) return Effect.succeed(refusal(404, "no such run"));
    if (verb === undefined && method === "GET") return this.statusQueries.answerQuery(id);
    if (verb === apiPaths.cancel && method === "POST") return this.cancels.cancel(id);
    const isKnownPath = verb === undefined || verb === apiPaths.cancel;
    return Effect.succeed(refusal(isKnownPath ? 405 : 404, "no such request"));
  }
}
