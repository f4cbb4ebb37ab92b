/** The cloud: machine types, scale-out, scale-in and the machine list. */
import * as Duration from "effect/Duration";
import type { MachineRecord, MachineType } from "../../core/records.js";
import { isEndpoint } from "./endpoint.js";

/** A machine type as the cloud lists it; stored as it is, so that every controller reads the same. */
export interface WireMachineType {
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

/** Where the cloud lists its machine types and their present prices. */
export const machineTypesPath = "/flavors";
/** The machine types of an answer; null: it isn't a list of them. */
export const parseMachineTypes = (body: unknown): WireMachineType[] | null => {
  const builds = (body as { builds?: unknown } | undefined)?.builds;
  if (!Array.isArray(builds)) return null;
  const rows = builds as WireMachineType[];
  return rows.every(
    (type) => typeof type.label === "string" && type.vcpus > 0 && Array.isArray(type.districts),
  )
    ? rows
    : null;
};
/** Machine types in the core's terms; prices per hour. */
export const toMachineTypes = (rows: readonly WireMachineType[]): MachineType[] =>
  rows.map((type) => ({
    name: type.label,
    cpus: type.vcpus,
    gpus: type.gpus ?? 0,
    memoryGb: type.mem_gb,
    cacheGb: type.cache_gb ?? 0,
    fetchGbPerS: type.pull_gb_per_s ?? 1,
    price: type.rate,
    spotPrice: type.spot_price ?? type.rate,
    bootTime: Duration.seconds(type.startup_s ?? 60),
    zones: type.districts,
  }));

/** Where machines are rented. */
export const rentPath = "/rentals";
/** A scale-out request. Its name must never be used for another one, not even by another node. */
export const rentBody = (name: string, type: string, zone: string, spot: boolean, count: number): string =>
  JSON.stringify({ rental: name, build: type, district: zone, loaners: spot, how_many: count });
/** The names of the machines that a scale-out request was answered with. */
export const parseRentedMachines = (body: unknown): string[] =>
  (body as { hearths?: string[] } | undefined)?.hearths ?? [];
/** Where machines are returned. */
export const releasePath = "/rentals/release";
/** Names of machines to return, 100 at most. */
export const releaseBody = (machines: readonly string[]): string => JSON.stringify({ hearths: machines });
/** One page of the machine list, beginning after the machine `from`. */
export const machineListPath = (from: string | null): string =>
  `/rentals?most=500${from === null ? "" : `&from=${from}`}`;

/** A machine of the list, which lags: it may be gone already. `ageMs` counts from its scale-out request. */
export interface ListedMachine {
  readonly id: string;
  readonly record: MachineRecord;
  readonly failed: boolean;
  readonly ageMs: number;
}
interface WireMachineList {
  hearths?: WireMachine[];
  more?: boolean;
}

interface WireMachine {
  ref: string;
  endpoint?: string | null;
  build: string;
  district: string;
  loaners?: boolean;
  status: string;
  held_s?: number;
}

/** One page of the machine list; null: it isn't one. */
export const parseMachineList = (body: unknown): { rows: ListedMachine[]; more: boolean } | null => {
  const page = body as WireMachineList | undefined;
  if (!Array.isArray(page?.hearths)) return null;
  return {
    rows: page.hearths.map((machine) => ({
      id: machine.ref,
      record: {
        type: machine.build,
        zone: machine.district,
        spot: machine.loaners ?? false,
        addr: isEndpoint(machine.endpoint) ? machine.endpoint : null,
      },
      failed: machine.status === "failed",
      ageMs: (machine.held_s ?? 0) * 1000,
    })),
    more: page.more ?? false,
  };
};
