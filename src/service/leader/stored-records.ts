/**
 * Typed access to the rows that the leader reads. Only controllers write these keys, and always with these types, so
 * rows aren't validated when they are read. All code that relies on this is in this file.
 */
import type { CommitRecord, MachinesRecord, RangesRecord, RentalRecord } from "../../core/records.js";
import { keys } from "../../core/records.js";
import type { Row } from "../../io/codec.js";

/** The machines in a machine record. */
export const machinesIn = (row: Row): MachinesRecord["machines"] => (row.value as MachinesRecord).machines;

/** The finished tasks in a range record. */
export const rangesIn = (row: Row): RangesRecord["ranges"] => (row.value as RangesRecord).ranges;

/** The id of the job that a range record belongs to; empty if the key contains none. */
export const jobOfRanges = (row: Row): string => row.key.split("/")[1] ?? "";

/** A stored scale-out request and its name. */
export const rentalIn = (row: Row): { readonly name: string; readonly record: RentalRecord } => ({
  name: row.key.slice(keys.rentals.length),
  record: row.value as RentalRecord,
});

/** A job's commit record. */
export const commitIn = (row: Row): CommitRecord => row.value as CommitRecord;
