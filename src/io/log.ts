/** Levelled logs on standard error. */
import pino from "pino";

/** Structured: fields first, then the message. */
export type Log = pino.Logger;

/** What LOG_LEVEL may be. */
export const LEVELS = ["error", "info", "debug"] as const;

/** A log of one JSON object a line, with the member's name in each. An unknown level counts as `info`. */
export const makeLog = (level: string, member: string): Log =>
  pino(
    {
      level: (LEVELS as readonly string[]).includes(level) ? level : "info",
      base: { member },
      timestamp: pino.stdTimeFunctions.isoTime,
      formatters: { level: (label) => ({ level: label }) },
    },
    pino.destination({ fd: 2, sync: true }),
  );
