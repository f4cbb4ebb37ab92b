/**
 * The rows that the leader reads, as records. Only controllers write these keys, and always with these types, so rows
 * aren't checked again; this is the one place that says so.
 */
import type { CommitRecord, MachinesRecord, RangesRecord, RentalRecord } from "../../core/records.js";
import { keys } from "../../core/records.js";
import type { Row } from "../../io/codec.js";

/** The machines of one record of machines. */
export const machinesIn = (row: Row): MachinesRecord["machines"] => (row.value as MachinesRecord).machines;

/** The finished tasks that one record of ranges holds. */
export const rangesIn = (row: Row): RangesRecord["ranges"] => (row.value as RangesRecord).ranges;

/** The job that a record of ranges belongs to; empty if the key names none. */
export const jobOfRanges = (row: Row): string => row.key.split("/")[1] ?? "";

/** A scale-out request that was stored, and its name. */
export const rentalIn = (row: Row): { readonly name: string; readonly record: RentalRecord } => ({
  name: row.key.slice(keys.rentals.length),
  record: row.value as RentalRecord,
});

/** A job's outcome. */
export const commitIn = (row: Row): CommitRecord => row.value as CommitRecord;
