/** What workers report and what they are told, in the core's terms; the wire's names are mapped in `io/codec.ts`. */

/** What a worker says an attempt is doing. */
export type TaskState = "fetching" | "waiting" | "running" | "saving" | "exited";

/** Why an attempt ended, as its worker says. */
export type ExitReason = "done" | "stopped" | "peers" | "alone" | "error" | "no_room" | "busy" | "unknown";

/** An attempt as a heartbeat shows it. */
export interface TaskStatus {
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  readonly state: TaskState;
  /** Null until it exited. */
  readonly exitReason: ExitReason | null;
}

/** A worker's message: all that is on its machine (S2). */
export interface Heartbeat {
  readonly machine: string;
  readonly addr: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Which epoch of the worker speaks: a message of a larger one is newer than all of smaller ones. */
  readonly workerEpoch: number;
  /** Grows with each message of the epoch. */
  readonly sequence: number;
  /** The highest token that the worker has seen. */
  readonly fencingToken: number;
  /** In how many seconds the cloud takes the machine back; null: no notice. */
  readonly reclaimNoticeSeconds: number | null;
  readonly tasks: readonly TaskStatus[];
}

/** What a worker is told to do with one attempt. */
export interface Command {
  readonly op: "start" | "stop" | "forget";
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  /** How long a stopped task may take to save. */
  readonly gracePeriodSeconds: number;
}
