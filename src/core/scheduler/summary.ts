/** Figures for the operators' log: machines, capacity in use, and waiting work. */
import type { Cluster, Machine } from "../cluster/cluster.js";
import type { SchedulerContext } from "./scheduler-context.js";
import type { Instant } from "../time.js";

/** Processors used by a machine's starting tasks and by its running replicas, without tasks of unknown size. */
const cpusByState = (machine: Machine): { starting: number; replicas: number } => {
  let starting = 0;
  let replicas = 0;
  for (const { spec, state } of machine.attempts.values()) {
    if (spec === null) continue;
    if (state === "dispatched" || state === "fetching") starting += spec.cpus;
    else if (state === "running" && spec.kind === "service") replicas += spec.cpus;
  }
  return { starting, replicas };
};

const waitingCpus = (cluster: Cluster): number => {
  let cpus = 0;
  for (const job of cluster.pendingJobs) cpus += job.pending.size * job.spec.cpus;
  return cpus;
};

const machineFigures = (context: SchedulerContext, now: Instant) => {
  const figures = {
    ready: 0,
    booting: 0,
    spot: 0,
    cpus: 0,
    used: 0,
    // processors: of starting tasks, of replicas, of booting machines, and of machines that can't take new work
    fetching: 0,
    replicas: 0,
    bootingCpus: 0,
    unusable: 0,
  };
  for (const machine of context.cluster.machines.values()) {
    if (machine.lastHeartbeatAt === null) {
      figures.booting++;
      figures.bootingCpus += machine.cpus;
      continue;
    }
    const { starting, replicas } = cpusByState(machine);
    figures.fetching += starting;
    figures.replicas += replicas;
    if (!context.isSchedulable(machine, now)) {
      figures.unusable += machine.cpus;
      continue;
    }
    figures.ready++;
    figures.cpus += machine.cpus;
    figures.used += machine.used.cpus;
    if (machine.spot) figures.spot++;
  }
  return figures;
};

/** The figures by name. Iterates over all machines, so it is too costly to call in every step. */
export const summaryOf = (context: SchedulerContext, now: Instant): Record<string, number> => {
  const { cluster } = context;
  const { ready, booting, spot, ...cpus } = machineFigures(context, now);
  return {
    machines: cluster.machines.size,
    ready,
    booting,
    unconfirmed: cluster.unconfirmed.size,
    unreachable: cluster.unreachable.size,
    unacknowledgedStarts: cluster.unacknowledgedStarts.size,
    spot,
    ...cpus,
    waiting: waitingCpus(cluster),
    jobs: cluster.jobs.size,
  };
};
