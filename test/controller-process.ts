/** Starts whole controllers as processes on loopback, for tests that talk to them over HTTP. */
import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** The program. */
export const MAIN_PATH = new URL("../../main.js", import.meta.url).pathname;
const MAX_ATTEMPTS = 1200;
const ATTEMPT_INTERVAL_MS = 50;

/** A port of the loopback interface that nothing listened on a moment ago. */
export const freePort = (): Promise<number> =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, "127.0.0.1", () => {
      const address = server.address();
      server.close(() => resolve(typeof address === "object" && address !== null ? address.port : 0));
    });
  });

/** Writes the platform's settings to a file of their own and returns its path. */
export const writeSettings = (settings: object): string => {
  const file = join(mkdtempSync(join(tmpdir(), "indigowick-")), "config.json");
  writeFileSync(file, JSON.stringify(settings));
  return file;
};

/** Starts a controller with a settings file; whoever starts it has to end it. */
export const startController = (settingsFile: string): ChildProcess =>
  spawn(process.execPath, [MAIN_PATH, "--config", settingsFile], {
    stdio: ["ignore", "ignore", "inherit"],
    env: { ...process.env, LOG_LEVEL: "error" },
  });

/** Repeats until the condition holds, for a bounded number of attempts. Nothing is asserted about how long that takes. */
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
