/** Job specs as users submit them, and records of jobs in the state service: commits, fan-in sets, finished tasks. */
import type * as Duration from "effect/Duration";
import type { Range } from "../ranges.js";

/** `array`: independent tasks; `gang`: tasks that all start together; `service`: replicas that run until cancelled. */
export type JobKind = "array" | "gang" | "service";

/** The priority that the user gave a job. */
export type Priority = "production" | "high" | "normal" | "low";

/** Priorities as numbers: a higher rank is served first and may preempt lower ones. */
export const RANK: Record<Priority, number> = { production: 3, high: 2, normal: 1, low: 0 };

/** A job as the user submitted it. It never changes. */
export interface JobSpec {
  readonly id: string;
  /** The class of its tasks: start-latency objectives are given, and attempts counted, by class. */
  readonly className: string;
  readonly team: string;
  readonly kind: JobKind;
  readonly priority: Priority;
  /** Number of tasks; they are numbered from 0. */
  readonly tasks: number;
  /** Processors for one task; may be a fraction. The following sizes are for one task too. */
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly image: string;
  readonly imageGb: number;
  /** Allowed machine types; null: any. */
  readonly types: readonly string[] | null;
  /** The only allowed zone; null: any. */
  readonly zone: string | null;
  /** Whether all tasks have to run in the same zone. */
  readonly oneZone: boolean;
  /** Whether tasks have to be spread over zones. */
  readonly spreadOverZones: boolean;
  /** Whether it may run on spot machines, which the cloud can reclaim. */
  readonly spot: boolean;
  /** How long a task is expected to run, as the user estimates. */
  readonly estimate: Duration.Duration;
  /** The interval between checkpoints; zero: the job saves no progress. */
  readonly checkpointInterval: Duration.Duration;
  /** How long a task takes to save a checkpoint. */
  readonly saveDuration: Duration.Duration;
  /** Counted from the submission, also for a job that waits for its dependencies; null: none. */
  readonly deadline: Duration.Duration | null;
  /** Ids of the jobs that have to be done before any task of this one starts. */
  readonly dependsOn: readonly string[];
}

/** How a job ended. */
export type JobOutcome = "done" | "cancelled";

/** Says that a job has ended: created only if absent, and never changed (S7). */
export interface CommitRecord {
  readonly outcome: JobOutcome;
  readonly tasks: number;
}

/** Fan-in set of a blocked job: its parents that are done (`joined`), and whether the last of them released it. */
export interface FaninRecord {
  readonly joined: readonly string[];
  readonly released: boolean;
}

/** Finished tasks of a job within one window of task numbers, as stored by one process (S7). */
export interface RangesRecord {
  readonly ranges: readonly Range[];
}

/** The task's name in logs and in messages to users. */
export const taskName = (job: string, index: number): string => `${job}/${index}`;
