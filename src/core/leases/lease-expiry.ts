/**
 * Proof by time that a lease has ended: without a heartbeat and without a release, a machine's old epoch is over once nobody can have
 * answered its worker for a whole lease (S3 in docs/design.md).
 */
import * as Duration from "effect/Duration";
import { type Machine, occupiesCapacity, removeAttempt, setMachine } from "../cluster/cluster.js";
import type { SchedulerContext } from "../scheduler/scheduler-context.js";
import { type Instant, hasElapsed, plus, withClockDrift } from "../time.js";

/** What a member vouches for: when it last answered each worker, as of an instant of the leader's clock. */
interface LeaseAcknowledgements {
  readonly incarnation: number;
  asOf: Instant | null;
  lastUpdateAt: Instant | null;
  readonly answered: Map<string, Instant>;
}

export class LeaseExpiry {
  private acknowledgements = new Map<string, LeaseAcknowledgements>();

  constructor(private readonly scope: SchedulerContext) {
    this.newTerm();
  }

  /** A process that stays a member goes on vouching: it told this same leader all that it answered. */
  newTerm(): void {
    const before = this.acknowledgements;
    this.acknowledgements = new Map(
      this.scope.term.members.map(({ name, incarnation }) => {
        const old = before.get(name);
        const same = old !== undefined && old.incarnation === incarnation;
        return [name, same ? old : { incarnation, asOf: null, lastUpdateAt: null, answered: new Map() }];
      }),
    );
  }

  /** A member's word on its part: which workers it answered since its last word, and when at the latest. */
  acknowledged(
    member: string,
    incarnation: number,
    token: number,
    asOf: Instant | null,
    answered: readonly { machine: string; at: Instant }[],
    now: Instant,
  ): void {
    const vouch = this.acknowledgements.get(member);
    if (token !== this.scope.term.number || vouch?.incarnation !== incarnation) return;
    vouch.lastUpdateAt = now;
    if (asOf !== null && (vouch.asOf === null || asOf > vouch.asOf)) vouch.asOf = asOf;
    for (const { machine, at } of answered) {
      const before = vouch.answered.get(machine);
      if (before === undefined || at > before) vouch.answered.set(machine, at);
    }
  }

  /** When a member's news came last, by whatever way; null: not in this term. */
  lastUpdateAt(member: string): Instant | null {
    return this.acknowledgements.get(member)?.lastUpdateAt ?? null;
  }

  forget(machine: string): void {
    for (const vouch of this.acknowledgements.values()) vouch.answered.delete(machine);
  }

  /** Gives up what machines held whose silence proves that it is over. */
  step(now: Instant): void {
    const { cluster, options } = this.scope;
    const silent = new Set<Machine>();
    for (const machine of cluster.unconfirmed) if (machine.lastHeartbeatAt === null) silent.add(machine);
    for (const machine of cluster.byLastHeartbeat) {
      if (!hasElapsed(now, machine.lastHeartbeatAt!, options.timings.workerLease)) break;
      silent.add(machine);
    }
    for (const machine of silent) {
      const open = !machine.confirmed || [...machine.attempts.values()].some(occupiesCapacity);
      if (open && this.isOver(machine)) {
        setMachine(cluster, machine, { confirmed: true });
        machine.commandsInFlight = false;
        for (const attempt of [...machine.attempts.values()]) removeAttempt(cluster, attempt);
      }
    }
  }

  private isOver(machine: Machine): boolean {
    const { timings } = this.scope.options;
    let last = plus(this.scope.termBegan, timings.fencingWindow);
    for (const vouch of this.acknowledgements.values()) {
      const at = vouch.answered.get(machine.id);
      if (at !== undefined && at > last) last = at;
    }
    const over = plus(last, Duration.sum(withClockDrift(timings.workerLease), Duration.seconds(1)));
    for (const vouch of this.acknowledgements.values())
      if (vouch.asOf === null || vouch.asOf < over) return false;
    return true;
  }
}
