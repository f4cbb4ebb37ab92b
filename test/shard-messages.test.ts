/** Messages about shards between controllers and from operators: encoding, refusals, and malformed requests. */
import assert from "node:assert/strict";
import http from "node:http";
import { after, before, test } from "node:test";
import * as Effect from "effect/Effect";
import { Refusal, shardAt } from "#shards";
import {
  offerCodec,
  operatorAnswerCodec,
  operatorRequestCodec,
  decodeRefusal,
  refusalCodec,
  encodeRefusal,
  releaseCodec,
  shardPaths,
} from "../src/io/shard-codec.js";
import { serveOperators } from "../src/service/operators-server.js";
import { servePeers } from "../src/service/members/peers.js";
import { freePort } from "./controller-process.js";

const SHARD = shardAt("east", 7);
const REFUSALS: readonly Refusal[] = [
  Refusal.NotInForce(),
  Refusal.UnknownShard({ shard: "x" }),
  Refusal.WrongEpoch({ shard: "x", epoch: 1, present: 2 }),
  Refusal.TooManyConnections({ member: "m", free: 1, needed: 2 }),
  Refusal.WorkersNotHeard({ member: "m" }),
  Refusal.NotHolder({ member: "m", shard: "x", epoch: 1 }),
];

/** Strips the classes that Avro decodes into, for comparison with plain objects. */
const toPlainObject = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

test("messages are decoded as they were encoded", () => {
  const workers = [{ addr: "127.0.0.1:1", session: 1, token: 7_000_001 }];
  const offer = { id: "m-1", term: 7, shard: SHARD, epoch: 3, machines: 80, workers };
  assert.deepEqual(toPlainObject(offerCodec.decode(offerCodec.encode(offer))), offer);
  const release = { id: "m-1", term: 7, shard: SHARD, epoch: 3 };
  assert.deepEqual({ ...releaseCodec.decode(releaseCodec.encode(release)) }, release);
  const request = { verb: "move", name: SHARD, target: "south", epoch: -1 } as const;
  assert.deepEqual({ ...operatorRequestCodec.decode(operatorRequestCodec.encode(request)) }, request);
});

test("each refusal is decoded as it was encoded; an unknown one does not count as acceptance", () => {
  for (const refusal of REFUSALS) {
    const sent = refusalCodec.decode(refusalCodec.encode(encodeRefusal(refusal)));
    assert.deepEqual({ ...decodeRefusal(sent, "m") }, { ...refusal });
  }
  assert.equal(decodeRefusal(encodeRefusal(null), "m"), null);
  for (const refusal of ["{", "7", "null", "{}", '{"_tag":"$match"}', '{"_tag":"FromTheFuture"}'])
    assert.equal(decodeRefusal({ refusal }, "m")?._tag, "NoAnswer", refusal);
});

let peersAddr = "";
let peersWithoutShardsAddr = "";
let operatorsAddr = "";
const receivedCommands: string[] = [];
const servers: http.Server[] = [];
before(async () => {
  [peersAddr, peersWithoutShardsAddr, operatorsAddr] = [
    await freePort(),
    await freePort(),
    await freePort(),
  ].map((port) => `127.0.0.1:${port}`) as [string, string, string];
  const unusedHandlers = {
    sync: () => assert.fail("unexpected call"),
    deliver: () => assert.fail("unexpected call"),
    confirmTerm: () => assert.fail("unexpected call"),
  };
  const shards = {
    offer: () => Effect.succeed(encodeRefusal(null)),
    release: () => Effect.succeed(encodeRefusal(Refusal.NotInForce())),
    operate: () => Effect.succeed({ status: 200, body: "{}" }),
  };
  servers.push(await Effect.runPromise(servePeers(peersAddr, { ...unusedHandlers, shards })));
  servers.push(
    await Effect.runPromise(servePeers(peersWithoutShardsAddr, { ...unusedHandlers, shards: null })),
  );
  const operatorsServer = await Effect.runPromise(
    serveOperators(operatorsAddr, (request) => {
      receivedCommands.push(`${request.verb} ${request.name} ${request.target} ${request.epoch}`);
      return Effect.succeed({ status: 200, body: "{}" });
    }),
  );
  servers.push(operatorsServer);
});
after(() => {
  for (const server of servers) server.close();
});

const post = (
  addr: string,
  path: string,
  body: Buffer | string,
  method = "POST",
): Promise<[number, Buffer]> =>
  new Promise((resolve, reject) => {
    const [host, port] = addr.split(":");
    const request = http.request({ host, port, path, method, agent: false }, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("end", () => resolve([response.statusCode ?? 0, Buffer.concat(chunks)]));
    });
    request.on("error", reject);
    request.end(body);
  });

test("malformed messages get 400, and a controller without shards answers 404, as earlier versions do", async () => {
  const release = releaseCodec.encode({ id: "m-1", term: 7, shard: SHARD, epoch: 3 });
  const [status, body] = await post(peersAddr, shardPaths.release, release);
  assert.equal(status, 200);
  assert.equal(decodeRefusal(refusalCodec.decode(body), "m")?._tag, "NotInForce");
  for (const path of Object.values(shardPaths)) {
    for (const bad of ["", "x", Buffer.alloc(3, 0xff), release.subarray(0, 4)])
      assert.equal((await post(peersAddr, path, bad))[0], 400, path);
    assert.equal((await post(peersWithoutShardsAddr, path, release))[0], 404, path);
  }
  const list = operatorRequestCodec.encode({ verb: "list", name: "", target: "", epoch: -1 });
  assert.equal(operatorAnswerCodec.decode((await post(peersAddr, shardPaths.operate, list))[1]).status, 200);
});

test("operators' commands are decoded, and invalid requests get 400, 404, 405 or 413", async () => {
  const move = JSON.stringify({ shard: "east.07", to: "south", epoch: 3 });
  assert.equal((await post(operatorsAddr, "/shards/move", move))[0], 200);
  assert.equal((await post(operatorsAddr, "/shards/drain", '{"member":"south"}'))[0], 200);
  assert.equal((await post(operatorsAddr, "/shards/list", "", "GET"))[0], 200);
  assert.equal((await post(operatorsAddr, "/shards/moves/a%20b", "", "GET"))[0], 200);
  assert.deepEqual(receivedCommands, [
    "move east.07 south 3",
    "drain south  -1",
    "list   -1",
    "outcome a b  -1",
  ]);
  const bad: [string, string, string, number][] = [
    ["/other", "", "GET", 404],
    ["/shards/split", "{}", "POST", 404],
    ["/shards/move", "{", "POST", 400],
    ["/shards/move", "null", "POST", 400],
    ["/shards/moves/%", "", "GET", 400],
    ["/shards/drain", "", "GET", 405],
    ["/shards/drain", "x".repeat(5000), "POST", 413],
  ];
  for (const [path, body, method, status] of bad)
    assert.equal((await post(operatorsAddr, path, body, method))[0], status, `${method} ${path}`);
  assert.equal(receivedCommands.length, 4);
});
