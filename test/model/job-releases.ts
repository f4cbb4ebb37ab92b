/**
 * The leader's part: it joins finished parents to fan-in sets, and releases or cancels what waited for them.
 */
import { type Row, type Fanin, type Process, LOOK_AT_ALL_MS } from "./job-views.js";
import { cancelWaitingJob } from "./job-status.js";
import { type WaitingJobs } from "./waiting-jobs.js";
import { faninStep, type ParentState } from "../../src/core/jobs/fanin.js";

/** One round of a leader: all that waits after a take-over and every few seconds, else what changed. */
export function reviewWaitingJobs<N extends Process>(
  pipelines: WaitingJobs<N>,
  node: N,
  leadsAs: object,
): void {
  const { host } = pipelines;
  const { view } = node;
  if (node.version === "old") return stopReviewing(node);
  if (view.leadsAs !== leadsAs) {
    view.leadsAs = leadsAs;
    view.changed.clear();
    view.lookedAtAll = null;
  }
  if (view.busy > 0) return;
  let all = false;
  if (view.lookedAtAll === null || host.now() - view.lookedAtAll >= LOOK_AT_ALL_MS) {
    all = true;
    view.lookedAtAll = host.now();
    deleteUselessSets(pipelines, node);
    if (!host.isWithoutGuard("join")) for (const id of view.waiting.keys()) view.changed.add(id);
  }
  const some = [...view.changed];
  view.changed.clear();
  for (const id of some) reviewJob(pipelines, node, id, all);
}

/** Sets of jobs that are over: an earlier version left them, or whoever committed the job didn't know of them. */
export function deleteUselessSets<N extends Process>(pipelines: WaitingJobs<N>, node: N): void {
  const { host, versions } = pipelines;
  if (!host.reaches(node) || host.isWithoutGuard("useless")) return;
  for (const id of node.view.fanins.keys()) {
    if (node.view.isUnfinished(id) || !pipelines.fanins.delete(id)) continue;
    if (versions.leftSets.delete(id)) host.count("sets of the earlier version deleted");
  }
}

/** This process doesn't lead any more. */
export function stopReviewing<N extends Process>(node: N): void {
  node.view.leadsAs = null;
  node.view.changed.clear();
}

/** A waiting job whose parents may have ended: it waits on, is cancelled, or gets what joined. */
export function reviewJob<N extends Process>(
  pipelines: WaitingJobs<N>,
  node: N,
  id: string,
  all: boolean,
): void {
  const { view } = node;
  const job = view.waiting.get(id);
  if (job === undefined) return;
  view.busy++;
  const end = (): void => void view.busy--;
  const { dependsOn } = job.spec;
  const unknown = dependsOn.filter((p) => !view.isUnfinished(p) && !view.finals.has(p));
  readOutcomes(pipelines, node, unknown, (ok) => {
    if (!ok) return end();
    const stateOf = (p: string): ParentState =>
      view.isUnfinished(p) ? "open" : (view.finals.get(p) ?? "unknown");
    const states = new Map(dependsOn.map((p) => [p, stateOf(p)]));
    const step = (set: Fanin | null): void => {
      const next = faninStep(dependsOn, set?.joined ?? [], (p) => states.get(p)!);
      if (next.kind === "wait") return end();
      if (next.kind === "cancel") return cancelWaitingJob(pipelines, node, id, end);
      if (set === null || set.released) return end();
      joinFanin(pipelines, node, job, set, { joined: next.joined, released: next.completesSet }, all, end);
    };
    const set = view.fanins.get(id);
    if (set !== undefined) step(set);
    else readSet(pipelines, node, id, step);
  });
}

/** Reads which of these jobs have ended. */
export function readOutcomes<N extends Process>(
  pipelines: WaitingJobs<N>,
  node: N,
  ids: readonly string[],
  then: (ok: boolean) => void,
): void {
  const { host } = pipelines;
  const [id, ...rest] = ids;
  if (id === undefined) return then(true);
  pipelines.request(
    node,
    () => ({ commit: host.commits.get(id) }),
    (row) => {
      if (row === null) return then(false);
      if (row.commit !== undefined) node.view.finals.set(id, row.commit.outcome);
      readOutcomes(pipelines, node, rest, then);
    },
  );
}

/** Reads a fan-in set. */
export function readSet<N extends Process>(
  pipelines: WaitingJobs<N>,
  node: N,
  id: string,
  then: (set: Fanin | null) => void,
): void {
  pipelines.request(
    node,
    () => ({ set: pipelines.fanins.get(id) }),
    (row) => {
      if (row?.set !== undefined) node.view.putFanin(id, row.set);
      then(node.view.fanins.get(id) ?? null);
    },
  );
}

/** The add, and with the filling one the release, in one conditional write. */
export function joinFanin<N extends Process>(
  pipelines: WaitingJobs<N>,
  node: N,
  job: Row,
  set: Fanin,
  next: { joined: readonly string[]; released: boolean },
  all: boolean,
  end: () => void,
): void {
  const { host } = pipelines;
  const { view } = node;
  const { id } = job.spec;
  let stamp = 0;
  const row = { ...job, released: host.now() };
  const isLost = next.joined.some(
    (p) => !set.joined.includes(p) && pipelines.committedBy.get(p) !== view && host.commits.has(p),
  );
  // somebody else's add came first
  let isOther = false;
  const attempts = (): boolean =>
    pipelines.fanins.get(id)?.revision === set.revision &&
    pipelines.waiting.get(id)?.revision === job.revision &&
    !host.commits.has(id);
  pipelines.transact(
    node,
    (late) => {
      if (host.isWithoutGuard("filling") || attempts()) return true;
      if (late) host.count("late joins refused");
      isOther = pipelines.fanins.get(id)?.revision !== set.revision;
      return false;
    },
    () => {
      stamp = host.nextRevision();
      host.count("joins");
      if (all && isLost) host.count("lost joins found again");
      pipelines.fanins.set(id, { ...next, revision: stamp });
      if (!next.released) return;
      host.count("releases");
      if (host.commits.has(id)) host.broke("went_back", `${id}: over, then released at ${host.now()}`);
      pipelines.release(id, { ...row, revision: stamp });
      pipelines.waiting.delete(id);
    },
    (ok) => {
      if (ok === true) {
        view.putFanin(id, { ...next, revision: stamp });
        if (next.released) view.put(id, { ...row, revision: stamp });
        return end();
      }
      if (ok === null) return end();
      host.count("joins refused");
      if (isOther) readSet(pipelines, node, id, end);
      else end();
    },
  );
}
