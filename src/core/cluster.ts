/**
 * The leader's picture: jobs, machines, and which task may be where. Its indices are kept in step by the functions
 * here, so that a decision looks only at what changed or what waits; the tests check each against a recount.
 */
import { type Instant, plus } from "./time.js";
import { FreeMachines } from "./free.js";
import { RangeSet } from "./ranges.js";
import { type JobSpec, type MachineRecord, RANK, type TaskState, type Why } from "./records.js";
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
  /** When it began to run, if that was seen in time. */
  began: Instant | null;
  /** Token under which a start got no answer: it may still be executed until the machine saw a higher one. */
  doubt: number | null;
  /** The start was answered with this report, which may still be on its way here: what comes later decides. */
  answered: { readonly session: number; readonly seq: number } | null;
  stopping: boolean;
  stored: boolean;
}

export interface Job {
  readonly spec: JobSpec;
  /** When it was accepted: its deadline counts from there. */
  readonly accepted: Instant;
  /** When it could first start, all that it awaits being done: ages and patience count from there. */
  readonly seen: Instant;
  /** Revision of the job record: a job younger than the leader's own key was never in an older leader's hands. */
  readonly stamp: number;
  /** Tasks that are finished: stored as ranges, or shown as done by a worker. */
  readonly done: RangeSet;
  /** Those of them that are stored: only they may be reaped. */
  readonly stored: RangeSet;
  /** Tasks to be started: not done, and nothing holds them. Changed only by the functions here. */
  readonly pending: RangeSet;
  readonly holds: Map<number, Hold[]>;
  /** Where its tasks failed, and when last; where there was less room than thought. */
  readonly errorsOn: Map<string, Instant>;
  readonly refusedOn: Map<string, Instant>;
  retryAt: Instant | null;
  committing: boolean;
  /** Tasks that run or save right now. */
  running: number;
  /** The highest rank of the job itself and of the unfinished jobs that need it. */
  rank: number;
  /** When it has to be done: for its own sake, or for the jobs that need it. */
  due: Instant | null;
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
  /** The highest token that it was seen to know. */
  token: number;
  /** How often its own token was raised within this term, to settle unanswered starts. */
  step: number;
  /** The member that last passed on a report. */
  via: string | null;
  noticeUntil: Instant | null;
  /** Stored in the state service: only then may something be started on it. */
  readonly recorded: boolean;
  recording: boolean;
  /** Reported under this term's token: its picture is complete. */
  readonly confirmed: boolean;
  /** When a newer message of its worker came last; null: none since this leader began. */
  readonly heard: Instant | null;
  /** When a member last answered a report of its worker, which alone renews its lease; null: not since this leader began. */
  renewed: Instant | null;
  created: Instant;
  failed: boolean;
  releasing: Instant | null;
  idleSince: Instant | null;
  /** Tasks that failed here since one last completed, by job. */
  readonly blame: Map<string, number>;
  setAside: Instant | null;
  /** Set aside for its pace, not for failures: what completes on it doesn't speak for it. */
  slow: boolean;
  /** Its replicas are being moved to other machines, so that it can be returned. */
  draining: boolean;
  inFlight: boolean;
  probedAt: Instant | null;
  /** Direct questions and orders without an answer, and since when: reports alone don't reset them. */
  unanswered: number;
  mute: Instant | null;
  readonly used: { cpus: number; gpus: number; memoryGb: number };
  readonly holds: Map<string, Hold>;
  /** How many tasks of each class it holds. */
  readonly classes: Map<string, number>;
  readonly images: Map<string, number>;
}

