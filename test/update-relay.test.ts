/** The receiving side of updates that are relayed through the state service, against a fake of it. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import { keys } from "../src/core/records.js";
import { makeLog } from "../src/io/log.js";
import type { SyncRequest } from "../src/io/peer-codec.js";
import { StateClient } from "../src/io/state-client.js";
import { fragmentLimits, receiveUpdates, relayUpdate } from "../src/service/members/update-relay.js";
import { until } from "./controller-process.js";
import { FakeStateService } from "./fakes/fake-state-service.js";

const log = makeLog("silent", "test");
const MEMBER = "north";
const MAX_RELAYS = 400;

const updateOf = (incarnation: number): SyncRequest => ({
  ...{ termNumber: 3, member: MEMBER, incarnation, leaderClockMark: -1, progressVersion: -1 },
  ...{ reachesStateService: true, heartbeats: [], contacts: [], storedFinishes: [], commandResults: [] },
});

interface Receiver {
  readonly service: FakeStateService;
  readonly relay: (incarnation: number) => Promise<void>;
  /** The incarnations in the updates that were received. */
  readonly received: readonly number[];
  mayReceive: boolean;
}

/** Relays one update as the leader's key is written, then lets `check` watch a receiver that starts later. */
const withReceiver = async (check: (receiver: Receiver) => Promise<void>): Promise<void> => {
  const service = new FakeStateService();
  await service.start();
  const state = new StateClient(service.addr, { rps: 10_000, writeRps: 10_000 }, 1);
  const leaseId = 1;
  service.leases.set(leaseId, { ttlMs: 600_000, expiresAt: Date.now() + 600_000 });
  const received: number[] = [];
  const limits = fragmentLimits(16, 16);
  const relay = async (incarnation: number): Promise<void> => {
    const update = updateOf(incarnation);
    const result = await Effect.runPromise(relayUpdate({ state, member: MEMBER, leaseId, update, limits }));
    assert.equal(result.kind, "relayed");
  };
  const receiver: Receiver = { service, relay, received, mayReceive: true };
  await relay(1);
  service.put(keys.leader, { member: "south" });
  const leaderRevision = service.revision;
  await relay(2);
  const running = Effect.runFork(
    receiveUpdates({
      ...{ state, log, leaderRevision },
      mayReceive: () => receiver.mayReceive,
      onUpdate: ({ incarnation }) => void received.push(incarnation),
    }),
  );
  try {
    await check(receiver);
  } finally {
    await Effect.runPromise(Fiber.interrupt(running));
    service.stop();
  }
};

// guards against a member's full report to a new leader that is relayed before the leader begins to watch
test("a leader receives all updates that were relayed since its key was written, and none before", () =>
  withReceiver(async ({ relay, received }) => {
    await relay(3);
    await until("both updates are received", () => received.length === 2);
    assert.deepEqual(received, [2, 3]);
  }));

// guards against updates that the leader skips because it lists the keys anew after a failed watch
test("updates that are relayed while the watch fails are received afterwards", () =>
  withReceiver(async ({ service, relay, received }) => {
    await until("the first update is received", () => received.length === 1);
    service.refusesWatch = () => true;
    await relay(3);
    await relay(4);
    service.refusesWatch = () => false;
    await until("the other updates are received", () => received.length >= 2);
    // a watch reports all changes; the member replaced the first of them
    assert.equal(received.at(-1), 4);
  }));

// guards against updates that are refused and lost because the leader's fencing window was closed for a moment
test("updates wait until the leader may act", () =>
  withReceiver(async (receiver) => {
    const { relay, received } = receiver;
    await until("the first update is received", () => received.length === 1);
    receiver.mayReceive = false;
    await relay(3);
    await new Promise((done) => setTimeout(done, 300));
    assert.deepEqual(received, [2]);
    receiver.mayReceive = true;
    await until("the update is received", () => received.length === 2);
    assert.deepEqual(received, [2, 3]);
  }));

// guards against a receiver that stops for ever once the service no longer keeps the changes since its last update
test("the watch goes on with newer updates once the history is too short", () =>
  withReceiver(async ({ service, relay, received }) => {
    await until("the first update is received", () => received.length === 1);
    service.refusesWatch = () => true;
    for (let change = 0; change < 10; change++) service.put("types", []);
    service.keptRevisions = 4;
    service.refusesWatch = () => false;
    // the keys are listed anew, so only what is relayed after that is received
    for (let incarnation = 3; received.length === 1; incarnation++) {
      assert.ok(incarnation < MAX_RELAYS, "no newer update was received");
      await relay(incarnation);
      await new Promise((done) => setTimeout(done, 50));
    }
  }));
