/** A cache of job outcomes. Commits never change, so cached ones stay valid. */
import type { CommitRecord } from "../../core/records.js";
import type { JobStatus } from "./status-types.js";

const MAX_OUTCOMES = 20_000;

/** The commits that were most recently read or written. */
export class KnownOutcomes {
  private readonly commits = new Map<string, CommitRecord>();

  /** A job's commit; undefined if it isn't cached. */
  get(id: string): CommitRecord | undefined {
    return this.commits.get(id);
  }

  /** Caches a commit that was read or written, and drops the oldest one if there are too many. */
  remember(id: string, commit: CommitRecord): void {
    this.commits.set(id, commit);
    if (this.commits.size <= MAX_OUTCOMES) return;
    const oldest = this.commits.keys().next();
    if (oldest.done !== true) this.commits.delete(oldest.value);
  }

  /** Caches a commit that was read, and gives the job's status. */
  rememberFinal(id: string, commit: CommitRecord): JobStatus {
    this.remember(id, commit);
    return { kind: "final", commit };
  }
}
