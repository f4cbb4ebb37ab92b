/** Base of the fakes of outside systems: an HTTP server on loopback that answers with JSON. */
import http from "node:http";
import type { AddressInfo } from "node:net";

/** A JSON object as sent on the wire. */
export type Json = Record<string, unknown>;

/** Reads the JSON body of a request; an empty body gives an empty object. */
export const readJson = async (request: http.IncomingMessage): Promise<Json> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString("utf8");
  return text === "" ? {} : (JSON.parse(text) as Json);
};

/** Sends a POST request on a new connection; null if there was no answer. */
export const post = (url: string, text: string): Promise<{ status: number; text: string } | null> =>
  new Promise((resolve) => {
    const request = http.request(url, { method: "POST", agent: false, timeout: 4000 }, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("end", () =>
        resolve({ status: response.statusCode ?? 0, text: Buffer.concat(chunks).toString() }),
      );
      response.on("error", () => resolve(null));
    });
    request.on("timeout", () => request.destroy());
    request.on("error", () => resolve(null));
    request.end(text);
  });

/** An outside system served over HTTP on loopback; a subclass decides the status and the JSON body of each answer. */
export abstract class FakeServer {
  readonly server: http.Server;
  addr = "";
  constructor() {
    this.server = http.createServer((request, response) => {
      void this.handle(request).then(([status, value]) => {
        const text = JSON.stringify(value);
        response.writeHead(status, { "content-type": "application/json" }).end(text);
      });
    });
  }
  abstract handle(request: http.IncomingMessage): Promise<[number, unknown]>;
  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.addr = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }
  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}
