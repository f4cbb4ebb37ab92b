/** Writes the next term: the leader's record of who leads and who the members are, numbered without gaps (S1, S2). */
import * as Effect from "effect/Effect";
import { keys, type TermMember, type TermRecord } from "../../core/records.js";
import type { Row } from "../../io/codec.js";
import { decodeTerm, encodeTerm } from "../../io/record-codec.js";
import type { StateClient, StateError } from "../../io/state-client.js";
import type { RejectionBackoff } from "../rejection-backoff.js";
import type { Election, Leadership } from "./election.js";
import type { LeaseKeeper } from "./lease-keeper.js";
import { membersOf } from "./member-registry.js";
import type { MembershipExtension } from "./membership-extension.js";
import type { TermStore } from "./term-store.js";

/** Settings and dependencies of `TermWriter`. */
export interface TermWriterOptions {
  readonly self: string;
  readonly state: StateClient;
  readonly terms: TermStore;
  readonly lease: LeaseKeeper;
  readonly election: Election;
  readonly rejections: RejectionBackoff;
  readonly extension: MembershipExtension;
}

/** Writes terms while this process leads. */
export class TermWriter {
  constructor(private readonly options: TermWriterOptions) {}

  /** The term that follows the stored one; null: this process isn't among the members. */
  private nextTerm(
    storedTerm: Row | null,
    members: readonly TermMember[],
    leadership: Leadership,
  ): TermRecord | null {
    const { self, lease } = this.options;
    if (!members.some((member) => member.name === self && member.incarnation === lease.incarnation))
      return null;
    return {
      number: (storedTerm === null ? 0 : decodeTerm(storedTerm.value).number) + 1,
      leaderRevision: leadership.revision,
      leader: self,
      members,
    };
  }

  /**
   * Writes the next term, with the members whose keys exist now. It is conditional on an unchanged leader key and an
   * unchanged stored term, so of two leaders at most one can succeed. true: it was written and is in force.
   */
  readonly write: Effect.Effect<boolean, StateError> = Effect.gen(this, function* () {
    const { state, terms, election, extension, rejections } = this.options;
    const { leadership } = election;
    if (leadership === null) return false;
    const [storedTerm, list] = yield* Effect.all([state.get(keys.term), state.list(keys.members)], {
      concurrency: 2,
    });
    const members = membersOf(list.rows);
    const term = this.nextTerm(storedTerm, members, leadership);
    if (term === null) return false;
    const extensionChanges = yield* extension.changesWithTerm(term.number, members);
    const withdrawAttempt = Effect.sync(terms.recordAttempt(term.number));
    const value = encodeTerm(term);
    const result = yield* state
      .commit(
        [
          { key: keys.leader, revision: leadership.revision },
          { key: keys.term, revision: storedTerm?.revision ?? 0 },
        ],
        [{ put: keys.term, value }, ...extensionChanges],
        "vital",
      )
      .pipe(Effect.tapErrorTag("Unavailable", () => withdrawAttempt));
    if (result.ok !== true) yield* withdrawAttempt;
    yield* rejections.sleepIfRejected("term", result);
    if (result.ok === true) {
      terms.adopt({ key: keys.term, value, revision: result.revision });
      return true;
    }
    if (result.ok === false && result.failed.includes(keys.leader)) election.stepDown("leader key changed");
    return false;
  });
}
