/** Which machines go back to the cloud, and why; and which are drained so that they can. */
import * as Duration from "effect/Duration";
import { isWaitingForRoom } from "../heartbeats/attempt-results.js";
import { type TaskAttempt, type Machine, occupiesCapacity } from "../cluster/cluster.js";
import { allowed, freeCapacity, type Capacity, tasksThatFit, reserve } from "../placement/placement.js";
import type { LeaseExpiry } from "../leases/lease-expiry.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { isMovableReplica } from "../scheduler/reconciler.js";
import { type Instant, minus, hasElapsed, plus } from "../time.js";

/** The cloud's answer to a release, and the start elsewhere. */
const RELEASE_TAKES = Duration.seconds(3);
const REPEAT_AFTER = Duration.seconds(5);
/** Machines that the cloud releases in a second at the least, one request of a hundred. */
const RELEASED_PER_SECOND = 100;
/** How many boot times a machine has to come up. */
const BOOT_PATIENCE = 2.5;
/** Questions without an answer that make up a machine's mind about it, while its heartbeats go on. */
const DEAF_AFTER = 3;
/** Above this share of all machines, silence looks like a trouble of ours. */
const MANY = 0.25;
/** Above this one, right after members changed, it looks like workers that have yet to find another node. */
const SOME = 0.05;
/** Share of all machines from which replicas may be moving, and machines that begin to drain in one step. */
const MOVING_AT_ONCE = 0.02;
const DRAINED_IN_A_STEP = 4;
const SHARE_DRAINED_IN_A_STEP = 0.0025;
/** Room beyond what is expected that is kept free, as a share of what is in use. */
const SPARE = 0.1;

interface Silence {
  readonly heard: number;
  readonly silent: number;
  readonly unheard: number;
  readonly unrenewed: number;
  readonly mute: number;
}

export class ScaleIn {
  /** So long after its last answered report a machine's tasks go on for certain; a release takes a moment. */
  private readonly almostALease: Duration.Duration;
  /** How long a worker takes to be heard elsewhere: its next heartbeat, no answer to it, another node, and some room. */
  private readonly movesOn: Duration.Duration;

  constructor(
    private readonly scope: SchedulerContext,
    private readonly proof: LeaseExpiry,
  ) {
    this.almostALease = Duration.subtract(scope.options.timings.workerLease, RELEASE_TAKES);
    this.movesOn = Duration.min(this.almostALease, scope.reconnectWithin);
  }

  /** Machines to be released now, by reason. */
  step(now: Instant): Map<string, string[]> {
    const { cluster } = this.scope;
    const out = new Map<string, string[]>();
    const silence = this.silence(now);
    const repeatAfter = this.repeatAfter();
    for (const machine of cluster.machines.values()) {
      if (machine.releaseRequestedAt !== null && !hasElapsed(now, machine.releaseRequestedAt, repeatAfter))
        continue;
      const why = this.reason(machine, now, silence);
      if (why !== null) (out.get(why) ?? out.set(why, []).get(why)!).push(machine.id);
    }
    return out;
  }

  /** While many are released, requests wait for their turn: repeated sooner, they would only make the queue longer. */
  private repeatAfter(): Duration.Duration {
    let releasing = 0;
    for (const machine of this.scope.cluster.machines.values())
      if (machine.releaseRequestedAt !== null) releasing++;
    return Duration.sum(REPEAT_AFTER, Duration.seconds(releasing / RELEASED_PER_SECOND));
  }

  private silence(now: Instant): Silence {
    const { cluster } = this.scope;
    let silent = 0;
    for (const machine of cluster.byLastHeartbeat) {
      if (!hasElapsed(now, machine.lastHeartbeatAt!, this.scope.fresh)) break;
      silent++;
    }
    let unrenewed = 0;
    for (const machine of cluster.byLastHeartbeat)
      if (this.scope.isLeaseRenewalOverdue(machine, now)) unrenewed++;
    let unheard = 0;
    for (const machine of cluster.unconfirmed) if (machine.lastHeartbeatAt === null) unheard++;
    return {
      heard: cluster.byLastHeartbeat.size,
      silent,
      unheard,
      unrenewed,
      mute: cluster.unreachable.size,
    };
  }

