/**
 * The paper's fan-in, for blocked jobs, which depend on others: each parent's commit joins the blocked job's set, and the add that
 * fills it releases the job. Pure: who is open or over comes in, what is to be written comes out.
 */
import type { JobOutcome } from "../records.js";

/** What is known of a parent. `unknown`: it isn't among the unfinished jobs, and its commit wasn't read yet. */
export type ParentState = "open" | JobOutcome | "unknown";

/** What is to be written for a blocked job (S12, S13). */
export type FaninStep =
  /** A parent was cancelled: its outcome passes on. */
  | { readonly kind: "cancel" }
  /** Parents are done that the set doesn't contain yet; `completesSet`: this add releases the job. */
  | { readonly kind: "join"; readonly joined: readonly string[]; readonly completesSet: boolean }
  /** Nothing to do until one more parent is over. */
  | { readonly kind: "wait" };

/** What becomes of a blocked job, given its parents and those that its set contains. */
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
  // a set that is full and has released nothing can't be, but a job must not wait for ever for want of one more add
  return hasNewlyDone || completesSet
    ? {
        kind: "join",
        joined: dependsOn.filter((parent) => newJoined.has(parent)),
        completesSet,
      }
    : { kind: "wait" };
};

/** The blocked jobs, by the jobs that they depend on. */
export class BlockedJobs {
  private readonly parents = new Map<string, readonly string[]>();
  private readonly children = new Map<string, Set<string>>();

  /** A job that depends on others; known already: nothing changes. */
  add(id: string, dependsOn: readonly string[]): void {
    if (this.parents.has(id)) return;
    this.parents.set(id, dependsOn);
    for (const parent of dependsOn) {
      const children = this.children.get(parent);
      if (children === undefined) this.children.set(parent, new Set([id]));
      else children.add(id);
    }
  }

  /** The job is blocked no longer: it was released or cancelled. */
  remove(id: string): void {
    for (const parent of this.parents.get(id) ?? []) {
      const children = this.children.get(parent);
      children?.delete(id);
      if (children?.size === 0) this.children.delete(parent);
    }
    this.parents.delete(id);
  }

  /** The blocked jobs that name this one. */
  childrenOf(id: string): Iterable<string> {
    return this.children.get(id) ?? [];
  }

  /**
   * All jobs that have to be done before a blocked one, directly or through others, as far as they may be unfinished:
   * whatever isn't blocked itself is named, and not looked through, since a released job's own parents are done.
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
