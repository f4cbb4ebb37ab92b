/** Messages between controllers, in Avro. Other versions know the Avro names; they are mapped to those of the code here. */
import avro from "avsc";
import type { Command, TermRecord } from "../core/records.js";
import type { AgedHeartbeat, CommandResult, WorkerContact } from "../core/members/member-update.js";
import type { Range } from "../core/ranges.js";

/** A field of a record: its Avro name, which other versions know, and the name of the property that holds it here. */
interface AvroField {
  readonly name: string;
  readonly property: string;
  readonly type: unknown;
}

/** A type under another property name than the field's Avro name. */
class Renamed {
  constructor(
    readonly property: string,
    readonly type: unknown,
  ) {}
}

/** The field's Avro name stays as it is; the code calls it `property`. */
export const as = (property: string, type: unknown): Renamed => new Renamed(property, type);

/** The Avro type of a list. */
export const array = (items: unknown) => ({ type: "array", items });

/** The Avro type of a record, by the Avro names of its fields. */
export const record = (name: string, fields: Record<string, unknown>) => ({
  type: "record",
  name,
  fields: Object.entries(fields).map(([field, type]): AvroField =>
    type instanceof Renamed
      ? { name: field, property: type.property, type: type.type }
      : { name: field, property: field, type },
  ),
});

const task = record("Task", {
  job: "string",
  index: "int",
  attempt: "long",
  state: "string",
  why: as("exitReason", ["null", "string"]),
});
const heartbeat = record("Report", {
  machine: "string",
  addr: "string",
  type: "string",
  zone: "string",
  spot: "boolean",
  session: as("workerEpoch", "long"),
  seq: as("sequence", "long"),
  token: as("fencingToken", "long"),
  noticeS: as("reclaimNoticeSeconds", ["null", "double"]),
  tasks: array(task),
});
const command = record("Order", {
  op: "string",
  job: "string",
  index: "int",
  attempt: "long",
  graceS: as("gracePeriodSeconds", "double"),
});

/** A member's update for the leader: what changed since its last one. */
export interface SyncRequest {
  readonly termNumber: number;
  readonly member: string;
  readonly incarnation: number;
  /** The leader's own clock, as it was in the last answer that this member got from it; -1: none yet. */
  readonly leaderClockMark: number;
  /** The version of the jobs' progress in that answer; -1: none yet. */
  readonly progressVersion: number;
  readonly reachesStateService: boolean;
  readonly contacts: readonly WorkerContact[];
  readonly heartbeats: readonly AgedHeartbeat[];
  readonly storedFinishes: readonly { job: string; ranges: readonly Range[] }[];
  readonly commandResults: readonly CommandResult[];
}
/** How far an unfinished job is, or that it has just ended. */
export interface JobProgress {
  readonly job: string;
  readonly done: number;
  readonly running: number;
  /** Whether its commit record says done. */
  readonly over: boolean;
}
/** The leader's answer to a member's update. */
export interface SyncResponse {
  readonly termNumber: number;
  /** false: this node doesn't lead that term, or isn't ready yet. */
  readonly accepted: boolean;
  readonly leaderClockMark: number;
  readonly progressVersion: number;
  readonly reachesStateService: boolean;
  readonly progress: readonly JobProgress[];
}
/** Commands of the leader for one machine, to be sent by a member while the worker is in this epoch; their outcomes come with its next update. */
export interface CommandBatch {
  readonly id: number;
  readonly machine: string;
  readonly addr: string;
  readonly workerEpoch: number;
  readonly fencingToken: number;
  readonly commands: readonly Command[];
}
/** Commands for many machines, which may be sent only under this term. */
export interface CommandDelivery {
  readonly term: TermRecord;
  readonly batches: readonly CommandBatch[];
}
/** Whether a member takes a delivery. */
export interface DeliveryReceipt {
  /** false: this node may not send under that term; nothing was sent. */
  readonly accepted: boolean;
}

/** The binary form of one kind of message between controllers. */
export interface Codec<T> {
  /** The Avro schema with the names of its records and fields, which other versions know. */
  readonly schema: unknown;
  encode(value: T): Buffer;
  decode(buffer: Buffer): T;
}