  private reason(machine: Machine, now: Instant, silence: Silence): string | null {
    const { termBegan, fresh, cluster, options } = this.scope;
    if (machine.releaseRequestedAt !== null) return "repeat";
    if (machine.failed) return "failed";
    const few = (n: number, of: number): boolean => n <= Math.max(2, of * MANY);
    if (machine.lastHeartbeatAt === null) {
      if (machine.confirmed) {
        const boot = this.scope.typeByName.get(machine.type)?.boot ?? Duration.seconds(60);
        return hasElapsed(now, machine.createdAt, Duration.times(boot, BOOT_PATIENCE))
          ? "never came up"
          : null;
      }
      // until it is gone, nothing that it may hold can start
      const { heartbeatInterval } = options.timings;
      if (few(silence.unheard, cluster.machines.size)) {
        const some = silence.unheard > Math.max(2, cluster.machines.size * SOME);
        const patience = Duration.sum(
          some ? this.movesOn : heartbeatInterval,
          machine.unansweredBatches >= 3 ? Duration.zero : heartbeatInterval,
        );
        return hasElapsed(now, termBegan, patience) ? "silent since take-over" : null;
      }
      // a zone whose members went before this leader began: its machines' leases have run since then at the latest
      const lost = this.scope.zones.lostSince(machine.zone);
      const over =
        lost === null
          ? plus(termBegan, Duration.min(Duration.times(heartbeatInterval, 5), this.almostALease))
          : minus(
              plus(lost, this.almostALease),
              Duration.sum(options.timings.memberLease, heartbeatInterval),
            );
      return now >= over && hasElapsed(now, termBegan, Duration.times(heartbeatInterval, 2))
        ? "silent since take-over"
        : null;
    }
    if (hasElapsed(now, machine.lastHeartbeatAt, fresh)) {
      const silentFor = now - machine.lastHeartbeatAt;
      // a part whose member is silent too, or left, looks like a cut, not like a dead machine
      const word = machine.relayedBy === null ? null : this.proof.lastUpdateAt(machine.relayedBy);
      const cut = word === null || hasElapsed(now, word, Duration.seconds(4));
      const soon = Duration.toMillis(fresh) + 1000;
      // behind a cut its tasks go on until its lease ends; nothing is won by ending them much sooner, but once the lease
      // is over they are down until they start elsewhere. Where its member's news go on and direct questions stay
      // unanswered, machines hang, however many
      const almostALease = Math.max(soon + 3000, Duration.toMillis(this.almostALease));
      const many = !few(silence.silent, silence.heard);
      const patience =
        cut || (many && machine.unansweredBatches < DEAF_AFTER)
          ? almostALease
          : soon + this.doubtful(machine, many);
      // when members change, their workers have yet to find another one, and this node has its hands full: questions of
      // its own that time out then say little
      const some = silence.silent > Math.max(2, silence.heard * SOME);
      const settled = some ? Duration.toMillis(this.movesOn) : Math.min(soon, patience);
      return silentFor >= patience && now - termBegan >= settled ? "silent" : null;
    }
    // nothing is won by ending its tasks much sooner than its lease does; a release lets them start elsewhere then
    const unrenewed =
      machine.leaseRenewedAt !== null && hasElapsed(now, machine.leaseRenewedAt, this.almostALease);
    if (unrenewed && hasElapsed(now, termBegan, this.almostALease) && few(silence.unrenewed, silence.heard))
      return "reaches no controller";
    // its heartbeats arrive, but nothing that we say does: a release is what it needs, and the proof that it is over
    if (
      machine.unreachableSince !== null &&
      machine.unansweredBatches >= DEAF_AFTER &&
      few(silence.mute, silence.heard)
    ) {
      const since = Math.max(machine.unreachableSince, termBegan) as Instant;
      if (hasElapsed(now, since, Duration.times(options.timings.heartbeatInterval, 2))) return "doesn't hear";
    }
    if (machine.draining && machine.attempts.size === 0 && !machine.commandsInFlight) return "drained";
    if (machine.cordonedAt !== null && ![...machine.attempts.values()].some(occupiesCapacity))
      return machine.cordonedAsSlow ? "slow" : "fails tasks";
    return null;
  }

