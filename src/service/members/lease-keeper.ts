/**
 * This process's lease and member key: acquires them, renews the lease, and rejoins when either is lost. The key's
 * revision is the process's incarnation. Terms include it, so that no process is mistaken for an earlier one.
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import type { LeaseTimings } from "../../core/leases/term.js";
import { keys, type MemberRecord } from "../../core/records.js";
import { now } from "../../io/clock.js";
import type { Log } from "../../io/log.js";
import { decodeMember, encodeMember } from "../../io/record-codec.js";
import type { StateClient } from "../../io/state-client.js";
import type { RejectionBackoff } from "../rejection-backoff.js";
import { Signal } from "../signal.js";
import type { MemberRegistry } from "./member-registry.js";
import type { MembershipExtension } from "./membership-extension.js";
import type { TermStore } from "./term-store.js";

/** Minimum pause between two renewals, also when one is requested. */
const MIN_RENEWAL_PAUSE_MS = 50;
/** A renewal times out after half the fencing window, but not sooner than this. */
const MIN_RENEWAL_TIMEOUT_MS = 500;

/** Settings and dependencies of `LeaseKeeper`. */
export interface LeaseKeeperOptions {
  readonly self: string;
  readonly zone: string;
  readonly timings: LeaseTimings;
  readonly state: StateClient;
  readonly log: Log;
  readonly terms: TermStore;
  readonly registry: MemberRegistry;
  readonly rejections: RejectionBackoff;
  readonly extension: MembershipExtension;
  /** Called when this process has joined. */
  readonly onJoined: () => void;
  /** Called when its lease or its member key is lost, before it rejoins. */
  readonly onLost: (reason: string) => void;
}

/** Keeps this process a member while `run` runs. */
export class LeaseKeeper {
  private currentLeaseId: number | null = null;
  private currentIncarnation = 0;
  private readonly renewalRequested = new Signal();

  constructor(private readonly options: LeaseKeeperOptions) {}

  /** The lease that the member key is attached to; null: this process isn't a member. */
  get leaseId(): number | null {
    return this.currentLeaseId;
  }

  /** The revision of this process's last member key, kept when its lease is lost; 0: it has never joined. */
  get incarnation(): number {
    return this.currentIncarnation;
  }

  /** Requests a renewal before the next interval, since there may be a newer term. */
  requestRenewal(): void {
    this.renewalRequested.notify();
  }

  /** Revokes the lease of this member's previous process, which has ended, so that nobody waits for its expiry. */
  private readonly revokePreviousLease = Effect.gen(this, function* () {
    const { self, state } = this.options;
    const row = yield* state.get(keys.member(self));
    if (row !== null) yield* state.revokeLease(decodeMember(row.value).leaseId);
  });

  private readonly join = Effect.gen(this, function* () {
    const { self, zone, timings, state, log, extension, rejections, onJoined } = this.options;
    yield* this.revokePreviousLease;
    const leaseId = yield* state.grantLease(timings.memberLease);
    const record: MemberRecord = { zone, leaseId };
    // once this key exists, a delayed copy of an earlier process's write changes nothing
    const result = yield* state.commit(
      [{ key: keys.member(self), revision: 0 }],
      [{ put: keys.member(self), value: encodeMember(record), leaseId }, ...extension.changesOnJoin(leaseId)],
      "vital",
    );
    if (result.ok === null) yield* Effect.ignore(state.revokeLease(leaseId));
    yield* rejections.sleepIfRejected("member", result);
    if (result.ok !== true) return;
    this.currentLeaseId = leaseId;
    this.currentIncarnation = result.revision;
    log.info({ incarnation: result.revision, leaseId }, "joined the cluster");
    onJoined();
  });

  private handleLoss(reason: string): void {
    this.currentLeaseId = null;
    this.options.terms.discardRenewal();
    this.options.onLost(reason);
  }

  private readonly renew = Effect.gen(this, function* () {
    const { self, timings, state, log, terms, registry } = this.options;
    const leaseId = this.currentLeaseId;
    if (leaseId === null) return yield* this.join;
    const sentAt = now();
    const timeout = Duration.millis(
      Math.max(MIN_RENEWAL_TIMEOUT_MS, Duration.toMillis(timings.fencingWindow) / 2),
    );
    const [isAlive, termRow] = yield* Effect.all([state.renewLease(leaseId, timeout), state.get(keys.term)], {
      concurrency: 2,
    });
    if (!isAlive) {
      this.handleLoss("lease expired");
      return yield* this.join;
    }
    terms.recordRenewal(termRow, sentAt);
    // the lease is alive, but without its member key no other node counts this process as a member
    if (registry.hasLost(self, this.currentIncarnation)) {
      log.info({ incarnation: this.currentIncarnation, leaseId }, "member key lost, rejoining the cluster");
      yield* state.revokeLease(leaseId);
      this.handleLoss("member key lost");
      return yield* this.join;
    }
  });

  /** Never ends; failed renewals are retried at the next interval. */
  readonly run: Effect.Effect<never> = Effect.gen(this, function* () {
    const { timings, log } = this.options;
    const startedAt = now();
    yield* this.renew.pipe(
      Effect.catchAll((error) =>
        Effect.sync(() => log.debug({ reason: error.reason }, "lease renewal failed")),
      ),
    );
    const remainingMs = Duration.toMillis(timings.renewalInterval) - (now() - startedAt);
    yield* Effect.sleep(Duration.millis(MIN_RENEWAL_PAUSE_MS));
    if (remainingMs > MIN_RENEWAL_PAUSE_MS)
      yield* this.renewalRequested.wait(Duration.millis(remainingMs - MIN_RENEWAL_PAUSE_MS));
  }).pipe(Effect.forever);
}
