/** Since when a zone has had no member: what is known of a cut by a leader that has never heard that zone's machines. */
import type { TermRecord } from "../records.js";
import type { Instant } from "../time.js";

export class ZoneWatch {
  private readonly lost = new Map<string, Instant>();
  private readonly present = new Set<string>();

  /** A term was seen at `now`; every node sees them all, also those it doesn't lead. */
  seen(term: TermRecord, now: Instant): void {
    const zones = new Set(term.members.map((member) => member.zone));
    for (const zone of this.present) if (!zones.has(zone)) this.lost.set(zone, now);
    this.present.clear();
    for (const zone of zones) {
      this.present.add(zone);
      this.lost.delete(zone);
    }
  }

  lostSince(zone: string): Instant | null {
    return this.lost.get(zone) ?? null;
  }
}
