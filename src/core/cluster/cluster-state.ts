/**
 * What the leader knows: jobs, machines, and the placements that tie tasks to machines. Types, constructors and plain
 * predicates only. What changes several of these fields together is in the other `cluster-*` modules, which keep the
 * indices of `Cluster` consistent.
 */
import { CapacityIndex } from "./capacity-index.js";
import type { Usage } from "../placement/quota.js";
import { RangeSet } from "../ranges.js";
import { type JobSpec, type MachineRecord, RANK, type TaskState, type ExitReason } from "../records.js";
import { type Instant, plus } from "../time.js";

/** Identifies one message of a worker: messages of one epoch are numbered, and a newer epoch is newer than all earlier ones. */
export interface HeartbeatId {
  readonly workerEpoch: number;
  readonly sequence: number;
}

/**
 * One attempt of a task that is, or may be, on a machine. While an attempt exists the task is started nowhere else (S4):
 * it is removed only once it is certain that the attempt neither runs nor can still start.
 */
export interface TaskAttempt {
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  readonly machine: string;
  /** The job's spec; null while the job record is not known. */
  readonly spec: JobSpec | null;
  /** As last reported by the worker; `dispatched`: the start command was decided on and has not shown in a heartbeat. */
  state: TaskState | "dispatched";
  /** Why the attempt ended; null until it exited. */
  exitReason: ExitReason | null;
  /** When it entered its present state. */
  stateSince: Instant;
  /** When it began to run; null if heartbeats came too seldom to tell. */
  runningSince: Instant | null;
  /** Token under which a start command got no answer: it may still be executed until the worker saw a higher token. */
  unacknowledgedToken: number | null;
  /** The heartbeat with which the worker answered the start; it may arrive later, and newer ones are conclusive. */
  acknowledgedBy: HeartbeatId | null;
  /** A stop command was decided on. */
  stopping: boolean;
  /** Its finish is in the state service, so the worker may forget the task (S7). */
  stored: boolean;
}

/** An unfinished released job, with the state of its tasks. */
export interface Job {
  readonly spec: JobSpec;
  /** When it was accepted: its deadline counts from there. */
  readonly acceptedAt: Instant;
  /** When it could first start, all its dependencies being done: its age in the queue counts from there. */
  readonly releasedAt: Instant;
  /** Revision of the job record. A job younger than the leader's own key was never in an earlier leader's hands (S5). */
  readonly revision: number;
  /** Tasks that are finished: stored as ranges, or reported as done by a worker. Never shrinks (S7). */
  readonly done: RangeSet;
  /** Those of them that are stored: only they may be forgotten by workers. */
  readonly stored: RangeSet;
  /** Tasks to be started: not done, and without an attempt. Changed only by the `cluster-*` modules. */
  readonly pending: RangeSet;
  /** Every attempt of the job, by task number. */
  readonly attempts: Map<number, TaskAttempt[]>;
  /** Machines on which its tasks failed, and when last. */
  readonly failedOn: Map<string, Instant>;
  /** Machines that turned its tasks down for lack of capacity, and when last. */
  readonly refusedOn: Map<string, Instant>;
  /** Nothing of it is started before this; null: at once. */
  retryAt: Instant | null;
  /** How often it was tried again after it had failed on several machines, and failed once more. */
  retryDelayCount: number;
  /** A commit was decided on and has not failed. */
  committing: boolean;
  /** Tasks that run or save right now. */
  runningTasks: number;
  /** The highest rank of the job itself and of the unfinished jobs that need it. */
  rank: number;
  /** When it has to be done: for its own deadline, or for the jobs that need it. */
  deadlineAt: Instant | null;
}

