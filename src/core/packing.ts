/** How much fits into one value and one transaction of the state service, measured as it is written: as JSON. */

/** What one transaction may hold besides its count of changes; the rest is for keys, conditions and names. */
export const TXN_BYTES = 56 * 1024;
/** The service may write JSON a little differently from us; so nothing is filled to the last byte. */
const FILL = 0.95;

/** How many bytes are put into one value of a service whose values may have so many kilobytes. */
export const valueBytes = (valueKb: number): number => Math.floor(valueKb * 1024 * FILL);

/** How many bytes a value has as it is written. */
export const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/**
 * Entries of a record, in order, in as few pieces as keep under `bytes` and `most` entries each. An entry that is too
 * large by itself gets a piece of its own.
 */
export const pack = <T>(
  entries: Iterable<readonly [name: string, value: T]>,
  bytes: number,
  most = Infinity,
): Record<string, T>[] => {
  const wrapping = jsonBytes({ machines: {} });
  const pieces: Record<string, T>[] = [];
  let piece: Record<string, T> = {};
  let bytesLeft = 0;
  let count = most;
  for (const [name, value] of entries) {
    const needs = jsonBytes(name) + jsonBytes(value) + 2;
    if (pieces.length === 0 || needs > bytesLeft || count >= most) {
      piece = {};
      pieces.push(piece);
      bytesLeft = bytes - wrapping;
      count = 0;
    }
    piece[name] = value;
    bytesLeft -= needs;
    count++;
  }
  return pieces;
};

/** The items in order, in groups that weigh no more than `most` each. One that weighs more is a group of its own. */
export const groups = <T>(items: readonly T[], weight: (item: T) => number, most: number): T[][] => {
  const grouped: T[][] = [];
  let group: T[] = [];
  let weightLeft = 0;
  for (const item of items) {
    const needs = weight(item);
    if (grouped.length === 0 || needs > weightLeft) {
      group = [];
      grouped.push(group);
      weightLeft = most;
    }
    group.push(item);
    weightLeft -= needs;
  }
  return grouped;
};
