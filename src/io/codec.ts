/** The only place that knows the names on the wire. Inside, the field's standard terms are used. */
import { Ajv } from "ajv";
import * as Duration from "effect/Duration";
import type {
  FaninRecord,
  JobSpec,
  Kind,
  MachineRecord,
  MachineType,
  Command,
  Priority,
  TaskStatus,
  TaskState,
  ExitReason,
  Heartbeat,
} from "../core/records.js";
import { taskName } from "../core/records.js";
import { jobRecordSchema, submissionSchema } from "./schemas.js";

// --- users ----------------------------------------------------------------------------------------------

export interface WireJob {
  ref: string;
  roster: string;
  crew: string;
  shape: "array" | "ensemble" | "daemon";
  urgency: "critical" | "urgent" | "normal" | "idle";
  chores: number;
  vcpus: number;
  gpus?: number | null;
  mem_gb: number;
  bundle: string;
  image_gb: number;
  builds?: string[] | null;
  district?: string | null;
  together?: boolean | null;
  apart?: boolean | null;
  loaners?: boolean | null;
  expected_s?: number | null;
  bookmark_s?: number | null;
  stash_s?: number | null;
  due_s?: number | null;
  awaits?: string[] | null;
}

const KINDS: Record<WireJob["shape"], Kind> = { array: "array", ensemble: "gang", daemon: "service" };
const PRIORITIES: Record<WireJob["urgency"], Priority> = {
  critical: "production",
  urgent: "high",
  normal: "normal",
  idle: "low",
};

const ajv = new Ajv({ strict: false });
const checkJob = ajv.compile<WireJob>(submissionSchema);
const checkRecord = ajv.compile<WireJob>(jobRecordSchema);

/** The submission, or one line that says what is wrong with it. */
export const parseSubmission = (body: string): { wire: WireJob; spec: JobSpec } | string => {
  let value: unknown;
  try {
    value = JSON.parse(body);
  } catch {
    return "not JSON";
  }
  if (typeof value !== "object" || value === null || Array.isArray(value)) return "not an object";
  if (!checkJob(value)) {
    const first = checkJob.errors![0]!;
    return `${first.instancePath.slice(1) || "the body"} ${first.message ?? "is not valid"}`;
  }
  // only what we know is kept
  const wire = Object.fromEntries(
    Object.keys(submissionSchema.properties)
      .filter((name) => (value as unknown as Record<string, unknown>)[name] != null)
      .map((name) => [name, (value as unknown as Record<string, unknown>)[name]]),
  ) as unknown as WireJob;
  if (wire.awaits != null) {
    if (wire.awaits.includes(wire.ref)) return "awaits names the job itself";
    if (wire.awaits.length === 0) delete wire.awaits;
    else wire.awaits = [...new Set(wire.awaits)];
  }
  return { wire, spec: specOf(wire) };
};

/** The job record in the state service is the submission as it was accepted. */
export const specOf = (wire: WireJob): JobSpec => ({
  id: wire.ref,
  className: wire.roster,
  team: wire.crew,
  kind: KINDS[wire.shape],
  priority: PRIORITIES[wire.urgency],
  tasks: wire.chores,
  cpus: wire.vcpus,
  gpus: wire.gpus ?? 0,
  memoryGb: wire.mem_gb,
  image: wire.bundle,
  imageGb: wire.image_gb,
  types: wire.builds ?? null,
  zone: wire.district ?? null,
  oneZone: wire.together ?? false,
  spread: wire.apart ?? false,
  spot: wire.loaners ?? false,
  estimate: Duration.seconds(wire.expected_s ?? 0),
  checkpoint: Duration.seconds(wire.bookmark_s ?? 0),
  save: Duration.seconds(wire.stash_s ?? 0),
  deadline: wire.due_s == null ? null : Duration.seconds(wire.due_s),
  dependsOn: wire.awaits ?? [],
});

/** What the accepting node writes: with the time of day, so that a leader's take-over makes no job young again. */
export const jobRecord = (wire: WireJob, accepted: Date): object => ({
  ...wire,
  accepted_ms: accepted.getTime(),
});
/** A waiting job's record as it is once its last parent is done: its waiting times count from then. */
export const releasedRecord = (record: object, released: Date): object => ({
  ...record,
  released_ms: released.getTime(),
});
const dateIn = (record: unknown, field: "accepted_ms" | "released_ms"): Date | null => {
  const ms = (record as Record<string, unknown>)[field];
  return Number.isSafeInteger(ms) ? new Date(ms as number) : null;
};
export const acceptedOf = (record: unknown): Date | null => dateIn(record, "accepted_ms");
export const releasedOf = (record: unknown): Date | null => dateIn(record, "released_ms");

/** A fan-in set as it was read; null: it can't be one. */
export const readFanin = (value: unknown): FaninRecord | null => {
  const { joined, released } = (value ?? {}) as Partial<FaninRecord>;
  return Array.isArray(joined) && joined.every((x) => typeof x === "string")
    ? { joined, released: released === true }
    : null;
};

