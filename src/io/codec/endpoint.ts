/** Addresses of workers as they come over the wire. */

/** Whether this is `host:port`: nothing else may be called. */
export const isEndpoint = (value: unknown): value is string =>
  typeof value === "string" && /^[0-9A-Za-z.-]{1,100}:[0-9]{1,5}$/.test(value);
