/**
 * Submissions and cancellations at one controller, as transactions conditional on what it has read.
 */
import {
  type Process,
  type JobStatus,
  MAX_CONDITIONS,
  OWN_RECORD_CONDITIONS,
  MAX_ACCEPT_ATTEMPTS,
  MAX_CANCEL_ATTEMPTS,
} from "./job-views.js";
import { knownAncestors, readJob } from "./job-status.js";
import { type WaitingJobs } from "./waiting-jobs.js";
import { type JobSpec } from "../../src/core/records.js";

/**
 * Writes a submitted job as waiting, released or cancelled, depending on its parents, on condition that these are
 * unchanged.
 */
export function acceptSubmission<N extends Process>(
  waitingJobs: WaitingJobs<N>,
  node: N,
  spec: JobSpec,
  rereadParents: boolean,
  attempts: number,
): void {
  const { host } = waitingJobs;
  if (attempts >= MAX_ACCEPT_ATTEMPTS) return;
  const askedAt = host.now();
  const { version } = node;
  const parentIds = version !== "old" ? spec.dependsOn : [];
  readParents(waitingJobs, node, parentIds, rereadParents, (parents) => {
    if (parents === null) return waitingJobs.queryStatus(node, spec.id);
    if (parents.some((p) => p.kind === "absent"))
      return host.reportViolation(
        "went_back",
        `${spec.id}: refused though its parents are accepted, at ${host.now()}`,
      );
    const isDone = (p: JobStatus): boolean => p.kind === "final" && p.outcome === "done";
    const joined = parentIds.filter((_, i) => isDone(parents[i]!));
    const hasCancelledParent = parents.some((p) => p.kind === "final" && p.outcome === "cancelled");
    const unfinishedParents = parentIds.flatMap((id, i) => {
      const p = parents[i]!;
      return p.kind === "open" ? [{ id, revision: p.revision, waiting: p.waiting }] : [];
    });
    const conditions = unfinishedParents.slice(0, MAX_CONDITIONS - OWN_RECORD_CONDITIONS);
    const { view } = node;
    // a cancelled ancestor counts although its parents' cancellation may not be written yet
    const ancestors = new Set(
      unfinishedParents.flatMap((p) => (p.waiting ? knownAncestors(waitingJobs, view, p.id) : [])),
    );
    const checkedAncestors = [...ancestors].slice(
      0,
      MAX_CONDITIONS - OWN_RECORD_CONDITIONS - conditions.length,
    );
    let isNew = true;
    const row = { spec, revision: 0, accepted: askedAt, released: host.now() };
    const isUnchanged = (): boolean =>
      conditions.every(
        (c) => (c.waiting ? waitingJobs.waiting : host.jobs).get(c.id)?.revision === c.revision,
      ) &&
      (host.isWithoutGuard("ancestors_of_parents") || !checkedAncestors.some((p) => host.commits.has(p)));
    waitingJobs.transact(
      node,
      () => {
        const isWaiting = version !== "old" && waitingJobs.waiting.has(spec.id);
        isNew = !host.commits.has(spec.id) && !host.jobs.has(spec.id) && !isWaiting;
        if (isNew && !isUnchanged()) host.count("children refused as a parent changed");
        return isNew && isUnchanged();
      },
      () => {
        const revision = host.nextRevision();
        row.revision = revision;
        if (hasCancelledParent) return host.commit(spec.id, "cancelled");
        if (unfinishedParents.length === 0) return waitingJobs.release(spec.id, row);
        if (unfinishedParents.some((p) => host.commits.has(p.id)))
          host.count("children accepted while a parent committed");
        waitingJobs.waiting.set(spec.id, row);
        waitingJobs.fanins.set(spec.id, { joined, released: false, revision });
      },
      (ok) => {
        // without an answer it may still have been accepted
        if (ok === null || !isNew) return waitingJobs.queryStatus(node, spec.id);
        if (!ok) return acceptSubmission(waitingJobs, node, spec, true, attempts + 1);
        if (hasCancelledParent) {
          host.count("children of cancelled jobs accepted");
          view.outcomes.set(spec.id, "cancelled");
          view.remove(spec.id);
          return waitingJobs.receiveAnswer(spec.id, { kind: "final", outcome: "cancelled" }, askedAt);
        }
        if (unfinishedParents.length === 0) view.putJob(spec.id, row);
        else {
          view.putFanin(spec.id, { joined, released: false, revision: row.revision });
          view.putWaiting(spec.id, row);
        }
        host.count(
          unfinishedParents.length === 0 ? "children of finished jobs accepted" : "waiting jobs accepted",
        );
        waitingJobs.receiveAnswer(
          spec.id,
          { kind: "open", revision: row.revision, waiting: unfinishedParents.length > 0 },
          askedAt,
        );
      },
    );
  });
}

/** Reads the status of all parents; `then` gets null if an answer is missing. */
export function readParents<N extends Process>(
  waitingJobs: WaitingJobs<N>,
  node: N,
  parentIds: readonly string[],
  reread: boolean,
  then: (parents: JobStatus[] | null) => void,
): void {
  if (parentIds.length === 0) return then([]);
  const { view } = node;
  const found = new Map<string, JobStatus | null>();
  const setStatus = (id: string, status: JobStatus | null): void => {
    found.set(id, status);
    if (found.size < parentIds.length) return;
    const all = parentIds.map((p) => found.get(p) ?? null);
    then(all.includes(null) ? null : (all as JobStatus[]));
  };
  for (const id of parentIds) {
    const outcome = view.outcomes.get(id);
    const areAncestorsKnown = knownAncestors(waitingJobs, view, id).every((p) => view.isUnfinished(p));
    const row = reread || !areAncestorsKnown ? undefined : (view.jobs.get(id) ?? view.waiting.get(id));
    if (outcome !== undefined) setStatus(id, { kind: "final", outcome });
    else if (row !== undefined)
      setStatus(id, { kind: "open", revision: row.revision, waiting: !view.jobs.has(id) });
    else readJob(waitingJobs, node, id, (standing) => setStatus(id, standing));
  }
}

/** Cancels a job, on condition that its record is unchanged since it was read. */
export function cancelAtNode<N extends Process>(
  waitingJobs: WaitingJobs<N>,
  node: N,
  id: string,
  attempts: number,
): void {
  const { host } = waitingJobs;
  if (attempts >= MAX_CANCEL_ATTEMPTS) return;
  const askedAt = host.now();
  readJob(waitingJobs, node, id, (status) => {
    if (status?.kind === "final" && status.outcome === "done")
      host.count("cancels refused as the job had ended");
    if (status?.kind !== "open") return waitingJobs.receiveAnswer(id, status, askedAt);
    const { revision, waiting } = status;
    const { version } = node;
    waitingJobs.transact(
      node,
      () =>
        !host.commits.has(id) && (waiting ? waitingJobs.waiting : host.jobs).get(id)?.revision === revision,
      () => {
        host.count(waiting ? "waiting jobs cancelled" : "released jobs cancelled");
        waitingJobs.commitCancellation(id, version);
      },
      (ok) => {
        if (ok === false) {
          host.count(
            waiting ? "cancels refused as the waiting job changed" : "cancels refused as the job had ended",
          );
          return cancelAtNode(waitingJobs, node, id, attempts + 1);
        }
        if (ok !== true) return;
        node.view.outcomes.set(id, "cancelled");
        node.view.remove(id);
        waitingJobs.receiveOutcome(id, "cancelled");
      },
    );
  });
}
