/** Why a machine is released to the cloud. */

/** Reason to release a machine. The text is part of the log line of the release, so it must not change. */
export type ScaleInReason =
  /** An earlier request to release it was not answered in time. */
  | "repeat"
  /** The cloud lists it as failed. */
  | "failed"
  /** It was rented, and its worker never sent a heartbeat. */
  | "never came up"
  /** It was recorded by an earlier leader, and this leader has never heard from it. */
  | "silent since take-over"
  /** Its heartbeats stopped. */
  | "silent"
  /** It answers the leader's commands, but its heartbeats reach no controller, so its lease ends. */
  | "reaches no controller"
  /** Its heartbeats arrive, but it doesn't answer commands. */
  | "doesn't hear"
  /** It was underused, and all work on it has been evicted gracefully. */
  | "drained"
  /** It was cordoned because its tasks took too long. */
  | "slow"
  /** It was cordoned because tasks of several jobs failed on it. */
  | "fails tasks"
  /** It has had no work for a while, and none is expected for it. */
  | "idle";

/** Ids of the machines to release, by reason, in the order in which the reasons first occurred. */
export type ScaleInPlan = Map<ScaleInReason, string[]>;