/** A machine: what it is, what its worker last reported, and what is decided about it. */
export interface Machine {
  readonly id: string;
  type: string;
  zone: string;
  spot: boolean;
  addr: string | null;
  cpus: number;
  gpus: number;
  memoryGb: number;
  cacheGb: number;
  /** Epoch and number of the worker's latest heartbeat; 0: none yet. */
  workerEpoch: number;
  sequence: number;
  /** The highest token that its worker was seen to know. */
  fencingToken: number;
  /** How often its own token was raised within this term, to settle unanswered starts (S2). */
  fencingTokenStep: number;
  /** The member that last passed on a heartbeat. */
  relayedBy: string | null;
  /** When the cloud takes it back; null: no notice was given. */
  reclaimAt: Instant | null;
  /** Stored in the state service: only then may something be started on it (S5). */
  readonly recorded: boolean;
  /** A write of its record was decided on and has not failed. */
  recording: boolean;
  /** Reported under this term's token, or known to have no attempts: `attempts` is complete (S2). */
  readonly confirmed: boolean;
  /** When a newer message of its worker came last; null: none since this leader began. */
  readonly lastHeartbeatAt: Instant | null;
  /** When a member last answered a heartbeat, which alone renews the worker's lease; null: not since this leader began. */
  leaseRenewedAt: Instant | null;
  /** When this leader first knew of it. */
  createdAt: Instant;
  /** The cloud lists it as failed. */
  failed: boolean;
  /** When its release was last requested; null: not requested. */
  releaseRequestedAt: Instant | null;
  /** Since when it has had no attempts. */
  idleSince: Instant | null;
  /** Tasks that failed here since one last completed, by job. */
  readonly failuresByJob: Map<string, number>;
  /** Since when it gets no new work because of failures or slowness; null: it does. */
  cordonedAt: Instant | null;
  /** Cordoned for its speed, not for failures: tasks that complete on it are no reason to use it again. */
  cordonedAsSlow: boolean;
  /** Its replicas are being moved to other machines, so that it can be returned. */
  draining: boolean;
  /** A batch of commands is unanswered: nothing more is sent until it is answered. */
  commandsInFlight: boolean;
  /** When it was last sent a batch without commands, whose answer is a heartbeat. */
  probedAt: Instant | null;
  /** Consecutive command batches without an answer. Heartbeats that arrive by themselves don't reset it. */
  unansweredBatches: number;
  /** Since when command batches have gone unanswered; null: the last one was answered. */
  unreachableSince: Instant | null;
  /** Capacity in use by its attempts. */
  readonly used: { cpus: number; gpus: number; memoryGb: number };
  readonly attempts: Map<string, TaskAttempt>;
  /** How many tasks of each class are, or may be, on it. */
  readonly attemptsByClass: Map<string, number>;
  /** Images in its cache and their sizes, the least recently used first. */
  readonly images: Map<string, number>;
}

/** The leader's whole state, with indices so that a step looks only at what changed or what waits. */
export interface Cluster {
  readonly jobs: Map<string, Job>;
  readonly machines: Map<string, Machine>;
  /** Capacity in use by each team's attempts (S6). */
  readonly usageByTeam: Map<string, Usage>;
  /** Jobs with tasks to be started. */
  readonly pendingJobs: Set<Job>;
  /** Jobs that are finished and have no commit yet. */
  readonly awaitingCommit: Set<Job>;
  /** Machines with free memory, by their free processors. */
  readonly capacityIndex: CapacityIndex<Machine>;
  /** Machines that the reconciler has to look at: tasks to stop or to forget, notices, drains. */
  readonly reconcileQueue: Set<Machine>;
  /** Recorded machines that may run tasks this leader doesn't know of (S5). */
  readonly unconfirmed: Set<Machine>;
  /** Machines that sent a heartbeat and have no record yet. */
  readonly unrecorded: Set<Machine>;
  /** Machines that sent this leader a heartbeat, the longest silent first. */
  readonly byLastHeartbeat: Set<Machine>;
  /** Machines whose last command batch went unanswered. */
  readonly unreachable: Set<Machine>;
  /** Machines whose raised token has to be seen before their shard is handed over. */
  readonly awaitingFence: Set<Machine>;
  /** Attempts whose start got no answer (S4). */
  readonly unacknowledgedStarts: Set<TaskAttempt>;
  /** Attempts whose job record is not known, by job. */
  readonly orphanedAttempts: Map<string, Set<TaskAttempt>>;
  /** How many such attempts each machine has; their size is not known (S6). */
  readonly orphanedAttemptCounts: Map<Machine, number>;
  /** How many tasks of each class are, or may be, on machines. */
  readonly attemptsByClass: Map<string, number>;
  /** The same by the tasks' own rank. Inherited ranks are never lower: where this counts nothing low, nothing is. */
  readonly attemptsByRank: number[];
  /** The latest starts, oldest first: what was started last costs the least to stop. */
  readonly recentStarts: TaskAttempt[];
  /** Grows whenever a waiting task might fit where it didn't before. */
  capacityVersion: number;
  /** Grows whenever jobs come or go. */
  jobSetVersion: number;
  /** Called when a job's finished or running tasks change. */
  onProgress: (job: Job) => void;
}

