/** The cloud's API: machine types, scale-out, scale-in and the machine list. */
import * as Duration from "effect/Duration";
import type { MachineRecord, MachineType } from "../../core/records.js";
import { isEndpoint } from "./endpoint.js";

/** A machine type as the cloud lists it. It is stored unchanged, so that every controller reads the same. */
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

/** Path of the list of machine types and their current prices. */
export const machineTypesPath = "/flavors";
/** The machine types of a response; null if the body is malformed. */
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
/** Converts machine types to the core's form; prices are per hour. */
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

/** Path of scale-out requests. */
export const rentPath = "/rentals";
/** Body of a scale-out request. `name` identifies the request and must be unique across all nodes and never reused. */
export const rentBody = (name: string, type: string, zone: string, spot: boolean, count: number): string =>
  JSON.stringify({ rental: name, build: type, district: zone, loaners: spot, how_many: count });
/** The ids of the machines that a scale-out request got. */
export const parseRentedMachines = (body: unknown): string[] =>
  (body as { hearths?: string[] } | undefined)?.hearths ?? [];
/** Path of scale-in requests. */
export const releasePath = "/rentals/release";
/** Body of a scale-in request for at most 100 machines. */
export const releaseBody = (machines: readonly string[]): string => JSON.stringify({ hearths: machines });
/** Path of one page of the machine list, which starts after the machine `from`; null: the first page. */
export const machineListPath = (from: string | null): string =>
  `/rentals?most=500${from === null ? "" : `&from=${from}`}`;

/**
 * An entry of the machine list. The list lags, so the machine may already be gone. `ageMs` is the time since its scale-out
 * request.
 */
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

/** Parses one page of the machine list; null if the body is malformed. */
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
