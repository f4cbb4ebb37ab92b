/** Outgoing HTTP calls over Node's http, as effects that say whether a failed call may have been carried out. */
import http from "node:http";
import * as Data from "effect/Data";
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";

/** An answer, whatever its status. */
export interface Reply {
  readonly status: number;
  readonly body: Buffer;
}

/** No answer came. `sent`: the request may have reached the other side, and may be carried out, now or later. */
export class CallFailed extends Data.TaggedError("CallFailed")<{
  readonly sent: boolean;
  readonly why: string;
}> {}

/** A request. `contentType` is that of the body, JSON unless it says otherwise. */
export interface Call {
  readonly addr: string;
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly body?: string | Buffer;
  readonly contentType?: string;
  readonly timeout: Duration.Duration;
}

/** Connections that are kept between calls: so many to each address, the last used first. */
export const makeKeepAliveAgent = (sockets: number): http.Agent =>
  new http.Agent({ keepAlive: true, maxSockets: sockets, maxFreeSockets: sockets, scheduling: "lifo" });

/** Closes the unused connections to an address. */
export const closeIdleConnections = (agent: http.Agent, addr: string): void => {
  const { host, port } = endpoint(addr);
  for (const socket of agent.freeSockets[agent.getName({ host, port })] ?? []) socket.destroy();
};

const endpoint = (addr: string): { host: string; port: number } => {
  const colon = addr.lastIndexOf(":");
  return { host: addr.slice(0, colon), port: Number(addr.slice(colon + 1)) };
};

const MAX_REPLY_BYTES = 64 * 1024 * 1024;

const headersOf = ({ body, contentType: contentType }: Call): http.OutgoingHttpHeaders =>
  body === undefined
    ? {}
    : { "content-type": contentType ?? "application/json", "content-length": Buffer.byteLength(body) };

/** Reads an answer to its end, unless it is too large. */
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
 * Makes a request. Interrupting it ends it. It may be held up in this process for long, so a request that wasn't sent by
 * its timeout is never sent.
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
    const fail = (reason: string): void => finish(Effect.fail(new CallFailed({ sent, why: reason })));
    const outgoing = http.request({
      agent,
      ...endpoint(request.addr),
      method: request.method,
      path: request.path,
      headers: headersOf(request),
    });
    const timer = setTimeout(() => {
      // after a stall of this process the connection may stand by now: what is this old must not go out on it any more
      if (!sent) {
        fail("timeout");
        outgoing.destroy();
        return;
      }
      // the answer, too, may be there already, unread: it is read first
      setImmediate(() => {
        fail("timeout");
        outgoing.destroy();
      });
    }, Duration.toMillis(request.timeout));
    outgoing.on("socket", (socket) => {
      // a connection that was given up before it stood does not complete later
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

/** The body as JSON, or undefined. */
export const parseJson = (reply: Reply): unknown => {
  try {
    return JSON.parse(reply.body.toString("utf8")) as unknown;
  } catch {
    return undefined;
  }
};
