/** What the cloud can be asked for, and what it refused a moment ago. */
import * as Duration from "effect/Duration";
import { fitsMachineType, allowsZone } from "../placement/admission.js";
import type { JobSpec, MachineType } from "../records.js";
import { type Instant, plus } from "../time.js";

/** Machines of one type, zone and kind that the cloud may have. */
export interface Offer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

/** A request for machines (S10). */
export interface ScaleOutRequest extends Offer {
  readonly count: number;
}

/** Names an offer, for example in a map. */
export const offerKey = (type: string, zone: string, spot: boolean): string =>
  `${type} ${zone} ${spot ? "spot" : "ordinary"}`;

/** After a refusal an offer isn't asked for again for so long. */
const AVOID_AFTER_REFUSAL = Duration.seconds(15);

/** The offers that are worth asking for. */
export class OfferCatalog {
  private readonly refusedUntil = new Map<string, Instant>();

  /** The cloud has no more machines of the offer for the moment. */
  markRefused(key: string, now: Instant): void {
    this.refusedUntil.set(key, plus(now, AVOID_AFTER_REFUSAL));
  }

  /** Offers on which a task can run, spot machines before ordinary ones. */
  offersFor(types: readonly MachineType[], spec: JobSpec, now: Instant): Offer[] {
    const offers: Offer[] = [];
    for (const type of types) {
      if (!fitsMachineType(spec, type)) continue;
      for (const zone of type.zones) {
        if (!allowsZone(spec, zone)) continue;
        for (const spot of spec.spot ? [true, false] : [false]) {
          const until = this.refusedUntil.get(offerKey(type.name, zone, spot));
          if (until === undefined || now >= until) offers.push({ type, zone, spot });
        }
      }
    }
    return offers;
  }
}
