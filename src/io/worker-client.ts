/** Commands sent straight to a worker. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import type { Command, Heartbeat } from "../core/records.js";
import type { CommandOutcome } from "../core/scheduler/scheduler.js";
import { call, closeFree, json, makeAgent } from "./call.js";
import { commandsBody, commandsPath, parseHeartbeat } from "./codec.js";

const TIMEOUT = Duration.seconds(2);
/** A question without commands may be asked again, so it needn't wait long. */
const QUESTION_TIMEOUT = Duration.seconds(1);

/** How many calls may be open for each place. */
const WAITING = 4;

export class WorkerClient {
  private readonly agent = makeAgent(1);
  /** Calls under way: their time runs only once they are, so machines that hang don't hold up the others for long. */
  private readonly places: Effect.Semaphore;
  /** Calls under way or waiting for their turn. */
  private open = 0;
  /** Workers to which a connection is kept, the longest unused first. */
  private readonly kept = new Set<string>();

  /** `calls` at a time; `keep`: how many connections may be kept right now. */
  constructor(
    private readonly calls: number,
    private readonly keep: () => number,
  ) {
    this.places = Effect.unsafeMakeSemaphore(calls);
  }

  /** Whether more would have their turn in time: what waits costs memory, and is old when it is sent. */
  hasRoom(): boolean {
    return this.open < this.calls * WAITING;
  }

  /** The connections unused for longest make room. */
  private use(addr: string): void {
    this.kept.delete(addr);
    this.kept.add(addr);
    const most = Math.max(1, this.keep());
    for (const oldest of this.kept) {
      if (this.kept.size <= most) return;
      this.kept.delete(oldest);
      closeFree(this.agent, oldest);
    }
  }

  sendCommands(
    addr: string,
    token: number,
    workerEpoch: number,
    commands: readonly Command[],
    /** Asked again when its turn comes. */
    maySend: () => boolean = () => true,
  ): Effect.Effect<{ outcome: CommandOutcome; report: Heartbeat | null }> {
    const body = commandsBody(token, workerEpoch, commands);
    const timeout = commands.length === 0 ? QUESTION_TIMEOUT : TIMEOUT;
    const ask = Effect.suspend(() => {
      if (!maySend()) return Effect.succeed(null);
      this.use(addr);
      return call(this.agent, { addr, method: "POST", path: commandsPath, body, timeout });
    });
    this.open++;
    return this.places
      .withPermits(1)(ask)
      .pipe(
        Effect.ensuring(Effect.sync(() => this.open--)),
        Effect.map((reply) => {
          if (reply === null) return { outcome: "barred" as CommandOutcome, report: null };
          const heartbeat = reply.status === 200 || reply.status === 409 ? parseHeartbeat(json(reply)) : null;
          if (reply.status === 200)
            return {
              outcome: (heartbeat === null ? "unknown" : "done") as CommandOutcome,
              report: heartbeat,
            };
          return { outcome: "rejected" as CommandOutcome, report: heartbeat };
        }),
        Effect.catchAll((failed) =>
          Effect.succeed({ outcome: (failed.sent ? "unknown" : "unsent") as CommandOutcome, report: null }),
        ),
      );
  }
}
