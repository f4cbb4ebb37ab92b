import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { StateClient } from "../src/io/state-client.js";
import { FakeStateService } from "./fakes/fake-state-service.js";

const fakeState = new FakeStateService();
let client: StateClient;
const run = Effect.runPromise;
const tagOf = <A, E extends { _tag: string }>(effect: Effect.Effect<A, E>): Promise<string> =>
  run(Effect.match(effect, { onFailure: (error) => error._tag, onSuccess: () => "none" }));

before(async () => {
  await fakeState.start();
  client = new StateClient(fakeState.addr, { rps: 1000, writeRps: 1000 }, 1);
});
after(() => fakeState.stop());

test("create-if-absent: the first write wins, and later ones fail", async () => {
  const create = (value: string) =>
    client.commit([{ key: "commit/x", revision: 0 }], [{ put: "commit/x", value }]);
  const first = await run(create("a"));
  assert.equal(first.ok, true);
  assert.deepEqual(await run(create("b")), { ok: false, failed: ["commit/x"] });
  assert.equal((await run(client.get("commit/x")))?.value, "a");
  assert.equal(await run(client.get("commit/y")), null);
});

test("a list reads all pages, and a watch from its revision misses no change", async () => {
  for (let i = 0; i < 8; i++) await run(client.commit([], [{ put: `page/${i}`, value: i }]));
  const list = await run(client.list("page/"));
  assert.deepEqual(
    list.rows.map((row) => row.value),
    [0, 1, 2, 3, 4, 5, 6, 7],
  );
  const watch = run(client.watch("page/", list.revision, Duration.seconds(5)));
  await run(client.commit([], [{ delete: "page/3" }, { put: "page/9", value: 9 }]));
  const events = (await watch).events.map((event) => [event.key, event.value]);
  assert.deepEqual(events, [
    ["page/3", undefined],
    ["page/9", 9],
  ]);
});

test("a refused write is distinguished from one that may have been applied", async () => {
  fakeState.injectedFailures = [{ status: 503, carriedOut: false }];
  assert.equal(await tagOf(client.commit([], [{ put: "a", value: 1 }])), "Unavailable");
  fakeState.injectedFailures = [{ status: 500, carriedOut: true }];
  assert.equal(await tagOf(client.commit([], [{ put: "b", value: 1 }])), "Unanswered");
  // a read shows that it was applied
  assert.equal((await run(client.get("b")))?.value, 1);
  const nobody = new StateClient("127.0.0.1:1", { rps: 10, writeRps: 10 }, 1);
  assert.equal(await tagOf(nobody.get("a")), "Unavailable");
});

test("keys are deleted with their lease", async () => {
  const leaseId = await run(client.grantLease(Duration.seconds(60)));
  await run(client.commit([], [{ put: "held", value: 1, leaseId }]));
  assert.equal(await run(client.renewLease(leaseId, Duration.seconds(1))), true);
  await run(client.revokeLease(leaseId));
  assert.equal(await run(client.renewLease(leaseId, Duration.seconds(1))), false);
  assert.equal(await run(client.get("held")), null);
  assert.equal((await run(client.commit([], [{ put: "held", value: 1, leaseId }]))).ok, null);
});
