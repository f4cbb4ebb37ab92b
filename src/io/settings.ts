/** Reads and validates the platform's settings file and the operators' settings file. */
import { readFileSync } from "node:fs";
import { Ajv, type ValidateFunction } from "ajv";
import * as Duration from "effect/Duration";
import type { Team } from "../core/records.js";
import { operatorSchema, platformSchema } from "./schemas.js";

/** All settings of one controller: those of the platform, and under `operator` those of its operators. */
export interface Settings {
  readonly member: string;
  readonly zone: string;
  readonly apiBind: string;
  readonly peerBind: string;
  readonly peers: readonly { readonly member: string; readonly zone: string; readonly addr: string }[];
  readonly cloudAddr: string;
  readonly stateServiceAddr: string;
  readonly teams: readonly Team[];
  readonly workers: { readonly reportS: number; readonly leaseS: number; readonly cancelS: number };
  readonly stateLimits: {
    readonly rps: number;
    readonly writeRps: number;
    /** The rates that replace these at some time, without notice. */
    readonly next: { readonly rps: number; readonly writeRps: number };
    /** The lower of the present and the future size limits, so that what is written stays valid after the change. */
    readonly valueKb: number;
    readonly txnOps: number;
  };
  readonly cloudLimits: { readonly rps: number; readonly listLag: Duration.Duration };
  readonly maxConnections: number;
  /** By class: how soon its tasks should start, according to the platform's objectives. */
  readonly startLatencyGoals: ReadonlyMap<string, Duration.Duration>;
  readonly operator: OperatorSettings;
}

/** The operators' settings; `indigowick schema` prints a description of each. */
export interface OperatorSettings {
  readonly memberLease: Duration.Duration;
  readonly reuse: number;
  readonly idleBoots: number;
  readonly warmFor: Duration.Duration;
  readonly shards: ShardSettings;
  /** The address at which operators' commands are accepted; null: none are. */
  readonly operatorsSocket: string | null;
}

/** Settings of the explicit ownership of machines by controllers. */
export interface ShardSettings {
  readonly enabled: boolean;
  readonly maxConcurrentMoves: number;
  readonly hysteresis: number;
  /** How often a shard is moved as a rehearsal; null: never. */
  readonly rehearsalInterval: Duration.Duration | null;
}

interface StateLimits {
  rps: number;
  write_rps: number;
  value_kb: number;
  txn_ops: number;
}

interface PlatformFile {
  member: string;
  domain: string;
  front: string;
  peer_bind: string;
  seeds: { member: string; domain: string; addr: string }[];
  external: { cloud: string; state: string };
  params: {
    objectives?: { kind?: unknown; class?: unknown; within_s?: unknown }[];
    teams: { name: string; cpus: number; cpus_max: number; gpus: number; gpus_max: number }[];
    workers: { report_s: number; lease_s: number; cancel_s: number };
    state: StateLimits & { next?: { [Name in keyof StateLimits]?: number | null } | null };
    cloud: { rps: number; list_lag_s: number };
    machine_limits: { max_connections: number };
  };
}

interface OperatorFile {
  member_lease_s: number;
  reuse: number;
  idle_boots: number;
  warm_s: number;
  shards: { enabled: boolean; moves_at_once: number; hysteresis: number; rehearsal_s: number };
  operators_socket: string;
}

/** A settings file can't be used; the message is one line for whoever started the program. */
export class InvalidSettings extends Error {}

const readSettingsFile = <T>(path: string, check: ValidateFunction<T>): T => {
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (error) {
    throw new InvalidSettings(`${path}: can't be read: ${(error as Error).message}`);
  }
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    throw new InvalidSettings(`${path}: not JSON: ${(error as Error).message}`);
  }
  if (check(value)) return value;
  const firstError = check.errors?.[0];
  const errorParams = firstError?.params as { additionalProperty?: string } | undefined;
  const field = firstError?.instancePath.slice(1).replaceAll("/", ".") || "the file";
  throw new InvalidSettings(
    `${path}: ${field} ${firstError?.message ?? "is not valid"}${errorParams?.additionalProperty === undefined ? "" : `: ${errorParams.additionalProperty}`}`,
  );
};

