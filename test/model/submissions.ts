/**
 * Submissions and cancellations at one process, as transactions on what it read.
 */
import {
  type Process,
  type JobStatus,
  CONDITIONS,
  OWN_CONDITIONS,
  ACCEPT_TRIES,
  CANCEL_TRIES,
} from "./job-views.js";
import { knownAncestors, readJob } from "./job-status.js";
import { type WaitingJobs } from "./waiting-jobs.js";
import { type JobSpec } from "../../src/core/records.js";

/** Its record and set, or the released job, or its end: written if its parents are still what they were. */
export function acceptSubmission<N extends Process>(
  pipelines: WaitingJobs<N>,
  node: N,
  spec: JobSpec,
  stale: boolean,
  tries: number,
): void {
  const { host } = pipelines;
  if (tries >= ACCEPT_TRIES) return;
  const asked = host.now();
  const { version } = node;
  const awaits = version === "new" ? spec.dependsOn : [];
  readParents(pipelines, node, awaits, stale, (parents) => {
    if (parents === null) return pipelines.ask(node, spec.id);
    if (parents.some((p) => p.kind === "absent"))
      return host.broke("went_back", `${spec.id}: awaits an accepted job, refused at ${host.now()}`);
    const isDone = (p: JobStatus): boolean => p.kind === "final" && p.outcome === "done";
    const joined = awaits.filter((_, i) => isDone(parents[i]!));
    const doomed = parents.some((p) => p.kind === "final" && p.outcome === "cancelled");
    const open = awaits.flatMap((id, i) => {
      const p = parents[i]!;
      return p.kind === "open" ? [{ id, stamp: p.stamp, waiting: p.waiting }] : [];
    });
    const conditions = open.slice(0, CONDITIONS - OWN_CONDITIONS);
    const { view } = node;
    // a cancel before a parent counts although it hasn't been passed on to the parent yet
    const before = new Set(open.flatMap((p) => (p.waiting ? knownAncestors(pipelines, view, p.id) : [])));
    const commits = [...before].slice(0, CONDITIONS - OWN_CONDITIONS - conditions.length);
    let isNew = true;
    const row = { spec, revision: 0, accepted: asked, released: host.now() };
    const unchanged = (): boolean =>
      conditions.every((c) => (c.waiting ? pipelines.waiting : host.jobs).get(c.id)?.revision === c.stamp) &&
      (host.isWithoutGuard("before") || !commits.some((p) => host.commits.has(p)));
    pipelines.transact(
      node,
      () => {
        const isWaiting = version === "new" && pipelines.waiting.has(spec.id);
        isNew = !host.commits.has(spec.id) && !host.jobs.has(spec.id) && !isWaiting;
        if (isNew && !unchanged()) host.count("children refused as a parent went on");
        return isNew && unchanged();
      },
      () => {
        const stamp = host.nextRevision();
        row.revision = stamp;
        if (doomed) return host.commit(spec.id, "cancelled");
        if (open.length === 0) return pipelines.release(spec.id, row);
        if (open.some((p) => host.commits.has(p.id)))
          host.count("children accepted while a parent committed");
        pipelines.waiting.set(spec.id, row);
        pipelines.fanins.set(spec.id, { joined, released: false, revision: stamp });
      },
      (ok) => {
        // without an answer it may have been accepted all the same
        if (ok === null || !isNew) return pipelines.ask(node, spec.id);
        if (!ok) return acceptSubmission(pipelines, node, spec, true, tries + 1);
        if (doomed) {
          host.count("children of cancelled jobs accepted");
          view.finals.set(spec.id, "cancelled");
          view.remove(spec.id);
          return pipelines.receiveAnswer(spec.id, { kind: "final", outcome: "cancelled" }, asked);
        }
        if (open.length === 0) view.put(spec.id, row);
        else {
          view.putFanin(spec.id, { joined, released: false, revision: row.revision });
          view.putWaiting(spec.id, row);
        }
        host.count(open.length === 0 ? "children of finished jobs accepted" : "waiting jobs accepted");
        pipelines.receiveAnswer(
          spec.id,
          { kind: "open", stamp: row.revision, waiting: open.length > 0 },
          asked,
        );
      },
    );
  });
}

/** The status of all parents; null: no answer about one of them. */
export function readParents<N extends Process>(
  pipelines: WaitingJobs<N>,
  node: N,
  awaits: readonly string[],
  stale: boolean,
  then: (parents: JobStatus[] | null) => void,
): void {
  if (awaits.length === 0) return then([]);
  const { view } = node;
  const found = new Map<string, JobStatus | null>();
  const set = (id: string, standing: JobStatus | null): void => {
    found.set(id, standing);
    if (found.size < awaits.length) return;
    const all = awaits.map((p) => found.get(p) ?? null);
    then(all.includes(null) ? null : (all as JobStatus[]));
  };
  for (const id of awaits) {
    const outcome = view.finals.get(id);
    const isHeardOf = knownAncestors(pipelines, view, id).every((p) => view.isUnfinished(p));
    const row = stale || !isHeardOf ? undefined : (view.jobs.get(id) ?? view.waiting.get(id));
    if (outcome !== undefined) set(id, { kind: "final", outcome });
    else if (row !== undefined) set(id, { kind: "open", stamp: row.revision, waiting: !view.jobs.has(id) });
    else readJob(pipelines, node, id, (standing) => set(id, standing));
  }
}

/** One process cancels a job, on condition that its record is still what it read. */
export function cancelAtNode<N extends Process>(
  pipelines: WaitingJobs<N>,
  node: N,
  id: string,
  tries: number,
): void {
  const { host } = pipelines;
  if (tries >= CANCEL_TRIES) return;
  const asked = host.now();
  readJob(pipelines, node, id, (standing) => {
    if (standing?.kind === "final" && standing.outcome === "done")
      host.count("cancels that met the job's end");
    if (standing?.kind !== "open") return pipelines.receiveAnswer(id, standing, asked);
    const { stamp, waiting } = standing;
    const { version } = node;
    pipelines.transact(
      node,
      () => !host.commits.has(id) && (waiting ? pipelines.waiting : host.jobs).get(id)?.revision === stamp,
      () => {
        host.count(waiting ? "waiting jobs called off" : "released jobs called off");
        pipelines.cancelled(id, version);
      },
      (ok) => {
        if (ok === false) {
          host.count(waiting ? "cancels that met the parent's end" : "cancels that met the job's end");
          return cancelAtNode(pipelines, node, id, tries + 1);
        }
        if (ok !== true) return;
        node.view.finals.set(id, "cancelled");
        node.view.remove(id);
        pipelines.receiveOutcome(id, "cancelled");
      },
    );
  });
}
