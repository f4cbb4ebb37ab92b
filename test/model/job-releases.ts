/**
 * The leader's work on waiting jobs: it joins finished parents to fan-in sets, and releases or cancels waiting jobs.
 */
import { type JobRow, type Fanin, type Process, FULL_REVIEW_INTERVAL_MS } from "./job-views.js";
import { cancelWaitingJob } from "./job-status.js";
import { type WaitingJobs } from "./waiting-jobs.js";
import { faninStep, type ParentState } from "../../src/core/jobs/fanin.js";

/** Reviews all waiting jobs after a change of leader and every few seconds, otherwise only those that changed. */
export function reviewWaitingJobs<N extends Process>(
  waitingJobs: WaitingJobs<N>,
  node: N,
  leadership: object,
): void {
  const { host } = waitingJobs;
  const { view } = node;
  if (node.version === "old") return stopReviewing(node);
  if (view.leadership !== leadership) {
    view.leadership = leadership;
    view.toReview.clear();
    view.fullReviewAt = null;
  }
  if (view.reviewsInProgress > 0) return;
  let isFullReview = false;
  if (view.fullReviewAt === null || host.now() - view.fullReviewAt >= FULL_REVIEW_INTERVAL_MS) {
    isFullReview = true;
    view.fullReviewAt = host.now();
    deleteObsoleteSets(waitingJobs, node);
    if (!host.isWithoutGuard("recover_joins")) for (const id of view.waiting.keys()) view.toReview.add(id);
  }
  const toReview = [...view.toReview];
  view.toReview.clear();
  for (const id of toReview) reviewJob(waitingJobs, node, id, isFullReview);
}

/** Deletes sets of ended jobs, left by the earlier version or by a process that did not know the set at the commit. */
export function deleteObsoleteSets<N extends Process>(waitingJobs: WaitingJobs<N>, node: N): void {
  const { host, versions } = waitingJobs;
  if (!host.reachesState(node) || host.isWithoutGuard("obsolete_sets")) return;
  for (const id of node.view.fanins.keys()) {
    if (node.view.isUnfinished(id) || !waitingJobs.fanins.delete(id)) continue;
    if (versions.leftoverSets.delete(id)) host.count("sets left by the earlier version deleted");
  }
}

/** Stops the reviews of a process that does not lead. */
export function stopReviewing<N extends Process>(node: N): void {
  node.view.leadership = null;
  node.view.toReview.clear();
}

/** Reviews a waiting job whose parents may have ended: it waits on, is cancelled, or finished parents are joined. */
export function reviewJob<N extends Process>(
  waitingJobs: WaitingJobs<N>,
  node: N,
  id: string,
  isFullReview: boolean,
): void {
  const { view } = node;
  const job = view.waiting.get(id);
  if (job === undefined) return;
  view.reviewsInProgress++;
  const endReview = (): void => void view.reviewsInProgress--;
  const { dependsOn } = job.spec;
  const parentsToRead = dependsOn.filter((p) => !view.isUnfinished(p) && !view.outcomes.has(p));
  readOutcomes(waitingJobs, node, parentsToRead, (ok) => {
    if (!ok) return endReview();
    const stateOf = (p: string): ParentState =>
      view.isUnfinished(p) ? "open" : (view.outcomes.get(p) ?? "unknown");
    const states = new Map(dependsOn.map((p) => [p, stateOf(p)]));
    const step = (set: Fanin | null): void => {
      const next = faninStep(dependsOn, set?.joined ?? [], (p) => states.get(p)!);
      if (next.kind === "wait") return endReview();
      if (next.kind === "cancel") return cancelWaitingJob(waitingJobs, node, id, endReview);
      if (set === null || set.released) return endReview();
      joinFanin(
        waitingJobs,
        node,
        job,
        set,
        { joined: next.joined, released: next.completesSet },
        isFullReview,
        endReview,
      );
    };
    const set = view.fanins.get(id);
    if (set !== undefined) step(set);
    else readSet(waitingJobs, node, id, step);
  });
}

/** Reads the outcomes of these jobs, as far as they have ended; `then` gets false if an answer is missing. */
export function readOutcomes<N extends Process>(
  waitingJobs: WaitingJobs<N>,
  node: N,
  ids: readonly string[],
  then: (ok: boolean) => void,
): void {
  const { host } = waitingJobs;
  const [id, ...rest] = ids;
  if (id === undefined) return then(true);
  waitingJobs.request(
    node,
    () => ({ commit: host.commits.get(id) }),
    (row) => {
      if (row === null) return then(false);
      if (row.commit !== undefined) node.view.outcomes.set(id, row.commit.outcome);
      readOutcomes(waitingJobs, node, rest, then);
    },
  );
}

export function readSet<N extends Process>(
  waitingJobs: WaitingJobs<N>,
  node: N,
  id: string,
  then: (set: Fanin | null) => void,
): void {
  waitingJobs.request(
    node,
    () => ({ set: waitingJobs.fanins.get(id) }),
    (row) => {
      if (row?.set !== undefined) node.view.putFanin(id, row.set);
      then(node.view.fanins.get(id) ?? null);
    },
  );
}

/** Joins parents to a set in one conditional write, which also releases the job if the set is complete then. */
export function joinFanin<N extends Process>(
  waitingJobs: WaitingJobs<N>,
  node: N,
  job: JobRow,
  set: Fanin,
  next: { joined: readonly string[]; released: boolean },
  isFullReview: boolean,
  endReview: () => void,
): void {
  const { host } = waitingJobs;
  const { view } = node;
  const { id } = job.spec;
  let revision = 0;
  const row = { ...job, released: host.now() };
  const completesLostJoin = next.joined.some(
    (p) => !set.joined.includes(p) && waitingJobs.committedBy.get(p) !== view && host.commits.has(p),
  );
  // whether another process changed the set first
  let isSetChanged = false;
  const isUnchanged = (): boolean =>
    waitingJobs.fanins.get(id)?.revision === set.revision &&
    waitingJobs.waiting.get(id)?.revision === job.revision &&
    !host.commits.has(id);
  waitingJobs.transact(
    node,
    (late) => {
      if (host.isWithoutGuard("join_conditions") || isUnchanged()) return true;
      if (late) host.count("late joins refused");
      isSetChanged = waitingJobs.fanins.get(id)?.revision !== set.revision;
      return false;
    },
    () => {
      revision = host.nextRevision();
      host.count("joins");
      if (isFullReview && completesLostJoin) host.count("lost joins recovered");
      waitingJobs.fanins.set(id, { ...next, revision });
      if (!next.released) return;
      host.count("releases");
      if (host.commits.has(id))
        host.reportViolation("went_back", `${id}: committed, then released at ${host.now()}`);
      waitingJobs.release(id, { ...row, revision });
      waitingJobs.waiting.delete(id);
    },
    (ok) => {
      if (ok === true) {
        view.putFanin(id, { ...next, revision });
        if (next.released) view.putJob(id, { ...row, revision });
        return endReview();
      }
      if (ok === null) return endReview();
      host.count("joins refused");
      if (isSetChanged) readSet(waitingJobs, node, id, endReview);
      else endReview();
    },
  );
}
