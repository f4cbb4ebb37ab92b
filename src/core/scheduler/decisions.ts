/** The scheduler's decisions, and the possible outcomes of the commands among them. */
import type { ScaleOutRequest } from "../autoscaling/offers.js";
import type { ScaleInReason } from "../autoscaling/scale-in-reason.js";
import type { MachineRecord, Command } from "../records.js";

/** An action for the caller to carry out; the caller reports its outcome to the scheduler. */
export type Decision =
  /**
   * Send commands to a machine's worker, through the member `via` (null: from this node). An empty list is a probe:
   * the worker answers it with a heartbeat.
   */
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
  /** Create the commit record of a job whose tasks are all finished (S7). */
  | { kind: "commit"; job: string; tasks: number }
  /** Store a machine's record before the first task is started on it (S5). */
  | { kind: "record"; machine: string; record: MachineRecord }
  /** Rent machines from the cloud (S10). */
  | { kind: "rent"; rent: ScaleOutRequest }
  /** Return machines to the cloud (S3). */
  | { kind: "release"; machines: string[]; reason: ScaleInReason }
  /** Write an informational log message. */
  | { kind: "note"; text: string };

/**
 * The outcome of a batch of commands.
 * - `done`: the worker executed it.
 * - `rejected`: the worker refused it.
 * - `unsent`: the worker could not be reached, so it received nothing.
 * - `unknown`: no answer arrived; the worker may have executed it, or may still do so.
 * - `barred`: it was not sent, because the sending node may not act under this term now, has a full queue, or was
 *   never given the batch. This says nothing about the worker.
 */
export type CommandOutcome = "done" | "rejected" | "unsent" | "unknown" | "barred";