export interface Cluster {
  readonly jobs: Map<string, Job>;
  readonly machines: Map<string, Machine>;
  readonly usage: Map<string, Usage>;
  /** Jobs with tasks to be started. */
  readonly waiting: Set<Job>;
  /** Jobs that are finished and have no commit yet. */
  readonly covered: Set<Job>;
  /** Machines with room. */
  readonly free: FreeMachines;
  /** Machines about which something is to be tidied up: tasks to stop or to forget, notices, drains. */
  readonly attention: Set<Machine>;
  /** Recorded machines that may hold tasks this leader doesn't know of. */
  readonly unconfirmed: Set<Machine>;
  /** Machines heard of that have no record yet. */
  readonly unrecorded: Set<Machine>;
  /** Machines that this leader heard, the longest silent first. */
  readonly hearing: Set<Machine>;
  /** Machines that don't answer direct questions. */
  readonly mute: Set<Machine>;
  /** Starts without an answer. */
  readonly doubts: Set<Hold>;
  /** Tasks whose job record isn't known, by job, and their machines. */
  readonly strays: Map<string, Set<Hold>>;
  readonly strayOn: Map<Machine, number>;
  /**
   * How many tasks of each class are, or may be, on machines; the same by their own rank, which no inherited one is
   * below: where nothing is low by this count, nothing is.
   */
  readonly classes: Map<string, number>;
  readonly ranks: number[];
  /** The latest starts, oldest first: what was started last costs the least to stop. */
  readonly started: Hold[];
  /** Grows whenever a waiting task might fit where it didn't before. */
  chances: number;
  /** Grows whenever jobs come or go. */
  jobChanges: number;
  /** Called when a job's finished or running tasks change. */
  progressed: (job: Job) => void;
}

export const newCluster = (): Cluster => ({
  jobs: new Map(),
  machines: new Map(),
  usage: new Map(),
  waiting: new Set(),
  covered: new Set(),
  free: new FreeMachines(),
  attention: new Set(),
  unconfirmed: new Set(),
  unrecorded: new Set(),
  hearing: new Set(),
  mute: new Set(),
  doubts: new Set(),
  strays: new Map(),
  strayOn: new Map(),
  classes: new Map(),
  ranks: [0, 0, 0, 0],
  started: [],
  chances: 0,
  jobChanges: 0,
  progressed: () => undefined,
});

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
  step: 0,
  via: null,
  noticeUntil: null,
  recorded: false,
  recording: false,
  confirmed: false,
  heard: null,
  renewed: null,
  created: now,
  failed: false,
  releasing: null,
  idleSince: null,
  blame: new Map(),
  setAside: null,
  slow: false,
  draining: false,
  inFlight: false,
  probedAt: null,
  unanswered: 0,
  mute: null,
  used: { cpus: 0, gpus: 0, memoryGb: 0 },
  holds: new Map(),
  classes: new Map(),
  images: new Map(),
});

export const holdKey = (job: string, index: number, attempt: number): string => `${job}/${index}#${attempt}`;

/** Whether message `a` of a worker is `b` or newer. */
export const notOlder = (
  a: { readonly session: number; readonly seq: number },
  b: { readonly session: number; readonly seq: number },
): boolean => a.session > b.session || (a.session === b.session && a.seq >= b.seq);

/** Whether a hold takes room on its machine, and of its team's limit. */
export const occupies = (hold: Hold): boolean => hold.state !== "exited" || hold.doubt !== null;

/** How important a task's job is; the task's own priority where the job is no longer known. */
export const rankOf = (cluster: Cluster, hold: Hold & { readonly spec: JobSpec }): number =>
  cluster.jobs.get(hold.job)?.rank ?? RANK[hold.spec.priority];

const runs = (hold: Hold): boolean => hold.state === "running" || hold.state === "saving";

// --- machines ---------------------------------------------------------------------------------------------

type Writable<T> = { -readonly [K in keyof T]: T[K] };

/** Puts a machine into the indices that follow from its own fields. */
const index = (cluster: Cluster, m: Machine): void => {
  const put = (set: Set<Machine>, member: boolean): void => void (member ? set.add(m) : set.delete(m));
  put(cluster.unconfirmed, m.recorded && !m.confirmed);
  put(cluster.unrecorded, !m.recorded && m.heard !== null);
  cluster.free.set(m, m.memoryGb - m.used.memoryGb > 1e-6 ? m.cpus - m.used.cpus : 0);
};

export const addMachine = (cluster: Cluster, m: Machine): void => {
  cluster.machines.set(m.id, m);
  index(cluster, m);
};

export const setMachine = (
  cluster: Cluster,
  m: Machine,
  change: Partial<Pick<Machine, "recorded" | "confirmed" | "cpus" | "gpus" | "memoryGb" | "cacheGb">>,
): void => {
  Object.assign(m, change);
  index(cluster, m);
  cluster.attention.add(m);
  cluster.chances++;
};

