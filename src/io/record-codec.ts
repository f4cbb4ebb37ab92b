/**
 * Records of the cluster's membership as the state service keeps them. Other versions read and write the same records,
 * so their names stay; here they are mapped to those of the code.
 */
import type { LeaderRecord, MemberRecord, TermMember, TermRecord } from "../core/records.js";

interface StoredTerm {
  readonly token: number;
  readonly key: number;
  readonly leader: string;
  readonly members: readonly TermMember[];
}
interface StoredMember {
  readonly zone: string;
  readonly permit: number;
}
interface StoredLeader {
  readonly member: string;
  readonly permit: number;
}

/** A term as it is stored. */
export const encodeTerm = ({ number, leaderRevision, leader, members }: TermRecord): StoredTerm => ({
  token: number,
  key: leaderRevision,
  leader,
  members,
});

/** A term as it was read. */
export const decodeTerm = (value: unknown): TermRecord => {
  const { token, key, leader, members } = value as StoredTerm;
  return { number: token, leaderRevision: key, leader, members };
};

/** A member's record as it is stored. */
export const encodeMember = ({ zone, leaseId }: MemberRecord): StoredMember => ({ zone, permit: leaseId });

/** A member's record as it was read. */
export const decodeMember = (value: unknown): MemberRecord => {
  const { zone, permit } = value as StoredMember;
  return { zone, leaseId: permit };
};

/** The leader's record as it is stored. */
export const encodeLeader = ({ member, leaseId }: LeaderRecord): StoredLeader => ({
  member,
  permit: leaseId,
});

/** The leader's record as it was read. */
export const decodeLeader = (value: unknown): LeaderRecord => {
  const { member, permit } = value as StoredLeader;
  return { member, leaseId: permit };
};
