/**
 * The leader's model of the cluster: jobs, machines, and the attempts that place tasks on machines. This module has
 * only types, constructors and predicates; changes that affect indices are in the other `cluster-*` modules, which
 * keep the indices of `Cluster` consistent.
 */
import { CapacityIndex } from "./capacity-index.js";
import type { Usage } from "../placement/quota.js";
import { RangeSet } from "../ranges.js";
import { type JobSpec, type MachineRecord, RANK, type TaskState, type ExitReason } from "../records.js";
import { type Instant, plus } from "../time.js";

/** Identifies one heartbeat of a worker. They are ordered by the worker's epoch, then by sequence number. */
export interface HeartbeatId {
  readonly workerEpoch: number;
  readonly sequence: number;
}

/**
 * One attempt of a task that is, or may be, on a machine. While it exists the task is started nowhere else (S4): it
 * is removed only once it is certain that it neither runs nor can still start.
 */
export interface TaskAttempt {
  /** The job's ID. */
  readonly job: string;
  /** The task's number within the job. */
  readonly index: number;
  /** The attempt's own number, which is never reused; a later attempt of the same task has a higher one. */
  readonly attempt: number;
  /** The machine's ID. */
  readonly machine: string;
  /** The job's spec; null while the job's record is unknown. */
  readonly spec: JobSpec | null;
  /** As last reported by the worker; `dispatched`: a start was decided on, and no heartbeat has shown it yet. */
  state: TaskState | "dispatched";
  /** Why the attempt exited; null until it has. */
  exitReason: ExitReason | null;
  /** When it entered its current state. */
  stateSince: Instant;
  /** When it began to run; null if it hasn't, or if heartbeats were too far apart to tell. */
  runningSince: Instant | null;
  /** The token of an unanswered start command, which may be executed until the worker has seen a higher token. */
  unacknowledgedToken: number | null;
  /**
   * The heartbeat with which the worker answered the start; null if no such heartbeat is awaited. It may be received
   * after the answer itself; it or any newer one shows whether the attempt exists.
   */
  acknowledgedBy: HeartbeatId | null;
  /**
   * The step of the machine's fencing token under which its start was sent, in the term that `attempt` names. The worker
   * may forget the attempt only under a higher token (S4).
   */
  startTokenStep: number;
  /** Whether a stop command was decided on. */
  stopping: boolean;
  /** Whether its finish is stored in the state service, so that the worker may forget the task (S7). */
  stored: boolean;
}

/** A released, unfinished job, with the state of its tasks. */
export interface Job {
  readonly spec: JobSpec;
  /** When it was accepted. Its deadline counts from here. */
  readonly acceptedAt: Instant;
  /** When its dependencies were done, so that it could start. Its age in the queue counts from here. */
  readonly releasedAt: Instant;
  /** Revision of the job record. If it is higher than the leader key's, no earlier leader started its tasks (S5). */
  readonly revision: number;
  /** Finished tasks: stored as such, or reported as done by a worker. Never shrinks (S7). */
  readonly done: RangeSet;
  /** The finished tasks that are stored. Workers may forget only these. */
  readonly stored: RangeSet;
  /** Tasks to be started: not done, and without an attempt that may run. Changed only by the `cluster-*` modules. */
  readonly pending: RangeSet;
  /** All attempts of the job, by task number. */
  readonly attempts: Map<number, TaskAttempt[]>;
  /** Machines on which its tasks failed, and when each last did so. */
  readonly failedOn: Map<string, Instant>;
  /** Machines that refused its tasks for lack of capacity, and when each last did so. */
  readonly refusedOn: Map<string, Instant>;
  /** No task is started before this instant; null: there is no delay. */
  retryAt: Instant | null;
  /** How many retry delays it has had since it was first suspected to be faulty itself. */
  retryDelayCount: number;
  /** Whether a commit was decided on and has not failed. */
  committing: boolean;
  /** Number of attempts that are running or saving. */
  runningTasks: number;
  /** The highest rank among the job and the unfinished jobs that depend on it. */
  rank: number;
  /** When it has to be done, for its own deadline or for those of jobs that depend on it; null: no deadline. */
  deadlineAt: Instant | null;
}

