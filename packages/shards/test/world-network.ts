/** The simulated network, which may lose, duplicate or delay messages. It is also the simulation's only source of randomness. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type {
  Offer,
  OfferAnswer,
  ReleaseAnswer,
  ReleaseRequest,
  ShardWrite,
  WriteOutcome,
} from "../src/index.js";

/** One process of a controller. Messages to it are dropped once a new process of the controller has started. */
export interface Process {
  readonly node: string;
  readonly incarnation: number;
}

/** The content of a message. */
export type MessageBody =
  | { readonly kind: "write"; readonly from: Process; readonly id: string | null; readonly write: ShardWrite }
  | {
      readonly kind: "written";
      readonly to: Process;
      readonly id: string | null;
      readonly write: ShardWrite;
      readonly outcome: WriteOutcome;
      readonly revision: number;
    }
  | { readonly kind: "offer"; readonly from: Process; readonly to: string; readonly offer: Offer }
  | { readonly kind: "offered"; readonly to: Process; readonly offer: Offer; readonly answer: OfferAnswer }
  | {
      readonly kind: "release";
      readonly from: Process;
      readonly to: string;
      readonly request: ReleaseRequest;
    }
  | {
      readonly kind: "releaseAnswer";
      readonly to: Process;
      readonly request: ReleaseRequest;
      readonly answer: ReleaseAnswer;
    }
  | {
      readonly kind: "command";
      readonly from: Process;
      readonly machine: string;
      readonly fencingToken: number;
      readonly term: number;
      readonly sentAt: number;
      readonly isCommand: boolean;
      /** The epoch in which the leader decided it; null: a heartbeat request, or a command while shards weren't in use. */
      readonly epoch: number | null;
    }
  | {
      readonly kind: "commandAnswer";
      readonly to: Process;
      readonly machine: string;
      readonly isCommand: boolean;
      readonly sentAt: number;
      /** The highest fencing token that the worker has seen. */
      readonly seenFencingToken: number;
    };

/** A message in flight; `due`: its arrival time in milliseconds. */
export type Message = MessageBody & { readonly due: number };

/** A message as text, without its arrival time: messages with the same key have the same content. */
export const messageKey = (message: Message): string => JSON.stringify({ ...message, due: 0 });

/** The longest delay of a slow message, and of a duplicate after the original. */
const MAX_SLOW_DELAY_MS = 8000;
const MIN_DELAY_MS = 2;
const DELAY_SPREAD_MS = 40;

/** The messages in flight between processes, state service and workers. */
export class Network {
  /** Share of messages that are lost. */
  lossShare = 0;
  /** Share of messages that are duplicated. */
  duplicateShare = 0;
  /** Share of messages that are delayed by up to `MAX_SLOW_DELAY_MS`. */
  slowShare = 0;
  /** The share of slow messages to and from workers, if larger than `slowShare`. */
  slowWorkerShare = 0;
  inFlight: Message[] = [];
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A network without faults that has the same messages in flight. */
  copy(): Network {
    const copy = new Network(0);
    copy.inFlight = [...this.inFlight];
    return copy;
  }

  /** A random number from 0 to 1. */
  random(): number {
    return uniformFloat64(this.generator);
  }

  /** Sends a message at the time `now`, subject to the faults. */
  send(message: MessageBody, now: number): void {
    if (this.random() < this.lossShare) return;
    const isWorkers = message.kind === "command" || message.kind === "commandAnswer";
    const isSlow = this.random() < Math.max(this.slowShare, isWorkers ? this.slowWorkerShare : 0);
    const due = now + MIN_DELAY_MS + this.random() * (isSlow ? MAX_SLOW_DELAY_MS : DELAY_SPREAD_MS);
    this.inFlight.push({ ...message, due });
    if (this.random() < this.duplicateShare)
      this.inFlight.push({ ...message, due: due + this.random() * MAX_SLOW_DELAY_MS });
  }

  /** Postpones a message to the time `due`. */
  postpone(message: Message, due: number): void {
    this.inFlight.push({ ...message, due });
  }

  /** Removes a message and returns it. */
  remove(index: number): Message {
    const message = this.inFlight[index];
    if (message === undefined) throw new Error(`there is no message ${index}`);
    this.inFlight = this.inFlight.filter((_, other) => other !== index);
    return message;
  }

  /** Ends all faults; messages in flight keep their arrival times. */
  clearFaults(): void {
    this.lossShare = this.duplicateShare = this.slowShare = this.slowWorkerShare = 0;
  }
}
