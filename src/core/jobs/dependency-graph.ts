/**
 * What flows backwards through pipelines: a user sets priority and deadline on the last job only, so each job is
 * treated as having the highest priority among the jobs that need it, and has to be done early enough for them.
 * Knows every unfinished job, released or waiting. An event looks only at jobs before the one that it is about, and
 * goes no further up than values change.
 */
import * as Duration from "effect/Duration";
import { type JobSpec, RANK } from "../records.js";
import { type Instant, minus, plus } from "../time.js";

/** A job's longest task may run for so many times its estimate. */
const LONGEST_TASK_FACTOR = 1.5;
/** What a job's place in the queue and its image may take. */
const START_ALLOWANCE = Duration.seconds(15);

/** How long a job with capacity for all its tasks takes until the last of them is done. */
export const estimatedJobDuration = (spec: JobSpec): Duration.Duration =>
  Duration.sum(Duration.times(spec.estimate, LONGEST_TASK_FACTOR), START_ALLOWANCE);

/** An unfinished job. */
interface JobNode {
  readonly id: string;
  readonly ownRank: number;
  /** How long it takes from its start on. */
  readonly duration: Duration.Duration;
  /** Its own deadline, from its submission on. */
  ownDeadline: Instant | null;
  /** The jobs that it names, known or not; what would close a cycle is left out. */
  readonly parents: Set<string>;
  /** The highest rank of the job itself and of all that need it. */
  rank: number;
  /** When it has to be done for the sake of the jobs that need it. */
  inheritedDeadline: Instant | null;
}

const earlierOf = (one: Instant | null, other: Instant | null): Instant | null => {
  if (one === null) return other;
  return other === null || one <= other ? one : other;
};

const deadlineOf = (node: JobNode): Instant | null => earlierOf(node.ownDeadline, node.inheritedDeadline);

/** When the jobs before this one have to be done. */
const latestStart = (node: JobNode): Instant | null => {
  const deadline = deadlineOf(node);
  return deadline === null ? null : minus(deadline, node.duration);
};

/** The unfinished jobs, by what they need; each has the rank and the deadline that those which need it ask of it. */
export class DependencyGraph {
  private readonly nodes = new Map<string, JobNode>();
  /** Known jobs by the jobs that they name, known or not: a child may be heard of before its parent. */
  private readonly children = new Map<string, Set<JobNode>>();
  private readonly changed = new Set<string>();
  /** How many jobs were looked at since the start, for tests of the work that an event takes. */
  visits = 0;

  /** How many unfinished jobs are known. */
  get size(): number {
    return this.nodes.size;
  }

  /** Whether the job is known and unfinished. */
  has(id: string): boolean {
    return this.nodes.has(id);
  }

  /** The highest rank of the job itself and of all that need it. */
  rank(id: string): number | null {
    return this.nodes.get(id)?.rank ?? null;
  }

  /** When it has to be done for the sake of the jobs that need it; null: no such deadline. */
  inheritedDeadline(id: string): Instant | null {
    return this.nodes.get(id)?.inheritedDeadline ?? null;
  }

  /** Its own deadline or the inherited one, whichever is earlier; null: it has neither. */
  effectiveDeadline(id: string): Instant | null {
    const node = this.nodes.get(id);
    return node === undefined ? null : deadlineOf(node);
  }

  /** Jobs whose values changed since this was last asked. */
  takeChanged(): string[] {
    const changed = [...this.changed];
    this.changed.clear();
    return changed;
  }

  /** A job that isn't over. Known already: it was released, or the moment of its submission is known better. */
  add(spec: JobSpec, acceptedAt: Instant): void {
    const ownDeadline = spec.deadline === null ? null : plus(acceptedAt, spec.deadline);
    const known = this.nodes.get(spec.id);
    if (known !== undefined) {
      this.setOwnDeadline(known, ownDeadline);
      return;
    }
    const node: JobNode = {
      id: spec.id,
      ownRank: RANK[spec.priority],
      duration: estimatedJobDuration(spec),
      ownDeadline,
      parents: new Set(),
      rank: RANK[spec.priority],
      inheritedDeadline: null,
    };
    this.nodes.set(node.id, node);
    this.changed.add(node.id);
    this.addParents(node, spec.dependsOn);
    for (const child of this.children.get(node.id) ?? []) {
      this.visits++;
      this.inherit(
        node,
        Math.max(node.rank, child.rank),
        earlierOf(node.inheritedDeadline, latestStart(child)),
      );
    }
    this.propagateStricter(node);
  }