/** A job record as it was read; null: it can't be what was accepted under this id. */
export const readJob = (id: string, value: unknown): JobSpec | null =>
  typeof value === "object" && value !== null && checkRecord(value) && value.ref === id
    ? specOf(value)
    : null;

export type UserState = "queued" | "running" | "done" | "cancelled";
const USER_STATES: Record<UserState, string> = {
  queued: "queued",
  running: "running",
  done: "done",
  cancelled: "aborted",
};
export const jobAnswer = (id: string, state: UserState): string =>
  JSON.stringify({ ref: id, status: USER_STATES[state] });
export const pollAnswer = (id: string, state: UserState, done: number, running: number): string =>
  JSON.stringify({ ref: id, status: USER_STATES[state], done, running });

export const paths = { runs: "/v2/runs", cancel: "cancel", up: "/up", beat: "/agent/beat" } as const;

// --- workers --------------------------------------------------------------------------------------------

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
  chores?: { chore: string; try: number; status: string; cause?: string | null }[] | null;
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

const isEndpoint = (value: unknown): value is string =>
  typeof value === "string" && /^[0-9A-Za-z.-]{1,100}:[0-9]{1,5}$/.test(value);
const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;

const parseTaskStatus = (value: unknown): TaskStatus | null => {
  const t = value as NonNullable<WireHeartbeat["chores"]>[number] | null;
  if (typeof t !== "object" || t === null || typeof t.chore !== "string") return null;
  const slash = t.chore.lastIndexOf("/");
  const index = Number(t.chore.slice(slash + 1));
  const state = typeof t.status === "string" ? TASK_STATES[t.status] : undefined;
  if (slash < 1 || state === undefined || !isCount(index) || !isCount(t.try)) return null;
  const exitReason = t.cause == null ? null : (EXIT_REASONS[t.cause] ?? "error");
  return { job: t.chore.slice(0, slash), index, attempt: t.try, state, exitReason };
};

/** null: not a heartbeat. Whatever comes, nothing is thrown. */
export const parseHeartbeat = (value: unknown): Heartbeat | null => {
  const r = value as WireHeartbeat | null | undefined;
  if (typeof r !== "object" || r === null) return null;
  if (typeof r.hearth !== "string" || r.hearth === "" || r.hearth.length > 100) return null;
  if (!isEndpoint(r.endpoint) || typeof r.build !== "string" || typeof r.district !== "string") return null;
  if (!isCount(r.shift) || !isCount(r.tally) || !isCount(r.baton ?? 0)) return null;
  if (r.chores != null && !Array.isArray(r.chores)) return null;
  const tasks: TaskStatus[] = [];
  for (const chore of r.chores ?? []) {
    const task = parseTaskStatus(chore);
    if (task === null) return null;
    tasks.push(task);
  }
  return {
    machine: r.hearth,
    addr: r.endpoint,
    type: r.build,
    zone: r.district,
    spot: r.loaners === true,
    workerEpoch: r.shift,
    sequence: r.tally,
    fencingToken: r.baton ?? 0,
    reclaimNoticeSeconds: typeof r.recall_s === "number" ? r.recall_s : null,
    tasks,
  };
};

const OPS = { start: "start", stop: "halt", forget: "reap" } as const;
const wireCommand = (command: Command) => ({
  verb: OPS[command.op],
  chore: taskName(command.job, command.index),
  try: command.attempt,
  ...(command.op === "stop" ? { leeway_s: command.gracePeriodSeconds } : {}),
});

export const heartbeatAnswer = (token: number, commands: readonly Command[]): string =>
  JSON.stringify({ baton: token, orders: commands.map(wireCommand) });
export const redirectAnswer = (member: string | null): string =>
  JSON.stringify(member === null ? {} : { foreman: member });
export const commandsPath = "/orders";
export const commandsBody = (token: number, workerEpoch: number, commands: readonly Command[]): string =>
  JSON.stringify({ baton: token, shift: workerEpoch, orders: commands.map(wireCommand) });

// --- cloud ----------------------------------------------------------------------------------------------

interface WireType {
  label: string;
  vcpus: number;
  gpus?: number | null;
  mem_gb: number;
  cache_gb?: number | null;
  pull_gb_per_s?: number | null;
  rate: number;
  spot_price?: number | null;
  startup_s?: number | null;
  districts: string[];
}

