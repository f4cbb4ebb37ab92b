/** Since when a zone has had no member: what a leader that never heard a zone's machines knows of its partition. */
import type { TermRecord } from "../records.js";
import type { Instant } from "../time.js";

/** Remembers which zones had members, and when each lost its last one. */
export class ZoneMembership {
  private readonly memberlessSinceByZone = new Map<string, Instant>();
  private readonly zonesWithMembers = new Set<string>();

  /** A term was seen at `now`; every node sees them all, also those it doesn't lead. */
  termObserved(term: TermRecord, now: Instant): void {
    const zones = new Set(term.members.map((member) => member.zone));
    for (const zone of this.zonesWithMembers) if (!zones.has(zone)) this.memberlessSinceByZone.set(zone, now);
    this.zonesWithMembers.clear();
    for (const zone of zones) {
      this.zonesWithMembers.add(zone);
      this.memberlessSinceByZone.delete(zone);
    }
  }

  /** When the zone's last member went; null: it has one, or never had any that was seen. */
  memberlessSince(zone: string): Instant | null {
    return this.memberlessSinceByZone.get(zone) ?? null;
  }
}
