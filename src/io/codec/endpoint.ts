/** Validation of worker addresses received from outside. */

/** Whether the value is a `host:port`; requests are sent to no other form of address. */
export const isEndpoint = (value: unknown): value is string =>
  typeof value === "string" && /^[0-9A-Za-z.-]{1,100}:[0-9]{1,5}$/.test(value);
