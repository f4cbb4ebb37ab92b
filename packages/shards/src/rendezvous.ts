/** Rendezvous hashing: every process derives the same owner from the same members, without a record. */

/** A controller process that takes part in a term. */
export interface Member {
  readonly name: string;
  /** Which process of that controller: a new process has another number. */
  readonly incarnation: number;
  readonly zone: string;
}

/** FNV-1a with a final mix. Every process must come to the same number, so this function never changes. */
export const stableHash = (text: string): number => {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
};

/** The members that come first for what is in `zone`: those of the zone itself, or all where it has none. */
export const nearMembers = <M extends Member>(members: readonly M[], zone: string): readonly M[] => {
  const near = members.filter((member) => member.zone === zone);
  return near.length > 0 ? near : members;
};

/** The member with the highest hash for `key`; members of the zone `zone` come first. null: there are no members. */
export const rendezvousOwner = <M extends Member>(
  members: readonly M[],
  key: string,
  zone: string,
): M | null => {
  let best: M | null = null;
  let bestScore = -1;
  for (const member of nearMembers(members, zone)) {
    const score = stableHash(`${member.name} ${key}`);
    if (score <= bestScore) continue;
    best = member;
    bestScore = score;
  }
  return best;
};
