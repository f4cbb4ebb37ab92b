/**
 * The jobs before a blocked one, which its status rests on as well: when one is cancelled, so is the job, however long it
 * takes to write that down.
 */
import { keys } from "../../core/records.js";
import type { JobCache } from "../job-cache.js";
import type { KnownOutcomes } from "./known-outcomes.js";

/** Ancestors as far as they were heard of here. */
export class JobAncestors {
  /** Both are only read. */
  constructor(
    private readonly jobCache: JobCache,
    private readonly outcomes: KnownOutcomes,
  ) {}

  /** All jobs before a blocked one that aren't known to be done. A released job has none: all before it are done. */
  ancestorsNotDone(id: string): string[] {
    if (!this.jobCache.blockedJobs.has(id)) return [];
    return this.jobCache.dependencies.ancestorsOf(
      id,
      (parent) => this.outcomes.get(parent)?.outcome === "done",
    );
  }

  /** The keys of the commits that a blocked job's end may come from; null: not all before it was heard of yet. */
  commitKeys(id: string): string[] | null {
    const ancestors = this.ancestorsNotDone(id);
    return ancestors.every((ancestor) => this.jobCache.isUnfinished(ancestor))
      ? ancestors.map(keys.commit)
      : null;
  }
}