/** A newer message of its worker came at `at`. */
export const heardOf = (cluster: Cluster, m: Machine, at: Instant): void => {
  if (m.heard !== null && at <= m.heard) return;
  const first = m.heard === null;
  (m as Writable<Machine>).heard = at;
  cluster.hearing.delete(m);
  cluster.hearing.add(m);
  if (first) {
    index(cluster, m);
    cluster.attention.add(m);
    cluster.chances++;
  }
};

/** Counts a direct question without an answer, or forgets them all once there is one. */
export const answeredDirectly = (cluster: Cluster, m: Machine, answered: boolean, now: Instant): void => {
  if (answered) {
    if (m.unanswered > 0) cluster.chances++;
    m.unanswered = 0;
    m.mute = null;
    cluster.mute.delete(m);
  } else {
    m.unanswered++;
    m.mute ??= now;
    cluster.mute.add(m);
  }
};

export const dropMachine = (cluster: Cluster, m: Machine): void => {
  for (const hold of [...m.holds.values()]) removeHold(cluster, hold);
  cluster.machines.delete(m.id);
  cluster.free.set(m, 0);
  for (const set of [
    cluster.attention,
    cluster.unconfirmed,
    cluster.unrecorded,
    cluster.hearing,
    cluster.mute,
  ])
    set.delete(m);
  cluster.strayOn.delete(m);
};

// --- jobs -------------------------------------------------------------------------------------------------

export const addJob = (
  cluster: Cluster,
  spec: JobSpec,
  stamp: number,
  accepted: Instant,
  seen: Instant = accepted,
): Job => {
  const pending = new RangeSet();
  pending.add(0, spec.tasks);
  const job: Job = {
    spec,
    accepted,
    seen,
    stamp,
    done: new RangeSet(),
    stored: new RangeSet(),
    pending,
    holds: new Map(),
    errorsOn: new Map(),
    refusedOn: new Map(),
    retryAt: null,
    committing: false,
    running: 0,
    rank: RANK[spec.priority],
    due: spec.deadline === null ? null : plus(accepted, spec.deadline),
  };
  // adopt tasks that machines reported before the record was read
  const strays = [...(cluster.strays.get(spec.id) ?? [])];
  for (const hold of strays) removeHold(cluster, hold);
  cluster.jobs.set(spec.id, job);
  cluster.waiting.add(job);
  cluster.jobChanges++;
  cluster.chances++;
  for (const hold of strays) addHold(cluster, { ...hold, spec });
  return job;
};

export const dropJob = (cluster: Cluster, job: Job): void => {
  cluster.jobs.delete(job.spec.id);
  cluster.waiting.delete(job);
  cluster.covered.delete(job);
  cluster.jobChanges++;
  for (const holds of job.holds.values())
    for (const hold of holds) cluster.attention.add(cluster.machines.get(hold.machine)!);
};

const unpend = (cluster: Cluster, job: Job, n: number): void => {
  job.pending.delete(n);
  if (job.pending.size === 0) cluster.waiting.delete(job);
};

/** Something about a task's holds has changed: their machines are looked at. */
export const tidyTask = (cluster: Cluster, job: Job, n: number): void => {
  for (const hold of job.holds.get(n) ?? []) cluster.attention.add(cluster.machines.get(hold.machine)!);
};

/** These tasks are finished; nothing of them is to be started again. */
export const finish = (cluster: Cluster, job: Job, from: number, to: number): void => {
  if (to === from + 1 && job.done.has(from)) return;
  job.done.add(from, to);
  for (let n = from; n < to; n++) {
    unpend(cluster, job, n);
    tidyTask(cluster, job, n);
  }
  if (!job.committing && job.done.covers(job.spec.tasks)) cluster.covered.add(job);
  cluster.progressed(job);
};

// --- holds ------------------------------------------------------------------------------------------------

const count = <K>(map: Map<K, number>, key: K, by: 1 | -1): void => {
  const n = (map.get(key) ?? 0) + by;
  if (n <= 0) map.delete(key);
  else map.set(key, n);
};

