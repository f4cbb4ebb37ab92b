/** Keys of the ownership of shards. Earlier versions never list, watch or read what begins with `shards/` (S14). */
export const shardKeys = {
  all: "shards/",
  /** The latest term whose members all know shards; written together with that term. */
  term: "shards/term",
  members: "shards/member/",
  /** Says that a member's process knows shards; has the revision and the lease of its member key. */
  member: (name: string): string => `shards/member/${name}`,
  owners: "shards/owner/",
  owner: (shard: string): string => `shards/owner/${shard}`,
  drains: "shards/drain/",
  /** A controller that is being emptied before its planned end. */
  drain: (name: string): string => `shards/drain/${name}`,
};
