/** What a member tells the leader: heartbeats, when workers were heard and answered, stored finishes, outcomes of commands. */
import type { CommandOutcome } from "../scheduler/decisions.js";
import type { Range } from "../ranges.js";
import type { Heartbeat } from "../records.js";

/** A heartbeat and how long ago it came: after a new term old ones are sent anew, and must not pass for fresh. */
export interface AgedHeartbeat {
  readonly heartbeat: Heartbeat;
  readonly ageMs: number;
}

/** How many milliseconds ago a worker was last answered, and last sent something newer than before; negative: never. */
export interface WorkerContact {
  readonly machine: string;
  readonly answerAgeMs: number;
  readonly heartbeatAgeMs: number;
}

/** What became of a command batch of the leader's, and which heartbeat the worker answered with; 0: none. */
export interface CommandResult {
  readonly id: number;
  readonly outcome: CommandOutcome;
  readonly workerEpoch: number;
  readonly sequence: number;
}

/** Finishes of one job that are in the state service. */
export interface StoredFinishes {
  readonly job: string;
  readonly ranges: readonly Range[];
}

/** All of it, for one message. */
export interface MemberUpdate {
  readonly heartbeats: readonly AgedHeartbeat[];
  readonly contacts: readonly WorkerContact[];
  readonly storedFinishes: readonly StoredFinishes[];
  readonly commandResults: readonly CommandResult[];
}
