/**
 * Chooses the machines to probe: to send a batch without commands, which the worker answers with a heartbeat. Probed are
 * machines that are silent, unconfirmed or unreachable, or whose raised token has to be reported.
 */
import * as Duration from "effect/Duration";
import { type Machine, machineOf } from "../cluster/cluster.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { type Instant, hasElapsed } from "../time.js";

/** How long after a probe the machine is probed again. */
const PROBE_INTERVAL = Duration.seconds(1);
/** The interval for silent machines after several unanswered batches: a partition may cut off hundreds of machines. */
const SLOW_PROBE_INTERVAL = Duration.seconds(4);
const UNANSWERED_BATCHES_BEFORE_SLOW_PROBING = 4;
/** A step probes at most this many machines, or this share if that is more: after a failover all need probing. */
const MIN_PROBE_LIMIT = 12;
const PROBE_LIMIT_SHARE = 0.01;
/** Decides which machines are probed, and how often. */
export class MachineProber {
  /** A machine is probed if its latest heartbeat is at least this old. */
  private readonly probeAfter: Duration.Duration;

  constructor(private readonly context: SchedulerContext) {
    const interval = Duration.times(context.options.timings.heartbeatInterval, 1.25);
    this.probeAfter = Duration.sum(interval, Duration.millis(500));
  }

  /**
   * The machines to be probed now, up to a limit. If there are more, those probed longest ago come first: with hundreds of
   * machines behind a partition, probing the first ones again and again would keep others from being probed at all.
   */
  machinesToProbe(now: Instant): Machine[] {
    const share = this.context.cluster.machines.size * PROBE_LIMIT_SHARE;
    const limit = Math.ceil(Math.max(MIN_PROBE_LIMIT, share));
    const candidates = [...new Set(this.probeCandidates(now))].filter((machine) =>
      this.mayProbe(machine, now),
    );
    if (candidates.length <= limit) return candidates;
    const lastProbedAt = (machine: Machine): number => machine.probedAt ?? -Infinity;
    return candidates.sort((one, other) => lastProbedAt(one) - lastProbedAt(other)).slice(0, limit);
  }

  /** Machines whose heartbeat is needed; some occur more than once. */
  private *probeCandidates(now: Instant): Iterable<Machine> {
    const { cluster } = this.context;
    for (const attempt of cluster.unacknowledgedStarts) yield machineOf(cluster, attempt);
    // an earlier leader may have started tasks on these
    for (const machine of cluster.unconfirmed) yield machine;
    for (const machine of cluster.byLastHeartbeat) {
      if (!this.isSilent(machine, now)) break;
      yield machine;
    }
    yield* cluster.unreachable;
    yield* cluster.awaitingFence;
  }

  private isSilent(machine: Machine, now: Instant): boolean {
    return machine.lastHeartbeatAt === null || hasElapsed(now, machine.lastHeartbeatAt, this.probeAfter);
  }

  private mayProbe(machine: Machine, now: Instant): boolean {
    if (!machine.recorded || machine.addr === null) return false;
    if (machine.commandsInFlight || machine.releaseRequestedAt !== null) return false;
    const isProbedOften =
      machine.unansweredBatches < UNANSWERED_BATCHES_BEFORE_SLOW_PROBING || !this.isSilent(machine, now);
    const interval = isProbedOften ? PROBE_INTERVAL : SLOW_PROBE_INTERVAL;
    return machine.probedAt === null || hasElapsed(now, machine.probedAt, interval);
  }
}
