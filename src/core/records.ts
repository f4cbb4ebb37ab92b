/**
 * Types of the records in the state service and of the workers' messages, under the core's names. Other modules import
 * them from here; `records/` has a module for each subject.
 */
export type {
  CommitRecord,
  FaninRecord,
  JobSpec,
  JobKind,
  JobOutcome,
  Priority,
  RangesRecord,
} from "./records/jobs.js";
export { RANK, taskName } from "./records/jobs.js";
export type { MachineRecord, MachinesRecord, MachineType, RentalRecord, Team } from "./records/machines.js";
export type { LeaderRecord, MemberRecord, TermMember, TermRecord } from "./records/membership.js";
export { keys } from "./records/state-keys.js";
export type { Command, ExitReason, Heartbeat, TaskState, TaskStatus } from "./records/worker-messages.js";
