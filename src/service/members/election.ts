/**
 * The election of the leader: whoever creates the leader's key, on its own lease, leads for as long as the key is
 * there. The key alone entitles to nothing: acting takes a term under it as well (S1).
 */
import * as Effect from "effect/Effect";
import { keys, type LeaderRecord } from "../../core/records.js";
import type { Log } from "../../io/log.js";
import { decodeLeader, encodeLeader } from "../../io/record-codec.js";
import type { StateClient, StateError } from "../../io/state-client.js";
import type { RejectionBackoff } from "../rejection-backoff.js";
import type { LeaseKeeper } from "./lease-keeper.js";
import type { MemberRegistry } from "./member-registry.js";

/** The leader's key as this process holds it. */
export interface Leadership {
  /** The key's revision: every write of the leader has it as a condition. */
  readonly revision: number;
  /** The lease that the key is on. */
  readonly leaseId: number;
}

/** What an election works with. */
export interface ElectionOptions {
  readonly self: string;
  readonly state: StateClient;
  readonly log: Log;
  readonly registry: MemberRegistry;
  readonly lease: LeaseKeeper;
  readonly rejections: RejectionBackoff;
  /** Called when this process has led and leads no more. */
  readonly onLost: () => void;
}

/** Knows whether this process holds the leader's key. */
export class Election {
  private current: Leadership | null = null;

  constructor(private readonly options: ElectionOptions) {}

  /** The leader's key, as long as this process holds it; null: it doesn't lead. */
  get leadership(): Leadership | null {
    return this.current;
  }

  /** This process leads no more. */
  stepDown(reason: string): void {
    if (this.current === null) return;
    this.current = null;
    this.options.log.info({ reason }, "stepped down as leader");
    this.options.onLost();
  }

  /** Steps down if the key that is there now isn't the one that this process holds. */
  checkLeaderKey(): void {
    if (this.current !== null && this.options.registry.leaderRevision !== this.current.revision)
      this.stepDown("leader key lost");
  }

  /** Creates the leader's key. The result is its revision; null: it isn't this process's. */
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
        // the answer was lost: only the key itself says whether the write was carried out
        Effect.catchTag("Unanswered", () =>
          Effect.map(state.get(keys.leader), (row) =>
            row !== null && decodeLeader(row.value).leaseId === leaseId ? row.revision : null,
          ),
        ),
      );
  }

  /** Tries to become the leader when there is none; true: this process holds the leader's key since then. */
  readonly campaign: Effect.Effect<boolean, StateError> = Effect.gen(this, function* () {
    const { self, log, registry, lease } = this.options;
    const { leaseId } = lease;
    if (leaseId === null || this.current !== null || !registry.isSynced) return false;
    const existing = registry.leaderKey;
    if (existing !== null) {
      // a write without an answer may be carried out after the key was read again: then the key is this process's all
      // the same, and as long as its lease lives nobody else can lead
      if (existing.record.leaseId !== leaseId) return false;
      this.current = { revision: existing.revision, leaseId };
      log.info({ revision: existing.revision, leaseId }, "elected leader by an earlier write of the key");
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
