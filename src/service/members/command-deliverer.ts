/**
 * Delivers the leader's commands to workers. They are sent only under the term in force and only while this node may
 * act (S1); both are checked again right before each request to a worker (S2).
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { ReceivedBatches } from "../../core/members/received-batches.js";
import type { WorkerPartition } from "../../core/members/worker-partition.js";
import type { Heartbeat, TermRecord } from "../../core/records.js";
import type { CommandOutcome } from "../../core/scheduler/decisions.js";
import { hasElapsed } from "../../core/time.js";
import { now } from "../../io/clock.js";
import type { CommandBatch, CommandDelivery, DeliveryReceipt } from "../../io/peer-codec.js";
import type { WorkerClient } from "../../io/worker-client.js";
import type { Membership } from "./membership.js";

/** A batch that was queued for longer isn't sent, since the leader is about to give up waiting for its outcome. */
const MAX_QUEUE_TIME = Duration.seconds(3);
/** A delivery that arrives before its term, or before this node may act, waits up to half a second for each. */
const MAX_READINESS_CHECKS = 20;
const READINESS_CHECK_INTERVAL = Duration.millis(25);
/** How many machines' latest batches are remembered: several times the number of machines that there may be. */
const MAX_REMEMBERED_MACHINES = 20_000;

interface CommandReply {
  readonly outcome: CommandOutcome;
  readonly heartbeat: Heartbeat | null;
}
const BARRED: CommandReply = { outcome: "barred", heartbeat: null };

const waitUntil = (isReady: () => boolean): Effect.Effect<void> =>
  Effect.gen(function* () {
    for (let check = 0; check < MAX_READINESS_CHECKS && !isReady(); check++)
      yield* Effect.sleep(READINESS_CHECK_INTERVAL);
  });

/** Sends batches of commands to workers and records their outcomes for the leader. */
export class CommandDeliverer {
  private readonly receivedBatches = new ReceivedBatches(MAX_REMEMBERED_MACHINES);

  constructor(
    private readonly membership: Membership,
    private readonly workers: WorkerClient,
    private readonly partition: WorkerPartition,
    /** Called when an outcome has been recorded. */
    private readonly onOutcome: () => void,
  ) {}

  /**
   * Starts to send the batches, and answers whether it did; their outcomes go to the leader with the member's updates.
   * None is sent if this node may not send under that term, or if too many requests to workers are in progress. A batch
   * that was received before isn't sent again.
   */
  deliver(delivery: CommandDelivery): Effect.Effect<DeliveryReceipt> {
    return Effect.gen(this, function* () {
      const { term } = delivery;
      const batches = delivery.batches.filter(({ machine, id }) => this.receivedBatches.receive(machine, id));
      const knowsTerm = (): boolean => (this.membership.term?.number ?? 0) >= term.number;
      if (!knowsTerm()) {
        this.membership.observeTerm(term.number);
        yield* waitUntil(knowsTerm);
      }
      yield* waitUntil(() => this.membership.mayAct());
      const accepted = this.maySend(term) && this.workers.hasQueueCapacity();
      if (accepted) for (const batch of batches) Effect.runFork(this.send(term, batch));
      return { accepted };
    });
  }

  private maySend(term: TermRecord): boolean {
    return this.membership.term?.number === term.number && this.membership.mayAct();
  }

  /** Sends one machine's commands. */
  private send(term: TermRecord, batch: CommandBatch): Effect.Effect<void> {
    const receivedAt = now();
    const maySend = (): boolean => this.maySend(term) && !hasElapsed(now(), receivedAt, MAX_QUEUE_TIME);
    // the request may have been queued, so permission is checked once more right before it is sent
    const reply = Effect.suspend((): Effect.Effect<CommandReply> =>
      maySend() ? this.workers.sendCommands({ ...batch, maySend }) : Effect.succeed(BARRED),
    );
    return Effect.map(reply, ({ outcome, heartbeat }) => {
      this.partition.commandsAnswered(batch.id, outcome, heartbeat, now());
      this.onOutcome();
    });
  }
}
