/** Heartbeats of workers: this node takes them, sends the worker to another node, or may not act. */
import { heartbeatAnswer, parseHeartbeat, redirectAnswer } from "../../io/codec.js";
import type { Member } from "../members/member.js";
import { type Answer, answer, refusal, retryLater } from "./answers.js";

/** A machine may have many tasks, all of which its heartbeat names. */
export const MAX_HEARTBEAT_BYTES = 8 * 1024 * 1024;

const parseHeartbeatBody = (body: Buffer | null) => {
  try {
    return body === null ? null : parseHeartbeat(JSON.parse(body.toString("utf8")));
  } catch {
    return null;
  }
};

/** The answer to a heartbeat; a body of null was too large. A node that isn't entitled to act answers 421 or 503. */
export const answerHeartbeat = (member: Pick<Member, "handleHeartbeat">, body: Buffer | null): Answer => {
  const heartbeat = parseHeartbeatBody(body);
  if (heartbeat === null) return refusal(400, "not a report");
  const result = member.handleHeartbeat(heartbeat);
  if (result.kind === "taken") return answer(200, heartbeatAnswer(result.fencingToken, result.stopCommands));
  if (result.kind === "elsewhere") return answer(421, redirectAnswer(result.member));
  return retryLater("not entitled");
};
