/** What all stand-ins share: the record of a run, JSON over HTTP, token buckets, free ports. */
import fs from "node:fs";
import http from "node:http";
import net from "node:net";
import { performance } from "node:perf_hooks";
import { Buffer } from "node:buffer";
import { setTimeout } from "node:timers";

const startedAt = performance.now();

/** Seconds since the run began. */
export const seconds = () => (performance.now() - startedAt) / 1000;

export const sleep = (s) => new Promise((resolve) => setTimeout(resolve, s * 1000));

/** Writes a line to record.txt, with the time. */
export class Record {
  constructor(file) {
    this.file = fs.openSync(file, "w");
  }

  add(text) {
    fs.writeSync(this.file, `${seconds().toFixed(3).padStart(8)} ${text}\n`);
  }
}

export const readBody = (stream) =>
  new Promise((resolve, reject) => {
    const chunks = [];
    stream.on("data", (chunk) => chunks.push(chunk));
    stream.on("end", () => resolve(Buffer.concat(chunks).toString("utf8")));
    stream.on("error", reject);
    stream.on("aborted", () => reject(new Error("aborted")));
  });

/** Sends a request; gives null if there is no answer within `timeoutS`. */
export const send = (addr, method, path, value, { timeoutS, agent } = {}) =>
  new Promise((resolve) => {
    const [host, port] = addr.split(":");
    const text = value === undefined ? "" : typeof value === "string" ? value : JSON.stringify(value);
    const headers = { "content-type": "application/json", "content-length": Buffer.byteLength(text) };
    const request = http.request({ host, port: Number(port), method, path, headers, agent: agent ?? false });
    const timer = setTimeout(() => request.destroy(new Error("timeout")), (timeoutS ?? 5) * 1000);
    const finish = (result) => {
      globalThis.clearTimeout(timer);
      resolve(result);
    };
    request.on("response", (response) => {
      readBody(response).then(
        (body) => {
          let json = null;
          try {
            json = JSON.parse(body);
          } catch {
            // an empty body
          }
          finish({ status: response.statusCode, json });
        },
        () => finish(null),
      );
    });
    request.on("error", () => finish(null));
    request.end(text);
  });

/** An HTTP server on loopback whose `handle` gives the status and the JSON value of each answer. */
export class JsonServer {
  addr = "";

  async listen() {
    this.server = http.createServer((request, response) => {
      readBody(request)
        .then((body) => this.handle(request.method, request.url, body === "" ? {} : JSON.parse(body)))
        .then(([status, value]) => {
          if (response.destroyed) return;
          const text = JSON.stringify(value);
          const headers = { "content-type": "application/json", "content-length": Buffer.byteLength(text) };
          response.writeHead(status, headers).end(text);
        })
        .catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 0;
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.addr = `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** Allows `perSecond` with bursts worth `burstS` seconds. */
export class Bucket {
  constructor(perSecond, burstS) {
    this.perSecond = perSecond;
    this.size = perSecond * burstS;
    this.tokens = this.size;
    this.at = performance.now();
  }

  take(count) {
    const now = performance.now();
    this.tokens = Math.min(this.size, this.tokens + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}

/** A TCP proxy on loopback. While it is cut, it resets what is open and every new connection. */
export class Proxy {
  isCut = false;
  sockets = new Set();
  addr = "";

  async listen(targetOf) {
    this.server = net.createServer((near) => {
      if (this.isCut) {
        near.resetAndDestroy();
        return;
      }
      const [host, port] = targetOf().split(":");
      const far = net.connect({ host, port: Number(port), noDelay: true });
      near.setNoDelay(true);
      for (const [one, other] of [
        [near, far],
        [far, near],
      ]) {
        this.sockets.add(one);
        one.on("error", () => undefined);
        one.on("close", () => {
          this.sockets.delete(one);
          other.destroy();
        });
      }
      near.pipe(far);
      far.pipe(near);
    });
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.addr = `127.0.0.1:${this.server.address().port}`;
  }

  cut() {
    this.isCut = true;
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  heal() {
    this.isCut = false;
  }

  close() {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}

/** Ports below those that outgoing connections get, so that none of these takes one before a controller does. */
const LOWEST_PORT = 12_000;
const PORTS = 18_000;

const isFree = (port) =>
  new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });

/** A port of the loopback interface that was free a moment ago. */
export const freePort = async () => {
  for (;;) {
    const port = LOWEST_PORT + Math.floor(Math.random() * PORTS);
    if (await isFree(port)) return port;
  }
};
