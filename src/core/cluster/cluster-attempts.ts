/**
 * Adds, changes and removes attempts, and updates everything derived from them: the capacity in use by machine and by
 * team, the counts by class and rank, and the pending tasks. A task is pending only while it has no attempt that runs
 * or can still start (S4).
 */
import { indexMachine, machineOf, removePending, scheduleReconciliation } from "./cluster-indices.js";
import {
  type Cluster,
  type TaskAttempt,
  attemptKey,
  isActive,
  type Job,
  type Machine,
  occupiesCapacity,
} from "./cluster-state.js";
import { type JobSpec, RANK } from "../records.js";

type Sign = 1 | -1;

/** Adds `sign` to a count; an entry that reaches zero is deleted. */
const adjustCount = <K>(counts: Map<K, number>, key: K, sign: Sign): void => {
  const total = (counts.get(key) ?? 0) + sign;
  if (total <= 0) counts.delete(key);
  else counts.set(key, total);
};

const adjustUsage = (cluster: Cluster, spec: JobSpec, sign: Sign): void => {
  const usage = cluster.usageByTeam.get(spec.team) ?? { cpus: 0, gpus: 0 };
  usage.cpus += sign * spec.cpus;
  usage.gpus += sign * spec.gpus;
  cluster.usageByTeam.set(spec.team, usage);
};

/** Adds or subtracts the capacity that an attempt occupies. */
const adjustCapacity = (cluster: Cluster, machine: Machine, attempt: TaskAttempt, sign: Sign): void => {
  const { spec } = attempt;
  if (spec === null) {
    adjustCount(cluster.orphanedAttemptCounts, machine, sign);
    return;
  }
  machine.used.cpus += sign * spec.cpus;
  machine.used.gpus += sign * spec.gpus;
  machine.used.memoryGb += sign * spec.memoryGb;
  adjustUsage(cluster, spec, sign);
  adjustCount(machine.attemptsByClass, spec.className, sign);
  adjustCount(cluster.attemptsByClass, spec.className, sign);
  const rank = RANK[spec.priority];
  cluster.attemptsByRank[rank] = (cluster.attemptsByRank[rank] ?? 0) + sign;
  if (sign < 0) cluster.capacityVersion++;
  indexMachine(cluster, machine);
};

const adjustRunning = (cluster: Cluster, attempt: TaskAttempt, sign: Sign): void => {
  const job = cluster.jobs.get(attempt.job);
  if (job === undefined) return;
  job.runningTasks += sign;
  cluster.onProgress(job);
};

const indexUnacknowledgedStart = (cluster: Cluster, attempt: TaskAttempt): void => {
  if (attempt.unacknowledgedToken !== null) cluster.unacknowledgedStarts.add(attempt);
  else cluster.unacknowledgedStarts.delete(attempt);
};

/** Indexes an attempt whose job record is unknown. */
const addOrphan = (cluster: Cluster, attempt: TaskAttempt): void => {
  const orphans = cluster.orphanedAttempts.get(attempt.job);
  if (orphans === undefined) cluster.orphanedAttempts.set(attempt.job, new Set([attempt]));
  else orphans.add(attempt);
};

const removeOrphan = (cluster: Cluster, attempt: TaskAttempt): void => {
  const orphans = cluster.orphanedAttempts.get(attempt.job);
  orphans?.delete(attempt);
  if (orphans?.size === 0) cluster.orphanedAttempts.delete(attempt.job);
};

/** Makes a task pending again if it isn't done and has no attempt that may run (S4, S7). */
const restorePending = (cluster: Cluster, job: Job, index: number): void => {
  if (job.done.has(index)) return;
  const attempts = job.attempts.get(index);
  if (attempts?.some((attempt) => occupiesCapacity(attempt) || attempt.exitReason === "done")) return;
  job.pending.add(index);
  cluster.pendingJobs.add(job);
};

const addToJob = (cluster: Cluster, job: Job, attempt: TaskAttempt): void => {
  const attempts = job.attempts.get(attempt.index);
  if (attempts === undefined) job.attempts.set(attempt.index, [attempt]);
  else {
    attempts.push(attempt);
    scheduleReconciliation(cluster, job, attempt.index);
  }
  if (occupiesCapacity(attempt) || attempt.exitReason === "done") removePending(cluster, job, attempt.index);
};

const removeFromJob = (cluster: Cluster, job: Job, attempt: TaskAttempt): void => {
  const rest = (job.attempts.get(attempt.index) ?? []).filter((other) => other !== attempt);
  if (rest.length === 0) job.attempts.delete(attempt.index);
  else job.attempts.set(attempt.index, rest);
  restorePending(cluster, job, attempt.index);
};

/** Adds an attempt; its task is no longer pending if the attempt may run or is done. */
export const addAttempt = (cluster: Cluster, attempt: TaskAttempt): void => {
  const machine = machineOf(cluster, attempt);
  machine.attempts.set(attemptKey(attempt.job, attempt.index, attempt.attempt), attempt);
  machine.idleSince = null;
  cluster.reconcileQueue.add(machine);
  if (attempt.spec === null) addOrphan(cluster, attempt);
  if (attempt.unacknowledgedToken !== null) cluster.unacknowledgedStarts.add(attempt);
  if (occupiesCapacity(attempt)) adjustCapacity(cluster, machine, attempt, 1);
  if (isActive(attempt)) adjustRunning(cluster, attempt, 1);
  const job = cluster.jobs.get(attempt.job);
  if (job !== undefined) addToJob(cluster, job, attempt);
};

/** Changes an attempt, and updates the capacity in use and the job's pending tasks accordingly. */
export const updateAttempt = (cluster: Cluster, attempt: TaskAttempt, change: Partial<TaskAttempt>): void => {
  const machine = machineOf(cluster, attempt);
  const wasOccupying = occupiesCapacity(attempt);
  const wasActive = isActive(attempt);
  Object.assign(attempt, change);
  cluster.reconcileQueue.add(machine);
  indexUnacknowledgedStart(cluster, attempt);
  if (wasActive !== isActive(attempt)) adjustRunning(cluster, attempt, wasActive ? -1 : 1);
  if (wasOccupying === occupiesCapacity(attempt)) return;
  adjustCapacity(cluster, machine, attempt, wasOccupying ? -1 : 1);
  const job = cluster.jobs.get(attempt.job);
  if (job === undefined) return;
  if (wasOccupying) restorePending(cluster, job, attempt.index);
  else removePending(cluster, job, attempt.index);
};

/** Removes an attempt. The caller must be certain that it neither runs nor can still start (S4). */
export const removeAttempt = (cluster: Cluster, attempt: TaskAttempt): void => {
  const machine = machineOf(cluster, attempt);
  machine.attempts.delete(attemptKey(attempt.job, attempt.index, attempt.attempt));
  cluster.reconcileQueue.add(machine);
  cluster.unacknowledgedStarts.delete(attempt);
  if (attempt.spec === null) removeOrphan(cluster, attempt);
  if (occupiesCapacity(attempt)) adjustCapacity(cluster, machine, attempt, -1);
  if (isActive(attempt)) adjustRunning(cluster, attempt, -1);
  const job = cluster.jobs.get(attempt.job);
  if (job !== undefined) removeFromJob(cluster, job, attempt);
};
