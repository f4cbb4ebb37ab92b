/** Decides which machines to rent and to release. Called about once a second. */
import type { Machine } from "../cluster/cluster.js";
import { startableTaskCount } from "../heartbeats/attempt-results.js";
import type { JobQueue } from "../placement/job-queue.js";
import { tasksWithinLimit } from "../placement/quota.js";
import type { Decision } from "../scheduler/decisions.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import type { Instant } from "../time.js";
import type { Autoscaler, WaitingTasks } from "./autoscaler.js";
import { GracefulEviction } from "./graceful-eviction.js";
import type { ScaleIn } from "./scale-in.js";
import type { ScaleInReason } from "./scale-in-reason.js";

/** Most machines released in one request. */
const MAX_MACHINES_PER_RELEASE = 100;

/** Combines releases for cause (`ScaleIn`), releases of idle machines and rentals (`Autoscaler`), and evictions. */
export class AutoscalerDecisions {
  private readonly eviction: GracefulEviction;

  /** `queue`: the waiting jobs in the order in which they are served. */
  constructor(
    private readonly context: SchedulerContext,
    private readonly autoscaler: Autoscaler,
    private readonly scaleIn: ScaleIn,
    private readonly queue: JobQueue,
  ) {
    this.eviction = new GracefulEviction(context);
  }

  /** Releases machines that are faulty, silent, emptied or idle (S3), and starts draining underused ones. */
  release(now: Instant): Decision[] {
    const { cluster, machineTypeByName } = this.context;
    const plan = this.scaleIn.step(now);
    const surplus = this.autoscaler.surplusMachines(cluster, machineTypeByName, now, (machine) =>
      this.context.isSchedulable(machine, now),
    );
    if (surplus.length > 0)
      plan.set(
        "idle",
        surplus.map((machine) => machine.id),
      );
    const decisions: Decision[] = [];
    for (const [reason, machines] of plan)
      for (let start = 0; start < machines.length; start += MAX_MACHINES_PER_RELEASE)
        decisions.push(
          this.releaseBatch(machines.slice(start, start + MAX_MACHINES_PER_RELEASE), reason, now),
        );
    this.eviction.step(now, this.autoscaler.expectedCpus(now));
    return decisions;
  }

  private releaseBatch(machines: string[], reason: ScaleInReason, now: Instant): Decision {
    for (const id of machines) {
      const machine = this.context.cluster.machines.get(id);
      if (machine !== undefined) machine.releaseRequestedAt = now;
    }
    return { kind: "release", machines, reason };
  }

  /** Rents machines for the tasks that fit neither free nor booting ones (S10). */
  scaleOut(now: Instant): Decision[] {
    const { cluster, machineTypes } = this.context;
    const isUsable = (machine: Machine): boolean =>
      this.context.isSchedulable(machine, now) || this.context.isReconnecting(machine, now);
    const requests = this.autoscaler.scaleOut(cluster, this.waitingTasks(now), machineTypes, now, isUsable);
    return requests.map((rent) => ({ kind: "rent", rent }));
  }

  /** Waiting jobs with the number of tasks that could start now and that their team's limits allow. */
  private waitingTasks(now: Instant): WaitingTasks[] {
    const waiting: WaitingTasks[] = [];
    for (const job of this.queue.sortedJobs(now)) {
      const team = this.context.options.teams.get(job.spec.team);
      if (team === undefined) continue;
      const withinLimit = tasksWithinLimit(team, this.context.usageOf(job.spec.team), job.spec);
      const tasks = Math.min(startableTaskCount(job, now), withinLimit);
      if (tasks > 0) waiting.push({ job, tasks });
    }
    return waiting;
  }
}
