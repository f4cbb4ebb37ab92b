/** Log of changes in the progress of jobs, so that members are sent only what changed. */

/** Number of changes that are remembered; beyond it the older half is dropped. */
const MAX_CHANGES = 4000;

interface Change {
  readonly version: number;
  readonly job: string;
}

/** The latest changes, numbered by versions. */
export class ProgressLog {
  /** Version of the latest change; 0: none yet. */
  version = 0;
  private readonly changes: Change[] = [];

  /** Records that a job's progress changed; consecutive changes of one job are stored as one. */
  recordChange(job: string): void {
    this.version++;
    if (this.changes.at(-1)?.job === job) this.changes.pop();
    this.changes.push({ version: this.version, job });
    if (this.changes.length > MAX_CHANGES) this.changes.splice(0, MAX_CHANGES / 2);
  }

  /** Jobs that changed after `version`, the latest first; null: not known any more, or `version` is below 0. */
  changedSince(version: number): Set<string> | null {
    const first = this.changes[0];
    if (version < 0 || (first !== undefined && version < first.version - 1)) return null;
    const jobs = new Set<string>();
    for (let index = this.changes.length - 1; index >= 0; index--) {
      const change = this.changes[index];
      if (change === undefined || change.version <= version) break;
      jobs.add(change.job);
    }
    return jobs;
  }
}
