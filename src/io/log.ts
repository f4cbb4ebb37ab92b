/** Structured logging to standard error. */
import pino from "pino";

/** Log calls take the fields first, then the message. */
export type Log = pino.Logger;

/** The valid values of LOG_LEVEL. */
export const LEVELS = ["error", "info", "debug"] as const;

/** A logger that writes one JSON object per line, each with the member's name. An unknown level is taken as `info`. */
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
