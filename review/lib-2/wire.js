/* global URL, setTimeout, clearTimeout */
/**
 * Common parts of the stand-ins: JSON over HTTP/1.1 on loopback, one-line clocks, and requests whose connection a
 * test can cut.
 */
import { Buffer } from "node:buffer";
import http from "node:http";
import net from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";

/** Milliseconds on the steady clock. */
export const clock = () => performance.now();

/** Pauses for some milliseconds. */
export const sleep = (ms) => delay(Math.max(0, ms));

/** Ports below those that the system gives to outgoing connections, which could otherwise hold a controller's port. */
const FIRST_PORT = 12_000;
const PORTS = 18_000;

const tryPort = (port) =>
  new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });

/** A free port on loopback. */
export const freePort = async () => {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (await tryPort(port)) return port;
  }
};

const readText = async (stream) => {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks).toString("utf8");
};

/**
 * Serves JSON. `handle(method, url, body, raw)` gives `[status, value]`, or null: no answer is ever sent on this
 * connection. A body that isn't JSON is passed on as undefined.
 */
export const serveJson = (handle) =>
  http.createServer((request, response) => {
    const url = new URL(request.url ?? "/", "http://loopback");
    readText(request)
      .then((text) => {
        let body;
        try {
          body = text === "" ? {} : JSON.parse(text);
        } catch {
          body = undefined;
        }
        return handle(request.method, url, body, request);
      })
      .then((answer) => {
        if (answer === null || response.destroyed) return;
        const [status, value, headers] = answer;
        const text = JSON.stringify(value);
        response
          .writeHead(status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(text),
            ...headers,
          })
          .end(text);
      })
      .catch(() => response.destroy());
  });

/** Listens on loopback, on a free port unless one is given; resolves to the address. */
export const listen = (server, port = 0) =>
  new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", () => resolve(`127.0.0.1:${server.address().port}`));
  });

/** Closes a server and its connections. */
export const closeServer = (server) => {
  server.closeAllConnections?.();
  server.close();
};

/** One request; resolves to `{ status, body }`, or null if there was no answer within `timeoutMs`. */
export const request = (method, addr, path, body, timeoutMs, agent) =>
  new Promise((resolve) => {
    const [host, port] = addr.split(":");
    const text = body === undefined ? undefined : JSON.stringify(body);
    const headers =
      text === undefined
        ? {}
        : { "content-type": "application/json", "content-length": Buffer.byteLength(text) };
    const outgoing = http.request({ host, port, method, path, headers, agent: agent ?? false });
    const timer = setTimeout(() => {
      outgoing.destroy();
      resolve(null);
    }, timeoutMs);
    const finish = (value) => {
      clearTimeout(timer);
      resolve(value);
    };
    outgoing.on("error", () => finish(null));
    outgoing.on("response", (response) => {
      readText(response).then(
        (answer) => {
          let parsed = null;
          try {
            parsed = JSON.parse(answer);
          } catch {
            // left null
          }
          finish({ status: response.statusCode, body: parsed, headers: response.headers });
        },
        () => finish(null),
      );
    });
    outgoing.end(text);
  });

/**
 * A TCP relay between two processes. A test can close it, so that connections are refused, or cut it: open connections
 * are then reset, and new ones hang without an answer until they are reset at the end of the cut.
 */
export class Relay {
  constructor(target) {
    this.target = target;
    this.sockets = new Set();
    this.held = new Set();
    this.isCut = false;
    this.port = null;
    this.server = null;
  }

  /** Begins or ends a cut. */
  setCut(isCut) {
    this.isCut = isCut;
    for (const socket of isCut ? this.sockets : this.held) socket.destroy();
  }

  async open() {
    if (this.server !== null) return;
    this.server = net.createServer((inbound) => {
      if (this.isCut) {
        this.held.add(inbound);
        inbound.on("error", () => undefined);
        inbound.on("close", () => this.held.delete(inbound));
        return;
      }
      const [host, port] = this.target.split(":");
      const outbound = net.connect({ host, port: Number(port) });
      for (const [from, to] of [
        [inbound, outbound],
        [outbound, inbound],
      ]) {
        this.sockets.add(from);
        from.on("error", () => to.destroy());
        from.on("close", () => {
          this.sockets.delete(from);
          to.destroy();
        });
        from.pipe(to);
      }
    });
    await listen(this.server, this.port ?? 0);
    this.port = this.server.address().port;
  }

  /** Refuses connections until `open` is called again. */
  refuse() {
    this.server?.close();
    this.server = null;
    for (const socket of [...this.sockets, ...this.held]) socket.destroy();
  }

  get addr() {
    return `127.0.0.1:${this.port}`;
  }
}
