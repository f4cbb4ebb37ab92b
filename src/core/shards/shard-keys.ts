/** Keys for the ownership of shards. Earlier versions never list, watch or read keys under `shards/` (S14). */
export const shardKeys = {
  all: "shards/",
  /** The latest term whose members all support shards; written in the same transaction as that term. */
  term: "shards/term",
  members: "shards/member/",
  /** Says that a member's process supports shards; has the revision and the lease of its member key. */
  member: (name: string): string => `shards/member/${name}`,
  owners: "shards/owner/",
  owner: (shard: string): string => `shards/owner/${shard}`,
  drains: "shards/drain/",
  /** A controller whose shards are being moved away before a planned shutdown. */
  drain: (name: string): string => `shards/drain/${name}`,
};
