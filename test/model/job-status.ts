/**
 * Answers about jobs: what a process knows, checked against the commits in the state service.
 */
import { type View, type Process, type JobStatus } from "./job-views.js";
import { type WaitingJobs } from "./waiting-jobs.js";

/** The unfinished jobs before a waiting one, as far as this process knows them. */
export function knownAncestors<N extends Process>(
  pipelines: WaitingJobs<N>,
  view: View,
  id: string,
): string[] {
  if (pipelines.host.isWithoutGuard("ancestors") || !view.waiting.has(id)) return [];
  return view.waiters.ancestorsOf(id, (p) => view.finals.get(p) === "done");
}

/** Rests on the commits, checked in the state service, of the job and all unfinished ones before it. */
export function readStatus<N extends Process>(
  pipelines: WaitingJobs<N>,
  node: N,
  id: string,
  then: (standing: JobStatus | null) => void,
): void {
  const { host } = pipelines;
  const { view } = node;
  const outcome = view.finals.get(id);
  if (outcome !== undefined) return then({ kind: "final", outcome });
  const known = view.isUnfinished(id);
  const ids = [id, ...knownAncestors(pipelines, view, id)];
  pipelines.request(
    node,
    () => ({
      exists:
        (!host.isWithoutGuard("checked") && ids.some((x) => host.commits.has(x))) ||
        (!known && (host.jobs.has(id) || (node.version === "new" && pipelines.waiting.has(id)))),
    }),
    (answer) => {
      if (answer === null) return then(null);
      if (answer.exists) return readJob(pipelines, node, id, then);
      if (!known) return then({ kind: "absent" });
      const job = view.jobs.get(id);
      const row = job ?? view.waiting.get(id);
      // it ended in the meantime, or more was heard of what it waits for
      if (row === undefined) return readJob(pipelines, node, id, then);
      const isNews = (p: string): boolean =>
        !ids.includes(p) || (!view.isUnfinished(p) && !host.isWithoutGuard("unheard"));
      if (job === undefined && knownAncestors(pipelines, view, id).some(isNews))
        return readJob(pipelines, node, id, then);
      then({ kind: "open", stamp: row.revision, waiting: job === undefined });
    },
  );
}

/** Reads a job's commit, waiting record and record, one request after the other. */
export function readJob<N extends Process>(
  pipelines: WaitingJobs<N>,
  node: N,
  id: string,
  then: (standing: JobStatus | null) => void,
): void {
  const { host } = pipelines;
  const { view } = node;
  const known = view.finals.get(id);
  if (known !== undefined) return then({ kind: "final", outcome: known });
  const get = <T>(row: () => T | undefined, next: (row: T | undefined) => void): void =>
    pipelines.request(
      node,
      () => ({ row: row() }),
      (answer) => (answer === null ? then(null) : next(answer.row)),
    );
  const commit = (next: () => void): void =>
    get(
      () => host.commits.get(id),
      (row) => {
        if (row === undefined) return next();
        view.finals.set(id, row.outcome);
        then({ kind: "final", outcome: row.outcome });
      },
    );
  const job = (): void =>
    get(
      () => host.jobs.get(id),
      (row) => {
        if (row === undefined || view.isOver(id)) return commit(() => then({ kind: "absent" }));
        view.put(id, row);
        then({ kind: "open", stamp: row.revision, waiting: false });
      },
    );
  // the commit first, then what a job is in the course of its life, one request after the other
  commit(() =>
    get(
      () => (node.version === "new" ? pipelines.waiting.get(id) : undefined),
      (row) => {
        if (row === undefined || view.isOver(id)) return job();
        view.putWaiting(id, row);
        readWaitingJob(pipelines, node, id, row.revision, new Map(), then);
      },
    ),
  );
}

/** A waiting job is what its record says, unless one before it was cancelled. */
export function readWaitingJob<N extends Process>(
  pipelines: WaitingJobs<N>,
  node: N,
  id: string,
  stamp: number,
  asked: Map<string, boolean>,
  then: (standing: JobStatus | null) => void,
): void {
  const { host } = pipelines;
  const { view } = node;
  // released or over in the meantime: what comes before it is not known here any more
  if (!view.waiting.has(id)) return readJob(pipelines, node, id, then);
  const isNews = (p: string): boolean => !host.isWithoutGuard("overtaken") && view.isOver(p) !== asked.get(p);
  const parent = knownAncestors(pipelines, view, id).find((p) => !asked.has(p) || isNews(p));
  if (parent === undefined) return then({ kind: "open", stamp, waiting: true });
  asked.set(parent, view.isOver(parent));
  pipelines.request(
    node,
    () => ({ commit: host.commits.get(parent) }),
    (row) => {
      if (row === null) return then(null);
      if (row.commit !== undefined) view.finals.set(parent, row.commit.outcome);
      if (row.commit?.outcome === "cancelled")
        return cancelWaitingJob(pipelines, node, id, (ok) =>
          then(ok ? { kind: "final", outcome: "cancelled" } : null),
        );
      const goOn = (): void => readWaitingJob(pipelines, node, id, stamp, asked, then);
      if (row.commit !== undefined || view.isUnfinished(parent) || host.isWithoutGuard("unheard"))
        return goOn();
      // not heard of here yet: what it waits for itself counts as well
      pipelines.request(
        node,
        () => ({
          waits: pipelines.waiting.get(parent),
          job: host.jobs.get(parent),
          commit: host.commits.get(parent),
        }),
        (found) => {
          if (found === null) return then(null);
          if (found.waits !== undefined) view.putWaiting(parent, found.waits);
          else if (found.job !== undefined) view.put(parent, found.job);
          // it ended in between
          else if (found.commit !== undefined) asked.delete(parent);
          goOn();
        },
      );
    },
  );
}

/** A parent's outcome passes on; false: no answer. */
export function cancelWaitingJob<N extends Process>(
  pipelines: WaitingJobs<N>,
  node: N,
  id: string,
  then: (ok: boolean) => void,
): void {
  const { host } = pipelines;
  const { view } = node;
  pipelines.transact(
    node,
    () => !host.commits.has(id),
    () => {
      if (!pipelines.isDoomed(id)) host.broke("went_back", `${id}: cancelled with nothing at ${host.now()}`);
      host.count("cancels passed on");
      pipelines.cancelled(id, "new");
    },
    (ok) => {
      if (ok === null) return then(false);
      view.finals.set(id, "cancelled");
      view.remove(id);
      then(true);
    },
  );
}
