/** Common parts of the HTTP servers for users, peers and operators. */
import type http from "node:http";
import * as Effect from "effect/Effect";

/** Calls `onBody` with the whole body, or null if it is larger than `maxBytes`; never if the connection breaks. */
export const readBody = (
  request: http.IncomingMessage,
  maxBytes: number,
  onBody: (body: Buffer | null) => void,
): void => {
  const chunks: Buffer[] = [];
  let size = 0;
  request.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size <= maxBytes) chunks.push(chunk);
    else chunks.length = 0;
  });
  request.on("end", () => onBody(size > maxBytes ? null : Buffer.concat(chunks)));
  request.on("error", () => undefined);
};

/** Starts listening at the address `bind`, and returns the server once it does. */
export const listen = (
  server: http.Server,
  bind: string,
  maxConnections: number,
): Effect.Effect<http.Server, Error> =>
  Effect.async((resume: (result: Effect.Effect<http.Server, Error>) => void) => {
    const colon = bind.lastIndexOf(":");
    server.keepAliveTimeout = 75_000;
    server.headersTimeout = 80_000;
    server.requestTimeout = 20_000;
    server.maxConnections = maxConnections;
    server.on("clientError", (_error, socket) => socket.destroy());
    server.once("error", (error) => resume(Effect.fail(error)));
    server.listen({ host: bind.slice(0, colon), port: Number(bind.slice(colon + 1)), backlog: 511 }, () =>
      resume(Effect.succeed(server)),
    );
  });
