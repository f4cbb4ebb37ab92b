/** Sends commands directly to workers. Answers to heartbeats carry only stops of tasks whose jobs have ended (S9). */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import type { Command, Heartbeat } from "../core/records.js";
import type { CommandOutcome } from "../core/scheduler/scheduler.js";
import { call, closeIdleConnections, makeKeepAliveAgent, parseJson, type Reply } from "./call.js";
import { commandsBody, commandsPath, parseHeartbeat } from "./codec.js";

const COMMAND_TIMEOUT = Duration.seconds(2);
/** A request without commands only asks for a heartbeat; it can be repeated, so its timeout is shorter. */
const HEARTBEAT_REQUEST_TIMEOUT = Duration.seconds(1);

/** Limit on open calls, running or queued, as a multiple of the calls that may run at a time. */
const MAX_OPEN_PER_CONCURRENT_CALL = 4;

/** A batch of commands for one worker, with the fencing token and the epoch under which the worker executes it. */
export interface WorkerCommands {
  readonly addr: string;
  readonly fencingToken: number;
  readonly workerEpoch: number;
  /** Empty: only the worker's heartbeat is requested. */
  readonly commands: readonly Command[];
  /** Checked right before sending: whether this node may still act. */
  readonly maySend: () => boolean;
}

/** The outcome of a batch, and the heartbeat that the worker responded with. */
export interface WorkerAnswer {
  readonly outcome: CommandOutcome;
  readonly heartbeat: Heartbeat | null;
}

/** Calls workers, any of which may hang: concurrency is limited and timeouts are short. */
export class WorkerClient {
  private readonly agent = makeKeepAliveAgent(1);
  /** One permit per running call. A timeout starts when its call does, so workers that hang don't delay others for long. */
  private readonly callPermits: Effect.Semaphore;
  /** Calls that are running or queued. */
  private openCalls = 0;
  /** Addresses with a connection that may be kept, least recently used first. */
  private readonly recentlyUsedAddrs = new Set<string>();

  /** `maxIdleConnections` is called for the current limit whenever a connection is used. */
  constructor(
    private readonly maxConcurrentCalls: number,
    private readonly maxIdleConnections: () => number,
  ) {
    this.callPermits = Effect.unsafeMakeSemaphore(maxConcurrentCalls);
  }

  /** Whether another call may be queued. The queue is bounded, since commands that wait use memory and become outdated. */
  hasQueueCapacity(): boolean {
    return this.openCalls < this.maxConcurrentCalls * MAX_OPEN_PER_CONCURRENT_CALL;
  }

  /** Marks the connection as most recently used, and closes the least recently used ones above the limit. */
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

  /** Sends a batch. Never fails: the outcome tells whether the worker executed it. */
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
        Effect.map((reply) => (reply === null ? answerWithoutHeartbeat("barred") : answerOf(reply))),
        Effect.catchAll((failed) =>
          Effect.succeed(answerWithoutHeartbeat(failed.sent ? "unknown" : "unsent")),
        ),
      );
  }
}

const answerWithoutHeartbeat = (outcome: CommandOutcome): WorkerAnswer => ({ outcome, heartbeat: null });

/** 200: executed; 409: rejected for the fencing token or the epoch. Both responses contain the worker's heartbeat. */
const answerOf = (reply: Reply): WorkerAnswer => {
  const heartbeat = reply.status === 200 || reply.status === 409 ? parseHeartbeat(parseJson(reply)) : null;
  if (reply.status !== 200) return { outcome: "rejected", heartbeat };
  return { outcome: heartbeat === null ? "unknown" : "done", heartbeat };
};
