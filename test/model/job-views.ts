/**
 * The records of jobs that wait for others, and what each process knows of them, a moment behind the state service.
 */
import { BlockedJobs } from "../../src/core/jobs/fanin.js";
import { type JobSpec, type JobOutcome } from "../../src/core/records.js";
import { type Version } from "./versions.js";

export interface Row {
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
/** What the state service has of unfinished jobs at one moment. */
export interface Snapshot {
  readonly jobs: ReadonlyMap<string, Row>;
  readonly waiting: ReadonlyMap<string, Row>;
  readonly fanins: ReadonlyMap<string, Fanin>;
  readonly revision: number;
}
/** What one process knows, a moment behind the state service; a new process knows nothing. */
export class View {
  readonly jobs = new Map<string, Row>();
  readonly waiting = new Map<string, Row>();
  readonly fanins = new Map<string, Fanin>();
  readonly waiters = new BlockedJobs();
  /** Outcomes that were read: they never change. */
  readonly finals = new Map<string, JobOutcome>();
  private readonly over = new Set<string>();
  /** Waiting jobs to look at while it leads, whose leadership that is, and how many are looked at now. */
  readonly changed = new Set<string>();
  leadsAs: unknown = null;
  lookedAtAll: number | null = null;
  busy = 0;

  isUnfinished(id: string): boolean {
    return this.jobs.has(id) || this.waiting.has(id);
  }
  isOver(id: string): boolean {
    return this.over.has(id);
  }

  put(id: string, row: Row): void {
    if (this.jobs.has(id) || this.over.has(id)) return;
    this.jobs.set(id, row);
    this.dropWaiting(id);
  }
  putWaiting(id: string, row: Row): void {
    if (this.isUnfinished(id) || this.over.has(id)) return;
    this.waiting.set(id, row);
    this.waiters.add(id, row.spec.dependsOn);
    if (this.leadsAs !== null) this.changed.add(id);
  }
  putFanin(id: string, set: Fanin): void {
    if ((this.fanins.get(id)?.revision ?? -1) < set.revision) this.fanins.set(id, set);
  }
  private dropWaiting(id: string): void {
    if (this.waiting.delete(id)) this.waiters.remove(id);
  }
  remove(id: string): void {
    this.over.add(id);
    const waited = this.waiting.has(id);
    this.dropWaiting(id);
    if (!this.jobs.delete(id) && !waited) return;
    if (this.leadsAs !== null) for (const child of this.waiters.childrenOf(id)) this.changed.add(child);
  }

  /** What is not in a reading is over, unless it was written after that. */
  refresh({ jobs, waiting, fanins, revision }: Snapshot): void {
    for (const [id, set] of fanins) this.putFanin(id, set);
    for (const [id, row] of waiting) this.putWaiting(id, row);
    for (const [id, row] of jobs) this.put(id, row);
    for (const [id, row] of [...this.jobs]) if (!jobs.has(id) && row.revision <= revision) this.remove(id);
    for (const [id, row] of [...this.waiting])
      if (!waiting.has(id) && row.revision <= revision) this.remove(id);
    for (const [id, set] of [...this.fanins])
      if (!fanins.has(id) && set.revision <= revision) this.fanins.delete(id);
  }
}
/** A controller, as far as it matters here; another `view` is another process. */
export interface Process {
  readonly alive: boolean;
  readonly view: View;
  readonly version: Version;
}
/** What the model of the cluster does for this part. */
export interface Host<N extends Process> {
  readonly nodes: readonly N[];
  readonly jobs: Map<string, Row>;
  readonly commits: ReadonlyMap<string, { readonly outcome: JobOutcome }>;
  readonly cancelMs: number;
  now(): number;
  draw(): number;
  /** How long a message to the state service, or back, takes. */
  delay(): number;
  after(ms: number, run: () => void): void;
  /** Done when the process doesn't stand still. */
  on(node: N, run: () => void): () => void;
  reaches(node: N): boolean;
  transact(node: N, attempts: (late: boolean) => boolean, apply: () => void): boolean | null;
  nextRevision(): number;
  commit(id: string, outcome: JobOutcome): void;
  count(what: string): void;
  broke(rule: string, text: string): void;
  /** Since when there are no more troubles. */
  calmSince(): number | null;
  isWithoutGuard(
    guard:
      | "checked"
      | "release"
      | "ancestors"
      | "unheard"
      | "overtaken"
      | "before"
      | "join"
      | "filling"
      | "listed"
      | "useless"
      | "early",
  ): boolean;
}
export type JobStatus =
  | { readonly kind: "final"; readonly outcome: JobOutcome }
  | { readonly kind: "open"; readonly stamp: number; readonly waiting: boolean }
  | { readonly kind: "absent" };
/** How many records one transaction compares: wide fans have more parents. */
export const CONDITIONS = 10;
export const OWN_CONDITIONS = 3;
export const ACCEPT_TRIES = 4;
export const CANCEL_TRIES = 3;
export const LOOK_AT_ALL_MS = 5000;
/** Users wait so long for an answer, and then ask again. */
export const PATIENCE_MS = 2000;
export const ASK_EVERY_MS = 1000;
