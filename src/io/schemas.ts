/** JSON schemas of the two settings files, of submissions and of stored job records. */

const text = { type: "string", minLength: 1 } as const;
const positive = { type: "number", exclusiveMinimum: 0 } as const;
const nonNegative = { type: "number", minimum: 0 } as const;
const address = { type: "string", pattern: "^[0-9.]+:[0-9]{1,5}$" } as const;

const object = <P extends Record<string, unknown>>(properties: P, optional: readonly string[] = []) => ({
  type: "object",
  required: Object.keys(properties).filter((name) => !optional.includes(name)),
  properties,
});

const nullable = (schema: Record<string, unknown>) => ({ ...schema, nullable: true });

const stateLimits = {
  rps: positive,
  write_rps: positive,
  value_kb: positive,
  txn_ops: { type: "integer", minimum: 4 },
} as const;

/** The settings file provided by the platform. Unknown fields are ignored. */
export const platformSchema = object({
  member: text,
  domain: text,
  front: address,
  peer_bind: address,
  seeds: { type: "array", items: object({ member: text, domain: text, addr: address }) },
  external: object({ cloud: address, state: address }),
  params: object(
    {
      zones: { type: "array", items: text },
      teams: {
        type: "array",
        items: object({
          name: text,
          cpus: nonNegative,
          cpus_max: nonNegative,
          gpus: nonNegative,
          gpus_max: nonNegative,
        }),
      },
      objectives: { type: "array", items: { type: "object" } },
      workers: object({ report_s: positive, lease_s: positive, cancel_s: positive }),
      state: object(
        {
          ...stateLimits,
          next: nullable(
            object(
              Object.fromEntries(Object.entries(stateLimits).map(([name, shape]) => [name, nullable(shape)])),
              Object.keys(stateLimits),
            ),
          ),
        },
        ["next"],
      ),
      cloud: object({ rps: positive, list_lag_s: nonNegative }),
      machine_limits: object(
        { core_share: positive, ram_mb: positive, max_connections: { type: "integer", minimum: 16 } },
        ["core_share", "ram_mb"],
      ),
    },
    ["objectives"],
  ),
});

/** The operators' settings file: every field has a default. */
export const operatorSchema = {
  $schema: "http://json-schema.org/draft-07/schema#",
  title: "indigowick operators' settings",
  type: "object",
  additionalProperties: false,
  properties: {
    member_lease_s: {
      type: "number",
      minimum: 1,
      maximum: 15,
      default: 3,
      description: "Life of a member's lease in the state service: how soon a dead leader is replaced.",
    },
    reuse: {
      type: "number",
      minimum: 0,
      maximum: 5,
      default: 0.5,
      description: "Share of the room of running short tasks that queued array tasks may wait for.",
    },
    idle_boots: {
      type: "number",
      minimum: 0,
      maximum: 100,
      default: 0.6,
      description: "How long a machine stands idle before it is returned, in boot times of its type.",
    },
    warm_s: {
      type: "number",
      minimum: 0,
      maximum: 600,
      default: 10,
      description: "Seconds of arriving work for which room is kept free.",
    },
    shards: {
      type: "object",
      additionalProperties: false,
      default: {},
      description: "Explicit ownership of machines by controllers.",
      properties: {
        enabled: {
          type: "boolean",
          default: false,
          description: "Whether this controller knows shards; they are used once all members of the term do.",
        },
        moves_at_once: {
          type: "integer",
          minimum: 1,
          maximum: 16,
          default: 2,
          description: "Shards in a handoff at a time.",
        },
        hysteresis: {
          type: "number",
          minimum: 0.05,
          maximum: 5,
          default: 0.3,
          description:
            "How much the heaviest controller may exceed the lightest before shards move, as a share of their mean.",
        },
        rehearsal_s: {
          type: "number",
          minimum: 0,
          maximum: 3600,
          default: 0,
          description:
            "For trials: the leader moves a shard this often, and drains a controller now and then; 0: never.",
        },
      },
    },
    operators_socket: {
      type: "string",
      pattern: "^(127\\.[0-9]{1,3}\\.[0-9]{1,3}\\.[0-9]{1,3}:[0-9]{1,5})?$",
      default: "",
      description: "Loopback address at which operators' commands are taken; empty: none.",
    },
  },
} as const;

const submission = {
  ref: { type: "string", pattern: "^req-[0-9]{1,18}$" },
  roster: text,
  crew: text,
  shape: { type: "string", enum: ["array", "ensemble", "daemon"] },
  urgency: { type: "string", enum: ["critical", "urgent", "normal", "idle"] },
  chores: { type: "integer", minimum: 1, maximum: 100_000 },
  vcpus: positive,
  gpus: nonNegative,
  mem_gb: positive,
  bundle: text,
  image_gb: nonNegative,
  builds: nullable({ type: "array", items: text }),
  district: nullable(text),
  together: { type: "boolean" },
  apart: { type: "boolean" },
  loaners: { type: "boolean" },
  expected_s: nonNegative,
  bookmark_s: nonNegative,
  stash_s: nonNegative,
  due_s: nullable(nonNegative),
  awaits: nullable({ type: "array", items: { type: "string", pattern: "^req-[0-9]{1,18}$" } }),
} as const;

/** Body of POST /v2/runs. Nullable fields may be omitted, all others are required, and unknown fields are ignored. */
export const submissionSchema = object(submission, ["builds", "district", "due_s", "awaits"]);

/** Fields that job records of earlier versions may lack, since those versions didn't require them; such jobs still run. */
const MISSING_IN_EARLY_RECORDS = [
  "gpus",
  "together",
  "apart",
  "loaners",
  "expected_s",
  "bookmark_s",
  "stash_s",
] as const;

/** A stored job record, which an earlier version may have written. */
export const jobRecordSchema = object(
  {
    ...submission,
    ...Object.fromEntries(MISSING_IN_EARLY_RECORDS.map((name) => [name, nullable(submission[name])])),
  },
  ["builds", "district", "due_s", "awaits", ...MISSING_IN_EARLY_RECORDS],
);
