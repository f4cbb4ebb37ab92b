/** Users' requests: which handler answers which method and path. */
import * as Effect from "effect/Effect";
import { apiPaths } from "../../io/codec.js";
import { type Answer, refusal } from "./answers.js";
import type { CancelHandler } from "./cancels.js";
import type { StatusQueryFailure, StatusQueries } from "./status-queries.js";
import type { SubmissionHandler } from "./submissions.js";

/** The largest body of a user's request. */
export const MAX_USER_BODY_BYTES = 64 * 1024;

const JOB_ID = /^req-[0-9]{1,18}$/;

/** A user's request; a body of null was too large. */
export interface UserRequest {
  readonly url: string;
  readonly method: string;
  readonly body: Buffer | null;
}

/** Whether the API for users has this path, be there such a job or not. */
export const isUserPath = (url: string): boolean =>
  url === apiPaths.jobs || url.startsWith(`${apiPaths.jobs}/`);

/** Passes users' requests on to the handlers of submissions, questions and cancels. */
export class UserRequestRouter {
  /** One handler for each kind of request. */
  constructor(
    private readonly submissions: SubmissionHandler,
    private readonly statusQueries: StatusQueries,
    private readonly cancels: CancelHandler,
  ) {}

  /** The answer to a request of a path that `isUserPath`; fails where the user has to come back. */
  handle({ url, method, body }: UserRequest): Effect.Effect<Answer, StatusQueryFailure> {
    if (url === apiPaths.jobs) {
      if (method !== "POST") return Effect.succeed(refusal(405, "POST a run here"));
      if (body === null) return Effect.succeed(refusal(400, "body over 64 KiB"));
      return this.submissions.submit(body.toString("utf8"));
    }
    const [id = "", verb, ...rest] = url.slice(apiPaths.jobs.length + 1).split("/");
    // an id of another form can't have been accepted, nor does it make a key
    if (!JOB_ID.test(id) || rest.length > 0) return Effect.succeed(refusal(404, "no such run"));
    if (verb === undefined && method === "GET") return this.statusQueries.answerQuery(id);
    if (verb === apiPaths.cancel && method === "POST") return this.cancels.cancel(id);
    const isKnownPath = verb === undefined || verb === apiPaths.cancel;
    return Effect.succeed(refusal(isKnownPath ? 405 : 404, "no such request"));
  }
}
