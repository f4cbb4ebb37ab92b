/** Updates of a member whose leader can't be reached for a while: they are relayed, and then sent again. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import { WorkerPartition } from "../src/core/members/worker-partition.js";
import { instant } from "../src/core/time.js";
import { now } from "../src/io/clock.js";
import { makeLog } from "../src/io/log.js";
import type { SyncRequest, SyncResponse } from "../src/io/peer-codec.js";
import { LeaderSync } from "../src/service/members/leader-sync.js";
import type { Membership } from "../src/service/members/membership.js";
import type { Peers } from "../src/service/members/peers.js";
import type { UpdateRelaySender } from "../src/service/members/update-relay-sender.js";
import { until } from "./controller-process.js";
import { heartbeatWith, TERM } from "./term-fixture.js";

const SELF = "b";
const INCARNATION = 2;

// guards against a lease that the leader takes for ended too early, since it missed the report of the last renewal
test("what was relayed is sent again once the leader answers, before its clock is echoed", async () => {
  const partition = new WorkerPartition(SELF, 1000, Duration.seconds(4));
  partition.setTerm(TERM);
  const direct: SyncRequest[] = [];
  const relayed: SyncRequest[] = [];
  let isLeaderReachable = true;
  const answer = (): SyncResponse => ({
    ...{ termNumber: TERM.number, accepted: true, leaderClockMark: 100 + direct.length },
    ...{ progressVersion: 1, reachesStateService: true, progress: [] },
  });
  const peers = {
    sync: (_leader: string, request: SyncRequest) => {
      if (!isLeaderReachable) return Effect.fail(new Error("refused"));
      direct.push(request);
      return Effect.succeed(answer());
    },
  } as unknown as Peers;
  const relay = {
    maxHeartbeats: 60,
    relay: (request: SyncRequest) => Effect.sync(() => relayed.push(request) > 0),
  } as unknown as UpdateRelaySender;
  const membership = { term: TERM, incarnation: INCARNATION } as unknown as Membership;
  const sync = new LeaderSync({
    ...{ self: SELF, contactRetention: Duration.minutes(5), membership, partition, peers, relay },
    log: makeLog("silent", SELF),
    reachesStateService: () => true,
    localLeader: () => null,
    isUnfinished: () => true,
    onDone: () => undefined,
  });
  const running = Effect.runFork(sync.run);
  try {
    await until("the leader's clock is echoed", () => (direct.at(-1)?.leaderClockMark ?? -1) > 0);
    isLeaderReachable = false;
    const { machine } = heartbeatWith({});
    const namesMachine = ({ contacts }: SyncRequest): boolean =>
      contacts.some((contact) => contact.machine === machine);
    partition.handleHeartbeat(heartbeatWith({ sequence: 1 }), true, INCARNATION, instant(now()));
    await until("the renewal is relayed", () => relayed.some(namesMachine));
    const sentBefore = direct.length;
    isLeaderReachable = true;
    await until("two more updates arrive", () => direct.length >= sentBefore + 2);
    const since = direct.slice(sentBefore);
    const firstWithMachine = since.findIndex(namesMachine);
    const firstWithMark = since.findIndex(({ leaderClockMark }) => leaderClockMark > 0);
    assert.notEqual(firstWithMachine, -1, "the renewal was never sent to the leader");
    assert.ok(firstWithMark >= firstWithMachine, `mark in ${firstWithMark}, renewal in ${firstWithMachine}`);
    // nor does anything that is relayed after the renewal echo a clock
    const relayedAfter = relayed.slice(relayed.findIndex(namesMachine) + 1);
    assert.ok(relayedAfter.every(({ leaderClockMark }) => leaderClockMark < 0));
  } finally {
    await Effect.runPromise(Fiber.interrupt(running));
  }
});
