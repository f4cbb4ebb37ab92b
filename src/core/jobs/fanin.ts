/**
 * The paper's fan-in, for jobs that wait for others: each parent's commit joins the waiting job's set, and the add that
 * fills it releases the job. Pure: who is open or over comes in, what is to be written comes out.
 */
import type { Outcome } from "../records.js";

/** What is known of a parent. `unknown`: it isn't among the unfinished jobs, and its commit wasn't read yet. */
export type ParentState = "open" | Outcome | "unknown";

export type FaninStep =
  /** A parent was cancelled: its outcome passes on. */
  | { readonly kind: "cancel" }
  /** Parents are done that the set doesn't hold yet; `fills`: this add releases the job. */
  | { readonly kind: "join"; readonly joined: readonly string[]; readonly fills: boolean }
  /** Nothing to do until one more parent is over. */
  | { readonly kind: "wait" };

/** What becomes of a waiting job, given its parents and those that its set holds. */
export const faninStep = (
  awaits: readonly string[],
  joined: readonly string[],
  stateOf: (parent: string) => ParentState,
): FaninStep => {
  const held = new Set(joined);
  let more = false;
  for (const parent of awaits) {
    if (held.has(parent)) continue;
    const state = stateOf(parent);
    if (state === "cancelled") return { kind: "cancel" };
    if (state !== "done") continue;
    held.add(parent);
    more = true;
  }
  const fills = awaits.every((parent) => held.has(parent));
  // a set that is full and has released nothing can't be, but a job must not wait for ever for want of one more add
  return more || fills
    ? { kind: "join", joined: awaits.filter((p) => held.has(p)), fills }
    : { kind: "wait" };
};

/** Waiting jobs by what they wait for. */
export class Waiters {
  private readonly parents = new Map<string, readonly string[]>();
  private readonly children = new Map<string, Set<string>>();

  add(id: string, awaits: readonly string[]): void {
    if (this.parents.has(id)) return;
    this.parents.set(id, awaits);
    for (const parent of awaits) {
      const set = this.children.get(parent);
      if (set === undefined) this.children.set(parent, new Set([id]));
      else set.add(id);
    }
  }

  remove(id: string): void {
    for (const parent of this.parents.get(id) ?? []) {
      const set = this.children.get(parent);
      set?.delete(id);
      if (set?.size === 0) this.children.delete(parent);
    }
    this.parents.delete(id);
  }

  childrenOf(id: string): Iterable<string> {
    return this.children.get(id) ?? [];
  }

  /**
   * All jobs that have to be done before a waiting one, directly or through others, as far as they may be unfinished:
   * whatever isn't waiting itself is named, and not looked through, since a released job's own parents are done.
   */
  ancestorsOf(id: string, isDone: (parent: string) => boolean): string[] {
    const out = new Set<string>();
    const todo = [...(this.parents.get(id) ?? [])];
    for (let parent = todo.pop(); parent !== undefined; parent = todo.pop()) {
      if (out.has(parent) || isDone(parent)) continue;
      out.add(parent);
      todo.push(...(this.parents.get(parent) ?? []));
    }
    return [...out];
  }
}
