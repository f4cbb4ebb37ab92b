/**
 * What the state service keeps and what workers say, in the core's terms: the one place that these types are imported
 * from. Each concern has a module of its own.
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
