/** The leader's picture: jobs, machines, and which task may be where. */
import { type Instant } from "./time.js";
import { RangeSet } from "./ranges.js";
import type { JobSpec, MachineRecord, TaskState, Why } from "./records.js";
import type { Usage } from "./quota.js";

/** A task that is, or may be, on a machine. While one exists, the task is started nowhere else. */
export interface Hold {
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  readonly machine: string;
  readonly spec: JobSpec | null;
  /** ordered: the start is on its way and unanswered. */
  state: TaskState | "ordered";
  why: Why | null;
  since: Instant;
  /** Token under which a start got no answer: it may still be executed until the machine saw a higher one. */
  doubt: number | null;
  stopping: boolean;
  stored: boolean;
}

export interface Job {
  readonly spec: JobSpec;
  readonly seen: Instant;
  /** Revision of the job record: a job younger than the leader's own key was never in an older leader's hands. */
  readonly stamp: number;
  readonly done: RangeSet;
  readonly pending: RangeSet;
  readonly holds: Map<number, Hold[]>;
  readonly errorsOn: Map<string, Instant>;
  retryAt: Instant | null;
  committing: boolean;
  gangAttempt: number;
}

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
  session: number;
  seq: number;
  token: number;
  /** The member that last passed on a report. */
  via: string | null;
  noticeUntil: Instant | null;
  /** Stored in the state service: only then may something be started on it. */
  recorded: boolean;
  recording: boolean;
  /** Reported under this term's token: its picture is complete. */
  confirmed: boolean;
  /** When it last reported, or was answered as a member vouches; null: not since this leader began. */
  heard: Instant | null;
  created: Instant;
  failed: boolean;
  releasing: Instant | null;
  idleSince: Instant | null;
  /** Tasks that failed here since one last completed, by job. */
  readonly blame: Map<string, number>;
  setAside: Instant | null;
  /** Its replicas are being moved to other machines, so that it can be returned. */
  draining: boolean;
  inFlight: boolean;
  probedAt: Instant | null;
  /** Questions without an answer since the last report. */
  unanswered: number;
  readonly used: { cpus: number; gpus: number; memoryGb: number };
  readonly holds: Map<string, Hold>;
  readonly images: Map<string, number>;
}

export interface Cluster {
  readonly jobs: Map<string, Job>;
  readonly machines: Map<string, Machine>;
  readonly usage: Map<string, Usage>;
}

export const newCluster = (): Cluster => ({ jobs: new Map(), machines: new Map(), usage: new Map() });

export const newJob = (spec: JobSpec, seen: Instant, stamp: number): Job => {
  const pending = new RangeSet();
  pending.add(0, spec.tasks);
  return {
    spec,
    seen,
    stamp,
    done: new RangeSet(),
    pending,
    holds: new Map(),
    errorsOn: new Map(),
    retryAt: null,
    committing: false,
    gangAttempt: 0,
  };
};

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
  session: 0,
  seq: 0,
  token: 0,
  via: null,
  noticeUntil: null,
  recorded: false,
  recording: false,
  confirmed: false,
  heard: null,
  created: now,
  failed: false,
  releasing: null,
  idleSince: null,
  blame: new Map(),
  setAside: null,
  draining: false,
  inFlight: false,
  probedAt: null,
  unanswered: 0,
  used: { cpus: 0, gpus: 0, memoryGb: 0 },
  holds: new Map(),
  images: new Map(),
});

export const holdKey = (job: string, index: number, attempt: number): string => `${job}/${index}#${attempt}`;

/** Whether a hold takes room on its machine, and of its team's limit. */
export const occupies = (hold: Hold): boolean => hold.state !== "exited" || hold.doubt !== null;

const account = (cluster: Cluster, machine: Machine, hold: Hold, sign: 1 | -1): void => {
  const spec = hold.spec;
  if (spec === null) return;
  machine.used.cpus += sign * spec.cpus;
  machine.used.gpus += sign * spec.gpus;
  machine.used.memoryGb += sign * spec.memoryGb;
  const usage = cluster.usage.get(spec.team) ?? { cpus: 0, gpus: 0 };
  usage.cpus += sign * spec.cpus;
  usage.gpus += sign * spec.gpus;
  cluster.usage.set(spec.team, usage);
};

/** Changes a hold, keeping the room accounts and the job's pending tasks in step. */
export const changeHold = (cluster: Cluster, hold: Hold, change: Partial<Hold>): void => {
  const machine = cluster.machines.get(hold.machine)!;
  const before = occupies(hold);
  Object.assign(hold, change);
  const after = occupies(hold);
  if (before && !after) {
    account(cluster, machine, hold, -1);
    settle(cluster, hold);
  } else if (!before && after) {
    account(cluster, machine, hold, 1);
    cluster.jobs.get(hold.job)?.pending.delete(hold.index);
  }
};

/** A task is pending again once nothing holds it and it isn't done. */
const settle = (cluster: Cluster, hold: Hold): void => {
  const job = cluster.jobs.get(hold.job);
  if (job === undefined || job.done.has(hold.index)) return;
  const holds = job.holds.get(hold.index) ?? [];
  if (holds.some((h) => occupies(h) || h.why === "done")) return;
  job.pending.add(hold.index);
};

export const addHold = (cluster: Cluster, hold: Hold): void => {
  const machine = cluster.machines.get(hold.machine)!;
  machine.holds.set(holdKey(hold.job, hold.index, hold.attempt), hold);
  if (occupies(hold)) account(cluster, machine, hold, 1);
  const job = cluster.jobs.get(hold.job);
  if (job === undefined) return;
  const holds = job.holds.get(hold.index);
  if (holds === undefined) job.holds.set(hold.index, [hold]);
  else holds.push(hold);
  if (occupies(hold) || hold.why === "done") job.pending.delete(hold.index);
};

export const removeHold = (cluster: Cluster, hold: Hold): void => {
  const machine = cluster.machines.get(hold.machine)!;
  machine.holds.delete(holdKey(hold.job, hold.index, hold.attempt));
  if (occupies(hold)) account(cluster, machine, hold, -1);
  const job = cluster.jobs.get(hold.job);
  if (job === undefined) return;
  const rest = (job.holds.get(hold.index) ?? []).filter((h) => h !== hold);
  if (rest.length === 0) job.holds.delete(hold.index);
  else job.holds.set(hold.index, rest);
  settle(cluster, hold);
};
