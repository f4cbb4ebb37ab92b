/**
 * Encodes and decodes the cluster's membership records in the state service. Other versions read and write them too, so
 * the stored names never change; they are mapped to the code's names here.
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

/** Encodes a term. */
export const encodeTerm = ({ number, leaderRevision, leader, members }: TermRecord): StoredTerm => ({
  token: number,
  key: leaderRevision,
  leader,
  members,
});

/** Decodes a stored term. */
export const decodeTerm = (value: unknown): TermRecord => {
  const { token, key, leader, members } = value as StoredTerm;
  return { number: token, leaderRevision: key, leader, members };
};

/** Encodes a member's record. */
export const encodeMember = ({ zone, leaseId }: MemberRecord): StoredMember => ({ zone, permit: leaseId });

/** Decodes a stored member's record. */
export const decodeMember = (value: unknown): MemberRecord => {
  const { zone, permit } = value as StoredMember;
  return { zone, leaseId: permit };
};

/** Encodes the leader's record. */
export const encodeLeader = ({ member, leaseId }: LeaderRecord): StoredLeader => ({
  member,
  permit: leaseId,
});

/** Decodes the stored leader's record. */
export const decodeLeader = (value: unknown): LeaderRecord => {
  const { member, permit } = value as StoredLeader;
  return { member, leaseId: permit };
};
