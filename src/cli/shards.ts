/** The command `indigowick shards`: shows and moves shards through the operators' socket of a controller. */
import http from "node:http";
import { Command, InvalidArgumentError } from "commander";
import type { MoveOutcome } from "../service/shards/move-log.js";
import type { ShardListing } from "../service/shards/shard-operator.js";

const EXIT_DONE = 0;
const EXIT_REFUSED = 1;
const DEFAULT_SOCKET = "127.0.0.1:7070";
const REQUEST_TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 500;

interface CommonOptions {
  readonly at: string;
  readonly json?: true;
}
interface WaitOptions extends CommonOptions {
  readonly wait: number;
}
interface Reply {
  readonly status: number;
  readonly value: unknown;
}

/** The socket can't be reached, or whatever answered is not a controller. */
class ControllerUnreachable extends Error {}

const callController = (at: string, method: string, path: string, body?: object): Promise<Reply> =>
  new Promise((resolve, reject) => {
    const colon = at.lastIndexOf(":");
    const fail = (reason: string): void =>
      reject(new ControllerUnreachable(`${at} was not reached: ${reason}`));
    const request = http.request(
      {
        host: at.slice(0, colon),
        port: Number(at.slice(colon + 1)),
        method,
        path,
        timeout: REQUEST_TIMEOUT_MS,
      },
      (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.on("error", (error) => fail(error.message));
        response.on("end", () => {
          try {
            const value: unknown = JSON.parse(Buffer.concat(chunks).toString("utf8"));
            resolve({ status: response.statusCode ?? 0, value });
          } catch {
            fail("the answer is not JSON");
          }
        });
      },
    );
    request.on("timeout", () => request.destroy(new Error("no answer in time")));
    request.on("error", (error) => fail(error.message));
    request.end(body === undefined ? undefined : JSON.stringify(body));
  });

const sleep = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));
const print = (line: string): void => void process.stdout.write(`${line}\n`);

const reasonOf = (value: unknown): string => {
  const reason = (value as { reason?: unknown } | null)?.reason;
  return typeof reason === "string" ? reason : "refused without a reason";
};

/** Prints the reply and gives the exit code; `text` formats a successful reply. */
const reportReply = (options: CommonOptions, reply: Reply, text: () => string): number => {
  const isDone = reply.status === 200;
  if (options.json === true) print(JSON.stringify(reply.value));
  else if (isDone) print(text());
  if (!isDone && options.json !== true) process.stderr.write(`indigowick: ${reasonOf(reply.value)}\n`);
  return isDone ? EXIT_DONE : EXIT_REFUSED;
};

