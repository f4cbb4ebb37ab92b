/** How much fits into one value and one transaction of the state service, measured as it is written: as JSON. */

/** What one transaction may hold besides its count of changes; the rest is for keys, conditions and names. */
export const TXN_BYTES = 56 * 1024;
/** The service may write JSON a little differently from us; so nothing is filled to the last byte. */
const FILL = 0.95;

export const valueBytes = (valueKb: number): number => Math.floor(valueKb * 1024 * FILL);

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
  const out: Record<string, T>[] = [];
  let room = 0;
  let count = most;
  for (const [name, value] of entries) {
    const needs = jsonBytes(name) + jsonBytes(value) + 2;
    if (out.length === 0 || needs > room || count >= most) {
      out.push({});
      room = bytes - wrapping;
      count = 0;
    }
    out.at(-1)![name] = value;
    room -= needs;
    count++;
  }
  return out;
};

/** The items in order, in groups that weigh no more than `most` each. One that weighs more is a group of its own. */
export const groups = <T>(items: readonly T[], weight: (item: T) => number, most: number): T[][] => {
  const out: T[][] = [];
  let room = 0;
  for (const item of items) {
    const needs = weight(item);
    if (out.length === 0 || needs > room) {
      out.push([]);
      room = most;
    }
    out.at(-1)!.push(item);
    room -= needs;
  }
  return out;
};
