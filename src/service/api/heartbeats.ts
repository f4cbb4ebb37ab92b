/** Heartbeats of workers. */
import { heartbeatAnswer, parseHeartbeat, redirectAnswer } from "../../io/codec.js";
import type { Member } from "../members/member.js";
import { type Answer, answer, refusal, retryLater } from "./answers.js";

/** Large, since a heartbeat lists all tasks of its machine. */
export const MAX_HEARTBEAT_BYTES = 8 * 1024 * 1024;

const parseHeartbeatBody = (body: Buffer | null) => {
  try {
    return body === null ? null : parseHeartbeat(JSON.parse(body.toString("utf8")));
  } catch {
    return null;
  }
};

/**
 * The answer to a heartbeat; `body` is null if it was too large. 421 redirects the worker to the member that owns its
 * machine; 503 means that this node may not act at present.
 */
export const answerHeartbeat = (member: Pick<Member, "handleHeartbeat">, body: Buffer | null): Answer => {
  const heartbeat = parseHeartbeatBody(body);
  if (heartbeat === null) return refusal(400, "not a report");
  const result = member.handleHeartbeat(heartbeat);
  if (result.kind === "taken") return answer(200, heartbeatAnswer(result.fencingToken, result.stopCommands));
  if (result.kind === "elsewhere") return answer(421, redirectAnswer(result.member));
  return retryLater("not entitled");
};