export const typesPath = "/flavors";
export const wireTypes = (body: unknown): WireType[] | null => {
  const builds = (body as { builds?: unknown } | undefined)?.builds;
  if (!Array.isArray(builds)) return null;
  const rows = builds as WireType[];
  return rows.every(
    (type) => typeof type.label === "string" && type.vcpus > 0 && Array.isArray(type.districts),
  )
    ? rows
    : null;
};
export const typesOf = (rows: readonly WireType[]): MachineType[] =>
  rows.map((type) => ({
    name: type.label,
    cpus: type.vcpus,
    gpus: type.gpus ?? 0,
    memoryGb: type.mem_gb,
    cacheGb: type.cache_gb ?? 0,
    fetchGbPerS: type.pull_gb_per_s ?? 1,
    price: type.rate,
    spotPrice: type.spot_price ?? type.rate,
    boot: Duration.seconds(type.startup_s ?? 60),
    zones: type.districts,
  }));

export const rentPath = "/rentals";
export const rentBody = (name: string, type: string, zone: string, spot: boolean, count: number): string =>
  JSON.stringify({ rental: name, build: type, district: zone, loaners: spot, how_many: count });
export const rentedMachines = (body: unknown): string[] =>
  (body as { hearths?: string[] } | undefined)?.hearths ?? [];
export const releasePath = "/rentals/release";
export const releaseBody = (machines: readonly string[]): string => JSON.stringify({ hearths: machines });
export const listPath = (from: string | null): string =>
  `/rentals?most=500${from === null ? "" : `&from=${from}`}`;

export interface ListedMachine {
  readonly id: string;
  readonly record: MachineRecord;
  readonly failed: boolean;
  readonly ageMs: number;
}
export const listedMachines = (body: unknown): { rows: ListedMachine[]; more: boolean } | null => {
  const b = body as
    | {
        hearths?: {
          ref: string;
          endpoint?: string | null;
          build: string;
          district: string;
          loaners?: boolean;
          status: string;
          held_s?: number;
        }[];
        more?: boolean;
      }
    | undefined;
  if (!Array.isArray(b?.hearths)) return null;
  return {
    rows: b.hearths.map((m) => ({
      id: m.ref,
      record: {
        type: m.build,
        zone: m.district,
        spot: m.loaners ?? false,
        addr: isEndpoint(m.endpoint) ? m.endpoint : null,
      },
      failed: m.status === "failed",
      ageMs: (m.held_s ?? 0) * 1000,
    })),
    more: b.more ?? false,
  };
};

// --- state service --------------------------------------------------------------------------------------

export interface Row {
  readonly key: string;
  readonly value: unknown;
  readonly revision: number;
}
export interface Condition {
  readonly key: string;
  readonly revision: number;
}
export type Change =
  { readonly put: string; readonly value: unknown; readonly leaseId?: number } | { readonly delete: string };
export interface WatchEvent {
  readonly key: string;
  readonly revision: number;
  /** undefined: deleted. */
  readonly value?: unknown;
}

interface WireRow {
  path: string;
  value: unknown;
  stamp: number;
}
const row = (r: WireRow): Row => ({ key: r.path, value: r.value, revision: r.stamp });

export const state = {
  get: (key: string) => `/store/${key}`,
  list: (prefix: string, from: string | null) =>
    `/store?under=${prefix}&most=1000${from === null ? "" : `&from=${from}`}`,
  commit: "/commit",
  grants: "/grants",
  extend: (permit: number) => `/grants/${permit}/extend`,
  grant: (permit: number) => `/grants/${permit}`,
  watch: (prefix: string, from: number, waitMs: number) =>
    `/watch?under=${prefix}&from=${from}&wait_ms=${waitMs}`,
  grantBody: (ttl: Duration.Duration) => JSON.stringify({ ttl_ms: Math.round(Duration.toMillis(ttl)) }),
  permitOf: (body: unknown) => (body as { permit: number }).permit,
  commitBody: (when: readonly Condition[], apply: readonly Change[]) =>
    JSON.stringify({
      when: when.map((condition) => ({ path: condition.key, stamp: condition.revision })),
      ...(apply.length === 0
        ? {}
        : {
            apply: apply.map((change) =>
              "put" in change
                ? {
                    write: change.put,
                    value: change.value,
                    ...(change.leaseId === undefined ? {} : { permit: change.leaseId }),
                  }
                : { delete: change.delete },
            ),
          }),
    }),
  row: (body: unknown) => row(body as WireRow),
  rows: (body: unknown) => {
    const b = body as { rows: WireRow[]; more: boolean; ledger: number };
    return { rows: b.rows.map(row), more: b.more, revision: b.ledger };
  },
  revision: (body: unknown) => (body as { ledger: number }).ledger,
  failed: (body: unknown) => (body as { failed?: string[] } | undefined)?.failed ?? [],
  events: (body: unknown) => {
    const b = body as {
      ledger: number;
      news?: ({ write: string; value: unknown; stamp: number } | { delete: string; stamp: number })[];
    };
    return {
      revision: b.ledger,
      events: (b.news ?? []).map((e): WatchEvent =>
        "write" in e
          ? { key: e.write, value: e.value, revision: e.stamp }
          : { key: e.delete, revision: e.stamp },
      ),
    };
  },
};
export type { WireType };
