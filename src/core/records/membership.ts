/** Terms, members and the leader, as the state service keeps them. */

/** A member as a term names it. */
export interface TermMember {
  readonly name: string;
  /** Which process of that member: the revision of its member record. */
  readonly incarnation: number;
  readonly zone: string;
}

/** The present term: who leads, and who the members are (S1). Its number makes the fencing tokens. */
export interface TermRecord {
  /** One higher than that of the term before. */
  readonly number: number;
  /** Revision of the leader's key: terms with the same one have the same leader, with all that it remembers. */
  readonly leaderRevision: number;
  readonly leader: string;
  readonly members: readonly TermMember[];
}

/** A member's key, on the member's lease. */
export interface MemberRecord {
  readonly zone: string;
  readonly leaseId: number;
}

/** The leader's key, on the leader's lease. */
export interface LeaderRecord {
  readonly member: string;
  readonly leaseId: number;
}