/** A cluster without jobs and machines. */
export const newCluster = (): Cluster => ({
  jobs: new Map(),
  machines: new Map(),
  usageByTeam: new Map(),
  pendingJobs: new Set(),
  awaitingCommit: new Set(),
  capacityIndex: new CapacityIndex(),
  reconcileQueue: new Set(),
  unconfirmed: new Set(),
  unrecorded: new Set(),
  byLastHeartbeat: new Set(),
  unreachable: new Set(),
  awaitingFence: new Set(),
  unacknowledgedStarts: new Set(),
  orphanedAttempts: new Map(),
  orphanedAttemptCounts: new Map(),
  attemptsByClass: new Map(),
  attemptsByRank: [0, 0, 0, 0],
  recentStarts: [],
  capacityVersion: 0,
  jobSetVersion: 0,
  onProgress: () => undefined,
});

/** A machine of which only the record is known. Its size follows from its type (`SchedulerContext.applyType`). */
export const newMachine = (id: string, record: MachineRecord, now: Instant): Machine => ({
  id,
  type: record.type,
  zone: record.zone,
  spot: record.spot,
  addr: record.addr,
  cpus: 0,
  gpus: 0,
  memoryGb: 0,
  cacheGb: 0,
  workerEpoch: 0,
  sequence: 0,
  fencingToken: 0,
  fencingTokenStep: 0,
  relayedBy: null,
  reclaimAt: null,
  recorded: false,
  recording: false,
  confirmed: false,
  lastHeartbeatAt: null,
  leaseRenewedAt: null,
  createdAt: now,
  failed: false,
  releaseRequestedAt: null,
  idleSince: null,
  failuresByJob: new Map(),
  cordonedAt: null,
  cordonedAsSlow: false,
  draining: false,
  commandsInFlight: false,
  probedAt: null,
  unansweredBatches: 0,
  unreachableSince: null,
  used: { cpus: 0, gpus: 0, memoryGb: 0 },
  attempts: new Map(),
  attemptsByClass: new Map(),
  images: new Map(),
});

/** A job of which every task is still to be started. */
export const newJob = (spec: JobSpec, revision: number, acceptedAt: Instant, releasedAt: Instant): Job => ({
  spec,
  acceptedAt,
  releasedAt,
  revision,
  done: new RangeSet(),
  stored: new RangeSet(),
  pending: RangeSet.of([[0, spec.tasks]]),
  attempts: new Map(),
  failedOn: new Map(),
  refusedOn: new Map(),
  retryAt: null,
  retryDelayCount: 0,
  committing: false,
  runningTasks: 0,
  rank: RANK[spec.priority],
  deadlineAt: spec.deadline === null ? null : plus(acceptedAt, spec.deadline),
});

/** The key of an attempt in `Machine.attempts`. */
export const attemptKey = (job: string, index: number, attempt: number): string =>
  `${job}/${index}#${attempt}`;

/** Whether one message of a worker is `other` or newer. */
export const isSameOrNewer = (one: HeartbeatId, other: HeartbeatId): boolean =>
  one.workerEpoch > other.workerEpoch ||
  (one.workerEpoch === other.workerEpoch && one.sequence >= other.sequence);

/** Whether an attempt uses capacity of its machine, and of its team's limit (S6). */
export const occupiesCapacity = (attempt: TaskAttempt): boolean =>
  attempt.state !== "exited" || attempt.unacknowledgedToken !== null;

/** Whether the worker reported the attempt as running or as saving its checkpoint. */
export const isActive = (attempt: TaskAttempt): boolean =>
  attempt.state === "running" || attempt.state === "saving";

/** How important a task's job is; the task's own priority where the job is no longer known. */
export const rankOf = (cluster: Cluster, attempt: TaskAttempt & { readonly spec: JobSpec }): number =>
  cluster.jobs.get(attempt.job)?.rank ?? RANK[attempt.spec.priority];
