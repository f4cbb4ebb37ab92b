/** The kinds of machines that can be requested from the cloud, without those that it refused recently. */
import * as Duration from "effect/Duration";
import { fitsMachineType, allowsZone } from "../placement/admission.js";
import type { JobSpec, MachineType } from "../records.js";
import { type Instant, plus } from "../time.js";

/** A kind of machine that the cloud may have available: type, zone, and spot or not. */
export interface Offer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

/** A request to rent machines of one offer (S10). */
export interface ScaleOutRequest extends Offer {
  readonly count: number;
}

/** Identifies an offer, for use as a map key. */
export const offerKey = (type: string, zone: string, spot: boolean): string =>
  `${type} ${zone} ${spot ? "spot" : "ordinary"}`;

/** How long an offer is not requested again after the cloud refused it. */
const AVOID_AFTER_REFUSAL = Duration.seconds(15);

/** Lists offers, leaving out recently refused ones. */
export class OfferCatalog {
  private readonly refusedUntil = new Map<string, Instant>();

  /** Records that the cloud has no more machines of the offer at present. */
  markRefused(key: string, now: Instant): void {
    this.refusedUntil.set(key, plus(now, AVOID_AFTER_REFUSAL));
  }

  /** Offers on which a task of the job can run, spot before on-demand ones. */
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
