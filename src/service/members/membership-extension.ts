/** Lets another subsystem write its own records in the same transactions as this process's membership. */
import * as Effect from "effect/Effect";
import type { TermMember } from "../../core/records.js";
import type { Change } from "../../io/codec.js";
import type { StateError } from "../../io/state-client.js";

/** Changes that a subsystem adds to the transactions of this process's membership. */
export interface MembershipExtension {
  /** Written with the member key, and attached to the same lease. */
  changesOnJoin(leaseId: number): Change[];
  /** Written with a new term that has these members. */
  changesWithTerm(termNumber: number, members: readonly TermMember[]): Effect.Effect<Change[], StateError>;
}

/** Adds no changes. */
export const NO_EXTENSION: MembershipExtension = {
  changesOnJoin: () => [],
  changesWithTerm: () => Effect.succeed([]),
};