/** A machine: its properties, its worker's latest report, and the decisions about it. */
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
  /** Epoch and sequence number of the worker's latest heartbeat; 0: none received yet. */
  workerEpoch: number;
  sequence: number;
  /** The highest fencing token that its worker has reported. */
  fencingToken: number;
  /** How often the machine's own token was raised within this term, to invalidate earlier commands (S2, S4). */
  fencingTokenStep: number;
  /** The member that relayed its latest heartbeat. */
  relayedBy: string | null;
  /** When the cloud reclaims it; null: no notice was given. */
  reclaimAt: Instant | null;
  /** Whether its record is stored in the state service. Tasks may be started only on recorded machines (S5). */
  readonly recorded: boolean;
  /** Whether a write of its record was decided on and is in progress. */
  recording: boolean;
  /** Whether `attempts` is complete: its worker reported under this term's token, or nothing can run on it (S2). */
  readonly confirmed: boolean;
  /** When a newer heartbeat of its worker last arrived; null: none since this leader began. */
  readonly lastHeartbeatAt: Instant | null;
  /** When a member last answered a heartbeat, which renews the worker's lease; null: not since this leader began. */
  leaseRenewedAt: Instant | null;
  /** When it was created, as far as this leader knows. */
  createdAt: Instant;
  /** Whether the cloud lists it as failed. */
  failed: boolean;
  /** When its release was last requested; null: not requested. */
  releaseRequestedAt: Instant | null;
  /** Since when it has had no attempts; null: it has some, or it hasn't sent a heartbeat yet. */
  idleSince: Instant | null;
  /** Tasks that failed here since one last completed here, by job. */
  readonly failuresByJob: Map<string, number>;
  /** Since when it gets no new work because of failures or slowness; null: it isn't cordoned. */
  cordonedAt: Instant | null;
  /** Whether it is cordoned for slowness. Unlike after failures, a completed task then doesn't uncordon it. */
  cordonedAsSlow: boolean;
  /** Whether its replicas are being moved to other machines, so that it can be returned to the cloud. */
  draining: boolean;
  /** Whether a batch of commands is in flight. Nothing more is sent until its outcome is known. */
  commandsInFlight: boolean;
  /** When it was last probed: sent a batch without commands, which the worker answers with a heartbeat. */
  probedAt: Instant | null;
  /** Consecutive command batches without an answer. Heartbeats that the worker sends on its own don't reset it. */
  unansweredBatches: number;
  /** Since when command batches have been unanswered; null: the last one was answered. */
  unreachableSince: Instant | null;
  /** Capacity in use by its attempts whose size is known. */
  readonly used: { cpus: number; gpus: number; memoryGb: number };
  /** Attempts that are, or may be, on it, by `attemptKey`. */
  readonly attempts: Map<string, TaskAttempt>;
  /** How many tasks of each class are, or may be, on it. */
  readonly attemptsByClass: Map<string, number>;
  /** Images presumed to be in its cache and their sizes in GB, the least recently used first. */
  readonly images: Map<string, number>;
}

/** The leader's whole model of the cluster, with indices so that a step visits only what changed or waits. */
export interface Cluster {
  readonly jobs: Map<string, Job>;
  readonly machines: Map<string, Machine>;
  /** Capacity in use by each team's attempts (S6). */
  readonly usageByTeam: Map<string, Usage>;
  /** Jobs with pending tasks. */
  readonly pendingJobs: Set<Job>;
  /** Jobs whose tasks are all finished, and for which no commit was decided on yet. */
  readonly awaitingCommit: Set<Job>;
  /** Machines with free memory, by free processors. */
  readonly capacityIndex: CapacityIndex<Machine>;
  /** Machines that the reconciler has to visit: for tasks to stop or forget, reclaim notices, or draining. */
  readonly reconcileQueue: Set<Machine>;
  /** Recorded machines that may run tasks unknown to this leader (S5). */
  readonly unconfirmed: Set<Machine>;
  /** Machines that sent a heartbeat but have no record yet. */
  readonly unrecorded: Set<Machine>;
  /** Machines from which this leader received a heartbeat, the longest silent first. */
  readonly byLastHeartbeat: Set<Machine>;
  /** Machines whose last command batch was not answered. */
  readonly unreachable: Set<Machine>;
  /** Machines that have to report their raised token before their shard is handed over. */
  readonly awaitingFence: Set<Machine>;
  /** The highest step of any machine's fencing token in this term; a term has a limited number of steps (S2). */
  highestTokenStep: number;
  /** Attempts whose start command got no answer (S4). */
  readonly unacknowledgedStarts: Set<TaskAttempt>;
  /** Attempts whose job record is unknown, by job. */
  readonly orphanedAttempts: Map<string, Set<TaskAttempt>>;
  /** How many orphaned attempts, whose size is unknown, each machine has (S6). */
  readonly orphanedAttemptCounts: Map<Machine, number>;
  /** How many tasks of each class are, or may be, on any machine. */
  readonly attemptsByClass: Map<string, number>;
  /** The same by the rank of the jobs' own priority; the rank that a job inherits is never lower than that. */
  readonly attemptsByRank: number[];
  /** The latest starts, oldest first. Preemption prefers recently started tasks, which lose the least work. */
  readonly recentStarts: TaskAttempt[];
  /** Incremented whenever a waiting task might fit where it didn't before. */
  capacityVersion: number;
  /** Incremented whenever a job is added or removed. */
  jobSetVersion: number;
  /** Called when a job's finished or running tasks have changed. */
  onProgress: (job: Job) => void;
}

/** An empty cluster. */
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
  highestTokenStep: 0,
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

/** A machine of which only the record is known. `SchedulerContext.applyType` sets its size. */
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

/** A job whose tasks are all pending. */
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

/** Whether heartbeat `one` is the same as `other`, or newer. */
export const isSameOrNewer = (one: HeartbeatId, other: HeartbeatId): boolean =>
  one.workerEpoch > other.workerEpoch ||
  (one.workerEpoch === other.workerEpoch && one.sequence >= other.sequence);

/** Whether an attempt counts against the capacity of its machine and the limit of its team (S6). */
export const occupiesCapacity = (attempt: TaskAttempt): boolean =>
  attempt.state !== "exited" || attempt.unacknowledgedToken !== null;

/** Whether the worker reported the attempt as running or as saving its checkpoint. */
export const isActive = (attempt: TaskAttempt): boolean =>
  attempt.state === "running" || attempt.state === "saving";

/** The rank of an attempt's job; the rank of its own priority if the job is no longer known. */
export const rankOf = (cluster: Cluster, attempt: TaskAttempt & { readonly spec: JobSpec }): number =>
  cluster.jobs.get(attempt.job)?.rank ?? RANK[attempt.spec.priority];