  private setOwnDeadline(node: JobNode, ownDeadline: Instant | null): void {
    if (node.ownDeadline === ownDeadline) return;
    const isEarlier = ownDeadline !== null && (node.ownDeadline === null || ownDeadline < node.ownDeadline);
    node.ownDeadline = ownDeadline;
    this.changed.add(node.id);
    if (isEarlier) this.propagateStricter(node);
    else this.propagateLooser(node.parents);
  }

  private addParents(node: JobNode, dependsOn: readonly string[]): void {
    // a job that nobody named before can't close a cycle, and that is what usually happens
    const isNamed = this.children.has(node.id);
    for (const parent of dependsOn) {
      if (parent === node.id || (isNamed && this.isDependentOn(parent, node.id))) continue;
      node.parents.add(parent);
      const siblings = this.children.get(parent);
      if (siblings === undefined) this.children.set(parent, new Set([node]));
      else siblings.add(node);
    }
  }

  /** The job is done or cancelled: nothing before it is needed for its sake any more. */
  remove(id: string): void {
    const node = this.nodes.get(id);
    if (node === undefined) return;
    this.nodes.delete(id);
    this.changed.delete(id);
    for (const parent of node.parents) {
      const siblings = this.children.get(parent);
      siblings?.delete(node);
      if (siblings?.size === 0) this.children.delete(parent);
    }
    this.propagateLooser(node.parents);
  }

  /** Whether `id` needs `other`, directly or through others. */
  private isDependentOn(id: string, other: string): boolean {
    const seen = new Set([id]);
    for (const current of seen) {
      if (current === other) return true;
      this.visits++;
      for (const parent of this.nodes.get(current)?.parents ?? []) seen.add(parent);
    }
    return false;
  }

  /** More is asked of a job: what it needs inherits that, as far as it changes anything there. */
  private propagateStricter(from: JobNode): void {
    const work = new Set([from]);
    // a set goes on to what is added meanwhile; taken out first, a job may come up again
    for (const node of work) {
      work.delete(node);
      for (const id of node.parents) {
        this.visits++;
        const parent = this.nodes.get(id);
        if (parent === undefined) continue;
        const rank = Math.max(parent.rank, node.rank);
        const deadline = earlierOf(parent.inheritedDeadline, latestStart(node));
        if (this.inherit(parent, rank, deadline)) work.add(parent);
      }
    }
  }

  /** Perhaps less is asked of these jobs: they go by what is left of those that need them. */
  private propagateLooser(from: Iterable<string>): void {
    const work = new Set(from);
    for (const id of work) {
      work.delete(id);
      this.visits++;
      const node = this.nodes.get(id);
      if (node === undefined || !this.recompute(node)) continue;
      for (const parent of node.parents) work.add(parent);
    }
  }

  private recompute(node: JobNode): boolean {
    let rank = node.ownRank;
    let deadline: Instant | null = null;
    for (const child of this.children.get(node.id) ?? []) {
      // nothing is asked beyond what was: one of many children doesn't make us look at all
      if (rank === node.rank && deadline === node.inheritedDeadline) break;
      this.visits++;
      rank = Math.max(rank, child.rank);
      deadline = earlierOf(deadline, latestStart(child));
    }
    return this.inherit(node, rank, deadline);
  }

  /** Whether the values changed. */
  private inherit(node: JobNode, rank: number, deadline: Instant | null): boolean {
    if (rank === node.rank && deadline === node.inheritedDeadline) return false;
    node.rank = rank;
    node.inheritedDeadline = deadline;
    this.changed.add(node.id);
    return true;
  }
}
