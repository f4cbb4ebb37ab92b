/** The patience of the leader's own writes, which take turns with others after a refusal for the rate. */
import * as Duration from "effect/Duration";

/** After refusals the leader's own changes wait in line: an attempt that gives up soon only comes again, out of turn. */
export const LEADER_WRITE_ADMISSION_TIMEOUT = Duration.seconds(10);
