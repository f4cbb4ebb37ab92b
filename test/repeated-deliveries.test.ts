/**
 * A member sends each batch of the leader's commands at most once, whatever copies of the leader's message arrive. Guards
 * against tasks that start on a second machine: the leader starts a task elsewhere after the member reported that its batch
 * wasn't sent, and then a copy of the message makes the member send it (S4).
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { ReceivedBatches } from "../src/core/members/received-batches.js";
import { WorkerPartition } from "../src/core/members/worker-partition.js";
import { instant } from "../src/core/time.js";
import type { CommandBatch } from "../src/io/peer-codec.js";
import { WorkerClient } from "../src/io/worker-client.js";
import { CommandDeliverer } from "../src/service/members/command-deliverer.js";
import { freePort, until } from "./controller-process.js";
import { FakeServer, type Json, readJson } from "./fakes/fake-server.js";
import { TERM } from "./term-fixture.js";

/** A worker that keeps the commands of each request, and listens on a port that is known before. */
class RecordingWorker extends FakeServer {
  readonly attempts: number[] = [];

  override async start(port = 0): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(port, "127.0.0.1", resolve));
  }

  async handle(request: Parameters<FakeServer["handle"]>[0]): Promise<[number, unknown]> {
    const body: Json = await readJson(request);
    for (const order of body["orders"] as { try: number }[]) this.attempts.push(order.try);
    const machine = {
      hearth: "n-1",
      endpoint: "127.0.0.1:9",
      build: "small",
      district: "east",
      loaners: false,
    };
    return [200, { ...machine, shift: 1, tally: 1, baton: body["baton"], recall_s: null, chores: [] }];
  }
}

class DelivererFixture {
  mayAct = true;
  readonly partition = new WorkerPartition("b", 4096, Duration.seconds(1));
  private readonly membership = {
    term: TERM,
    mayAct: () => this.mayAct,
    observeTerm: () => undefined,
  } as unknown as ConstructorParameters<typeof CommandDeliverer>[0];
  readonly outcomes: string[] = [];
  private readonly deliverer = new CommandDeliverer(
    this.membership,
    new WorkerClient(4, () => 4),
    this.partition,
    () => {
      const { commandResults } = this.partition.takeUpdate(instant(0));
      for (const { id, outcome } of commandResults) this.outcomes.push(`${id} ${outcome}`);
    },
  );

  constructor(private readonly addr: string) {}

  /** A message that starts one attempt; `id` is also the attempt's number. */
  deliver(id: number): Promise<{ accepted: boolean }> {
    const command = { op: "start", job: "req-000001", index: 0, attempt: id, gracePeriodSeconds: 0 } as const;
    const batch: CommandBatch = {
      ...{
        id,
        machine: "n-1",
        addr: this.addr,
        workerEpoch: 1,
        fencingToken: 4_000_000,
        commands: [command],
      },
    };
    return Effect.runPromise(this.deliverer.deliver({ term: TERM, batches: [batch] }));
  }

  untilOutcome(outcome: string): Promise<void> {
    return until(outcome, () => this.outcomes.includes(outcome));
  }
}

test("a copy of a message isn't sent after the worker could not be reached", async () => {
  const port = await freePort();
  const worker = new RecordingWorker();
  const member = new DelivererFixture(`127.0.0.1:${port}`);
  await member.deliver(1);
  await member.untilOutcome("1 unsent");
  await worker.start(port);
  try {
    // the copy would be sent before the next batch
    await member.deliver(1);
    await member.deliver(2);
    await member.untilOutcome("2 done");
    await member.deliver(1);
    await member.deliver(3);
    await member.untilOutcome("3 done");
    assert.deepEqual(worker.attempts, [2, 3]);
  } finally {
    worker.stop();
  }
});

test("a copy of a message isn't sent after the member could not act, and none is sent twice", async () => {
  const port = await freePort();
  const worker = new RecordingWorker();
  await worker.start(port);
  try {
    const member = new DelivererFixture(`127.0.0.1:${port}`);
    member.mayAct = false;
    assert.equal((await member.deliver(1)).accepted, false);
    // only the receipt says so: a copy may reach a new process while the outcome of the first one is pending
    assert.deepEqual(member.outcomes, []);
    member.mayAct = true;
    await member.deliver(1);
    await member.deliver(2);
    await member.untilOutcome("2 done");
    await member.deliver(2);
    await member.deliver(3);
    await member.untilOutcome("3 done");
    assert.deepEqual(worker.attempts, [2, 3]);
  } finally {
    worker.stop();
  }
});

test("a batch is new unless it or a later one for its machine was received", () => {
  const batches = new ReceivedBatches(10);
  assert.equal(batches.receive("n-1", 5), true);
  assert.equal(batches.receive("n-2", 4), true);
  assert.equal(batches.receive("n-1", 5), false);
  assert.equal(batches.receive("n-1", 3), false);
  assert.equal(batches.receive("n-2", 6), true);
});

test("batches of machines that are no longer remembered aren't taken for new", () => {
  const batches = new ReceivedBatches(2);
  for (const [position, machine] of ["n-1", "n-2", "n-3", "n-4"].entries())
    assert.equal(batches.receive(machine, position + 1), true);
  assert.equal(batches.receive("n-1", 1), false);
  assert.equal(batches.receive("n-2", 2), false);
  assert.equal(batches.receive("n-1", 5), true);
});
