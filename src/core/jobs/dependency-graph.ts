/**
 * Propagates rank and deadline from jobs to their dependencies. Users set both on the last job of a pipeline only, so
 * each job inherits the highest rank among the jobs that need it, and has to be done early enough for them. Contains
 * every unfinished job, released or blocked. An event visits only the dependencies of the job that it concerns, and
 * only as far up as values change.
 */
import * as Duration from "effect/Duration";
import { type JobSpec, RANK } from "../records.js";
import { type Instant, minus, plus } from "../time.js";

/** The longest task of a job may run for this multiple of the user's estimate. */
const LONGEST_TASK_FACTOR = 1.5;
/** Allowance for waiting in the queue and for fetching the image. */
const START_ALLOWANCE = Duration.seconds(15);

/** Estimated time from the release of a job to the end of its last task, if there is capacity for all of them. */
export const estimatedJobDuration = (spec: JobSpec): Duration.Duration =>
  Duration.sum(Duration.times(spec.estimate, LONGEST_TASK_FACTOR), START_ALLOWANCE);

/** An unfinished job in the graph. */
interface JobNode {
  readonly id: string;
  readonly ownRank: number;
  /** Estimated time from its release to the end of its last task. */
  readonly duration: Duration.Duration;
  /** Its own deadline, counted from its submission; null: none. */
  ownDeadline: Instant | null;
  /** Ids of its dependencies, in the graph or not, without those that would close a cycle. */
  readonly parents: Set<string>;
  /** The highest rank among the job itself and all jobs that need it. */
  rank: number;
  /** When it has to be done so that the jobs that need it can meet their deadlines; null: no such deadline. */
  inheritedDeadline: Instant | null;
}

const earlierOf = (one: Instant | null, other: Instant | null): Instant | null => {
  if (one === null) return other;
  return other === null || one <= other ? one : other;
};

const deadlineOf = (node: JobNode): Instant | null => earlierOf(node.ownDeadline, node.inheritedDeadline);

/** When the dependencies of the job have to be done. */
const latestStart = (node: JobNode): Instant | null => {
  const deadline = deadlineOf(node);
  return deadline === null ? null : minus(deadline, node.duration);
};

/** The unfinished jobs with their dependencies, and the rank and deadline that each inherits. */
export class DependencyGraph {
  private readonly nodes = new Map<string, JobNode>();
  /** Children by the id of their parent, which may not be in the graph yet: a child may be added before its parent. */
  private readonly children = new Map<string, Set<JobNode>>();
  private readonly changed = new Set<string>();
  /** Number of jobs visited so far, for tests of the work that an event causes. */
  visits = 0;

  /** Number of jobs in the graph. */
  get size(): number {
    return this.nodes.size;
  }

  /** Whether the job is in the graph, that is, known and unfinished. */
  has(id: string): boolean {
    return this.nodes.has(id);
  }

  /** The highest rank among the job itself and all jobs that need it; null: the job isn't in the graph. */
  rank(id: string): number | null {
    return this.nodes.get(id)?.rank ?? null;
  }

  /** When it has to be done so that the jobs that need it can meet their deadlines; null: no such deadline. */
  inheritedDeadline(id: string): Instant | null {
    return this.nodes.get(id)?.inheritedDeadline ?? null;
  }

  /** The earlier of its own and its inherited deadline; null: it has neither. */
  effectiveDeadline(id: string): Instant | null {
    const node = this.nodes.get(id);
    return node === undefined ? null : deadlineOf(node);
  }

  /** Jobs whose rank or deadline changed since the last call. */
  takeChanged(): string[] {
    const changed = [...this.changed];
    this.changed.clear();
    return changed;
  }

  /** Adds an unfinished job. If it is in the graph already, only its own deadline is updated from `acceptedAt`. */
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
    // only a job that others already depend on can close a cycle, which is rare
    const isNamed = this.children.has(node.id);
    for (const parent of dependsOn) {
      if (parent === node.id || (isNamed && this.isDependentOn(parent, node.id))) continue;
      node.parents.add(parent);
      const siblings = this.children.get(parent);
      if (siblings === undefined) this.children.set(parent, new Set([node]));
      else siblings.add(node);
    }
  }

  /** Removes a job that is done or cancelled; its dependencies no longer inherit from it. */
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

  /** Whether `id` depends on `other`, directly or transitively. */
  private isDependentOn(id: string, other: string): boolean {
    const seen = new Set([id]);
    for (const current of seen) {
      if (current === other) return true;
      this.visits++;
      for (const parent of this.nodes.get(current)?.parents ?? []) seen.add(parent);
    }
    return false;
  }

  /** Propagates a higher rank or an earlier deadline to the dependencies, as far as it changes their values. */
  private propagateStricter(from: JobNode): void {
    const work = new Set([from]);
    // iterating over a set includes what is added meanwhile; a job that was removed first can be added again
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

  /** Recomputes jobs that may have a lower rank or a later deadline now, and their dependencies where values change. */
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
      // the values can't get stricter here: once the old ones are reached, the other children needn't be visited
      if (rank === node.rank && deadline === node.inheritedDeadline) break;
      this.visits++;
      rank = Math.max(rank, child.rank);
      deadline = earlierOf(deadline, latestStart(child));
    }
    return this.inherit(node, rank, deadline);
  }

  /** Sets the inherited values; returns whether they changed. */
  private inherit(node: JobNode, rank: number, deadline: Instant | null): boolean {
    if (rank === node.rank && deadline === node.inheritedDeadline) return false;
    node.rank = rank;
    node.inheritedDeadline = deadline;
    this.changed.add(node.id);
    return true;
  }
}
