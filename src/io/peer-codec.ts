/** What controllers say to one another, in Avro. */
import avro from "avsc";
import type { Order, TermRecord, WorkerReport } from "../core/records.js";
import type { OrderOutcome } from "../core/scheduler.js";
import type { AgedReport } from "../core/part.js";
import type { Range } from "../core/ranges.js";

const array = (items: unknown) => ({ type: "array", items });
const record = (name: string, fields: Record<string, unknown>) => ({
  type: "record",
  name,
  fields: Object.entries(fields).map(([field, type]) => ({ name: field, type })),
});

const task = record("Task", {
  job: "string",
  index: "int",
  attempt: "long",
  state: "string",
  why: ["null", "string"],
});
const report = record("Report", {
  machine: "string",
  addr: "string",
  type: "string",
  zone: "string",
  spot: "boolean",
  session: "long",
  seq: "long",
  token: "long",
  noticeS: ["null", "double"],
  tasks: array(task),
});
const order = record("Order", {
  op: "string",
  job: "string",
  index: "int",
  attempt: "long",
  graceS: "double",
});

/** A member's news for the leader. */
export interface Sync {
  readonly token: number;
  readonly member: string;
  readonly incarnation: number;
  /** The leader's own clock, as it was in the last answer that this member got from it; -1: none yet. */
  readonly mark: number;
  readonly stateOk: boolean;
  readonly answered: readonly { machine: string; ageMs: number }[];
  readonly reports: readonly AgedReport[];
  readonly stored: readonly { job: string; ranges: readonly Range[] }[];
}
export interface SyncAnswer {
  readonly token: number;
  /** false: this node doesn't lead that term, or isn't ready yet. */
  readonly ok: boolean;
  readonly mark: number;
  readonly stateOk: boolean;
  readonly progress: readonly { job: string; done: number; running: number }[];
}
/** Orders of the leader, to be delivered by a member. */
export interface Deliver {
  readonly term: TermRecord;
  readonly machine: string;
  readonly addr: string;
  readonly session: number;
  readonly orders: readonly Order[];
}
export interface Delivered {
  readonly outcome: OrderOutcome;
  readonly report: WorkerReport | null;
}

export interface Codec<T> {
  encode(value: T): Buffer;
  decode(buffer: Buffer): T;
}
const codec = <T>(schema: unknown): Codec<T> => {
  const type = avro.Type.forSchema(schema as avro.Schema, { wrapUnions: false });
  return {
    encode: (value) => type.toBuffer(value),
    decode: (buffer) => type.fromBuffer(buffer) as T,
  };
};

export const syncCodec = codec<Sync>(
  record("Sync", {
    token: "long",
    member: "string",
    incarnation: "long",
    mark: "double",
    stateOk: "boolean",
    answered: array(record("Answered", { machine: "string", ageMs: "double" })),
    reports: array(record("Aged", { report, ageMs: "double" })),
    stored: array(record("Stored", { job: "string", ranges: array(array("int")) })),
  }),
);
export const syncAnswerCodec = codec<SyncAnswer>(
  record("SyncAnswer", {
    token: "long",
    ok: "boolean",
    mark: "double",
    stateOk: "boolean",
    progress: array(record("Progress", { job: "string", done: "int", running: "int" })),
  }),
);
export const deliverCodec = codec<Deliver>(
  record("Deliver", {
    term: record("Term", {
      token: "long",
      leader: "string",
      members: array(record("Member", { name: "string", incarnation: "long", zone: "string" })),
    }),
    machine: "string",
    addr: "string",
    session: "long",
    orders: array(order),
  }),
);
export const deliveredCodec = codec<Delivered>(
  record("Delivered", { outcome: "string", report: ["null", report] }),
);

/** A node whose renewals fail asks the others whether its term is current. */
export interface Word {
  readonly token: number;
}
export interface WordAnswer {
  readonly noneNewer: boolean;
}
export const wordCodec = codec<Word>(record("Word", { token: "long" }));
export const wordAnswerCodec = codec<WordAnswer>(record("WordAnswer", { noneNewer: "boolean" }));

export const peerPaths = { sync: "/sync", deliver: "/deliver", word: "/word" } as const;
