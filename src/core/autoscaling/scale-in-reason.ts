/** Why a machine is given back to the cloud. */

/** A reason to release a machine; each stands in the log line of the release, so the texts stay as they are. */
export type ScaleInReason =
  /** An earlier request was not answered in time. */
  | "repeat"
  /** The cloud says that the machine failed. */
  | "failed"
  /** It was rented, and its worker never sent a heartbeat. */
  | "never came up"
  /** An earlier leader used it, and this leader never heard from it. */
  | "silent since take-over"
  /** Its heartbeats stopped. */
  | "silent"
  /** It answers the leader, but its heartbeats reach no controller, so that its lease ends. */
  | "reaches no controller"
  /** Its heartbeats arrive, but no command reaches it. */
  | "doesn't hear"
  /** All work was gracefully evicted. */
  | "drained"
  /** It was cordoned because its tasks took too long. */
  | "slow"
  /** It was cordoned because tasks of several jobs failed on it. */
  | "fails tasks"
  /** It had no work for a while, and none is expected for it. */
  | "idle";

/** Identifiers of the machines to be released, by reason; reasons in the order in which they first came up. */
export type ScaleInPlan = Map<ScaleInReason, string[]>;
