/**
 * What flows backwards through pipelines: a user sets priority and deadline on the last job only, so each job is
 * treated as having the highest priority among the jobs that need it, and has to be done early enough for them.
 * Knows every unfinished job, released or waiting. An event looks only at jobs before the one that it is about, and
 * goes no further up than values change.
 */
import * as Duration from "effect/Duration";
import { type JobSpec, RANK } from "../records.js";
import { type Instant, minus, plus } from "../time.js";

/** How much longer than estimated a job's longest task may run; and what its place in the queue and its image take. */
const LONGEST_TASK = 1.5;
const START_TAKES = Duration.seconds(15);

/** How long a job with room for all its tasks takes until the last of them is done. */
export const timeFor = (spec: JobSpec): Duration.Duration =>
  Duration.sum(Duration.times(spec.estimate, LONGEST_TASK), START_TAKES);

interface Node {
  readonly id: string;
  readonly ownRank: number;
  readonly time: Duration.Duration;
  /** Its own deadline, from its submission on. */
  ownDue: Instant | null;
  /** The jobs that it names, known or not; what would close a cycle is left out. */
  readonly parents: Set<string>;
  rank: number;
  /** When it has to be done for the sake of the jobs that need it. */
  inner: Instant | null;
}

const earlier = (a: Instant | null, b: Instant | null): Instant | null =>
  a === null ? b : b === null || a <= b ? a : b;

const dueOf = (node: Node): Instant | null => earlier(node.ownDue, node.inner);

/** When the jobs before this one have to be done. */
const startBy = (node: Node): Instant | null => {
  const due = dueOf(node);
  return due === null ? null : minus(due, node.time);
};

export class DependencyGraph {
  private readonly nodes = new Map<string, Node>();
  /** Known jobs by the jobs that they name, known or not: a child may be heard of before its parent. */
  private readonly children = new Map<string, Set<Node>>();
  private readonly changed = new Set<string>();
  /** How many jobs were looked at since the start, for tests of the work that an event takes. */
  visits = 0;

  get size(): number {
    return this.nodes.size;
  }
  has(id: string): boolean {
    return this.nodes.has(id);
  }
  /** The highest rank of the job itself and of all that need it. */
  rank(id: string): number | null {
    return this.nodes.get(id)?.rank ?? null;
  }
  /** When it has to be done for the sake of the jobs that need it; null: no such deadline. */
  inner(id: string): Instant | null {
    return this.nodes.get(id)?.inner ?? null;
  }
  /** Its own deadline or the inner one, whichever is earlier. */
  due(id: string): Instant | null {
    const node = this.nodes.get(id);
    return node === undefined ? null : dueOf(node);
  }

  /** Jobs whose values changed since this was last asked. */
  takeChanged(): string[] {
    const out = [...this.changed];
    this.changed.clear();
    return out;
  }

  /** A job that isn't over. Known already: it was released, or the moment of its submission is known better. */
  add(spec: JobSpec, accepted: Instant): void {
    const ownDue = spec.deadline === null ? null : plus(accepted, spec.deadline);
    const known = this.nodes.get(spec.id);
    if (known !== undefined) {
      if (known.ownDue === ownDue) return;
      const sooner = ownDue !== null && (known.ownDue === null || ownDue < known.ownDue);
      known.ownDue = ownDue;
      this.changed.add(known.id);
      if (sooner) this.raised(known);
      else this.eased(known.parents);
      return;
    }
    const node: Node = {
      id: spec.id,
      ownRank: RANK[spec.priority],
      time: timeFor(spec),
      ownDue,
      parents: new Set(),
      rank: RANK[spec.priority],
      inner: null,
    };
    this.nodes.set(node.id, node);
    this.changed.add(node.id);
    // a job that nobody named before can't close a cycle, and that is the usual order
    const named = this.children.has(node.id);
    for (const parent of spec.dependsOn) {
      if (parent === node.id || (named && this.needs(parent, node.id))) continue;
      node.parents.add(parent);
      const siblings = this.children.get(parent);
      if (siblings === undefined) this.children.set(parent, new Set([node]));
      else siblings.add(node);
    }
    for (const child of this.children.get(node.id) ?? []) {
      this.visits++;
      this.set(node, Math.max(node.rank, child.rank), earlier(node.inner, startBy(child)));
    }
    this.raised(node);
  }

  /** The job is done or cancelled: nothing before it is needed for its sake any more. */
  remove(id: string): void {
    const node = this.nodes.get(id);
    if (node === undefined) return;
    this.nodes.delete(id);
    this.changed.delete(id);
    for (const parent of node.parents) {
      const siblings = this.children.get(parent)!;
      siblings.delete(node);
      if (siblings.size === 0) this.children.delete(parent);
    }
    this.eased(node.parents);
  }

  /** Whether `id` needs `other`, directly or through others. */
  private needs(id: string, other: string): boolean {
    const seen = new Set([id]);
    for (const at of seen) {
      if (at === other) return true;
      this.visits++;
      for (const parent of this.nodes.get(at)?.parents ?? []) seen.add(parent);
    }
    return false;
  }

  /** More is asked of a job: what it needs gets that too, as far as it is news there. */
  private raised(from: Node): void {
    const work = new Set([from]);
    // a set goes on to what is added meanwhile; taken out first, a job may come up again
    for (const node of work) {
      work.delete(node);
      for (const id of node.parents) {
        this.visits++;
        const parent = this.nodes.get(id);
        if (parent === undefined) continue;
        const rank = Math.max(parent.rank, node.rank);
        const inner = earlier(parent.inner, startBy(node));
        if (this.set(parent, rank, inner)) work.add(parent);
      }
    }
  }

  /** Less is asked of these jobs, at most: they go by what is left of those that need them. */
  private eased(from: Iterable<string>): void {
    const work = new Set(from);
    for (const id of work) {
      work.delete(id);
      this.visits++;
      const node = this.nodes.get(id);
      if (node === undefined || !this.recompute(node)) continue;
      for (const parent of node.parents) work.add(parent);
    }
  }

  private recompute(node: Node): boolean {
    let rank = node.ownRank;
    let inner: Instant | null = null;
    for (const child of this.children.get(node.id) ?? []) {
      // nothing is asked beyond what was: one of many children doesn't make us look at all
      if (rank === node.rank && inner === node.inner) break;
      this.visits++;
      rank = Math.max(rank, child.rank);
      inner = earlier(inner, startBy(child));
    }
    return this.set(node, rank, inner);
  }

  private set(node: Node, rank: number, inner: Instant | null): boolean {
    if (rank === node.rank && inner === node.inner) return false;
    node.rank = rank;
    node.inner = inner;
    this.changed.add(node.id);
    return true;
  }
}
