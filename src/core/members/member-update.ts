/** Messages from members to the leader: heartbeats, contacts with workers, stored finishes, outcomes of commands. */
import type { CommandOutcome } from "../scheduler/decisions.js";
import type { Range } from "../ranges.js";
import type { Heartbeat } from "../records.js";

/** A heartbeat with its age: in a new term old heartbeats are sent again, and must not be taken for fresh ones. */
export interface AgedHeartbeat {
  readonly heartbeat: Heartbeat;
  readonly ageMs: number;
}

/** Milliseconds since a worker was last answered, and since it last sent a newer heartbeat; negative: never. */
export interface WorkerContact {
  readonly machine: string;
  readonly answerAgeMs: number;
  readonly heartbeatAgeMs: number;
}

/** Outcome of one of the leader's command batches, and the id of the heartbeat that answered it; 0 and 0: none. */
export interface CommandResult {
  readonly id: number;
  readonly outcome: CommandOutcome;
  readonly workerEpoch: number;
  readonly sequence: number;
}

/** Finished tasks of one job that are stored in the state service. */
export interface StoredFinishes {
  readonly job: string;
  readonly ranges: readonly Range[];
}

/** The contents of one message from a member to the leader. */
export interface MemberUpdate {
  readonly heartbeats: readonly AgedHeartbeat[];
  readonly contacts: readonly WorkerContact[];
  readonly storedFinishes: readonly StoredFinishes[];
  readonly commandResults: readonly CommandResult[];
}
