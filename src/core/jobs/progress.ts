/** Which jobs' progress changed since when, so that members are told of changes alone. */

/** Changes that are remembered; half of them are dropped at a time. */
const MAX_CHANGES = 4000;

interface Change {
  readonly version: number;
  readonly job: string;
}

/** The latest changes of jobs' progress, numbered. */
export class ProgressLog {
  /** The number of the latest change. */
  version = 0;
  private readonly changes: Change[] = [];

  /** A job's progress changed; several changes in a row of one job count as one. */
  recordChange(job: string): void {
    this.version++;
    if (this.changes.at(-1)?.job === job) this.changes.pop();
    this.changes.push({ version: this.version, job });
    if (this.changes.length > MAX_CHANGES) this.changes.splice(0, MAX_CHANGES / 2);
  }

  /** Jobs changed after `version`, the latest first; null: that is too long ago, or below 0, so all must be told. */
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
