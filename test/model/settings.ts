/**
 * The settings of all runs, and the guards that a run may take out.
 */
import * as Duration from "effect/Duration";
import { type MachineType, type Team } from "../../src/core/records.js";
import { leaseTimingsOf } from "../../src/core/leases/term.js";

/** A guard that a run may take out, to show that the checker notices. */
export type Guard =
  | "confirm"
  | "fence"
  | "doubt"
  | "quota"
  | "zone"
  | "cancel"
  | "read"
  /** Late transactions of a leader aren't bound to its key. */
  | "stamp"
  /** A leader's key that was written late is not known to its own process. */
  | "adopt"
  /** Finishes are written to the same key again after a write without an answer. */
  | "key"
  /** A machine counts as recorded before its record is written. */
  | "record"
  /** Answers about unfinished jobs rest on what the process has heard, not on the commits in the state service. */
  | "checked"
  /** Late transactions don't ask whether the job is over. */
  | "absent"
  /** Late copies of heartbeats are taken for new ones: those of this session, and those of earlier ones. */
  | "seq"
  | "session"
  /** A leader starts waiting jobs as if they were released. */
  | "release"
  /** Answers about a waiting job rest on its own commit alone. */
  | "ancestors"
  /** What comes before a waiting job is looked through only as far as the process heard of it. */
  | "unheard"
  /** An outcome that passes on meanwhile isn't noticed by who goes through the jobs before a waiting one. */
  | "overtaken"
  /** A job is accepted without a look at what comes before the jobs that it awaits. */
  | "before"
  /** Joins that were lost aren't looked for again. */
  | "join"
  /** A join isn't bound to the set, the waiting job and its commit as they were read. */
  | "filling"
  /** A process of the earlier version lists waiting jobs as if they were released. */
  | "listed"
  /** Sets that an earlier version left aren't deleted. */
  | "useless"
  /** Users send jobs that wait for others before all processes have the new version. */
  | "early"
  /** Processes go back to the earlier version while jobs wait. */
  | "back";
/** What may befall a machine for a while. */
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
