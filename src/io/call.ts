/** Outgoing HTTP requests as effects. A failure says whether the request may have been executed. */
import http from "node:http";
import * as Data from "effect/Data";
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";

/** A response with any status. */
export interface Reply {
  readonly status: number;
  readonly body: Buffer;
}

/** No response arrived. `sent`: the request may have reached the server, which may have executed it or may do so yet. */
export class CallFailed extends Data.TaggedError("CallFailed")<{
  readonly sent: boolean;
  readonly reason: string;
}> {}

/** A request. `contentType` describes the body; the default is JSON. */
export interface Call {
  readonly addr: string;
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly body?: string | Buffer;
  readonly contentType?: string;
  readonly timeout: Duration.Duration;
}

/** Keeps up to `sockets` connections to each address, and reuses the most recently used one first. */
export const makeKeepAliveAgent = (sockets: number): http.Agent =>
  new http.Agent({ keepAlive: true, maxSockets: sockets, maxFreeSockets: sockets, scheduling: "lifo" });

/** Closes the idle connections to an address. */
export const closeIdleConnections = (agent: http.Agent, addr: string): void => {
  const { host, port } = endpoint(addr);
  for (const socket of agent.freeSockets[agent.getName({ host, port })] ?? []) socket.destroy();
};

const endpoint = (addr: string): { host: string; port: number } => {
  const colon = addr.lastIndexOf(":");
  return { host: addr.slice(0, colon), port: Number(addr.slice(colon + 1)) };
};

const MAX_REPLY_BYTES = 64 * 1024 * 1024;

const headersOf = ({ body, contentType }: Call): http.OutgoingHttpHeaders =>
  body === undefined
    ? {}
    : { "content-type": contentType ?? "application/json", "content-length": Buffer.byteLength(body) };

/** Reads a response completely; one that is too large breaks the connection. */
const readReply = (
  response: http.IncomingMessage,
  outgoing: http.ClientRequest,
  finish: (result: Effect.Effect<Reply>) => void,
  fail: (reason: string) => void,
): void => {
  const chunks: Buffer[] = [];
  let size = 0;
  response.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size > MAX_REPLY_BYTES) outgoing.destroy(new Error("reply too large"));
    else chunks.push(chunk);
  });
  response.on("error", (error) => fail(error.message));
  response.on("aborted", () => fail("connection lost"));
  response.on("end", () =>
    finish(Effect.succeed({ status: response.statusCode ?? 0, body: Buffer.concat(chunks) })),
  );
};

/**
 * Sends a request; interrupting the effect aborts it. A request may be delayed for long in this process; one that hasn't
 * been sent by its timeout is never sent.
 */
export const call = (agent: http.Agent, request: Call): Effect.Effect<Reply, CallFailed> =>
  Effect.async<Reply, CallFailed>((resume) => {
    let sent = false;
    let settled = false;
    const finish = (result: Effect.Effect<Reply, CallFailed>): void => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resume(result);
    };
    const fail = (reason: string): void => finish(Effect.fail(new CallFailed({ sent, reason })));
    const outgoing = http.request({
      agent,
      ...endpoint(request.addr),
      method: request.method,
      path: request.path,
      headers: headersOf(request),
    });
    const timer = setTimeout(() => {
      // after a stall of this process the connection may be established by now, but the request is too old to be sent
      if (!sent) {
        fail("timeout");
        outgoing.destroy();
        return;
      }
      // after a stall the response may have arrived unread: it is read before the request is given up
      setImmediate(() => {
        fail("timeout");
        outgoing.destroy();
      });
    }, Duration.toMillis(request.timeout));
    outgoing.on("socket", (socket) => {
      // a connection destroyed before it was established sends nothing later
      if (!socket.connecting) sent = true;
      else socket.once("connect", () => (sent = true));
    });
    outgoing.on("error", (error) => fail(error.message));
    outgoing.on("response", (response) => readReply(response, outgoing, finish, fail));
    outgoing.end(request.body);
    return Effect.sync(() => {
      settled = true;
      clearTimeout(timer);
      outgoing.destroy();
    });
  });

/** Parses the body as JSON; undefined if it is malformed. */
export const parseJson = (reply: Reply): unknown => {
  try {
    return JSON.parse(reply.body.toString("utf8")) as unknown;
  } catch {
    return undefined;
  }
};