  /** How much longer than usual a silent machine gets: with one way asked, or none yet, the fault may be on our side. */
  private doubtful(machine: Machine, many: boolean): number {
    if (machine.unansweredBatches >= 2) return many ? 3000 : 0;
    return machine.unansweredBatches === 1 ? 3000 : 8000;
  }

  /**
   * While nothing waits and there is more room than is likely to be needed soon, the machines that cost the most for
   * the least get no new work: short tasks run out there, and replicas move if they all fit beside other running work
   * where their image is cached already (the gap is then a stop and a start). When work waits, they are used again.
   */
  consolidate(now: Instant, expectedCpus: number): void {
    const { cluster } = this.scope;
    const draining = [...cluster.machines.values()].filter((machine) => machine.draining);
    if ([...cluster.pendingJobs].some((job) => job.spec.kind !== "service" && isWaitingForRoom(job, now))) {
      for (const machine of draining) machine.draining = false;
      if (draining.length > 0) cluster.capacityVersion++;
      return;
    }
    const ready = [...cluster.byLastHeartbeat].filter((machine) => this.scope.usable(machine, now));
    const price = (machine: Machine): number => {
      const type = this.scope.typeByName.get(machine.type);
      return type === undefined ? 0 : machine.spot ? type.spotPrice : type.price;
    };
    let free = 0;
    let used = 0;
    for (const machine of ready) {
      free += machine.cpus - machine.used.cpus;
      used += machine.used.cpus;
    }
    const wasted = (machine: Machine): number => price(machine) * (1 - machine.used.cpus / machine.cpus);
    const candidates = ready
      .filter((machine) => machine.attempts.size > 0 && machine.used.cpus <= machine.cpus / 2)
      .map((machine) => ({ m: machine, wasted: wasted(machine) }))
      .sort((a, b) => b.wasted - a.wasted);
    const others = ready
      .filter((machine) => cluster.capacityIndex.has(machine) && machine.attempts.size > 0)
      .map((machine) => ({ x: machine, room: freeCapacity(machine) }));
    const keep = expectedCpus + used * SPARE;
    let moving = draining.filter((machine) => [...machine.attempts.values()].some(isReplica)).length;
    const mayMove = Math.max(1, cluster.machines.size * MOVING_AT_ONCE);
    let some = Math.max(DRAINED_IN_A_STEP, cluster.machines.size * SHARE_DRAINED_IN_A_STEP);
    for (const { m: machine } of candidates) {
      if (some <= 0) return;
      const replicas = [...machine.attempts.values()].filter(isReplica);
      // what it holds goes elsewhere, or comes back elsewhere
      if (free - machine.cpus < keep) continue;
      if (replicas.length > 0 && (moving >= mayMove || !this.canMove(machine, replicas, others, now)))
        continue;
      if (replicas.length > 0) moving++;
      free -= machine.cpus;
      some--;
      machine.draining = true;
      cluster.reconcileQueue.add(machine);
    }
  }

  private canMove(
    machine: Machine,
    replicas: readonly TaskAttempt[],
    others: readonly { x: Machine; room: Capacity }[],
    now: Instant,
  ): boolean {
    return replicas.every((attempt) => {
      const spec = attempt.spec!;
      if (!isMovableReplica(attempt, now) || spec.oneZone || spec.spread) return false;
      if (!this.scope.cluster.jobs.has(attempt.job)) return false;
      const to = others.find(
        ({ x, room }) =>
          x !== machine &&
          !x.draining &&
          x.images.has(spec.image) &&
          allowed(spec, x) &&
          tasksThatFit(spec, room) > 0,
      );
      if (to === undefined) return false;
      reserve(spec, to.room, 1);
      return true;
    });
  }
}

const isReplica = (attempt: TaskAttempt): boolean =>
  attempt.spec?.kind === "service" && occupiesCapacity(attempt);
