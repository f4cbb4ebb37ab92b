/** The health check, by which the load balancer decides whether to send users to this node. */
import type { JobCache } from "../job-cache.js";
import type { Leader } from "../leader/leader.js";
import { type Answer, answer, retryLater } from "./answers.js";

/** 503 until the jobs have been read, and while this node can't reach the state service but other nodes can. */
export const answerHealth = (
  jobCache: Pick<JobCache, "isReady">,
  leader: Pick<Leader, "isStateOutageLocal">,
): Answer => {
  if (!jobCache.isReady) return retryLater("starting");
  if (leader.isStateOutageLocal()) return retryLater("no state service");
  return answer(200, '{"ok":true}');
};
