/** How long the leader's writes wait for admission after the state service refused a request for its rate limit. */
import * as Duration from "effect/Duration";

/** Long, since a write that gives up early is only repeated, and then has lost its place in the queue. */
export const LEADER_WRITE_ADMISSION_TIMEOUT = Duration.seconds(10);
