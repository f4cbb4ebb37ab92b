/** Retries of submissions and cancels that the state service refuses for its rate limit. */
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import * as Effect from "effect/Effect";
import * as Either from "effect/Either";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { isRateLimited, StateClient } from "../src/io/state-client.js";
import { commitForUser, MAX_RETRIES } from "../src/service/api/user-writes.js";
import { FakeStateService } from "./fakes/fake-state-service.js";

const SEEDS = 12;
const MAX_REFUSALS = 2 * MAX_RETRIES;

const fakeState = new FakeStateService();
let client: StateClient;

before(async () => {
  await fakeState.start();
  client = new StateClient(fakeState.addr, { rps: 1000, writeRps: 1000 }, 1);
});
after(() => fakeState.stop());

const writeForUser = (key: string) =>
  Effect.runPromise(
    Effect.either(commitForUser(client, [{ key, revision: 0 }], [{ put: key, value: "accepted" }])),
  );

test("a user's write succeeds after up to MAX_RETRIES refusals for the rate, and fails after more", async () => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const refusals = uniformInt(xoroshiro128plus(seed), 0, MAX_REFUSALS);
    const key = `job/seed-${seed}`;
    fakeState.injectedFailures = Array.from({ length: refusals }, () => ({ status: 429, carriedOut: false }));
    const result = await writeForUser(key);
    const left = fakeState.injectedFailures.length;
    fakeState.injectedFailures = [];
    if (refusals <= MAX_RETRIES) {
      assert.ok(Either.isRight(result) && result.right.ok === true, `seed ${seed}: not carried out`);
      assert.equal(fakeState.rows.get(key)?.value, "accepted");
    } else {
      assert.ok(Either.isLeft(result) && isRateLimited(result.left), `seed ${seed}: not refused`);
      assert.equal(fakeState.rows.has(key), false);
      assert.equal(left, refusals - MAX_RETRIES - 1, `seed ${seed}: sent more often than the bound allows`);
    }
  }
});

test("a write that may have been applied, or that an outage refuses, is not retried", async () => {
  for (const [status, carriedOut, tag] of [
    [503, false, "Unavailable"],
    [500, true, "Unanswered"],
  ] as const) {
    const key = `job/status-${status}`;
    // a retry would succeed or conflict, and so show up in the result
    fakeState.injectedFailures = [{ status, carriedOut }];
    const result = await writeForUser(key);
    assert.ok(Either.isLeft(result) && result.left._tag === tag && !isRateLimited(result.left));
    assert.equal(fakeState.rows.has(key), carriedOut);
  }
});

test("a conflict is reported as one", async () => {
  fakeState.put("job/taken", "somebody else's");
  fakeState.injectedFailures = [{ status: 429, carriedOut: false }];
  const result = await writeForUser("job/taken");
  assert.ok(Either.isRight(result) && result.right.ok === false);
  assert.deepEqual(result.right.failed, ["job/taken"]);
});
