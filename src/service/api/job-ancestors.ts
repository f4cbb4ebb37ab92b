/**
 * The ancestors of a blocked job: its parents, their parents, and so on. The job's status depends on them: once an
 * ancestor is cancelled the job counts as cancelled, even before its own commit record is written.
 */
import { keys } from "../../core/records.js";
import type { JobCache } from "../job-cache.js";
import type { KnownOutcomes } from "./known-outcomes.js";

/** Looks up ancestors in the cache of jobs, which may not have all of them yet. */
export class JobAncestors {
  /** Reads from `jobCache` and `outcomes`, and changes neither. */
  constructor(
    private readonly jobCache: JobCache,
    private readonly outcomes: KnownOutcomes,
  ) {}

  /** The ancestors that aren't known to be done. A released job has none, since all its ancestors are done. */
  ancestorsNotDone(id: string): string[] {
    if (!this.jobCache.blockedJobs.has(id)) return [];
    return this.jobCache.dependencies.ancestorsOf(
      id,
      (parent) => this.outcomes.get(parent)?.outcome === "done",
    );
  }

  /** The keys of the commits that could cancel a blocked job; null if not all of its ancestors are known yet. */
  commitKeys(id: string): string[] | null {
    const ancestors = this.ancestorsNotDone(id);
    return ancestors.every((ancestor) => this.jobCache.isUnfinished(ancestor))
      ? ancestors.map(keys.commit)
      : null;
  }
}
