/**
 * The version in production, as far as its schemas, records and messages in `production/` tell: what it writes, and what
 * it would say to what this version writes.
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
/** A record as production wrote it, with what it read from it. */
export interface KeptRecord {
  readonly key: string;
  readonly value: unknown;
  readonly meaning?: Json;
}
/** An update to a leader that production left in the state service, in fragments. */
export interface KeptUpdate {
  readonly trimmed: boolean;
  readonly pieces: readonly { key: string; value: { of: number; data: string } }[];
  readonly meaning: Json;
}

/** What is kept in a file of `production/`. */
export const readKeptFile = <T>(name: string): T & { commit: string } =>
  JSON.parse(readFileSync(new URL(`../../../test/production/${name}.json`, import.meta.url), "utf8")) as T & {
    commit: string;
  };
/** Records, updates and the commit of the version in production. */
export const {
  records: productionRecords,
  news: productionUpdates,
  commit: productionCommit,
} = readKeptFile<{ records: KeptRecord[]; news: KeptUpdate[] }>("records");
/** Messages of production, with their meaning. */
export const { messages: productionMessages } = readKeptFile<{
  messages: { type: MessageType; data: string; meaning: Json }[];
}>("messages");
/** Schemas and keys of production. */
export const productionSchemas = readKeptFile<{
  messages: Record<MessageType, avro.Schema>;
  records: Record<string, object>;
  keys: { prefixes: string[]; single: string[]; byId: string[] };
}>("schemas");

const ajv = new Ajv({ strict: false });
const recordValidators = Object.entries(productionSchemas.records)
  .map(([prefix, schema]): [string, ValidateFunction] => [prefix, ajv.compile(schema)])
  .sort(([a], [b]) => b.length - a.length);
/** What the version in production would say to a record; null: it reads it. */
export const productionReadError = (key: string, value: unknown): string | null => {
  const check = recordValidators.find(([prefix]) =>
    prefix.endsWith("/") ? key.startsWith(prefix) : key === prefix,
  );
  if (check === undefined) return `${key}: not known there`;
  return check[1](value) ? null : `${key}: ${ajv.errorsText(check[1].errors)}`;
};
/** The Avro types of production. */
export const productionTypes = Object.fromEntries(
  Object.entries(productionSchemas.messages).map(([name, schema]) => [
    name,
    avro.Type.forSchema(schema, { wrapUnions: false }),
  ]),
) as Record<MessageType, avro.Type>;
/** The codecs of this version, by the Avro names of production. */
export const codecsByAvroName = {
  Sync: syncRequestCodec,
  SyncAnswer: syncResponseCodec,
  Deliver: commandDeliveryCodec,
  Delivered: deliveryReceiptCodec,
  Word: termConfirmationRequestCodec,
  WordAnswer: termConfirmationCodec,
} as unknown as Record<MessageType, Codec<Json>>;
/** A value as JSON keeps it. */
export const jsonClone = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

/** The kept records under a prefix. */
export const productionRecordsUnder = <T>(prefix: string): { key: string; value: T; meaning?: Json }[] =>
  productionRecords.filter((r) => r.key.startsWith(prefix)) as { key: string; value: T; meaning?: Json }[];
