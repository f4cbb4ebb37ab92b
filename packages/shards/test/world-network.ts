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
export const messageKey = (mail: Message): string => JSON.stringify({ ...mail, due: 0 });

/** The longest delay of a slow message, and of a duplicate after the original. */
const SLOW_MS = 8000;
const SHORTEST_MS = 2;
const SPREAD_MS = 40;

/** The messages in flight between processes, state service and workers. */
export class Network {
  /** Share of messages that are lost. */
  loss = 0;
  /** Share of messages that are duplicated. */
  copies = 0;
  /** Share of messages that are delayed by up to `SLOW_MS`. */
  slow = 0;
  /** The share of slow messages to and from workers, if larger than `slow`. */
  slowWorkers = 0;
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
    if (this.random() < this.loss) return;
    const isWorkers = message.kind === "command" || message.kind === "commandAnswer";
    const isSlow = this.random() < Math.max(this.slow, isWorkers ? this.slowWorkers : 0);
    const due = now + SHORTEST_MS + this.random() * (isSlow ? SLOW_MS : SPREAD_MS);
    this.inFlight.push({ ...message, due });
    if (this.random() < this.copies) this.inFlight.push({ ...message, due: due + this.random() * SLOW_MS });
  }

  /** Postpones a message to the time `due`. */
  postpone(mail: Message, due: number): void {
    this.inFlight.push({ ...mail, due });
  }

  /** Removes a message and returns it. */
  remove(index: number): Message {
    const mail = this.inFlight[index];
    if (mail === undefined) throw new Error(`there is no message ${index}`);
    this.inFlight = this.inFlight.filter((_, other) => other !== index);
    return mail;
  }

  /** Ends all faults; messages in flight keep their arrival times. */
  clearFaults(): void {
    this.loss = this.copies = this.slow = this.slowWorkers = 0;
  }
}