const formatTable = (rows: readonly (readonly string[])[]): string => {
  const columns = rows[0]?.length ?? 0;
  const widths = Array.from({ length: columns }, (_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  return rows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join("  ")
        .trimEnd(),
    )
    .join("\n");
};

const formatListing = (listing: ShardListing): string => {
  const inForceText = listing.inForce ? "in force" : "not in force: machines follow the members of the term";
  const head = `term ${listing.term}, leader ${listing.leader ?? "unknown"}, shards ${inForceText}`;
  const controllers = listing.controllers.map((controller) => [
    controller.name,
    controller.zone,
    String(controller.shards),
    String(controller.machines),
    controller.weight.toFixed(2),
    controller.draining ? "draining" : "",
  ]);
  const shards = listing.shards.map((shard) => [
    shard.shard,
    shard.owner ?? "none",
    String(shard.epoch),
    shard.state,
    shard.target ?? "",
    String(shard.machines),
  ]);
  const moves = listing.moves.map(({ shard, source, target, by, outcome, reason }) => [
    shard,
    source,
    target,
    by,
    outcome,
    reason,
  ]);
  return [
    head,
    "",
    formatTable([["CONTROLLER", "ZONE", "SHARDS", "MACHINES", "MESSAGES/S", "NOTE"], ...controllers]),
    "",
    formatTable([["SHARD", "OWNER", "EPOCH", "STATE", "TARGET", "MACHINES"], ...shards]),
    ...(moves.length === 0
      ? []
      : ["", formatTable([["LATEST MOVES", "FROM", "TO", "BY", "OUTCOME", "REASON"], ...moves])]),
  ].join("\n");
};

const list = async (options: CommonOptions): Promise<number> => {
  const reply = await callController(options.at, "GET", "/shards/list");
  return reportReply(options, reply, () => formatListing(reply.value as ShardListing));
};

/** Polls until a move has ended or `waitMs` is over, and gives the last reply. */
const pollOutcome = async (at: string, move: string, waitMs: number): Promise<Reply> => {
  for (let left = waitMs; ; left -= POLL_INTERVAL_MS) {
    const reply = await callController(at, "GET", `/shards/moves/${encodeURIComponent(move)}`);
    const isOver = reply.status !== 200 || (reply.value as MoveOutcome).outcome !== "running";
    if (isOver || left <= 0) return reply;
    await sleep(POLL_INTERVAL_MS);
  }
};

const move = async (
  shard: string,
  to: string,
  options: WaitOptions & { readonly epoch?: number },
): Promise<number> => {
  const epoch = options.epoch === undefined ? {} : { epoch: options.epoch };
  const started = await callController(options.at, "POST", "/shards/move", { shard, to, ...epoch });
  if (started.status !== 200 || options.wait === 0)
    return reportReply(options, started, () => `shard ${shard} is on its way to ${to}`);
  const id = (started.value as { move: string }).move;
  const reply = await pollOutcome(options.at, id, options.wait * 1000);
  const isDone = reply.status === 200 && (reply.value as MoveOutcome).outcome === "done";
  if (isDone) return reportReply(options, reply, () => `shard ${shard} is owned by ${to}`);
  const isRunning = reply.status === 200 && (reply.value as MoveOutcome).outcome === "running";
  const value = isRunning
    ? { ...(reply.value as MoveOutcome), reason: "the move has not ended yet" }
    : reply.value;
  return reportReply(options, { status: 409, value }, () => "");
};

const drain = async (member: string, options: WaitOptions): Promise<number> => {
  const started = await callController(options.at, "POST", "/shards/drain", { member });
  if (started.status !== 200 || options.wait === 0)
    return reportReply(options, started, () => `${member} is being drained`);
  for (let left = options.wait * 1000; ; left -= POLL_INTERVAL_MS) {
    const reply = await callController(options.at, "GET", "/shards/list");
    const listing = reply.value as ShardListing;
    const machines = listing.controllers.find((controller) => controller.name === member)?.machines ?? 0;
    if (reply.status === 200 && machines === 0)
      return reportReply(options, reply, () => `${member} is drained`);
    if (left <= 0) {
      const refused = listing.moves.find(
        ({ source, outcome }) => source === member && outcome === "refused",
      )?.reason;
      const reason = `${member} still has ${machines} machines${refused === undefined ? "" : `; the last refusal: ${refused}`}`;
      return reportReply(options, { status: 409, value: { reason, machines } }, () => "");
    }
    await sleep(POLL_INTERVAL_MS);
  }
};

const cancel = async (name: string, options: CommonOptions): Promise<number> => {
  const reply = await callController(options.at, "POST", "/shards/cancel", { name });
  return reportReply(options, reply, () => `${name}: cancelled`);
};

const parseCount = (text: string): number => {
  const value = Number(text);
  if (!Number.isSafeInteger(value) || value < 0) throw new InvalidArgumentError("a count is wanted.");
  return value;
};
const parseAddress = (text: string): string => {
  if (!/^127\.[0-9]+\.[0-9]+\.[0-9]+:[0-9]{1,5}$/.test(text))
    throw new InvalidArgumentError("a loopback address with a port is wanted.");
  return text;
};

/** Sets the process's exit code to the command's: 1 if it was refused or the controller wasn't reached. */
const setExitCode = (code: Promise<number>): Promise<void> =>
  code.then(
    (value) => void (process.exitCode = value),
    (error: unknown) => {
      if (!(error instanceof ControllerUnreachable)) throw error;
      process.stderr.write(`indigowick: ${error.message}\n`);
      process.exitCode = EXIT_REFUSED;
    },
  );

/** The command `shards` with its subcommands. */
export const shardsCommand = (): Command => {
  const command = new Command("shards").description("shows and moves the shards that machines fall into");
  const addCommand = (name: string, description: string): Command =>
    command
      .command(name)
      .description(description)
      .option("--at <address>", "the operators' socket of any controller", parseAddress, DEFAULT_SOCKET)
      .option("--json", "prints the answer as JSON");
  addCommand("list", "shows controllers, shards and the latest moves").action((options: CommonOptions) =>
    setExitCode(list(options)),
  );
  addCommand("move <shard> <controller>", "hands a shard over to another controller")
    .option("--epoch <number>", "only if the shard is in this epoch", parseCount)
    .option("--wait <seconds>", "how long to wait for the end; 0: not at all", parseCount, 30)
    .action((shard: string, to: string, options: WaitOptions & { epoch?: number }) =>
      setExitCode(move(shard, to, options)),
    );
  addCommand("drain <controller>", "moves all shards off a controller before its planned end")
    .option("--wait <seconds>", "how long to wait for the end; 0: not at all", parseCount, 300)
    .action((member: string, options: WaitOptions) => setExitCode(drain(member, options)));
  addCommand("cancel <name>", "gives up the move of a shard, or the drain of a controller").action(
    (name: string, options: CommonOptions) => setExitCode(cancel(name, options)),
  );
  return command;
};
