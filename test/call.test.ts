/** Outgoing calls of a process that stalls for longer than their timeout: none may be sent after the timeout. */
import assert from "node:assert/strict";
import http from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { call, makeKeepAliveAgent, type Reply } from "../src/io/call.js";

const TIMEOUT = Duration.millis(50);

/** Blocks the event loop until long after the timeout, while the kernel still completes connections. */
const blockEventLoop = (): void => {
  const until = performance.now() + 4 * Duration.toMillis(TIMEOUT);
  while (performance.now() < until);
};

const withServer = async (
  use: (addr: string, requestCount: () => number) => Promise<void>,
): Promise<void> => {
  let taken = 0;
  const server = http.createServer((request, response) => {
    taken++;
    request.resume().on("end", () => response.end("{}"));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  await use(`127.0.0.1:${port}`, () => taken);
  server.closeAllConnections();
  server.close();
};

const post = (addr: string, timeout: Duration.Duration): Promise<Reply | string> =>
  Effect.runPromise(
    call(makeKeepAliveAgent(1), { addr, method: "POST", path: "/orders", body: "{}", timeout }).pipe(
      Effect.catchAll(({ sent, reason }) => Effect.succeed(`${reason}, ${sent ? "sent" : "not sent"}`)),
    ),
  );

test("a call not sent before a stall longer than its timeout isn't sent after it", async () => {
  await withServer(async (addr, taken) => {
    const result = post(addr, TIMEOUT);
    // the connection is requested in the next tick, and established while the event loop is blocked
    process.nextTick(() => process.nextTick(blockEventLoop));
    assert.equal(await result, "timeout, not sent");
    await new Promise((resolve) => setTimeout(resolve, 2 * Duration.toMillis(TIMEOUT)));
    assert.equal(taken(), 0);
    const later = await post(addr, Duration.seconds(5));
    assert.equal(typeof later === "string" ? later : later.status, 200);
    assert.equal(taken(), 1);
  });
});
