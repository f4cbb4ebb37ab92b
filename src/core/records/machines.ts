/** Machines, their types, scale-out requests and the teams' quotas. */
import type * as Duration from "effect/Duration";

/** A machine's record, which is stored before anything is started on the machine (S5). */
export interface MachineRecord {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Address of its worker; null: not known yet. */
  readonly addr: string | null;
}

/** One stored record holds many machines, by id, to keep the number of writes low. */
export interface MachinesRecord {
  readonly machines: Readonly<Record<string, MachineRecord>>;
}

/** A scale-out request; it is stored until its outcome is certain (S10). */
export interface RentalRecord {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** A machine type that the platform offers. Prices have no unit: they are only compared with one another. */
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

/** A team's quota. A maximum of 0 means no limit, a guarantee of 0 no guarantee. */
export interface Team {
  readonly name: string;
  readonly guaranteedCpus: number;
  readonly maxCpus: number;
  readonly guaranteedGpus: number;
  readonly maxGpus: number;
}
