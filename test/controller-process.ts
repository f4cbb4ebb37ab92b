/** Starts controllers as processes on loopback, for tests that talk to them over HTTP. */
import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** The compiled entry point of the controller and of its command line. */
export const MAIN_PATH = new URL("../../main.js", import.meta.url).pathname;
const MAX_ATTEMPTS = 1200;
const ATTEMPT_INTERVAL_MS = 50;

/** Finds a free port of the loopback interface; nothing reserves it for the caller. */
export const freePort = (): Promise<number> =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, "127.0.0.1", () => {
      const address = server.address();
      server.close(() => resolve(typeof address === "object" && address !== null ? address.port : 0));
    });
  });

/** Writes settings to a JSON file in a new temporary directory and returns its path. */
export const writeSettings = (settings: object): string => {
  const file = join(mkdtempSync(join(tmpdir(), "indigowick-")), "config.json");
  writeFileSync(file, JSON.stringify(settings));
  return file;
};

/** Starts a controller with a settings file; the caller has to kill the process. */
export const startController = (settingsFile: string): ChildProcess =>
  spawn(process.execPath, [MAIN_PATH, "--config", settingsFile], {
    stdio: ["ignore", "ignore", "inherit"],
    env: { ...process.env, LOG_LEVEL: "error" },
  });

/**
 * Polls until the condition holds; a condition that throws does not hold. Fails after a bounded number of attempts,
 * which only ends a test that hangs: it is no assertion on the time that the condition takes.
 */
export const until = async (
  description: string,
  condition: () => Promise<boolean> | boolean,
): Promise<void> => {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    if (await Promise.resolve(condition()).catch(() => false)) return;
    await new Promise((resolve) => setTimeout(resolve, ATTEMPT_INTERVAL_MS));
  }
  assert.fail(`never: ${description}`);
};
