/**
 * Controllers of two versions at once: this one, and the version in production, which knows neither waiting jobs nor
 * fan-in sets. The latter is modelled by the records that its schemas name; all else is the same in both.
 */

/**
 * "old" is the version in production. "previous" is the last release: it knows waiting jobs. Neither raises a machine's
 * token before an attempt is forgotten, nor recognises copies of the leader's messages.
 */
export type Version = "old" | "previous" | "new";

/** The behaviour of users while versions are mixed, and the sets that the earlier version leaves behind. */
export class MixedVersions {
  /** Whether users submit jobs that depend on others. */
  usersSendDependents = true;
  /** Whether users send requests only to processes of the new version. */
  usersAvoidOld = false;
  /** Whether users without an answer retry at the next controller; otherwise they retry later. */
  usersRetryElsewhere = false;
  /** Sets whose job a process of the earlier version committed. */
  readonly leftoverSets = new Set<string>();
  private readonly releasedJobs = new Set<string>();
  private readonly counted = new Map<object, Set<string>>();

  nodesForUsers<N extends { readonly version: Version }>(nodes: readonly N[]): readonly N[] {
    return this.usersAvoidOld ? nodes.filter((n) => n.version !== "old") : nodes;
  }

  /** Marks a job as released; returns false if it was released before. */
  markReleased(id: string): boolean {
    if (this.releasedJobs.has(id)) return false;
    this.releasedJobs.add(id);
    return true;
  }

  /** The events to count for a leader that may act, each only once per leadership. */
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
