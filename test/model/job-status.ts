/**
 * Answers to status queries: what a process knows of a job, checked against the commits in the state service.
 */
import { type JobView, type Process, type JobStatus } from "./job-views.js";
import { type WaitingJobs } from "./waiting-jobs.js";

/** The unfinished ancestors of a waiting job, as far as this process knows them. */
export function knownAncestors<N extends Process>(
  waitingJobs: WaitingJobs<N>,
  view: JobView,
  id: string,
): string[] {
  if (waitingJobs.host.isWithoutGuard("ancestors") || !view.waiting.has(id)) return [];
  return view.blockedJobs.ancestorsOf(id, (p) => view.outcomes.get(p) === "done");
}

/** Reads a job's status, after checking that neither it nor an unfinished ancestor has a commit in the state service. */
export function readStatus<N extends Process>(
  waitingJobs: WaitingJobs<N>,
  node: N,
  id: string,
  then: (status: JobStatus | null) => void,
): void {
  const { host } = waitingJobs;
  const { view } = node;
  const outcome = view.outcomes.get(id);
  if (outcome !== undefined) return then({ kind: "final", outcome });
  const isKnown = view.isUnfinished(id);
  const ids = [id, ...knownAncestors(waitingJobs, view, id)];
  waitingJobs.request(
    node,
    () => ({
      exists:
        (!host.isWithoutGuard("check_commits") && ids.some((x) => host.commits.has(x))) ||
        (!isKnown && (host.jobs.has(id) || (node.version !== "old" && waitingJobs.waiting.has(id)))),
    }),
    (answer) => {
      if (answer === null) return then(null);
      if (answer.exists) return readJob(waitingJobs, node, id, then);
      if (!isKnown) return then({ kind: "absent" });
      const job = view.jobs.get(id);
      const row = job ?? view.waiting.get(id);
      // it ended in the meantime, or this process has learned of further ancestors
      if (row === undefined) return readJob(waitingJobs, node, id, then);
      const isUnchecked = (p: string): boolean =>
        !ids.includes(p) || (!view.isUnfinished(p) && !host.isWithoutGuard("unknown_ancestors"));
      if (job === undefined && knownAncestors(waitingJobs, view, id).some(isUnchecked))
        return readJob(waitingJobs, node, id, then);
      then({ kind: "open", revision: row.revision, waiting: job === undefined });
    },
  );
}

/** Reads a job's commit, waiting record and released record, one request after the other. */
export function readJob<N extends Process>(
  waitingJobs: WaitingJobs<N>,
  node: N,
  id: string,
  then: (status: JobStatus | null) => void,
): void {
  const { host } = waitingJobs;
  const { view } = node;
  const knownOutcome = view.outcomes.get(id);
  if (knownOutcome !== undefined) return then({ kind: "final", outcome: knownOutcome });
  const get = <T>(row: () => T | undefined, next: (row: T | undefined) => void): void =>
    waitingJobs.request(
      node,
      () => ({ row: row() }),
      (answer) => (answer === null ? then(null) : next(answer.row)),
    );
  const readCommit = (next: () => void): void =>
    get(
      () => host.commits.get(id),
      (row) => {
        if (row === undefined) return next();
        view.outcomes.set(id, row.outcome);
        then({ kind: "final", outcome: row.outcome });
      },
    );
  const readRecord = (): void =>
    get(
      () => host.jobs.get(id),
      (row) => {
        if (row === undefined || view.hasEnded(id)) return readCommit(() => then({ kind: "absent" }));
        view.putJob(id, row);
        then({ kind: "open", revision: row.revision, waiting: false });
      },
    );
  // the waiting record before the released one, as a job turns from the former to the latter
  readCommit(() =>
    get(
      () => (node.version !== "old" ? waitingJobs.waiting.get(id) : undefined),
      (row) => {
        if (row === undefined || view.hasEnded(id)) return readRecord();
        view.putWaiting(id, row);
        readWaitingJob(waitingJobs, node, id, row.revision, new Map(), then);
      },
    ),
  );
}

/** Answers with a waiting job's record unless one of its ancestors was cancelled. */
export function readWaitingJob<N extends Process>(
  waitingJobs: WaitingJobs<N>,
  node: N,
  id: string,
  revision: number,
  checkedAncestors: Map<string, boolean>,
  then: (status: JobStatus | null) => void,
): void {
  const { host } = waitingJobs;
  const { view } = node;
  // released or ended in the meantime: its ancestors are not known here any more
  if (!view.waiting.has(id)) return readJob(waitingJobs, node, id, then);
  const hasEndedSinceCheck = (p: string): boolean =>
    !host.isWithoutGuard("recheck_ancestors") && view.hasEnded(p) !== checkedAncestors.get(p);
  const ancestor = knownAncestors(waitingJobs, view, id).find(
    (p) => !checkedAncestors.has(p) || hasEndedSinceCheck(p),
  );
  if (ancestor === undefined) return then({ kind: "open", revision, waiting: true });
  checkedAncestors.set(ancestor, view.hasEnded(ancestor));
  waitingJobs.request(
    node,
    () => ({ commit: host.commits.get(ancestor) }),
    (row) => {
      if (row === null) return then(null);
      if (row.commit !== undefined) view.outcomes.set(ancestor, row.commit.outcome);
      if (row.commit?.outcome === "cancelled")
        return cancelWaitingJob(waitingJobs, node, id, (ok) =>
          then(ok ? { kind: "final", outcome: "cancelled" } : null),
        );
      const checkNext = (): void => readWaitingJob(waitingJobs, node, id, revision, checkedAncestors, then);
      if (row.commit !== undefined || view.isUnfinished(ancestor) || host.isWithoutGuard("unknown_ancestors"))
        return checkNext();
      // this process does not know the ancestor yet, nor what it waits for itself
      waitingJobs.request(
        node,
        () => ({
          waits: waitingJobs.waiting.get(ancestor),
          job: host.jobs.get(ancestor),
          commit: host.commits.get(ancestor),
        }),
        (found) => {
          if (found === null) return then(null);
          if (found.waits !== undefined) view.putWaiting(ancestor, found.waits);
          else if (found.job !== undefined) view.putJob(ancestor, found.job);
          // it ended in between
          else if (found.commit !== undefined) checkedAncestors.delete(ancestor);
          checkNext();
        },
      );
    },
  );
}

/** Cancels a waiting job whose ancestor was cancelled; `then` gets false if there was no answer. */
export function cancelWaitingJob<N extends Process>(
  waitingJobs: WaitingJobs<N>,
  node: N,
  id: string,
  then: (ok: boolean) => void,
): void {
  const { host } = waitingJobs;
  const { view } = node;
  waitingJobs.transact(
    node,
    () => !host.commits.has(id),
    () => {
      if (!waitingJobs.hasCancelledAncestor(id))
        host.reportViolation("went_back", `${id}: cancelled without need at ${host.now()}`);
      host.count("cancellations propagated");
      waitingJobs.commitCancellation(id, "new");
    },
    (ok) => {
      if (ok === null) return then(false);
      view.outcomes.set(id, "cancelled");
      view.remove(id);
      then(true);
    },
  );
}
