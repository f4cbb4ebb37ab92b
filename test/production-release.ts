/**
 * The version in production, represented by its schemas, records and messages in `production/`: what it writes, and
 * whether it can read what this version writes.
 */
import { readFileSync } from "node:fs";
import { Ajv, type ValidateFunction } from "ajv";
import avro from "avsc";
import {
  type Codec,
  commandDeliveryCodec,
  deliveryReceiptCodec,
  syncResponseCodec,
  syncRequestCodec,
  termConfirmationCodec,
  termConfirmationRequestCodec,
} from "../src/io/peer-codec.js";
import type { MessageType } from "./wire-names.js";

/** A JSON object. */
export type Json = Record<string, unknown>;
/** A record as production wrote it, and the fields that production decoded from it. */
export interface KeptRecord {
  readonly key: string;
  readonly value: unknown;
  readonly meaning?: Json;
}
/** An update for the leader that production wrote to the state service, in fragments. */
export interface KeptUpdate {
  readonly trimmed: boolean;
  readonly pieces: readonly { key: string; value: { of: number; data: string } }[];
  readonly meaning: Json;
}

/** Reads a file of `production/`. */
export const readKeptFile = <T>(name: string): T & { commit: string } =>
  JSON.parse(readFileSync(new URL(`../../../test/production/${name}.json`, import.meta.url), "utf8")) as T & {
    commit: string;
  };
/** Records and updates that production wrote, and the Git commit of that version. */
export const {
  records: productionRecords,
  news: productionUpdates,
  commit: productionCommit,
} = readKeptFile<{ records: KeptRecord[]; news: KeptUpdate[] }>("records");
/** Encoded messages of production, and what production decoded from them. */
export const { messages: productionMessages } = readKeptFile<{
  messages: { type: MessageType; data: string; meaning: Json }[];
}>("messages");
/** Schemas of production, and the keys that it lists, watches or reads. */
export const productionSchemas = readKeptFile<{
  messages: Record<MessageType, avro.Schema>;
  records: Record<string, object>;
  keys: { prefixes: string[]; single: string[]; byId: string[] };
}>("schemas");

const ajv = new Ajv({ strict: false });
const recordValidators = Object.entries(productionSchemas.records)
  .map(([prefix, schema]): [string, ValidateFunction] => [prefix, ajv.compile(schema)])
  .sort(([a], [b]) => b.length - a.length);
/** Why production can't read a record; null: it can. */
export const productionReadError = (key: string, value: unknown): string | null => {
  const check = recordValidators.find(([prefix]) =>
    prefix.endsWith("/") ? key.startsWith(prefix) : key === prefix,
  );
  if (check === undefined) return `${key}: unknown to production`;
  return check[1](value) ? null : `${key}: ${ajv.errorsText(check[1].errors)}`;
};
/** The Avro types of production's messages. */
export const productionTypes = Object.fromEntries(
  Object.entries(productionSchemas.messages).map(([name, schema]) => [
    name,
    avro.Type.forSchema(schema, { wrapUnions: false }),
  ]),
) as Record<MessageType, avro.Type>;
/** The message codecs of this version, by the Avro name of the message. */
export const codecsByAvroName = {
  Sync: syncRequestCodec,
  SyncAnswer: syncResponseCodec,
  Deliver: commandDeliveryCodec,
  Delivered: deliveryReceiptCodec,
  Word: termConfirmationRequestCodec,
  WordAnswer: termConfirmationCodec,
} as unknown as Record<MessageType, Codec<Json>>;
/** Copies a value by way of JSON. */
export const jsonClone = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

/** The kept records whose keys start with a prefix. */
export const productionRecordsUnder = <T>(prefix: string): { key: string; value: T; meaning?: Json }[] =>
  productionRecords.filter((r) => r.key.startsWith(prefix)) as { key: string; value: T; meaning?: Json }[];
