/**
 * The records of waiting jobs, and what each controller process knows of them, which lags behind the state service.
 */
import { BlockedJobs } from "../../src/core/jobs/fanin.js";
import { type JobSpec, type JobOutcome } from "../../src/core/records.js";
import { type Version } from "./versions.js";

export interface JobRow {
  readonly spec: JobSpec;
  readonly revision: number;
  readonly accepted: number;
  readonly released: number;
}
export interface Fanin {
  readonly joined: readonly string[];
  readonly released: boolean;
  readonly revision: number;
}
/** The unfinished jobs in the state service as of one revision. */
export interface Snapshot {
  readonly jobs: ReadonlyMap<string, JobRow>;
  readonly waiting: ReadonlyMap<string, JobRow>;
  readonly fanins: ReadonlyMap<string, Fanin>;
  readonly revision: number;
}
/** What one process knows of jobs, which lags behind the state service; a new process knows nothing. */
export class JobView {
  readonly jobs = new Map<string, JobRow>();
  readonly waiting = new Map<string, JobRow>();
  readonly fanins = new Map<string, Fanin>();
  readonly blockedJobs = new BlockedJobs();
  /** Outcomes that this process has read; they never change. */
  readonly outcomes = new Map<string, JobOutcome>();
  private readonly ended = new Set<string>();
  /** While this process leads: the waiting jobs to review. */
  readonly toReview = new Set<string>();
  /** The scheduler for which it reviews jobs; null: it does not lead. */
  leadership: unknown = null;
  fullReviewAt: number | null = null;
  reviewsInProgress = 0;

  isUnfinished(id: string): boolean {
    return this.jobs.has(id) || this.waiting.has(id);
  }
  hasEnded(id: string): boolean {
    return this.ended.has(id);
  }

  putJob(id: string, row: JobRow): void {
    if (this.jobs.has(id) || this.ended.has(id)) return;
    this.jobs.set(id, row);
    this.dropWaiting(id);
  }
  putWaiting(id: string, row: JobRow): void {
    if (this.isUnfinished(id) || this.ended.has(id)) return;
    this.waiting.set(id, row);
    this.blockedJobs.add(id, row.spec.dependsOn);
    if (this.leadership !== null) this.toReview.add(id);
  }
  putFanin(id: string, set: Fanin): void {
    if ((this.fanins.get(id)?.revision ?? -1) < set.revision) this.fanins.set(id, set);
  }
  private dropWaiting(id: string): void {
    if (this.waiting.delete(id)) this.blockedJobs.remove(id);
  }
  remove(id: string): void {
    this.ended.add(id);
    const waited = this.waiting.has(id);
    this.dropWaiting(id);
    if (!this.jobs.delete(id) && !waited) return;
    if (this.leadership !== null)
      for (const child of this.blockedJobs.childrenOf(id)) this.toReview.add(child);
  }

  /** Takes over a snapshot; a job that is missing in it has ended, unless it was written after that. */
  refresh({ jobs, waiting, fanins, revision }: Snapshot): void {
    for (const [id, set] of fanins) this.putFanin(id, set);
    for (const [id, row] of waiting) this.putWaiting(id, row);
    for (const [id, row] of jobs) this.putJob(id, row);
    for (const [id, row] of [...this.jobs]) if (!jobs.has(id) && row.revision <= revision) this.remove(id);
    for (const [id, row] of [...this.waiting])
      if (!waiting.has(id) && row.revision <= revision) this.remove(id);
    for (const [id, set] of [...this.fanins])
      if (!fanins.has(id) && set.revision <= revision) this.fanins.delete(id);
  }
}
/** The process of a controller; after a restart its `view` is another object. */
export interface Process {
  readonly alive: boolean;
  readonly view: JobView;
  readonly version: Version;
}
/** What the simulated cluster provides for the waiting jobs. */
export interface Host<N extends Process> {
  readonly nodes: readonly N[];
  readonly jobs: Map<string, JobRow>;
  readonly commits: ReadonlyMap<string, { readonly outcome: JobOutcome }>;
  readonly cancelDeadlineMs: number;
  now(): number;
  random(): number;
  /** Draws how long a message to or from the state service takes. */
  delayMs(): number;
  after(ms: number, run: () => void): void;
  /** Defers `run` while the process is frozen. */
  whenAwake(node: N, run: () => void): () => void;
  reachesState(node: N): boolean;
  transact(node: N, conditionHolds: (late: boolean) => boolean, apply: () => void): boolean | null;
  nextRevision(): number;
  commit(id: string, outcome: JobOutcome): void;
  count(what: string): void;
  reportViolation(rule: string, text: string): void;
  /** Since when there are no more faults; null: faults may still occur. */
  faultFreeSince(): number | null;
  isWithoutGuard(
    guard:
      | "check_commits"
      | "release"
      | "ancestors"
      | "unknown_ancestors"
      | "recheck_ancestors"
      | "ancestors_of_parents"
      | "recover_joins"
      | "join_conditions"
      | "version_lists"
      | "obsolete_sets"
      | "upgrade_first",
  ): boolean;
}
export type JobStatus =
  | { readonly kind: "final"; readonly outcome: JobOutcome }
  | { readonly kind: "open"; readonly revision: number; readonly waiting: boolean }
  | { readonly kind: "absent" };
/** The limit of conditions in one transaction; a job may have more parents than that. */
export const MAX_CONDITIONS = 10;
/** The conditions on the submitted job itself. */
export const OWN_RECORD_CONDITIONS = 3;
export const MAX_ACCEPT_ATTEMPTS = 4;
export const MAX_CANCEL_ATTEMPTS = 3;
export const FULL_REVIEW_INTERVAL_MS = 5000;
/** How long users wait for an answer before they retry. */
export const ANSWER_TIMEOUT_MS = 2000;
export const STATUS_REQUEST_INTERVAL_MS = 1000;
