/** Commands sent straight to a worker, over few connections: most go with the answers to heartbeats. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import type { Command, Heartbeat } from "../core/records.js";
import type { CommandOutcome } from "../core/scheduler/scheduler.js";
import { call, closeIdleConnections, parseJson, makeKeepAliveAgent, type Reply } from "./call.js";
import { commandsBody, commandsPath, parseHeartbeat } from "./codec.js";

const COMMAND_TIMEOUT = Duration.seconds(2);
/** A question without commands may be asked again, so it needn't wait long. */
const HEARTBEAT_REQUEST_TIMEOUT = Duration.seconds(1);

/** How many calls may be under way or queued for each that may be under way. */
const MAX_OPEN_PER_CONCURRENT_CALL = 4;

/** A batch of commands for one worker, and what has to hold for the worker to execute it. */
export interface WorkerCommands {
  readonly addr: string;
  readonly fencingToken: number;
  readonly workerEpoch: number;
  /** None: only the worker's heartbeat is wanted. */
  readonly commands: readonly Command[];
  /** Asked when the call is about to be made: whether this node may still act. */
  readonly maySend: () => boolean;
}

/** What became of a batch, and the heartbeat that the worker answered with. */
export interface WorkerAnswer {
  readonly outcome: CommandOutcome;
  readonly heartbeat: Heartbeat | null;
}

/** Calls to workers, which may hang: only so many at a time, each with a short timeout. */
export class WorkerClient {
  private readonly agent = makeKeepAliveAgent(1);
  /** Calls under way: their time runs only once they are, so machines that hang don't hold up the others for long. */
  private readonly callPermits: Effect.Semaphore;
  /** Calls under way or queued. */
  private openCalls = 0;
  /** Workers to which a connection is kept, the longest unused first. */
  private readonly recentlyUsedAddrs = new Set<string>();

  /** `maxConcurrentCalls` at a time; `maxIdleConnections`: how many idle connections may be kept right now. */
  constructor(
    private readonly maxConcurrentCalls: number,
    private readonly maxIdleConnections: () => number,
  ) {
    this.callPermits = Effect.unsafeMakeSemaphore(maxConcurrentCalls);
  }

  /** Whether more would be sent in time: what is queued costs memory, and is old when it is sent. */
  hasQueueCapacity(): boolean {
    return this.openCalls < this.maxConcurrentCalls * MAX_OPEN_PER_CONCURRENT_CALL;
  }

  /** Marks the connection as used last, and closes those unused for longest beyond what may be kept. */
  private markConnectionUsed(addr: string): void {
    this.recentlyUsedAddrs.delete(addr);
    this.recentlyUsedAddrs.add(addr);
    const maxIdle = Math.max(1, this.maxIdleConnections());
    for (const oldest of this.recentlyUsedAddrs) {
      if (this.recentlyUsedAddrs.size <= maxIdle) return;
      this.recentlyUsedAddrs.delete(oldest);
      closeIdleConnections(this.agent, oldest);
    }
  }

  /** Sends a batch. Never fails: the outcome says whether the worker may have executed it. */
  sendCommands(batch: WorkerCommands): Effect.Effect<WorkerAnswer> {
    const { addr, commands, maySend } = batch;
    const body = commandsBody(batch.fencingToken, batch.workerEpoch, commands);
    const timeout = commands.length === 0 ? HEARTBEAT_REQUEST_TIMEOUT : COMMAND_TIMEOUT;
    const send = Effect.suspend(() => {
      if (!maySend()) return Effect.succeed(null);
      this.markConnectionUsed(addr);
      return call(this.agent, { addr, method: "POST", path: commandsPath, body, timeout });
    });
    this.openCalls++;
    return this.callPermits
      .withPermits(1)(send)
      .pipe(
        Effect.ensuring(Effect.sync(() => this.openCalls--)),
        Effect.map((reply) => (reply === null ? withoutHeartbeat("barred") : answerOf(reply))),
        Effect.catchAll((failed) => Effect.succeed(withoutHeartbeat(failed.sent ? "unknown" : "unsent"))),
      );
  }
}

const withoutHeartbeat = (outcome: CommandOutcome): WorkerAnswer => ({ outcome, heartbeat: null });

/** 200: executed; 409: not executed, for the fencing token or the epoch. Both come with the worker's heartbeat. */
const answerOf = (reply: Reply): WorkerAnswer => {
  const heartbeat = reply.status === 200 || reply.status === 409 ? parseHeartbeat(parseJson(reply)) : null;
  if (reply.status !== 200) return { outcome: "rejected", heartbeat };
  return { outcome: heartbeat === null ? "unknown" : "done", heartbeat };
};
