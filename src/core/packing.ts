/** How much fits into one value and one transaction of the state service, measured as it is written: as JSON. */

/** What one transaction may hold besides its count of changes; the rest is for keys, conditions and names. */
export const MAX_TXN_BYTES = 56 * 1024;
/** The service may write JSON a little differently from us; so nothing is filled to the last byte. */
const FILL_RATIO = 0.95;

/** How many bytes are put into one value of a service whose values may have so many kilobytes. */
export const maxValueBytes = (valueKb: number): number => Math.floor(valueKb * 1024 * FILL_RATIO);

/** How many bytes a value has as it is written. */
export const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/**
 * Entries of a record, in order, in as few pieces as keep under `maxBytes` and `maxEntries` entries each. An entry that is too
 * large by itself gets a piece of its own.
 */
export const splitRecord = <T>(
  entries: Iterable<readonly [name: string, value: T]>,
  maxBytes: number,
  maxEntries = Infinity,
): Record<string, T>[] => {
  const envelopeBytes = jsonBytes({ machines: {} });
  const pieces: Record<string, T>[] = [];
  let piece: Record<string, T> = {};
  let bytesLeft = 0;
  let count = maxEntries;
  for (const [name, value] of entries) {
    const entryBytes = jsonBytes(name) + jsonBytes(value) + 2;
    if (pieces.length === 0 || entryBytes > bytesLeft || count >= maxEntries) {
      piece = {};
      pieces.push(piece);
      bytesLeft = maxBytes - envelopeBytes;
      count = 0;
    }
    piece[name] = value;
    bytesLeft -= entryBytes;
    count++;
  }
  return pieces;
};

/** The items in order, in groups that weigh no more than `maxEntries` each. One that weighs more is a group of its own. */
export const groupByWeight = <T>(
  items: readonly T[],
  weightOf: (item: T) => number,
  maxWeight: number,
): T[][] => {
  const groups: T[][] = [];
  let group: T[] = [];
  let weightLeft = 0;
  for (const item of items) {
    const itemWeight = weightOf(item);
    if (groups.length === 0 || itemWeight > weightLeft) {
      group = [];
      groups.push(group);
      weightLeft = maxWeight;
    }
    group.push(item);
    weightLeft -= itemWeight;
  }
  return groups;
};