const startLatencyGoalsOf = (
  objectives: NonNullable<PlatformFile["params"]["objectives"]>,
): Map<string, Duration.Duration> => {
  const goals = new Map<string, Duration.Duration>();
  for (const objective of objectives)
    if (
      objective.kind === "wait" &&
      typeof objective.class === "string" &&
      typeof objective.within_s === "number"
    )
      goals.set(objective.class, Duration.seconds(objective.within_s));
  return goals;
};

const stateLimitsOf = (limits: PlatformFile["params"]["state"]): Settings["stateLimits"] => ({
  rps: limits.rps,
  writeRps: limits.write_rps,
  next: {
    rps: limits.next?.rps ?? limits.rps,
    writeRps: limits.next?.write_rps ?? limits.write_rps,
  },
  valueKb: Math.min(limits.value_kb, limits.next?.value_kb ?? Infinity),
  txnOps: Math.min(limits.txn_ops, limits.next?.txn_ops ?? Infinity),
});

const teamOf = (team: PlatformFile["params"]["teams"][number]): Team => ({
  name: team.name,
  guaranteedCpus: team.cpus,
  maxCpus: team.cpus_max,
  guaranteedGpus: team.gpus,
  maxGpus: team.gpus_max,
});

const operatorSettingsOf = (file: OperatorFile): OperatorSettings => ({
  memberLease: Duration.seconds(file.member_lease_s),
  reuse: file.reuse,
  idleBoots: file.idle_boots,
  warmFor: Duration.seconds(file.warm_s),
  shards: {
    enabled: file.shards.enabled,
    maxConcurrentMoves: file.shards.moves_at_once,
    hysteresis: file.shards.hysteresis,
    rehearsalInterval: file.shards.rehearsal_s > 0 ? Duration.seconds(file.shards.rehearsal_s) : null,
  },
  operatorsSocket: file.operators_socket === "" ? null : file.operators_socket,
});

/** Loads both files; absent operators' settings get their defaults. Throws `InvalidSettings`. */
export const loadSettings = (platformPath: string, operatorPath: string | undefined): Settings => {
  const ajv = new Ajv({ useDefaults: true, strict: false });
  const platformFile = readSettingsFile(platformPath, ajv.compile<PlatformFile>(platformSchema));
  const checkOperator = ajv.compile<OperatorFile>(operatorSchema);
  const defaults = {} as OperatorFile;
  checkOperator(defaults);
  const operatorFile = operatorPath === undefined ? defaults : readSettingsFile(operatorPath, checkOperator);
  const { params } = platformFile;
  if (params.workers.cancel_s <= params.workers.lease_s)
    throw new InvalidSettings(`${platformPath}: params.workers.cancel_s must be longer than lease_s`);
  return {
    member: platformFile.member,
    zone: platformFile.domain,
    apiBind: platformFile.front,
    peerBind: platformFile.peer_bind,
    peers: platformFile.seeds.map((seed) => ({ member: seed.member, zone: seed.domain, addr: seed.addr })),
    cloudAddr: platformFile.external.cloud,
    stateServiceAddr: platformFile.external.state,
    teams: params.teams.map(teamOf),
    workers: {
      reportS: params.workers.report_s,
      leaseS: params.workers.lease_s,
      cancelS: params.workers.cancel_s,
    },
    stateLimits: stateLimitsOf(params.state),
    cloudLimits: { rps: params.cloud.rps, listLag: Duration.seconds(params.cloud.list_lag_s) },
    maxConnections: params.machine_limits.max_connections,
    startLatencyGoals: startLatencyGoalsOf(params.objectives ?? []),
    operator: operatorSettingsOf(operatorFile),
  };
};
