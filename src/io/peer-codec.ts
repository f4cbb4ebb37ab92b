/** Messages between controllers, in Avro. The Avro names are part of the protocol and are mapped to property names here. */
import avro from "avsc";
import type { Command, TermRecord } from "../core/records.js";
import type { AgedHeartbeat, CommandResult, WorkerContact } from "../core/members/member-update.js";
import type { Range } from "../core/ranges.js";

/** A field of a record: its Avro name and the name of the property that holds it in the code. */
interface AvroField {
  readonly name: string;
  readonly property: string;
  readonly type: unknown;
}

/** A field's type together with a property name that differs from the field's Avro name. */
class Renamed {
  constructor(
    readonly property: string,
    readonly type: unknown,
  ) {}
}

/** Holds the field in `property`; its Avro name is the key in `avroRecord`. */
export const as = (property: string, type: unknown): Renamed => new Renamed(property, type);

/** An Avro array type. */
export const avroArray = (items: unknown) => ({ type: "array", items });

/** An Avro record type; the keys of `fields` are Avro names. */
export const avroRecord = (name: string, fields: Record<string, unknown>) => ({
  type: "record",
  name,
  fields: Object.entries(fields).map(([field, type]): AvroField =>
    type instanceof Renamed
      ? { name: field, property: type.property, type: type.type }
      : { name: field, property: field, type },
  ),
});

const taskSchema = avroRecord("Task", {
  job: "string",
  index: "int",
  attempt: "long",
  state: "string",
  why: as("exitReason", ["null", "string"]),
});
const heartbeatSchema = avroRecord("Report", {
  machine: "string",
  addr: "string",
  type: "string",
  zone: "string",
  spot: "boolean",
  session: as("workerEpoch", "long"),
  seq: as("sequence", "long"),
  token: as("fencingToken", "long"),
  noticeS: as("reclaimNoticeSeconds", ["null", "double"]),
  tasks: avroArray(taskSchema),
});
const commandSchema = avroRecord("Order", {
  op: "string",
  job: "string",
  index: "int",
  attempt: "long",
  graceS: as("gracePeriodSeconds", "double"),
});

/** A member's update to the leader: what changed since its previous one. */
export interface SyncRequest {
  readonly termNumber: number;
  readonly member: string;
  readonly incarnation: number;
  /** The reading of the leader's clock in the last response that this member received; -1: none yet. */
  readonly leaderClockMark: number;
  /** The version of the job progress in that response; -1: none yet. */
  readonly progressVersion: number;
  readonly reachesStateService: boolean;
  readonly contacts: readonly WorkerContact[];
  readonly heartbeats: readonly AgedHeartbeat[];
  readonly storedFinishes: readonly { job: string; ranges: readonly Range[] }[];
  readonly commandResults: readonly CommandResult[];
}
/** The progress of an unfinished job, or of one that has just ended. */
export interface JobProgress {
  readonly job: string;
  readonly done: number;
  readonly running: number;
  /** Whether the job's commit record says that it is done. */
  readonly over: boolean;
}
/** The leader's response to a member's update. */
export interface SyncResponse {
  readonly termNumber: number;
  /** false: the node doesn't lead in this term, or isn't ready yet. */
  readonly accepted: boolean;
  readonly leaderClockMark: number;
  readonly progressVersion: number;
  readonly reachesStateService: boolean;
  readonly progress: readonly JobProgress[];
}
/**
 * The leader's commands for one machine. A member sends them to the worker, which executes them only in this epoch, and
 * reports the outcome with its next update.
 */
export interface CommandBatch {
  readonly id: number;
  readonly machine: string;
  readonly addr: string;
  readonly workerEpoch: number;
  readonly fencingToken: number;
  readonly commands: readonly Command[];
}
/** Commands for several machines, to be sent only while this term is current. */
export interface CommandDelivery {
  readonly term: TermRecord;
  readonly batches: readonly CommandBatch[];
}
/** A member's response to a delivery. */
export interface DeliveryReceipt {
  /** false: the member may not send commands in that term, and sent none. */
  readonly accepted: boolean;
}

