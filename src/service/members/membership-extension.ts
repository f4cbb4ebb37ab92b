/** How another subsystem writes records of its own in the same transactions as this process's membership. */
import * as Effect from "effect/Effect";
import type { TermMember } from "../../core/records.js";
import type { Change } from "../../io/codec.js";
import type { StateError } from "../../io/state-client.js";

/** What a subsystem writes together with this process's membership. */
export interface MembershipExtension {
  /** Written with the member key, on the same lease. */
  changesOnJoin(leaseId: number): Change[];
  /** Written with a term of these members. */
  changesWithTerm(termNumber: number, members: readonly TermMember[]): Effect.Effect<Change[], StateError>;
}

/** Writes nothing beside the membership itself. */
export const NO_EXTENSION: MembershipExtension = {
  changesOnJoin: () => [],
  changesWithTerm: () => Effect.succeed([]),
};
