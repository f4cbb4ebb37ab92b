/**
 * Fan-in of dependencies. Each parent's commit is added to the fan-in set of the blocked job, and the write that
 * completes the set releases the job. No I/O here: takes the parents' states, returns what has to be written.
 */
import type { JobOutcome } from "../records.js";

/** State of a parent. `unknown`: it isn't among the unfinished jobs, and its commit has not been read yet. */
export type ParentState = "open" | JobOutcome | "unknown";

/** What has to be written for a blocked job (S12, S13). */
export type FaninStep =
  /** A parent was cancelled, so the job is cancelled as well. */
  | { readonly kind: "cancel" }
  /** The set with all parents that are done; `completesSet`: all are, so the write also releases the job. */
  | { readonly kind: "join"; readonly joined: readonly string[]; readonly completesSet: boolean }
  /** Nothing, until another parent ends. */
  | { readonly kind: "wait" };

/** The next step for a blocked job, given its parents' states and the parents already in its set. */
export const faninStep = (
  dependsOn: readonly string[],
  joined: readonly string[],
  stateOf: (parent: string) => ParentState,
): FaninStep => {
  const newJoined = new Set(joined);
  let hasNewlyDone = false;
  for (const parent of dependsOn) {
    if (newJoined.has(parent)) continue;
    const state = stateOf(parent);
    if (state === "cancelled") return { kind: "cancel" };
    if (state !== "done") continue;
    newJoined.add(parent);
    hasNewlyDone = true;
  }
  const completesSet = dependsOn.every((parent) => newJoined.has(parent));
  // a complete set whose job is still blocked shouldn't occur; it is written again, or the job would wait for ever
  return hasNewlyDone || completesSet
    ? {
        kind: "join",
        joined: dependsOn.filter((parent) => newJoined.has(parent)),
        completesSet,
      }
    : { kind: "wait" };
};

/** The blocked jobs and their dependencies. */
export class BlockedJobs {
  private readonly parents = new Map<string, readonly string[]>();
  private readonly children = new Map<string, Set<string>>();

  /** Adds a blocked job, unless it has been added before. */
  add(id: string, dependsOn: readonly string[]): void {
    if (this.parents.has(id)) return;
    this.parents.set(id, dependsOn);
    for (const parent of dependsOn) {
      const children = this.children.get(parent);
      if (children === undefined) this.children.set(parent, new Set([id]));
      else children.add(id);
    }
  }

  /** Removes a job that was released or cancelled. */
  remove(id: string): void {
    for (const parent of this.parents.get(id) ?? []) {
      const children = this.children.get(parent);
      children?.delete(id);
      if (children?.size === 0) this.children.delete(parent);
    }
    this.parents.delete(id);
  }

  /** The blocked jobs that depend directly on this one. */
  childrenOf(id: string): Iterable<string> {
    return this.children.get(id) ?? [];
  }

  /**
   * All direct and transitive dependencies of a blocked job that may be unfinished. The dependencies of a job that
   * isn't blocked are left out, since a released job's parents are done.
   */
  ancestorsOf(id: string, isDone: (parent: string) => boolean): string[] {
    const ancestors = new Set<string>();
    const unvisited = [...(this.parents.get(id) ?? [])];
    for (let parent = unvisited.pop(); parent !== undefined; parent = unvisited.pop()) {
      if (ancestors.has(parent) || isDone(parent)) continue;
      ancestors.add(parent);
      unvisited.push(...(this.parents.get(parent) ?? []));
    }
    return [...ancestors];
  }
}
