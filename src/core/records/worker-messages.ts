/** Heartbeats of workers and commands to them, under the core's names; `io/codec.ts` maps the names on the wire. */

/** An attempt's state as its worker reports it. */
export type TaskState = "fetching" | "waiting" | "running" | "saving" | "exited";

/** Why an attempt ended, as its worker reports it. */
export type ExitReason = "done" | "stopped" | "peers" | "alone" | "error" | "no_room" | "busy" | "unknown";

/** An attempt as a heartbeat lists it. */
export interface TaskStatus {
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  readonly state: TaskState;
  /** Null until it exited. */
  readonly exitReason: ExitReason | null;
}

/** A worker's message: its machine and all attempts on it (S2). */
export interface Heartbeat {
  readonly machine: string;
  readonly addr: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** The worker's epoch: a message of a higher epoch is newer than all messages of lower ones. */
  readonly workerEpoch: number;
  /** Grows with each message within an epoch. */
  readonly sequence: number;
  /** The highest fencing token that the worker has seen. */
  readonly fencingToken: number;
  /** Seconds until the cloud reclaims the machine; null: no notice was given. */
  readonly reclaimNoticeSeconds: number | null;
  readonly tasks: readonly TaskStatus[];
}

/** A command to a worker about one attempt. */
export interface Command {
  readonly op: "start" | "stop" | "forget";
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  /** How long a stopped task may take to save its progress. */
  readonly gracePeriodSeconds: number;
}
