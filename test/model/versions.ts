/**
 * Two versions at once: the version in production, which knows no waiting jobs and no fan-in sets, beside this one. What
 * the former does is played from what its kept schemas name as read and listed; all else is the same in both.
 */

/** "old": the version in production. */
export type Version = "old" | "new";

/** What users and operators keep to, and what the earlier version leaves behind. */
export class MixedVersions {
  /** Whether users send jobs that wait for others. */
  usersSendDependents = true;
  /** Whether users go to processes of this version only. */
  usersAvoidOld = false;
  /** Whether users who get no answer go on to the next process; without it they ask some other time. */
  usersRetryElsewhere = false;
  /** Sets whose job a process of the earlier version committed. */
  readonly leftoverSets = new Set<string>();
  private readonly releasedJobs = new Set<string>();
  private readonly counted = new Map<object, Set<string>>();

  nodesForUsers<N extends { readonly version: Version }>(nodes: readonly N[]): readonly N[] {
    return this.usersAvoidOld ? nodes.filter((n) => n.version === "new") : nodes;
  }

  /** Whether this is the job's first release. */
  markReleased(id: string): boolean {
    if (this.releasedJobs.has(id)) return false;
    this.releasedJobs.add(id);
    return true;
  }

  /** What is to be counted of a leader that may act, each only once. */
  leaderEvents(leadership: object, version: Version, hasReleased: boolean, hasWaiting: boolean): string[] {
    const counted = this.counted.get(leadership) ?? new Set<string>();
    this.counted.set(leadership, counted);
    const events = [
      `${version} leaders`,
      ...(hasReleased ? [`${version} leaders with released jobs of pipelines`] : []),
      ...(hasWaiting ? [`${version} leaders while jobs wait`] : []),
    ].filter((text) => !counted.has(text));
    for (const text of events) counted.add(text);
    return events;
  }
}
