/** The operators' socket: JSON over HTTP on a loopback address, used by the command line on the same machine. */
import http from "node:http";
import * as Effect from "effect/Effect";
import { listen, readBody } from "../io/server.js";
import type { OperatorAnswer, OperatorRequest } from "../io/shard-codec.js";

const MAX_BODY_BYTES = 4 * 1024;
const MAX_CONNECTIONS = 16;

const refusal = (status: number, reason: string): OperatorAnswer => ({
  status,
  body: JSON.stringify({ reason }),
});

const stringOrEmpty = (value: unknown): string => (typeof value === "string" ? value : "");

/** The parsed request, or the answer to one that doesn't exist. Throws if the body isn't JSON. */
const parseRequest = (method: string, path: string, body: Buffer): OperatorRequest | OperatorAnswer => {
  const request = (verb: OperatorRequest["verb"], name = "", target = "", epoch = -1): OperatorRequest => ({
    verb,
    name,
    target,
    epoch,
  });
  const [, root, verb = "list", name = ""] = path.split("/");
  if (root !== "shards") return refusal(404, "no such path");
  if (method === "GET" && verb === "list") return request("list");
  if (method === "GET" && verb === "moves") return request("outcome", decodeURIComponent(name));
  if (method !== "POST") return refusal(405, "POST a command here");
  const fields = JSON.parse(body.toString("utf8")) as Record<string, unknown>;
  if (verb === "move") {
    const epoch = Number.isSafeInteger(fields["epoch"]) ? (fields["epoch"] as number) : -1;
    return request("move", stringOrEmpty(fields["shard"]), stringOrEmpty(fields["to"]), epoch);
  }
  if (verb === "drain") return request("drain", stringOrEmpty(fields["member"]));
  if (verb === "cancel") return request("cancel", stringOrEmpty(fields["name"]));
  return refusal(404, "no such command");
};

/** Starts the operators' socket, whose requests `handle` answers. Fails if the address can't be bound. */
export const serveOperators = (
  bind: string,
  handle: (request: OperatorRequest) => Effect.Effect<OperatorAnswer>,
): Effect.Effect<http.Server, Error> => {
  const server = http.createServer((request, response) => {
    readBody(request, MAX_BODY_BYTES, (body) => {
      const send = ({ status, body: text }: OperatorAnswer): void => {
        const headers = { "content-type": "application/json", "content-length": Buffer.byteLength(text) };
        response.writeHead(status, headers).end(text);
      };
      if (body === null) {
        send(refusal(413, "too long"));
        return;
      }
      try {
        const parsed = parseRequest(request.method ?? "", request.url ?? "", body);
        if ("status" in parsed) send(parsed);
        else Effect.runFork(Effect.map(handle(parsed), send));
      } catch {
        send(refusal(400, "not a command"));
      }
    });
  });
  return listen(server, bind, MAX_CONNECTIONS);
};
