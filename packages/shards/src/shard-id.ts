/** Which shard a machine belongs to. All machines of a shard are in one zone, so that its owner can be in that zone too. */
import * as Brand from "effect/Brand";
import { stableHash } from "./rendezvous.js";

/** The name of a shard: its zone, a dot and two digits, such as `east.07`. It is also the last part of its record's key. */
export type ShardId = string & Brand.Brand<"ShardId">;
const shardId = Brand.nominal<ShardId>();

/**
 * The number is fixed, since a machine's shard depends on it. It is small enough that a cluster of three machines needs no
 * records, and large enough that with 4,000 machines in three zones a shard holds about 83 of them. Members announce their
 * number, and shards are used only if all members announce the same.
 */
export const SHARDS_PER_ZONE = 16;

const INDEX_DIGITS = 2;
const SHARD_ID = /^([A-Za-z0-9%~!*'()_-][A-Za-z0-9.%~!*'()_-]*)\.([0-9]{2})$/;

/** The shard `index` of a zone. Zone names are escaped, since keys of the state service can't contain spaces. */
export const shardAt = (zone: string, index: number): ShardId =>
  shardId(`${encodeURIComponent(zone)}.${String(index).padStart(INDEX_DIGITS, "0")}`);

/** The shard of a machine. It depends only on the machine's name and zone and never changes. */
export const shardOf = (machine: string, zone: string): ShardId =>
  shardAt(zone, stableHash(machine) % SHARDS_PER_ZONE);

/** All shards of a zone. */
export const shardsOfZone = (zone: string): readonly ShardId[] =>
  Array.from({ length: SHARDS_PER_ZONE }, (_, index) => shardAt(zone, index));

/** Parses the name of a shard; null if it isn't one. */
export const parseShardId = (text: string): ShardId | null => {
  const [, zone, index] = SHARD_ID.exec(text) ?? [];
  if (zone === undefined || Number(index) >= SHARDS_PER_ZONE) return null;
  try {
    decodeURIComponent(zone);
  } catch {
    return null;
  }
  return shardId(text);
};

/** The zone of a shard's machines. */
export const zoneOfShard = (shard: ShardId): string =>
  decodeURIComponent(shard.slice(0, shard.length - INDEX_DIGITS - 1));
