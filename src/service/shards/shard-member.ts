/** A member's part in handoffs: answers offers, releases shards on request, and takes shards released to it. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { type Refusal, type ReleaseRequest, type ShardId, type ShardWrite } from "#shards";
import type { Log } from "../../io/log.js";
import type { SampleWorker, ShardOffer } from "../../io/shard-codec.js";
import type { WorkerClient } from "../../io/worker-client.js";
import type { Membership } from "../members/membership.js";
import type { ShardView } from "./shard-view.js";
import type { ShardWriter } from "./shard-writer.js";

/** Shards to take are looked for at least this often, and after every change of the records. */
const TAKE_INTERVAL = Duration.millis(500);

/** The member's part in handoffs. */
export class ShardMember {
  private readonly taking = new Set<ShardId>();

  constructor(
    private readonly view: ShardView,
    private readonly writer: ShardWriter,
    private readonly membership: Membership,
    private readonly workers: WorkerClient,
    /** How many more connections this node can take. */
    private readonly freeConnections: () => number,
    private readonly log: Log,
  ) {}

  /** Answers the leader's offer of a shard: null if this node can take it, else the refusal. */
  answerOffer(offer: ShardOffer): Effect.Effect<Refusal | null> {
    return Effect.map(this.reachesAnyWorker(offer.workers), (reachesWorkers) =>
      this.view.ownerView.answerOffer(offer, {
        mayAct: this.membership.mayAct(),
        reachesWorkers,
        freeConnections: this.freeConnections(),
      }),
    );
  }

  /** Whether any of the workers answers an empty batch of commands, which the leader also uses to probe workers. */
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

  /** Answers the leader's request to release a drained shard. The shard counts as released once the write is sent. */
  answerRelease(request: ReleaseRequest): Effect.Effect<Refusal | null> {
    return Effect.sync(() => {
      const step = this.view.ownerView.answerRelease(request);
      if ("refusal" in step) return step.refusal;
      this.view.markReleaseSent(step.write);
      Effect.runFork(this.release(step.write));
      return null;
    });
  }

  private release(write: ShardWrite): Effect.Effect<void> {
    return Effect.map(this.writer.write([write]), (outcome) => {
      this.log.info(
        { shard: write.shard, epoch: write.state.epoch, outcome },
        "shard release write finished",
      );
    });
  }

  private take(write: ShardWrite): Effect.Effect<void> {
    const { shard, state } = write;
    if (this.taking.has(shard)) return Effect.void;
    this.taking.add(shard);
    return this.writer.write([write]).pipe(
      Effect.tap((outcome) =>
        Effect.sync(() => this.log.info({ shard, epoch: state.epoch, outcome }, "shard take write finished")),
      ),
      Effect.ensuring(Effect.sync(() => this.taking.delete(shard))),
      Effect.asVoid,
    );
  }

  /** Takes the shards that are released to this node, for ever. */
  readonly run = Effect.gen(this, function* () {
    yield* this.view.changeSignal.wait(TAKE_INTERVAL);
    if (!this.membership.mayAct()) return;
    yield* Effect.forEach(this.view.ownerView.pendingTakes(), (write) => this.take(write), {
      concurrency: 4,
      discard: true,
    });
  }).pipe(
    Effect.catchAllCause((cause) =>
      Effect.sync(() => this.log.error({ cause: cause.toString() }, "taking released shards failed")),
    ),
    Effect.forever,
  );
}
