/** Which jobs' progress changed since when, so that members are told changes alone. */

const MAX_LOG = 4000;

export class ProgressLog {
  version = 0;
  private log: { version: number; job: string }[] = [];

  changed(job: string): void {
    this.version++;
    if (this.log.at(-1)?.job === job) this.log.pop();
    this.log.push({ version: this.version, job });
    if (this.log.length > MAX_LOG) this.log.splice(0, MAX_LOG / 2);
  }

  /** Jobs changed after `version`; null: too long ago, or never told: tell everything. */
  since(version: number): Set<string> | null {
    const first = this.log[0];
    if (version < 0 || (first !== undefined && version < first.version - 1)) return null;
    const out = new Set<string>();
    for (let i = this.log.length - 1; i >= 0 && this.log[i]!.version > version; i--)
      out.add(this.log[i]!.job);
    return out;
  }
}
