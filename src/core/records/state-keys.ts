/** The keys of the state service, other than those of shards (`shards/shard-keys.ts`). */

/** Where the state service keeps each record. The names never change: earlier versions read and write them (S14). */
export const keys = {
  cluster: "cluster/",
  leader: "cluster/leader",
  term: "cluster/term",
  members: "cluster/member/",
  member: (name: string) => `cluster/member/${name}`,
  types: "types",
  /** Whatever concerns unfinished jobs: released ones, waiting ones and fan-in sets, so that one watch tells all. */
  unfinished: "job",
  jobs: "job/",
  job: (id: string) => `job/${id}`,
  /** A job that waits for others. Earlier versions never list or read it: they would start it at once. */
  blockedJobs: "job-waiting/",
  blockedJob: (id: string) => `job-waiting/${id}`,
  fanins: "job-fanin/",
  fanin: (id: string) => `job-fanin/${id}`,
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
