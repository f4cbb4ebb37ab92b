#!/usr/bin/env node
/**
 * The command line. Exit codes: 2 for bad settings or options, 1 if a controller can't run or a command is refused.
 */
import { readFileSync } from "node:fs";
import { Command, CommanderError } from "commander";
import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import * as Cause from "effect/Cause";
import { shardsCommand } from "./cli/shards.js";
import { makeLog } from "./io/log.js";
import { operatorSchema } from "./io/schemas.js";
import { InvalidSettings, loadSettings } from "./io/settings.js";
import { runController } from "./service/controller.js";

const EXIT_BAD_SETTINGS = 2;
const EXIT_FAILED = 1;

const version = (): string => {
  const file = readFileSync(new URL("../package.json", import.meta.url), "utf8");
  return (JSON.parse(file) as { version: string }).version;
};

const loadOrExit = (options: { config: string; settings?: string }) => {
  try {
    return loadSettings(options.config, options.settings);
  } catch (error) {
    if (!(error instanceof InvalidSettings)) throw error;
    process.stderr.write(`indigowick: ${error.message}\n`);
    process.exit(EXIT_BAD_SETTINGS);
  }
};

const program = new Command("indigowick")
  .description("A cluster scheduler: one controller of a cluster.")
  .version(version())
  .showHelpAfterError("(--help says more)");

program
  .command("run", { isDefault: true })
  .description("runs one controller until it is killed")
  .requiredOption("--config <file>", "the platform's settings (JSON)")
  .option("--settings <file>", "operators' own settings (JSON, see `indigowick schema`)")
  .action(async (options: { config: string; settings?: string }) => {
    const settings = loadOrExit(options);
    const log = makeLog(process.env["LOG_LEVEL"] ?? "info", settings.member);
    const exit = await Effect.runPromiseExit(runController(settings, log));
    if (Exit.isFailure(exit)) log.error({ reason: Cause.pretty(exit.cause) }, "controller failed");
    process.exit(EXIT_FAILED);
  });

program
  .command("check")
  .description("checks the settings files and ends")
  .requiredOption("--config <file>", "the platform's settings (JSON)")
  .option("--settings <file>", "operators' own settings (JSON)")
  .action((options: { config: string; settings?: string }) => {
    const settings = loadOrExit(options);
    process.stdout.write(`ok: ${settings.member} in ${settings.zone}, ${settings.peers.length} peers\n`);
  });

program
  .command("schema")
  .description("prints the JSON schema of the operators' own settings")
  .action(() => {
    process.stdout.write(`${JSON.stringify(operatorSchema, null, 2)}\n`);
  });

program.addCommand(shardsCommand());

/**
 * Makes a command and its subcommands throw on bad options instead of exiting, so that the exit code is set below.
 */
const overrideExit = (command: Command): void => {
  command.exitOverride();
  command.commands.forEach(overrideExit);
};
overrideExit(program);
try {
  await program.parseAsync();
} catch (error) {
  if (!(error instanceof CommanderError)) throw error;
  process.exitCode = error.exitCode === 0 ? 0 : EXIT_BAD_SETTINGS;
}
