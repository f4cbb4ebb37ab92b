/**
 * Leader election: the process that creates the leader key, attached to its own lease, leads while the key exists. The
 * key alone doesn't permit it to act: that also takes a term that was written under the key (S1).
 */
import * as Effect from "effect/Effect";
import { keys, type LeaderRecord } from "../../core/records.js";
import type { Log } from "../../io/log.js";
import { decodeLeader, encodeLeader } from "../../io/record-codec.js";
import type { StateClient, StateError } from "../../io/state-client.js";
import type { RejectionBackoff } from "../rejection-backoff.js";
import type { LeaseKeeper } from "./lease-keeper.js";
import type { MemberRegistry } from "./member-registry.js";

/** The leader key as held by this process. */
export interface Leadership {
  /** The key's revision, which is a condition of all writes that the leader makes. */
  readonly revision: number;
  /** The lease that the key is attached to. */
  readonly leaseId: number;
}

/** Settings and dependencies of `Election`. */
export interface ElectionOptions {
  readonly self: string;
  readonly state: StateClient;
  readonly log: Log;
  readonly registry: MemberRegistry;
  readonly lease: LeaseKeeper;
  readonly rejections: RejectionBackoff;
  /** Called when this process stops being the leader. */
  readonly onLost: () => void;
}

/** Campaigns for the leader key, and knows whether this process holds it. */
export class Election {
  private current: Leadership | null = null;

  constructor(private readonly options: ElectionOptions) {}

  /** The leader key while this process holds it; null: it doesn't lead. */
  get leadership(): Leadership | null {
    return this.current;
  }

  /** Ends this process's leadership; does nothing if it doesn't lead. */
  stepDown(reason: string): void {
    if (this.current === null) return;
    this.current = null;
    this.options.log.info({ reason }, "stepped down as leader");
    this.options.onLost();
  }

  /** Steps down if the leader key has been deleted or replaced. */
  checkLeaderKey(): void {
    if (this.current !== null && this.options.registry.leaderRevision !== this.current.revision)
      this.stepDown("leader key lost");
  }

  /** Creates the leader key and returns its revision; null: this process doesn't hold the key. */
  private createKey(record: LeaderRecord): Effect.Effect<number | null, StateError> {
    const { state, rejections } = this.options;
    const { leaseId } = record;
    return state
      .commit(
        [{ key: keys.leader, revision: 0 }],
        [{ put: keys.leader, value: encodeLeader(record), leaseId }],
        "vital",
      )
      .pipe(
        Effect.tap((result) => rejections.sleepIfRejected("leader", result)),
        Effect.map((result) => (result.ok === true ? result.revision : null)),
        // the answer was lost, so the key itself has to show whether the write was carried out
        Effect.catchTag("Unanswered", () =>
          Effect.map(state.get(keys.leader), (row) =>
            row !== null && decodeLeader(row.value).leaseId === leaseId ? row.revision : null,
          ),
        ),
      );
  }

  /** Tries to become the leader if there is none; true: this process has become the leader. */
  readonly campaign: Effect.Effect<boolean, StateError> = Effect.gen(this, function* () {
    const { self, log, registry, lease } = this.options;
    const { leaseId } = lease;
    if (leaseId === null || this.current !== null || !registry.isSynced) return false;
    const existing = registry.leaderKey;
    if (existing !== null) {
      // an unanswered write may have been carried out after the key was read: then this process holds the key after
      // all, and nobody else can become the leader while its lease is alive
      if (existing.record.leaseId !== leaseId) return false;
      this.current = { revision: existing.revision, leaseId };
      log.info(
        { revision: existing.revision, leaseId },
        "elected leader: an unanswered write of the leader key was carried out",
      );
      return true;
    }
    const record: LeaderRecord = { member: self, leaseId };
    const revision = yield* this.createKey(record);
    if (revision === null || lease.leaseId !== leaseId) return false;
    this.current = { revision, leaseId };
    registry.recordLeaderKey(encodeLeader(record), revision);
    log.info({ revision, leaseId }, "elected leader");
    return true;
  });
}
