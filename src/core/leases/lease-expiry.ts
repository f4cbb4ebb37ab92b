/**
 * Proof by time that a lease has ended: without a heartbeat and without a release, a machine's old epoch is over once
 * nobody can have answered its worker for a whole lease (S3 in docs/design.md).
 */
import * as Duration from "effect/Duration";
import { type Machine, occupiesCapacity, removeAttempt, setMachine } from "../cluster/cluster.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { type Instant, hasElapsed, plus, withClockDrift } from "../time.js";

/** What the proof allows for beyond the lease and the drift of clocks. */
const EXPIRY_MARGIN = Duration.seconds(1);

/** That a member answered a worker's heartbeat, which renews the worker's lease, and when at the latest. */
export interface LeaseRenewal {
  readonly machine: string;
  readonly at: Instant;
}

/** A member's evidence for the expiry of leases: which workers it answered since its last message (S3). */
export interface LeaseRenewalReport {
  readonly member: string;
  /** Which process of that member speaks: another one knows nothing of what this one answered. */
  readonly incarnation: number;
  /** The term under which it spoke; evidence of another term is not taken. */
  readonly termNumber: number;
  /** It has told every answer up to this instant of the leader's clock; null: it can't tell yet. */
  readonly completeUpTo: Instant | null;
  readonly renewals: readonly LeaseRenewal[];
}

/** All that one process of a member has told of the leases that it renewed. */
interface MemberEvidence {
  readonly incarnation: number;
  completeUpTo: Instant | null;
  lastUpdateAt: Instant | null;
  /** When it last answered each worker. */
  readonly lastRenewalByMachine: Map<string, Instant>;
}

/** Collects the members' evidence, and removes the attempts of machines whose leases have certainly ended. */
export class LeaseExpiry {
  private evidenceByMember = new Map<string, MemberEvidence>();

  /** Begins with the context's present term. */
  constructor(private readonly context: SchedulerContext) {
    this.beginTerm();
  }

  /** A process that stays a member keeps its evidence: it told this same leader all that it answered. */
  beginTerm(): void {
    const previous = this.evidenceByMember;
    this.evidenceByMember = new Map(
      this.context.term.members.map(({ name, incarnation }) => {
        const existing = previous.get(name);
        const isSameProcess = existing !== undefined && existing.incarnation === incarnation;
        return [name, isSameProcess ? existing : emptyEvidence(incarnation)];
      }),
    );
  }

  /** Takes in a member's evidence, unless it is of another term or of another process than the term names. */
  addReport(report: LeaseRenewalReport, now: Instant): void {
    const { member, incarnation, termNumber, completeUpTo, renewals } = report;
    const evidence = this.evidenceByMember.get(member);
    if (termNumber !== this.context.term.number || evidence?.incarnation !== incarnation) return;
    evidence.lastUpdateAt = now;
    const known = evidence.completeUpTo;
    if (completeUpTo !== null && (known === null || completeUpTo > known))
      evidence.completeUpTo = completeUpTo;
    for (const { machine, at } of renewals) {
      const previous = evidence.lastRenewalByMachine.get(machine);
      if (previous === undefined || at > previous) evidence.lastRenewalByMachine.set(machine, at);
    }
  }

  /** When a member's updates came last, directly or through the state service; null: not in this term. */
  lastUpdateAt(member: string): Instant | null {
    return this.evidenceByMember.get(member)?.lastUpdateAt ?? null;
  }

  /** The machine is gone: what is known of its lease is no longer needed. */
  forgetMachine(machine: string): void {
    for (const evidence of this.evidenceByMember.values()) evidence.lastRenewalByMachine.delete(machine);
  }

  /** Removes the attempts of machines whose silence proves that their leases have ended. */
  step(now: Instant): void {
    for (const machine of this.silentMachines(now))
      if (mayRunTasks(machine) && this.hasExpired(machine)) this.expire(machine);
  }

  /** Unconfirmed machines that sent no heartbeat, and those that sent none for a whole lease. */
  private silentMachines(now: Instant): Set<Machine> {
    const { cluster, options } = this.context;
    const silent = new Set<Machine>();
    for (const machine of cluster.unconfirmed) if (machine.lastHeartbeatAt === null) silent.add(machine);
    for (const machine of cluster.byLastHeartbeat) {
      const { lastHeartbeatAt } = machine;
      const isSilent =
        lastHeartbeatAt !== null && hasElapsed(now, lastHeartbeatAt, options.timings.workerLease);
      if (!isSilent) break;
      silent.add(machine);
    }
    return silent;
  }

  /** Whether every member has proved that the worker's lease ended: none answered it for a lease, drift and a margin. */
  private hasExpired(machine: Machine): boolean {
    const { timings } = this.context.options;
    const lastRenewedAt = this.latestRenewalOf(machine);
    const expiredAt = plus(lastRenewedAt, Duration.sum(withClockDrift(timings.workerLease), EXPIRY_MARGIN));
    for (const { completeUpTo } of this.evidenceByMember.values())
      if (completeUpTo === null || completeUpTo < expiredAt) return false;
    return true;
  }

  /** The last moment at which anybody can have answered its worker, also under an earlier term. */
  private latestRenewalOf(machine: Machine): Instant {
    let latest = plus(this.context.termBegan, this.context.options.timings.fencingWindow);
    for (const { lastRenewalByMachine } of this.evidenceByMember.values()) {
      const at = lastRenewalByMachine.get(machine.id);
      if (at !== undefined && at > latest) latest = at;
    }
    return latest;
  }

  private expire(machine: Machine): void {
    const { cluster } = this.context;
    setMachine(cluster, machine, { confirmed: true });
    machine.commandsInFlight = false;
    for (const attempt of [...machine.attempts.values()]) removeAttempt(cluster, attempt);
  }
}

const emptyEvidence = (incarnation: number): MemberEvidence => ({
  incarnation,
  completeUpTo: null,
  lastUpdateAt: null,
  lastRenewalByMachine: new Map(),
});

/** Whether something may still run on the machine. */
const mayRunTasks = (machine: Machine): boolean =>
  !machine.confirmed || [...machine.attempts.values()].some(occupiesCapacity);