/** Encodes and decodes one type of message between controllers. */
export interface Codec<T> {
  /** The Avro schema with the names used in the protocol. */
  readonly schema: unknown;
  encode(value: T): Buffer;
  decode(buffer: Buffer): T;
}

/** The schema with each field named by `nameOf`: by its Avro name or by its property. */
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
 * A codec for messages of type `T`. Avro's binary form holds the values in the order of the fields, without names, so the
 * property names never leave the process.
 */
export const avroCodec = <T>(schema: unknown): Codec<T> => {
  const type = avroType(schemaNamedBy(schema, (field) => field.property));
  return {
    schema: avroType(schemaNamedBy(schema, (field) => field.name)).schema(),
    encode: (value) => type.toBuffer(value),
    decode: (buffer) => type.fromBuffer(buffer) as T,
  };
};

/** Codec of members' updates. */
export const syncRequestCodec = avroCodec<SyncRequest>(
  avroRecord("Sync", {
    token: as("termNumber", "long"),
    member: "string",
    incarnation: "long",
    mark: as("leaderClockMark", "double"),
    version: as("progressVersion", "long"),
    stateOk: as("reachesStateService", "boolean"),
    seen: as(
      "contacts",
      avroArray(
        avroRecord("Seen", {
          machine: "string",
          answeredMs: as("answerAgeMs", "double"),
          heardMs: as("heartbeatAgeMs", "double"),
        }),
      ),
    ),
    reports: as(
      "heartbeats",
      avroArray(avroRecord("Aged", { report: as("heartbeat", heartbeatSchema), ageMs: "double" })),
    ),
    stored: as(
      "storedFinishes",
      avroArray(avroRecord("Stored", { job: "string", ranges: avroArray(avroArray("int")) })),
    ),
    outcomes: as(
      "commandResults",
      avroArray(
        avroRecord("Outcome", {
          id: "long",
          outcome: "string",
          session: as("workerEpoch", "long"),
          seq: as("sequence", "long"),
        }),
      ),
    ),
  }),
);

/** Codec of the leader's responses to updates. */
export const syncResponseCodec = avroCodec<SyncResponse>(
  avroRecord("SyncAnswer", {
    token: as("termNumber", "long"),
    ok: as("accepted", "boolean"),
    mark: as("leaderClockMark", "double"),
    version: as("progressVersion", "long"),
    stateOk: as("reachesStateService", "boolean"),
    progress: avroArray(
      avroRecord("Progress", { job: "string", done: "int", running: "int", over: "boolean" }),
    ),
  }),
);

/** Codec of deliveries of commands to members. */
export const commandDeliveryCodec = avroCodec<CommandDelivery>(
  avroRecord("Deliver", {
    term: avroRecord("Term", {
      token: as("number", "long"),
      key: as("leaderRevision", "long"),
      leader: "string",
      members: avroArray(avroRecord("Member", { name: "string", incarnation: "long", zone: "string" })),
    }),
    items: as(
      "batches",
      avroArray(
        avroRecord("Delivery", {
          id: "long",
          machine: "string",
          addr: "string",
          session: as("workerEpoch", "long"),
          token: as("fencingToken", "long"),
          orders: as("commands", avroArray(commandSchema)),
        }),
      ),
    ),
  }),
);

/** Codec of members' responses to deliveries. */
export const deliveryReceiptCodec = avroCodec<DeliveryReceipt>(
  avroRecord("Delivered", { accepted: "boolean" }),
);

/** Sent by a node whose lease renewals fail, to ask another whether its term is still current. */
export interface TermConfirmationRequest {
  readonly termNumber: number;
}

/** The response: whether that node knows of no newer term. */
export interface TermConfirmation {
  readonly knowsNoNewerTerm: boolean;
}

/** Codec of term confirmation requests. */
export const termConfirmationRequestCodec = avroCodec<TermConfirmationRequest>(
  avroRecord("Word", { token: as("termNumber", "long") }),
);
/** Codec of the responses to them. */
export const termConfirmationCodec = avroCodec<TermConfirmation>(
  avroRecord("WordAnswer", { noneNewer: as("knowsNoNewerTerm", "boolean") }),
);

/** HTTP paths of these messages. */
export const peerPaths = { sync: "/sync", deliver: "/deliver", confirmTerm: "/word" } as const;