const account = (cluster: Cluster, machine: Machine, hold: Hold, sign: 1 | -1): void => {
  const spec = hold.spec;
  if (spec === null) {
    count(cluster.strayOn, machine, sign);
    return;
  }
  machine.used.cpus += sign * spec.cpus;
  machine.used.gpus += sign * spec.gpus;
  machine.used.memoryGb += sign * spec.memoryGb;
  const usage = cluster.usage.get(spec.team) ?? { cpus: 0, gpus: 0 };
  usage.cpus += sign * spec.cpus;
  usage.gpus += sign * spec.gpus;
  cluster.usage.set(spec.team, usage);
  count(machine.classes, spec.className, sign);
  count(cluster.classes, spec.className, sign);
  cluster.ranks[RANK[spec.priority]]! += sign;
  if (sign < 0) cluster.chances++;
  index(cluster, machine);
};

const countRunning = (cluster: Cluster, hold: Hold, by: 1 | -1): void => {
  const job = cluster.jobs.get(hold.job);
  if (job === undefined) return;
  job.running += by;
  cluster.progressed(job);
};

/** Changes a hold, keeping the room accounts and the job's pending tasks in step. */
export const changeHold = (cluster: Cluster, hold: Hold, change: Partial<Hold>): void => {
  const machine = cluster.machines.get(hold.machine)!;
  const before = occupies(hold);
  const ran = runs(hold);
  Object.assign(hold, change);
  const after = occupies(hold);
  cluster.attention.add(machine);
  if (hold.doubt !== null) cluster.doubts.add(hold);
  else cluster.doubts.delete(hold);
  if (ran !== runs(hold)) countRunning(cluster, hold, ran ? -1 : 1);
  if (before && !after) {
    account(cluster, machine, hold, -1);
    settle(cluster, hold);
  } else if (!before && after) {
    account(cluster, machine, hold, 1);
    const job = cluster.jobs.get(hold.job);
    if (job !== undefined) unpend(cluster, job, hold.index);
  }
};

/** A task is pending again once nothing holds it and it isn't done. */
const settle = (cluster: Cluster, hold: Hold): void => {
  const job = cluster.jobs.get(hold.job);
  if (job === undefined || job.done.has(hold.index)) return;
  const holds = job.holds.get(hold.index) ?? [];
  if (holds.some((h) => occupies(h) || h.why === "done")) return;
  job.pending.add(hold.index);
  cluster.waiting.add(job);
};

export const addHold = (cluster: Cluster, hold: Hold): void => {
  const machine = cluster.machines.get(hold.machine)!;
  machine.holds.set(holdKey(hold.job, hold.index, hold.attempt), hold);
  machine.idleSince = null;
  cluster.attention.add(machine);
  if (hold.spec === null) {
    const strays = cluster.strays.get(hold.job);
    if (strays === undefined) cluster.strays.set(hold.job, new Set([hold]));
    else strays.add(hold);
  }
  if (hold.doubt !== null) cluster.doubts.add(hold);
  if (occupies(hold)) account(cluster, machine, hold, 1);
  if (runs(hold)) countRunning(cluster, hold, 1);
  const job = cluster.jobs.get(hold.job);
  if (job === undefined) return;
  const holds = job.holds.get(hold.index);
  if (holds === undefined) job.holds.set(hold.index, [hold]);
  else {
    holds.push(hold);
    tidyTask(cluster, job, hold.index);
  }
  if (occupies(hold) || hold.why === "done") unpend(cluster, job, hold.index);
};

export const removeHold = (cluster: Cluster, hold: Hold): void => {
  const machine = cluster.machines.get(hold.machine)!;
  machine.holds.delete(holdKey(hold.job, hold.index, hold.attempt));
  cluster.attention.add(machine);
  cluster.doubts.delete(hold);
  if (hold.spec === null) {
    const strays = cluster.strays.get(hold.job);
    strays?.delete(hold);
    if (strays?.size === 0) cluster.strays.delete(hold.job);
  }
  if (occupies(hold)) account(cluster, machine, hold, -1);
  if (runs(hold)) countRunning(cluster, hold, -1);
  const job = cluster.jobs.get(hold.job);
  if (job === undefined) return;
  const rest = (job.holds.get(hold.index) ?? []).filter((h) => h !== hold);
  if (rest.length === 0) job.holds.delete(hold.index);
  else job.holds.set(hold.index, rest);
  settle(cluster, hold);
};
