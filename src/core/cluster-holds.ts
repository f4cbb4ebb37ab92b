/**
 * Adds, changes and removes holds, and keeps consistent what follows from them: the room taken on machines and by teams,
 * the counts by class and rank, and which tasks are pending. A task is pending only while nothing holds it (S4).
 */
import { indexMachine, machineOf, removePending, tidyTask } from "./cluster-indices.js";
import {
  type Cluster,
  type Hold,
  holdKey,
  isActive,
  type Job,
  type Machine,
  occupies,
} from "./cluster-state.js";
import { type JobSpec, RANK } from "./records.js";

type Sign = 1 | -1;

/** Counts up or down; an entry of nothing is deleted. */
const count = <K>(counts: Map<K, number>, key: K, by: Sign): void => {
  const total = (counts.get(key) ?? 0) + by;
  if (total <= 0) counts.delete(key);
  else counts.set(key, total);
};

const countUsage = (cluster: Cluster, spec: JobSpec, sign: Sign): void => {
  const usage = cluster.usage.get(spec.team) ?? { cpus: 0, gpus: 0 };
  usage.cpus += sign * spec.cpus;
  usage.gpus += sign * spec.gpus;
  cluster.usage.set(spec.team, usage);
};

/** Counts the room that a hold takes, or no longer takes. */
const account = (cluster: Cluster, machine: Machine, hold: Hold, sign: Sign): void => {
  const { spec } = hold;
  if (spec === null) {
    count(cluster.strayOn, machine, sign);
    return;
  }
  machine.used.cpus += sign * spec.cpus;
  machine.used.gpus += sign * spec.gpus;
  machine.used.memoryGb += sign * spec.memoryGb;
  countUsage(cluster, spec, sign);
  count(machine.classes, spec.className, sign);
  count(cluster.classes, spec.className, sign);
  const rank = RANK[spec.priority];
  cluster.ranks[rank] = (cluster.ranks[rank] ?? 0) + sign;
  if (sign < 0) cluster.chances++;
  indexMachine(cluster, machine);
};

const countRunning = (cluster: Cluster, hold: Hold, by: Sign): void => {
  const job = cluster.jobs.get(hold.job);
  if (job === undefined) return;
  job.running += by;
  cluster.progressed(job);
};

const indexDoubt = (cluster: Cluster, hold: Hold): void => {
  if (hold.doubt !== null) cluster.doubts.add(hold);
  else cluster.doubts.delete(hold);
};

const addStray = (cluster: Cluster, hold: Hold): void => {
  const strays = cluster.strays.get(hold.job);
  if (strays === undefined) cluster.strays.set(hold.job, new Set([hold]));
  else strays.add(hold);
};

const removeStray = (cluster: Cluster, hold: Hold): void => {
  const strays = cluster.strays.get(hold.job);
  strays?.delete(hold);
  if (strays?.size === 0) cluster.strays.delete(hold.job);
};

/** A task is pending again once nothing holds it and it isn't done. */
const restorePending = (cluster: Cluster, job: Job, index: number): void => {
  if (job.done.has(index)) return;
  const holds = job.holds.get(index);
  if (holds?.some((hold) => occupies(hold) || hold.why === "done")) return;
  job.pending.add(index);
  cluster.waiting.add(job);
};

const addToJob = (cluster: Cluster, job: Job, hold: Hold): void => {
  const holds = job.holds.get(hold.index);
  if (holds === undefined) job.holds.set(hold.index, [hold]);
  else {
    holds.push(hold);
    tidyTask(cluster, job, hold.index);
  }
  if (occupies(hold) || hold.why === "done") removePending(cluster, job, hold.index);
};

const removeFromJob = (cluster: Cluster, job: Job, hold: Hold): void => {
  const rest = (job.holds.get(hold.index) ?? []).filter((other) => other !== hold);
  if (rest.length === 0) job.holds.delete(hold.index);
  else job.holds.set(hold.index, rest);
  restorePending(cluster, job, hold.index);
};

/** Adds a hold on a machine of the cluster; the task is no longer pending. */
export const addHold = (cluster: Cluster, hold: Hold): void => {
  const machine = machineOf(cluster, hold);
  machine.holds.set(holdKey(hold.job, hold.index, hold.attempt), hold);
  machine.idleSince = null;
  cluster.attention.add(machine);
  if (hold.spec === null) addStray(cluster, hold);
  if (hold.doubt !== null) cluster.doubts.add(hold);
  if (occupies(hold)) account(cluster, machine, hold, 1);
  if (isActive(hold)) countRunning(cluster, hold, 1);
  const job = cluster.jobs.get(hold.job);
  if (job !== undefined) addToJob(cluster, job, hold);
};

/** Changes a hold, keeping the room accounts and the job's pending tasks consistent. */
export const changeHold = (cluster: Cluster, hold: Hold, change: Partial<Hold>): void => {
  const machine = machineOf(cluster, hold);
  const occupied = occupies(hold);
  const wasActive = isActive(hold);
  Object.assign(hold, change);
  cluster.attention.add(machine);
  indexDoubt(cluster, hold);
  if (wasActive !== isActive(hold)) countRunning(cluster, hold, wasActive ? -1 : 1);
  if (occupied === occupies(hold)) return;
  account(cluster, machine, hold, occupied ? -1 : 1);
  const job = cluster.jobs.get(hold.job);
  if (job === undefined) return;
  if (occupied) restorePending(cluster, job, hold.index);
  else removePending(cluster, job, hold.index);
};

/** Removes a hold; callers have made certain that the attempt neither runs nor can still start (S4). */
export const removeHold = (cluster: Cluster, hold: Hold): void => {
  const machine = machineOf(cluster, hold);
  machine.holds.delete(holdKey(hold.job, hold.index, hold.attempt));
  cluster.attention.add(machine);
  cluster.doubts.delete(hold);
  if (hold.spec === null) removeStray(cluster, hold);
  if (occupies(hold)) account(cluster, machine, hold, -1);
  if (isActive(hold)) countRunning(cluster, hold, -1);
  const job = cluster.jobs.get(hold.job);
  if (job !== undefined) removeFromJob(cluster, job, hold);
};
