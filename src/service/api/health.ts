/** Health: whether the load balancer is to send users to this node. */
import type { JobCache } from "../job-cache.js";
import type { Leader } from "../leader/leader.js";
import { type Answer, answer, retryLater } from "./answers.js";

/** Not ready while this node alone can't reach the state service: other nodes then serve users better. */
export const answerHealth = (
  jobCache: Pick<JobCache, "isReady">,
  leader: Pick<Leader, "isStateOutageLocal">,
): Answer => {
  if (!jobCache.isReady) return retryLater("starting");
  if (leader.isStateOutageLocal()) return retryLater("no state service");
  return answer(200, '{"ok":true}');
};
