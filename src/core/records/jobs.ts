/** Jobs as users submit them and as the state service keeps their ends: specs, commits, fan-in sets, finished tasks. */
import type * as Duration from "effect/Duration";
import type { Range } from "../ranges.js";

/** How a job's tasks belong together: independent ones, all at once or none, or replicas that run until cancelled. */
export type JobKind = "array" | "gang" | "service";

/** How important users say that a job is. */
export type Priority = "production" | "high" | "normal" | "low";

/** Priorities as numbers: the higher one goes first, and may preempt the lower ones. */
export const RANK: Record<Priority, number> = { production: 3, high: 2, normal: 1, low: 0 };

/** What a user submitted. It never changes. */
export interface JobSpec {
  readonly id: string;
  /** The class of its tasks, for which users expect a start latency; attempts are counted by it. */
  readonly className: string;
  readonly team: string;
  readonly kind: JobKind;
  readonly priority: Priority;
  /** How many tasks it has; they are numbered from 0. */
  readonly tasks: number;
  /** What one task uses; processors may be fractions. */
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly image: string;
  readonly imageGb: number;
  /** Machine types that it may run on; null: any. */
  readonly types: readonly string[] | null;
  /** The zone that it has to run in; null: any. */
  readonly zone: string | null;
  /** All its tasks have to run in one zone. */
  readonly oneZone: boolean;
  /** Its tasks are spread over zones. */
  readonly spreadOverZones: boolean;
  /** It may run on machines that the cloud can take back. */
  readonly spot: boolean;
  /** How long a task is expected to run. */
  readonly estimate: Duration.Duration;
  /** Its checkpoint interval, as the user gave it; zero: it saves no progress. */
  readonly checkpointInterval: Duration.Duration;
  /** How long saving takes. */
  readonly saveDuration: Duration.Duration;
  /** Counts from the submission, also for a job that waits for others. */
  readonly deadline: Duration.Duration | null;
  /** Jobs that have to be done before any task of this one starts. */
  readonly dependsOn: readonly string[];
}

/** How a job ended. */
export type JobOutcome = "done" | "cancelled";

/** The end of a job: created only if absent, and never changed (S7). */
export interface CommitRecord {
  readonly outcome: JobOutcome;
  readonly tasks: number;
}

/** A waiting job's fan-in set: which of its parents are done, and whether the add that filled it released the job. */
export interface FaninRecord {
  readonly joined: readonly string[];
  readonly released: boolean;
}

/** Finished tasks of a job within one window of task numbers, as one process stored them (S7). */
export interface RangesRecord {
  readonly ranges: readonly Range[];
}

/** A task's name in logs and messages to users. */
export const taskName = (job: string, index: number): string => `${job}/${index}`;
