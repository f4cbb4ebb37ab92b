/** The network of the model: messages that may be lost, come twice or come late. All chance of the model is drawn here. */
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

/** One process of a controller: what is sent to it is dropped once another one has its name. */
export interface Process {
  readonly node: string;
  readonly incarnation: number;
}

/** What a message says. */
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
      /** The epoch under which the leader decided it; null: a question, or a command while shards weren't in force. */
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

/** A message on its way; `due`: when it arrives, in milliseconds. */
export type Message = MessageBody & { readonly due: number };

/** A message without its time of arrival: two with the same text say the same. */
export const messageKey = (mail: Message): string => JSON.stringify({ ...mail, due: 0 });

/** The longest that a slow message, or the second copy of one, takes. */
const SLOW_MS = 8000;
const SHORTEST_MS = 2;
const SPREAD_MS = 40;

/** What is on its way between processes, state service and workers. */
export class Network {
  /** Share of messages that are lost. */
  loss = 0;
  /** Share of messages that come twice. */
  copies = 0;
  /** Share of messages that take up to eight seconds. */
  slow = 0;
  /** The same for messages to and from workers. */
  slowWorkers = 0;
  inFlight: Message[] = [];
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A network without troubles that has the same messages on their way. */
  copy(): Network {
    const copy = new Network(0);
    copy.inFlight = [...this.inFlight];
    return copy;
  }

  /** A number from 0 to 1, by the seed. */
  random(): number {
    return uniformFloat64(this.generator);
  }

  /** Sends a message at the time `now`. */
  send(message: MessageBody, now: number): void {
    if (this.random() < this.loss) return;
    const isWorkers = message.kind === "command" || message.kind === "commandAnswer";
    const isSlow = this.random() < Math.max(this.slow, isWorkers ? this.slowWorkers : 0);
    const due = now + SHORTEST_MS + this.random() * (isSlow ? SLOW_MS : SPREAD_MS);
    this.inFlight.push({ ...message, due });
    if (this.random() < this.copies) this.inFlight.push({ ...message, due: due + this.random() * SLOW_MS });
  }

  /** Puts a message off, since the process that it is for stands still. */
  postpone(mail: Message, due: number): void {
    this.inFlight.push({ ...mail, due });
  }

  /** Takes a message out. */
  remove(index: number): Message {
    const mail = this.inFlight[index];
    if (mail === undefined) throw new Error(`there is no message ${index}`);
    this.inFlight = this.inFlight.filter((_, other) => other !== index);
    return mail;
  }

  /** No more troubles; what is late stays late. */
  clearFaults(): void {
    this.loss = this.copies = this.slow = this.slowWorkers = 0;
  }
}
