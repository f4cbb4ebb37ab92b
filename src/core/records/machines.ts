/** Machines, their types, scale-out requests and the teams' quotas. */
import type * as Duration from "effect/Duration";

/** What is stored of a machine before anything is started on it (S5). */
export interface MachineRecord {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Where its worker listens; null: not known yet. */
  readonly addr: string | null;
}

/** Machines are recorded many to a record: few state writes a machine. */
export interface MachinesRecord {
  readonly machines: Readonly<Record<string, MachineRecord>>;
}

/** A scale-out request that is stored until its outcome is certain (S10). */
export interface RentalRecord {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** A machine type that the platform offers; prices are compared with one another alone. */
export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootTime: Duration.Duration;
  readonly zones: readonly string[];
}

/** A team's quota; 0 means: no limit, and no guarantee. */
export interface Team {
  readonly name: string;
  readonly guaranteedCpus: number;
  readonly maxCpus: number;
  readonly guaranteedGpus: number;
  readonly maxGpus: number;
}
