/**
 * The settings of all runs, and the guards of the protocol that a run may disable.
 */
import * as Duration from "effect/Duration";
import { type MachineType, type Team } from "../../src/core/records.js";
import { leaseTimingsOf } from "../../src/core/leases/term.js";

/** A guard of the protocol that a run may disable, to show that the checker then reports a violation. */
export type Guard =
  /** A leader doesn't wait for a recorded machine's report under its own term before it places tasks. */
  | "confirm"
  /** A process acts outside its fencing window. */
  | "fence"
  /** Commands with an unknown outcome count as never sent. */
  | "unknown_outcome"
  /** Workers are told to forget an attempt under the token of its start. */
  | "forget_fence"
  /** A member sends a batch again when a copy of the leader's message arrives. */
  | "received_batches"
  /** A leader does not know the limits of teams. */
  | "quota"
  /** A leader does not know the zones and machine types that jobs require. */
  | "zone"
  /** Leaders and members do not learn of cancelled jobs. */
  | "cancel"
  /** An update counts as reported once it was sent through the state service, whether or not the leader received it. */
  | "relayed_updates"
  /** A new process doesn't read which jobs ended before it began. */
  | "earlier_ends"
  /** A process renews the leases of tasks although it can't tell whether their jobs have ended. */
  | "undetermined"
  /** A process acts although it hasn't read the jobs recently. */
  | "fresh_jobs"
  /** Late transactions of a leader do not check that it still holds the leader's key. */
  | "leader_key"
  /** A process does not adopt a leader's key of its own that was written late. */
  | "adopt_key"
  /** Records of finished tasks are written under a key that a write without an answer may already have used. */
  | "finish_key"
  /** A machine counts as recorded before its record is written. */
  | "record"
  /** Answers about unfinished jobs do not check the commits in the state service. */
  | "check_commits"
  /** Late transactions do not check that the job has no commit yet. */
  | "no_commit"
  /** Late copies of heartbeats of the present worker session are taken for new ones. */
  | "sequence"
  /** Late copies of heartbeats of earlier worker sessions are taken for new ones. */
  | "session"
  /** A leader starts waiting jobs as if they were released. */
  | "release"
  /** Answers about a waiting job do not consider its ancestors. */
  | "ancestors"
  /** Only those ancestors of a waiting job are checked that the process already knows. */
  | "unknown_ancestors"
  /** An ancestor that ends while the ancestors of a waiting job are being checked is not checked again. */
  | "recheck_ancestors"
  /** A job is accepted without a check of the ancestors of its parents. */
  | "ancestors_of_parents"
  /** A leader does not look for joins that were lost. */
  | "recover_joins"
  /** A join does not check that the set and the waiting job are unchanged and that the job has no commit. */
  | "join_conditions"
  /** Processes of the earlier version read waiting jobs as if they were released. */
  | "version_lists"
  /** Sets that the earlier version left behind are not deleted. */
  | "obsolete_sets"
  /** Users submit jobs that depend on others before all processes have the new version. */
  | "upgrade_first"
  /** Processes are downgraded to the earlier version while jobs wait. */
  | "downgrade_last";
/** A temporary fault of a machine: it hangs, is cut off, receives nothing, or its heartbeats are lost. */
export type MachineFault = "hung" | "cut" | "deaf" | "mute";
export const CONTROLLER_LEASE = Duration.seconds(3);
export const TIMINGS = leaseTimingsOf({ leaseS: 12, reportS: 1, cancelS: 30 }, CONTROLLER_LEASE);
export const STEP_MS = 50;
export const FAST_BOOT_MS = 2000;
export const TYPES: MachineType[] = [["small", 8, 16] as const, ["large", 16, 64] as const].map(
  ([name, cpus, memoryGb]) => ({
    name,
    cpus,
    gpus: 0,
    memoryGb,
    cacheGb: 50,
    fetchGbPerS: 1,
    price: cpus / 16,
    spotPrice: cpus / 48,
    bootTime: Duration.seconds(3),
    zones: ["east", "west"],
  }),
);
export const TEAMS: Team[] = [
  { name: "red", guaranteedCpus: 8, maxCpus: 24, guaranteedGpus: 0, maxGpus: 0 },
  { name: "blue", guaranteedCpus: 8, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 },
];
export interface Violation {
  readonly rule: string;
  readonly text: string;
}
