/** Rendezvous hashing: every process computes the same owner from the same members, so no record is needed. */

/** A controller process that is a member of a term. */
export interface Member {
  readonly name: string;
  /** Identifies the process: each new process of the controller has another number. */
  readonly incarnation: number;
  readonly zone: string;
}

/** FNV-1a with a finalizer. Processes of all versions must compute the same value, so this function must never change. */
export const stableHash = (text: string): number => {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
};

/** The members in `zone`, or all members if the zone has none. */
export const nearMembers = <M extends Member>(members: readonly M[], zone: string): readonly M[] => {
  const near = members.filter((member) => member.zone === zone);
  return near.length > 0 ? near : members;
};

/** The member with the highest hash for `key` among `nearMembers`; null if there are no members. */
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
