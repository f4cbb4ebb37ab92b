/* global Buffer, URL, clearTimeout, process, setInterval, setTimeout */
/** Common parts of the stand-ins: JSON over HTTP on loopback, and the record of a run. */
import http from "node:http";
import net from "node:net";
import { appendFileSync, writeFileSync } from "node:fs";

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const nowMs = () => Number(process.hrtime.bigint() / 1_000_000n);

/** The record of a run: one line an event, with the seconds since the run began. */
export class Record {
  constructor(path) {
    this.path = path;
    this.startedAt = nowMs();
    this.pending = [];
    writeFileSync(path, "");
    setInterval(() => this.flush(), 500).unref();
  }
  seconds() {
    return (nowMs() - this.startedAt) / 1000;
  }
  line(kind, details = {}) {
    const text = Object.entries(details)
      .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`)
      .join(" ");
    this.pending.push(`${this.seconds().toFixed(3)} ${kind} ${text}\n`);
  }
  say(kind, details = {}) {
    this.line(kind, details);
    process.stdout.write(this.pending.at(-1));
  }
  flush() {
    if (this.pending.length === 0) return;
    appendFileSync(this.path, this.pending.join(""));
    this.pending = [];
  }
}

const LOWEST_PORT = 15_000;
const PORTS = 15_000;

/** A free port, below those that the system gives to outgoing connections, which could take it in between. */
export const freePort = async () => {
  for (;;) {
    const port = LOWEST_PORT + Math.floor(Math.random() * PORTS);
    const isFree = await new Promise((resolve) => {
      const server = net.createServer();
      server.once("error", () => resolve(false));
      server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
    if (isFree) return port;
  }
};

/** Reads a body; null if it is longer than `maxBytes`. */
const readBody = (request, maxBytes) =>
  new Promise((resolve) => {
    const chunks = [];
    let size = 0;
    request.on("data", (chunk) => {
      size += chunk.length;
      if (size <= maxBytes) chunks.push(chunk);
    });
    request.on("end", () => resolve(size > maxBytes ? null : Buffer.concat(chunks)));
    request.on("error", () => undefined);
  });

/** The limit for a request body on every interface. */
export const MAX_BODY_BYTES = 64 * 1024;

/**
 * Serves JSON on a free loopback port. `handle` gets the request's method, URL and parsed body, and returns the status
 * and the JSON value of the answer, or null for no answer. A body over 64 KiB gets 400.
 */
export const serveJson = async (handle, onTooLarge = () => undefined) => {
  const server = http.createServer((request, response) => {
    void readBody(request, MAX_BODY_BYTES).then(async (body) => {
      let answer;
      if (body === null) {
        onTooLarge(request);
        answer = [400, { error: "body over 64 KiB" }];
      } else {
        let value = {};
        try {
          if (body.length > 0) value = JSON.parse(body.toString("utf8"));
          answer = await handle(request.method, new URL(request.url, "http://x"), value, request);
        } catch (error) {
          answer = [400, { error: String(error) }];
        }
      }
      if (answer === null || response.destroyed) return;
      const text = JSON.stringify(answer[1]);
      response.writeHead(answer[0], {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
      });
      response.end(text);
    });
  });
  server.keepAliveTimeout = 0;
  server.requestTimeout = 0;
  server.headersTimeout = 0;
  await new Promise((resolve) => server.listen(0, "127.0.0.1", 511, resolve));
  return { server, addr: `127.0.0.1:${server.address().port}` };
};

/** Sends a request on a connection of `agent`; null if there was no answer within `timeoutMs`. */
export const ask = (agent, addr, method, path, value, timeoutMs) =>
  new Promise((resolve) => {
    const [host, port] = addr.split(":");
    const text = value === undefined ? "" : JSON.stringify(value);
    let done = false;
    const finish = (result) => {
      if (done) return;
      done = true;
      clearTimeout(timer);
      resolve(result);
    };
    const request = http.request(
      {
        agent,
        host,
        port,
        method,
        path,
        headers: { "content-type": "application/json", "content-length": Buffer.byteLength(text) },
      },
      (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("end", () => {
          const body = Buffer.concat(chunks).toString("utf8");
          let json = null;
          try {
            json = JSON.parse(body);
          } catch {
            json = null;
          }
          finish({ status: response.statusCode, body, json, retryAfter: response.headers["retry-after"] });
        });
        response.on("error", () => finish(null));
        response.on("aborted", () => finish(null));
      },
    );
    const timer = setTimeout(() => {
      finish(null);
      request.destroy();
    }, timeoutMs);
    request.on("error", () => finish(null));
    request.end(text);
  });
