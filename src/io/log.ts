/** Levelled logs on standard error. */
import pino from "pino";

export type Log = pino.Logger;

export const LEVELS = ["error", "info", "debug"] as const;

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
