/** The users' API, and the stored job records, which are submissions in the form in which they were accepted. */
import { Ajv } from "ajv";
import * as Duration from "effect/Duration";
import type { FaninRecord, JobSpec, JobKind, Priority } from "../../core/records.js";
import { jobRecordSchema, submissionSchema } from "../schemas.js";

/** A submission as sent by a user, restricted to the fields that this service knows. */
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

const KINDS: Record<WireJob["shape"], JobKind> = { array: "array", ensemble: "gang", daemon: "service" };
const PRIORITIES: Record<WireJob["urgency"], Priority> = {
  critical: "production",
  urgent: "high",
  normal: "normal",
  idle: "low",
};

const ajv = new Ajv({ strict: false });
const validateSubmission = ajv.compile<WireJob>(submissionSchema);
const validateJobRecord = ajv.compile<WireJob>(jobRecordSchema);

/** A valid submission: in its wire form, which the job record is made from, and in the core's form. */
export interface Submission {
  readonly wire: WireJob;
  readonly spec: JobSpec;
}

/** Parses a user's submission; returns a one-line error message if it is invalid. */
export const parseSubmission = (body: string): Submission | string => {
  let value: unknown;
  try {
    value = JSON.parse(body);
  } catch {
    return "not JSON";
  }
  if (typeof value !== "object" || value === null || Array.isArray(value)) return "not an object";
  if (!validateSubmission(value)) {
    const firstError = validateSubmission.errors?.[0];
    return `${firstError?.instancePath.slice(1) || "the body"} ${firstError?.message ?? "is not valid"}`;
  }
  // unknown fields and nulls are dropped
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
  return { wire, spec: toJobSpec(wire) };
};

/** Converts a submission or a job record to the core's form. */
export const toJobSpec = (wire: WireJob): JobSpec => ({
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
  spreadOverZones: wire.apart ?? false,
  spot: wire.loaners ?? false,
  estimate: Duration.seconds(wire.expected_s ?? 0),
  checkpointInterval: Duration.seconds(wire.bookmark_s ?? 0),
  saveDuration: Duration.seconds(wire.stash_s ?? 0),
  deadline: wire.due_s == null ? null : Duration.seconds(wire.due_s),
  dependsOn: wire.awaits ?? [],
});

/** The record of a newly accepted job. It holds the time of acceptance, so that a failover doesn't reset the job's age. */
export const encodeJobRecord = (wire: WireJob, accepted: Date): object => ({
  ...wire,
  accepted_ms: accepted.getTime(),
});

/** The record of a blocked job once its last parent is done: its start latency counts from `released`. */
export const withReleaseTime = (record: object, released: Date): object => ({
  ...record,
  released_ms: released.getTime(),
});

const readDate = (record: unknown, field: "accepted_ms" | "released_ms"): Date | null => {
  const ms = (record as Record<string, unknown>)[field];
  return Number.isSafeInteger(ms) ? new Date(ms as number) : null;
};

/** The time of day at which the job was accepted; null in records written by early versions. */
export const acceptanceTimeOf = (record: unknown): Date | null => readDate(record, "accepted_ms");
/** The time of day at which the job's last parent was done; null for a job that was never blocked or still is. */
export const releaseTimeOf = (record: unknown): Date | null => readDate(record, "released_ms");

/** Decodes a stored fan-in set; null if it is malformed. */
export const decodeFanin = (value: unknown): FaninRecord | null => {
  const { joined, released } = (value ?? {}) as Partial<FaninRecord>;
  return Array.isArray(joined) && joined.every((parent) => typeof parent === "string")
    ? { joined, released: released === true }
    : null;
};

/** Decodes a stored job record; null if it is malformed or belongs to another id. */
export const decodeJobRecord = (id: string, value: unknown): JobSpec | null =>
  typeof value === "object" && value !== null && validateJobRecord(value) && value.ref === id
    ? toJobSpec(value)
    : null;

/** The state of a job as users see it. */
export type UserJobState = "queued" | "running" | "done" | "cancelled";
const WIRE_STATES: Record<UserJobState, string> = {
  queued: "queued",
  running: "running",
  done: "done",
  cancelled: "aborted",
};

/** Response to a submission or a cancellation. */
export const jobAnswer = (id: string, state: UserJobState): string =>
  JSON.stringify({ ref: id, status: WIRE_STATES[state] });
/** Response to a status request; `done` and `running` are numbers of tasks. */
export const jobStatusAnswer = (id: string, state: UserJobState, done: number, running: number): string =>
  JSON.stringify({ ref: id, status: WIRE_STATES[state], done, running });

/** Paths of the API for users and workers; `cancel` is the last segment of a job's cancellation path. */
export const apiPaths = {
  jobs: "/v2/runs",
  cancel: "cancel",
  health: "/up",
  heartbeat: "/agent/beat",
} as const;
