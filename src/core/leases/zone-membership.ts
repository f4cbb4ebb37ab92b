/**
 * Tracks since when a zone has had no member. A new leader that hasn't heard from a zone's machines tells from this
 * for how long their heartbeats may have been unanswered.
 */
import type { TermRecord } from "../records.js";
import type { Instant } from "../time.js";

/** Records which zones have members, and when a zone lost its last one. */
export class ZoneMembership {
  private readonly memberlessSinceByZone = new Map<string, Instant>();
  private readonly zonesWithMembers = new Set<string>();

  /** This node learned of a new term at `now`. Every node learns of all terms, not only of those that it leads. */
  termObserved(term: TermRecord, now: Instant): void {
    const zones = new Set(term.members.map((member) => member.zone));
    for (const zone of this.zonesWithMembers) if (!zones.has(zone)) this.memberlessSinceByZone.set(zone, now);
    this.zonesWithMembers.clear();
    for (const zone of zones) {
      this.zonesWithMembers.add(zone);
      this.memberlessSinceByZone.delete(zone);
    }
  }

  /** When the zone lost its last member; null: it has one, or was never known to have one. */
  memberlessSince(zone: string): Instant | null {
    return this.memberlessSinceByZone.get(zone) ?? null;
  }
}
