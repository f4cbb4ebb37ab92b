/** The HTTP server for users, workers and health checks. Requests are handled by the other modules of this folder. */
import http from "node:http";
import * as Effect from "effect/Effect";
import { apiPaths } from "../../io/codec.js";
import type { Log } from "../../io/log.js";
import { listen, readBody } from "../../io/server.js";
import type { StateClient } from "../../io/state-client.js";
import type { JobCache } from "../job-cache.js";
import type { Leader } from "../leader/leader.js";
import type { Member } from "../members/member.js";
import type { SubmissionLimits } from "./job-acceptance.js";
import { type Answer, refusal, retryLater } from "./answers.js";
import { CancelHandler } from "./cancels.js";
import { DependentSubmissionHandler } from "./dependent-submissions.js";
import { answerHealth } from "./health.js";
import { answerHeartbeat, MAX_HEARTBEAT_BYTES } from "./heartbeats.js";
import type { JobStatusReader } from "./job-status.js";
import { StatusQueries } from "./status-queries.js";
import { SubmissionHandler } from "./submissions.js";
import { isUserPath, MAX_USER_BODY_BYTES, UserRequestRouter } from "./user-requests.js";

/** Requests of users beyond this many at a time are answered 503. */
const MAX_CONCURRENT_USER_REQUESTS = 400;
const RETRY_AFTER_SECONDS = 1;
/**
 * Above this share of the maximum number of connections, every answer closes its connection. Workers of failed nodes
 * connect here as well, and a worker that can't connect can't send its heartbeats. With a new connection for each
 * heartbeat, more workers than connections can take turns.
 */
const CLOSE_ABOVE_CONNECTION_SHARE = 0.9;

/** The address to listen on, the maximum number of connections, and the limits of submissions. */
export interface ApiServerOptions extends SubmissionLimits {
  readonly bind: string;
  readonly maxConnections: number;
}

/** Serves the API. A request about which nothing could be decided is answered 503. */
export class ApiServer {
  /** Open connections of users, workers and health checks. */
  openConnections = 0;
  private openUserRequests = 0;
  private readonly userRequests: UserRequestRouter;

  /** The server starts listening only when `serve` is run. */
  constructor(
    private readonly options: ApiServerOptions,
    state: StateClient,
    private readonly jobCache: JobCache,
    reader: JobStatusReader,
    private readonly member: Member,
    private readonly leader: Leader,
    private readonly log: Log,
  ) {
    const statusQueries = new StatusQueries(reader, (id) => leader.progressOf(id));
    const dependentSubmissions = new DependentSubmissionHandler(
      options,
      state,
      jobCache,
      reader,
      statusQueries,
      log,
    );
    this.userRequests = new UserRequestRouter(
      new SubmissionHandler(options, state, jobCache, statusQueries, dependentSubmissions, log),
      statusQueries,
      new CancelHandler(state, jobCache, reader, log),
    );
  }

  /** Starts listening and yields the server; fails if the address can't be bound. */
  serve(): Effect.Effect<http.Server, Error> {
    const server = http.createServer((request, response) => {
      const url = request.url ?? "";
      if (url === apiPaths.heartbeat && request.method === "POST")
        readBody(request, MAX_HEARTBEAT_BYTES, (body) =>
          this.send(response, answerHeartbeat(this.member, body)),
        );
      else if (url === apiPaths.health) this.send(response, answerHealth(this.jobCache, this.leader));
      else if (isUserPath(url)) this.serveUser(url, request, response);
      else this.send(response, refusal(404, "no such path"));
    });
    server.on("connection", (socket) => {
      this.openConnections++;
      socket.once("close", () => this.openConnections--);
    });
    return listen(server, this.options.bind, this.options.maxConnections);
  }

  private serveUser(url: string, request: http.IncomingMessage, response: http.ServerResponse): void {
    if (this.openUserRequests >= MAX_CONCURRENT_USER_REQUESTS) {
      request.resume();
      this.send(response, retryLater("busy"));
      return;
    }
    this.openUserRequests++;
    response.once("close", () => this.openUserRequests--);
    readBody(request, MAX_USER_BODY_BYTES, (body) => {
      const handled = this.userRequests.handle({ url, method: request.method ?? "", body }).pipe(
        Effect.catchAll((error) => Effect.succeed(retryLater(error.reason))),
        Effect.catchAllCause((cause) =>
          Effect.sync(() => {
            this.log.error({ cause: cause.toString() }, "user request failed with an unexpected error");
            return retryLater("internal error");
          }),
        ),
      );
      Effect.runFork(Effect.map(handled, (answer) => this.send(response, answer)));
    });
  }

  private send(response: http.ServerResponse, answer: Answer): void {
    if (response.destroyed) return;
    const headers: http.OutgoingHttpHeaders = {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(answer.body),
    };
    if (answer.status === 503) {
      headers["retry-after"] = String(RETRY_AFTER_SECONDS);
      // on a new connection the load balancer may pick a node that can reach the state service
      if (!this.member.reachesStateService()) headers.connection = "close";
    }
    if (this.openConnections > this.options.maxConnections * CLOSE_ABOVE_CONNECTION_SHARE)
      headers.connection = "close";
    response.writeHead(answer.status, headers).end(answer.body);
  }
}
