/** The worker protocol: heartbeats from workers and commands to them. */
import type { Command, ExitReason, Heartbeat, TaskState, TaskStatus } from "../../core/records.js";
import { taskName } from "../../core/records.js";
import { isEndpoint } from "./endpoint.js";

interface WireTaskStatus {
  chore: string;
  try: number;
  status: string;
  cause?: string | null;
}

interface WireHeartbeat {
  hearth: string;
  endpoint: string;
  build: string;
  district: string;
  loaners?: boolean | null;
  shift: number;
  tally: number;
  baton: number;
  recall_s?: number | null;
  chores?: WireTaskStatus[] | null;
}

const TASK_STATES: Record<string, TaskState> = {
  fetching: "fetching",
  gathering: "waiting",
  running: "running",
  flushing: "saving",
  ended: "exited",
};
const EXIT_REASONS: Record<string, ExitReason> = {
  done: "done",
  stopped: "stopped",
  peers: "peers",
  alone: "alone",
  error: "error",
  full: "no_room",
  in_use: "busy",
  no_such: "unknown",
};

const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;

const parseTaskStatus = (value: unknown): TaskStatus | null => {
  const task = value as WireTaskStatus | null;
  if (typeof task !== "object" || task === null || typeof task.chore !== "string") return null;
  const slash = task.chore.lastIndexOf("/");
  const index = Number(task.chore.slice(slash + 1));
  const state = typeof task.status === "string" ? TASK_STATES[task.status] : undefined;
  if (slash < 1 || state === undefined || !isCount(index) || !isCount(task.try)) return null;
  const exitReason = task.cause == null ? null : (EXIT_REASONS[task.cause] ?? "error");
  return { job: task.chore.slice(0, slash), index, attempt: task.try, state, exitReason };
};

const hasValidIdentity = (wire: WireHeartbeat): boolean =>
  typeof wire.hearth === "string" &&
  wire.hearth !== "" &&
  wire.hearth.length <= 100 &&
  isEndpoint(wire.endpoint) &&
  typeof wire.build === "string" &&
  typeof wire.district === "string";

const hasValidCounts = (wire: WireHeartbeat): boolean =>
  isCount(wire.shift) && isCount(wire.tally) && isCount(wire.baton ?? 0);

/** The tasks listed in a heartbeat; null if any of them is malformed. */
const parseTasks = (chores: WireHeartbeat["chores"]): TaskStatus[] | null => {
  if (chores != null && !Array.isArray(chores)) return null;
  const tasks: TaskStatus[] = [];
  for (const chore of chores ?? []) {
    const task = parseTaskStatus(chore);
    if (task === null) return null;
    tasks.push(task);
  }
  return tasks;
};

/** Parses a heartbeat, which workers send and also answer commands with; null if it is malformed. Never throws. */
export const parseHeartbeat = (value: unknown): Heartbeat | null => {
  const wire = value as WireHeartbeat | null | undefined;
  if (typeof wire !== "object" || wire === null) return null;
  if (!hasValidIdentity(wire) || !hasValidCounts(wire)) return null;
  const tasks = parseTasks(wire.chores);
  if (tasks === null) return null;
  return {
    machine: wire.hearth,
    addr: wire.endpoint,
    type: wire.build,
    zone: wire.district,
    spot: wire.loaners === true,
    workerEpoch: wire.shift,
    sequence: wire.tally,
    fencingToken: wire.baton ?? 0,
    reclaimNoticeSeconds: typeof wire.recall_s === "number" ? wire.recall_s : null,
    tasks,
  };
};

const VERBS = { start: "start", stop: "halt", forget: "reap" } as const;
const encodeCommand = (command: Command) => ({
  verb: VERBS[command.op],
  chore: taskName(command.job, command.index),
  try: command.attempt,
  ...(command.op === "stop" ? { leeway_s: command.gracePeriodSeconds } : {}),
});

/** Response (200) to a heartbeat. The worker ignores it if it has seen a higher fencing token. */
export const heartbeatAnswer = (fencingToken: number, commands: readonly Command[]): string =>
  JSON.stringify({ baton: fencingToken, orders: commands.map(encodeCommand) });

/** Response (421) to a heartbeat that belongs to another member; null: that member isn't known. */
export const redirectAnswer = (member: string | null): string =>
  JSON.stringify(member === null ? {} : { foreman: member });

/** Path at which a worker accepts commands that aren't part of a heartbeat response. */
export const commandsPath = "/orders";
/** Request body for commands. A worker executes them only in this epoch, and if it has seen no higher fencing token. */
export const commandsBody = (
  fencingToken: number,
  workerEpoch: number,
  commands: readonly Command[],
): string => JSON.stringify({ baton: fencingToken, shift: workerEpoch, orders: commands.map(encodeCommand) });
