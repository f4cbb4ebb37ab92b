/** Outcomes of jobs that are known here. Commits never change, so they may be kept. */
import type { CommitRecord } from "../../core/records.js";
import type { JobStatus } from "./status-types.js";

const MAX_OUTCOMES = 20_000;

/** The commits that were read or written last. */
export class KnownOutcomes {
  private readonly commits = new Map<string, CommitRecord>();

  /** A job's commit, if it is known here. */
  get(id: string): CommitRecord | undefined {
    return this.commits.get(id);
  }

  /** Keeps a commit that is in the state service, in place of the oldest where there are too many. */
  remember(id: string, commit: CommitRecord): void {
    this.commits.set(id, commit);
    if (this.commits.size <= MAX_OUTCOMES) return;
    const oldest = this.commits.keys().next();
    if (oldest.done !== true) this.commits.delete(oldest.value);
  }

  /** The status of a job whose commit was read; the commit is kept. */
  rememberFinal(id: string, commit: CommitRecord): JobStatus {
    this.remember(id, commit);
    return { kind: "final", commit };
  }
}
