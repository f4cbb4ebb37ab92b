/** Records of the term, the members and the leader in the state service. */

/** A member as listed in a term. */
export interface TermMember {
  readonly name: string;
  /** Identifies the member's process: the revision of its member record. */
  readonly incarnation: number;
  readonly zone: string;
}

/** The current term: its leader and its members (S1). Fencing tokens derive from its number. */
export interface TermRecord {
  /** One higher than the previous term's. */
  readonly number: number;
  /** Revision of the leader's key: in terms with the same one, the leader is the same process with the same state. */
  readonly leaderRevision: number;
  readonly leader: string;
  readonly members: readonly TermMember[];
}

/** Value of a member's key, which is attached to the member's lease. */
export interface MemberRecord {
  readonly zone: string;
  readonly leaseId: number;
}

/** Value of the leader's key, which is attached to the leader's lease. */
export interface LeaderRecord {
  readonly member: string;
  readonly leaseId: number;
}
