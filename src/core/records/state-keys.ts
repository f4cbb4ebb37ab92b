/** Keys in the state service, other than those of shards (`shards/shard-keys.ts`). */

/** The key or key prefix of each record. They never change: earlier versions read and write them (S14). */
export const keys = {
  cluster: "cluster/",
  leader: "cluster/leader",
  term: "cluster/term",
  members: "cluster/member/",
  member: (name: string) => `cluster/member/${name}`,
  types: "types",
  /** Common prefix of released jobs, blocked jobs and fan-in sets, so that one watch covers all unfinished jobs. */
  unfinished: "job",
  jobs: "job/",
  job: (id: string) => `job/${id}`,
  /** Jobs that wait for their dependencies. Earlier versions, which would start them, never list or read these keys. */
  blockedJobs: "job-waiting/",
  blockedJob: (id: string) => `job-waiting/${id}`,
  fanins: "job-fanin/",
  fanin: (id: string) => `job-fanin/${id}`,
  commits: "commit/",
  commit: (id: string) => `commit/${id}`,
  ranges: "ranges/",
  rangesOf: (id: string, writer: string, window: number) => `ranges/${id}/${writer}/${window}`,
  machines: "machines/",
  machinesOf: (block: string) => `machines/${block}`,
  memberUpdates: "news/",
  memberUpdate: (member: string, piece: number) => `news/${member}/${piece}`,
  rentals: "rental/",
  rental: (name: string) => `rental/${name}`,
};
