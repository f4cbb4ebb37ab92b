/** What the state service keeps, and the words the core uses for jobs, tasks and machines. */
import type * as Duration from "effect/Duration";
import type { Range } from "./ranges.js";

export type Kind = "array" | "gang" | "service";
export type Priority = "production" | "high" | "normal" | "low";
export const RANK: Record<Priority, number> = { production: 3, high: 2, normal: 1, low: 0 };

export interface JobSpec {
  readonly id: string;
  readonly className: string;
  readonly team: string;
  readonly kind: Kind;
  readonly priority: Priority;
  readonly tasks: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly image: string;
  readonly imageGb: number;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly oneZone: boolean;
  readonly spread: boolean;
  readonly spot: boolean;
  readonly estimate: Duration.Duration;
  readonly checkpoint: Duration.Duration;
  readonly save: Duration.Duration;
  /** Counts from the submission, also for a job that waits for others. */
  readonly deadline: Duration.Duration | null;
  /** Jobs that have to be done before any task of this one starts. */
  readonly dependsOn: readonly string[];
}

export type Outcome = "done" | "cancelled";
export interface CommitRecord {
  readonly outcome: Outcome;
  readonly tasks: number;
}
/** A waiting job's fan-in set: which of its parents are done, and whether the add that filled it released the job. */
export interface FaninRecord {
  readonly joined: readonly string[];
  readonly released: boolean;
}
export interface MachineRecord {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly addr: string | null;
}
/** Machines are recorded many to a record: few state writes a machine. */
export interface MachinesRecord {
  readonly machines: Readonly<Record<string, MachineRecord>>;
}
export interface RentalRecord {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}
export interface TermMember {
  readonly name: string;
  /** Which process of that member: the revision of its member record. */
  readonly incarnation: number;
  readonly zone: string;
}
export interface TermRecord {
  readonly number: number;
  /** Stamp of the leader's key: terms with the same one have the same leader, with all that it remembers. */
  readonly leaderRevision: number;
  readonly leader: string;
  readonly members: readonly TermMember[];
}
export interface MemberRecord {
  readonly zone: string;
  readonly leaseId: number;
}
export interface LeaderRecord {
  readonly member: string;
  readonly leaseId: number;
}
export interface RangesRecord {
  readonly ranges: readonly Range[];
}
export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly boot: Duration.Duration;
  readonly zones: readonly string[];
}
export interface Team {
  readonly name: string;
  readonly guaranteedCpus: number;
  readonly maxCpus: number;
  readonly guaranteedGpus: number;
  readonly maxGpus: number;
}

export type TaskState = "fetching" | "waiting" | "running" | "saving" | "exited";
export type ExitReason = "done" | "stopped" | "peers" | "alone" | "error" | "no_room" | "busy" | "unknown";
export interface TaskStatus {
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  readonly state: TaskState;
  readonly exitReason: ExitReason | null;
}
export interface Heartbeat {
  readonly machine: string;
  readonly addr: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly workerEpoch: number;
  readonly sequence: number;
  readonly fencingToken: number;
  readonly reclaimNoticeSeconds: number | null;
  readonly tasks: readonly TaskStatus[];
}
export interface Command {
  readonly op: "start" | "stop" | "forget";
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  readonly gracePeriodSeconds: number;
}

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
  rangesOf: (id: string, writer: string, chunk: number) => `ranges/${id}/${writer}/${chunk}`,
  machines: "machines/",
  machinesOf: (block: string) => `machines/${block}`,
  memberUpdates: "news/",
  memberUpdate: (member: string, piece: number) => `news/${member}/${piece}`,
  rentals: "rental/",
  rental: (name: string) => `rental/${name}`,
};

export const taskName = (job: string, index: number): string => `${job}/${index}`;
