/** What the leader's core decides, and what it is told of the outcome. */
import type { ScaleOutRequest } from "../autoscaling/offers.js";
import type { ScaleInReason } from "../autoscaling/scale-in-reason.js";
import type { MachineRecord, Command } from "../records.js";

/** Something to be done outside the core. The caller carries each out, or tells the core that it failed. */
export type Decision =
  /** Send these commands to a machine's worker, by `via`; an empty list asks for a heartbeat alone. */
  | {
      kind: "commands";
      machine: string;
      zone: string;
      via: string | null;
      addr: string;
      workerEpoch: number;
      fencingToken: number;
      commands: Command[];
    }
  /** Create the commit record of a job of which all tasks are finished (S7). */
  | { kind: "commit"; job: string; tasks: number }
  /** Store a machine's record, before anything is started on it (S5). */
  | { kind: "record"; machine: string; record: MachineRecord }
  /** Rent machines (S10). */
  | { kind: "rent"; rent: ScaleOutRequest }
  /** Return machines to the cloud (S3). */
  | { kind: "release"; machines: string[]; reason: ScaleInReason }
  /** A line for the log. */
  | { kind: "note"; text: string };

/**
 * done: executed. rejected: the worker refused. unsent: the worker can't be reached. unknown: it may be executed yet.
 * barred: the node asked may not send (its term or its window); that says nothing about the worker.
 */
export type CommandOutcome = "done" | "rejected" | "unsent" | "unknown" | "barred";