/** The schema with one of the two names of each field. */
const schemaNamedBy = (schema: unknown, nameOf: (field: AvroField) => string): unknown => {
  if (Array.isArray(schema)) return schema.map((branch) => schemaNamedBy(branch, nameOf));
  if (typeof schema !== "object" || schema === null) return schema;
  const { fields, items } = schema as { fields?: readonly AvroField[]; items?: unknown };
  if (items !== undefined) return { ...schema, items: schemaNamedBy(items, nameOf) };
  if (fields === undefined) return schema;
  const named = fields.map((field) => ({ name: nameOf(field), type: schemaNamedBy(field.type, nameOf) }));
  return { ...schema, fields: named };
};

const avroType = (schema: unknown): avro.Type =>
  avro.Type.forSchema(schema as avro.Schema, { wrapUnions: false });

/**
 * A codec for messages of type `T`. Avro's binary form holds values in the order of the fields and no names, so the
 * property names cost nothing and can't be seen by other versions.
 */
export const codec = <T>(schema: unknown): Codec<T> => {
  const type = avroType(schemaNamedBy(schema, (field) => field.property));
  return {
    schema: avroType(schemaNamedBy(schema, (field) => field.name)).schema(),
    encode: (value) => type.toBuffer(value),
    decode: (buffer) => type.fromBuffer(buffer) as T,
  };
};

/** Members' updates. */
export const syncRequestCodec = codec<SyncRequest>(
  record("Sync", {
    token: as("termNumber", "long"),
    member: "string",
    incarnation: "long",
    mark: as("leaderClockMark", "double"),
    version: as("progressVersion", "long"),
    stateOk: as("reachesStateService", "boolean"),
    seen: as(
      "contacts",
      array(
        record("Seen", {
          machine: "string",
          answeredMs: as("answerAgeMs", "double"),
          heardMs: as("heartbeatAgeMs", "double"),
        }),
      ),
    ),
    reports: as("heartbeats", array(record("Aged", { report: as("heartbeat", heartbeat), ageMs: "double" }))),
    stored: as("storedFinishes", array(record("Stored", { job: "string", ranges: array(array("int")) }))),
    outcomes: as(
      "commandResults",
      array(
        record("Outcome", {
          id: "long",
          outcome: "string",
          session: as("workerEpoch", "long"),
          seq: as("sequence", "long"),
        }),
      ),
    ),
  }),
);

/** The leader's answers to updates. */
export const syncResponseCodec = codec<SyncResponse>(
  record("SyncAnswer", {
    token: as("termNumber", "long"),
    ok: as("accepted", "boolean"),
    mark: as("leaderClockMark", "double"),
    version: as("progressVersion", "long"),
    stateOk: as("reachesStateService", "boolean"),
    progress: array(record("Progress", { job: "string", done: "int", running: "int", over: "boolean" })),
  }),
);

/** Commands on their way to a member. */
export const commandDeliveryCodec = codec<CommandDelivery>(
  record("Deliver", {
    term: record("Term", {
      token: as("number", "long"),
      key: as("leaderRevision", "long"),
      leader: "string",
      members: array(record("Member", { name: "string", incarnation: "long", zone: "string" })),
    }),
    items: as(
      "batches",
      array(
        record("Delivery", {
          id: "long",
          machine: "string",
          addr: "string",
          session: as("workerEpoch", "long"),
          token: as("fencingToken", "long"),
          orders: as("commands", array(command)),
        }),
      ),
    ),
  }),
);

/** Members' answers to deliveries. */
export const deliveryReceiptCodec = codec<DeliveryReceipt>(record("Delivered", { accepted: "boolean" }));

/** A node whose renewals fail asks the others whether its term is current. */
export interface TermConfirmationRequest {
  readonly termNumber: number;
}

/** Whether the node asked has heard of no newer term. */
export interface TermConfirmation {
  readonly knowsNoNewerTerm: boolean;
}

/** Questions whether a term is current. */
export const termConfirmationRequestCodec = codec<TermConfirmationRequest>(
  record("Word", { token: as("termNumber", "long") }),
);
/** Answers to them. */
export const termConfirmationCodec = codec<TermConfirmation>(
  record("WordAnswer", { noneNewer: as("knowsNoNewerTerm", "boolean") }),
);

/** Paths of these messages. */
export const peerPaths = { sync: "/sync", deliver: "/deliver", confirmTerm: "/word" } as const;
