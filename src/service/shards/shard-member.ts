/** A controller's own part in handoffs: answers offers, releases what it is asked to, takes what it was given. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { type Refusal, type ReleaseRequest, type ShardId, type ShardWrite } from "#shards";
import type { Log } from "../../io/log.js";
import type { SampleWorker, ShardOffer } from "../../io/shard-codec.js";
import type { WorkerClient } from "../../io/worker-client.js";
import type { Membership } from "../members/membership.js";
import type { ShardView } from "./shard-view.js";
import type { ShardWriter } from "./shard-writer.js";

/** How often what was released is looked for, beside each change that is read. */
const TAKE_INTERVAL = Duration.millis(500);

/** The member's side of handoffs. */
export class ShardMember {
  private readonly taking = new Set<ShardId>();

  constructor(
    private readonly view: ShardView,
    private readonly writer: ShardWriter,
    private readonly membership: Membership,
    private readonly workers: WorkerClient,
    /** How many more connections this node has room for. */
    private readonly freeConnections: () => number,
    private readonly log: Log,
  ) {}

  /** The leader offers a shard: whether this node could serve it. */
  answerOffer(offer: ShardOffer): Effect.Effect<Refusal | null> {
    return Effect.map(this.reachesAnyWorker(offer.workers), (reachesWorkers) =>
      this.view.ownerView.answerOffer(offer, {
        mayAct: this.membership.mayAct(),
        reachesWorkers,
        freeConnections: this.freeConnections(),
      }),
    );
  }

  /** A question without commands, such as the leader puts too, shows whether a worker is in reach. */
  private reachesAnyWorker(workers: readonly SampleWorker[]): Effect.Effect<boolean> {
    if (workers.length === 0) return Effect.succeed(true);
    const probes = workers.map(({ addr, session: workerEpoch, token }) =>
      this.workers.sendCommands({
        ...{ addr, fencingToken: token, workerEpoch, commands: [] },
        maySend: () => this.membership.mayAct(),
      }),
    );
    return Effect.map(Effect.all(probes, { concurrency: "unbounded" }), (answers) =>
      answers.some(({ outcome }) => outcome === "done" || outcome === "rejected"),
    );
  }

  /** The leader asks to release a drained shard. From the moment of sending it isn't counted here any more. */
  answerRelease(request: ReleaseRequest): Effect.Effect<Refusal | null> {
    return Effect.sync(() => {
      const step = this.view.ownerView.answerRelease(request);
      if ("refusal" in step) return step.refusal;
      this.view.releaseSent(step.write);
      Effect.runFork(this.release(step.write));
      return null;
    });
  }

  private release(write: ShardWrite): Effect.Effect<void> {
    return Effect.map(this.writer.write([write]), (outcome) => {
      this.log.info({ shard: write.shard, epoch: write.state.epoch, outcome }, "releases a shard");
    });
  }

  private take(write: ShardWrite): Effect.Effect<void> {
    const { shard, state } = write;
    if (this.taking.has(shard)) return Effect.void;
    this.taking.add(shard);
    return this.writer.write([write]).pipe(
      Effect.tap((outcome) =>
        Effect.sync(() => this.log.info({ shard, epoch: state.epoch, outcome }, "takes a shard")),
      ),
      Effect.ensuring(Effect.sync(() => this.taking.delete(shard))),
      Effect.asVoid,
    );
  }

  /** Takes whatever was released to this node. */
  readonly run = Effect.gen(this, function* () {
    yield* this.view.changed.wait(TAKE_INTERVAL);
    if (!this.membership.mayAct()) return;
    yield* Effect.forEach(this.view.ownerView.pendingTakes(), (write) => this.take(write), {
      concurrency: 4,
      discard: true,
    });
  }).pipe(
    Effect.catchAllCause((cause) =>
      Effect.sync(() => this.log.error({ cause: cause.toString() }, "taking shards failed")),
    ),
    Effect.forever,
  );
}
