/**
 * Proves from elapsed time that a worker's lease has expired: even without a heartbeat or a release, a machine's tasks
 * have ended once no member can have answered its worker for a whole lease (S3 in docs/design.md).
 */
import * as Duration from "effect/Duration";
import { type Machine, occupiesCapacity, removeAttempt, setMachine } from "../cluster/cluster.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { type Instant, hasElapsed, plus, withClockDrift } from "../time.js";

/** Safety margin beyond the lease and clock drift. */
const EXPIRY_MARGIN = Duration.seconds(1);

/** The renewal of a worker's lease by a member's answer to its heartbeat, which was sent no later than `at`. */
export interface LeaseRenewal {
  readonly machine: string;
  readonly at: Instant;
}

/** A member's report of the leases that it renewed since its last report: evidence for the expiry of others (S3). */
export interface LeaseRenewalReport {
  readonly member: string;
  /** Identifies the member's process: another process doesn't know which workers this one answered. */
  readonly incarnation: number;
  /** The term under which it reports; reports of other terms are ignored. */
  readonly termNumber: number;
  /** It has reported every renewal up to this instant of the leader's clock; null: it can't tell yet. */
  readonly completeUpTo: Instant | null;
  readonly renewals: readonly LeaseRenewal[];
}

/** All that one process of a member has reported about the leases that it renewed. */
interface MemberEvidence {
  readonly incarnation: number;
  completeUpTo: Instant | null;
  lastUpdateAt: Instant | null;
  /** When it last renewed each machine's lease. */
  readonly lastRenewalByMachine: Map<string, Instant>;
}

/** Collects the members' reports, and removes the attempts of machines whose leases have certainly expired. */
export class LeaseExpiry {
  private evidenceByMember = new Map<string, MemberEvidence>();

  /** Starts with the context's current term. */
  constructor(private readonly context: SchedulerContext) {
    this.beginTerm();
  }

  /** Starts a new term of the same leader. The evidence of processes that remain members stays valid. */
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

  /** Adds a member's report, unless it is from another term or from a process that the term doesn't name. */
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

  /** When a member's last report arrived, directly or through the state service; null: none yet. */
  lastUpdateAt(member: string): Instant | null {
    return this.evidenceByMember.get(member)?.lastUpdateAt ?? null;
  }

  /** Discards the evidence about a machine that no longer exists. */
  forgetMachine(machine: string): void {
    for (const evidence of this.evidenceByMember.values()) evidence.lastRenewalByMachine.delete(machine);
  }

  /** Removes the attempts of silent machines whose leases have provably expired. */
  step(now: Instant): void {
    for (const machine of this.silentMachines(now))
      if (mayRunTasks(machine) && this.hasExpired(machine)) this.expire(machine);
  }

  /** Unconfirmed machines that sent no heartbeat yet, and machines that sent none for a whole lease. */
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

  /** Whether every member has reported that it didn't renew the machine's lease for a lease plus drift and margin. */
  private hasExpired(machine: Machine): boolean {
    const { timings } = this.context.options;
    const lastRenewedAt = this.latestRenewalOf(machine);
    const expiredAt = plus(lastRenewedAt, Duration.sum(withClockDrift(timings.workerLease), EXPIRY_MARGIN));
    for (const { completeUpTo } of this.evidenceByMember.values())
      if (completeUpTo === null || completeUpTo < expiredAt) return false;
    return true;
  }

  /** The latest time at which any member can have renewed the machine's lease, also under an earlier term. */
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

/** Whether tasks may still run on the machine. */
const mayRunTasks = (machine: Machine): boolean =>
  !machine.confirmed || [...machine.attempts.values()].some(occupiesCapacity);
