/** Splits data to fit values and transactions of the state service. Sizes are those of the stored JSON. */

/**
 * Most bytes of values in one transaction, besides the limit on its number of changes. The rest of the service's limit
 * is for keys, conditions and field names.
 */
export const MAX_TXN_BYTES = 56 * 1024;
/** Share of a value that is filled: the service's JSON may be slightly longer than that of `JSON.stringify`. */
const FILL_RATIO = 0.95;

/** Most bytes of JSON to put into one value, for a service that allows `valueKb` KiB. */
export const maxValueBytes = (valueKb: number): number => Math.floor(valueKb * 1024 * FILL_RATIO);

/** Size of a value as JSON in UTF-8. */
export const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/**
 * Splits the entries of a record, in order, into pieces of at most `maxBytes` and `maxEntries` each. An entry that
 * exceeds `maxBytes` by itself gets a piece of its own.
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

/** Splits the items, in order, into groups of at most `maxWeight`. An item that weighs more gets a group of its own. */
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
