/** Which machines to rent and to return, given what waits and what is idle. Called about once a second. */
import { startableTasks } from "../heartbeats/attempt-results.js";
import type { Job, Machine } from "../cluster/cluster.js";
import type { Decision } from "../scheduler/decisions.js";
import type { Autoscaler } from "./autoscaler.js";
import type { JobQueue } from "../placement/job-queue.js";
import { tasksWithinLimit } from "../placement/quota.js";
import type { ScaleIn } from "./scale-in.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import type { Instant } from "../time.js";

/** Machines returned in one request. */
const MAX_RELEASE = 100;

/** Brings together what is returned for cause (`MachineReturns`), what is idle, and what is to be rented (`Fleet`). */
export class AutoscalerDecisions {
  constructor(
    private readonly scope: SchedulerContext,
    private readonly fleet: Autoscaler,
    private readonly returns: ScaleIn,
    private readonly queue: JobQueue,
  ) {}

  /** Releases of machines that are faulty, silent, drained or idle; and which machines are to be drained. */
  release(now: Instant): Decision[] {
    const { cluster, typeByName } = this.scope;
    const releases = this.returns.step(now);
    const idle = this.fleet.spare(cluster, typeByName, now, (machine) => this.scope.usable(machine, now));
    if (idle.length > 0) {
      const others = releases.get("idle") ?? [];
      releases.set("idle", [...others, ...idle.map((machine) => machine.id)]);
    }
    const decisions: Decision[] = [];
    for (const [why, machines] of releases)
      for (let start = 0; start < machines.length; start += MAX_RELEASE)
        decisions.push(this.releaseSome(machines.slice(start, start + MAX_RELEASE), why, now));
    this.returns.consolidate(now, this.fleet.expectedCpus(now));
    return decisions;
  }

  private releaseSome(machines: string[], reason: string, now: Instant): Decision {
    for (const id of machines) {
      const machine = this.scope.cluster.machines.get(id);
      if (machine !== undefined) machine.releaseRequestedAt = now;
    }
    return { kind: "release", machines, reason };
  }

  /** Rentals for what neither free nor booting machines will hold. */
  rent(now: Instant): Decision[] {
    const { cluster, types } = this.scope;
    const isUsable = (machine: Machine): boolean =>
      this.scope.usable(machine, now) || this.scope.isReconnecting(machine, now);
    const rents = this.fleet.rent(cluster, this.wanted(now), types, now, isUsable);
    return rents.map((rent) => ({ kind: "rent", rent }));
  }

  /** Waiting jobs, with as many tasks as their team's limit allows. */
  private wanted(now: Instant): { job: Job; tasks: number }[] {
    const wanted: { job: Job; tasks: number }[] = [];
    for (const job of this.queue.sorted(now)) {
      const team = this.scope.options.teams.get(job.spec.team);
      if (team === undefined) continue;
      const room = tasksWithinLimit(team, this.scope.usageOf(job.spec.team), job.spec);
      const tasks = Math.min(startableTasks(job, now), room);
      if (tasks > 0) wanted.push({ job, tasks });
    }
    return wanted;
  }
}
