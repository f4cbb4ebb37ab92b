/** This process's view of the shards: follows the keys under `shards/` in the state service, and the term. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import {
  Assignment,
  OwnerView,
  parseShardId,
  type ShardChange,
  type ShardId,
  shardOf,
  type ShardWrite,
  type StoredShard,
} from "#shards";
import type { TermRecord } from "../../core/records.js";
import { shardKeys } from "../../core/shards/shard-keys.js";
import { type Instant, hasElapsed, withClockDrift } from "../../core/time.js";
import { now } from "../../io/clock.js";
import type { Row } from "../../io/codec.js";
import type { Log } from "../../io/log.js";
import type { StateClient } from "../../io/state-client.js";
import { Signal } from "../signal.js";

/** How long a watch without changes stays open. */
const WATCH_TIMEOUT = Duration.seconds(10);
/** The pause between two watches, so that a burst of changes is read in one batch. */
const WATCH_INTERVAL = Duration.millis(20);
/** The pause after a failure, before all records are listed again. */
const RETRY_DELAY = Duration.millis(300);
/**
 * How long after a change of owner commands go through the new owner, whoever relayed the machine's last heartbeat.
 */
const NEW_OWNER_PERIOD = Duration.seconds(10);
/** The size of the cache of machines' shards, which saves computing the hash again. */
const MAX_CACHED_MACHINES = 20_000;

/** A change of a key under `shards/`; `value` is undefined if the key was deleted. */
interface KeyChange {
  readonly key: string;
  readonly revision: number;
  readonly value?: unknown;
}

/** The owners of shards, the drains, and the last term with shards enabled, as far as this process has read them. */
export class ShardView {
  private current: OwnerView;
  private learnedAt: Instant = now();
  /** Controllers that are being drained, with the incarnation of the process that the drain applies to. */
  readonly drains = new Map<string, number>();
  private enabledTerm = 0;
  private readonly ownerChangedAt = new Map<ShardId, Instant>();
  private readonly shardOfMachine = new Map<string, ShardId>();
  /** Notified after every change. */
  readonly changeSignal = new Signal();

  constructor(
    self: string,
    private readonly fencingWindow: Duration.Duration,
    private readonly state: StateClient,
    private readonly log: Log,
  ) {
    this.current = OwnerView.create(self, Assignment.empty);
  }

  /** What this controller owns; settled once a fencing window has passed since it learned of its term. */
  get ownerView(): OwnerView {
    if (!this.current.isSettled && hasElapsed(now(), this.learnedAt, withClockDrift(this.fencingWindow)))
      this.current = this.current.settle();
    return this.current;
  }

  /** The owners of all shards. */
  get assignment(): Assignment {
    return this.current.assignment;
  }

  /** When this process learned of the present term. */
  get termLearnedAt(): Instant {
    return this.learnedAt;
  }

  /** Sets a new term; `revision` is that of its record. */
  setTerm(term: TermRecord, revision: number): void {
    this.learnedAt = now();
    this.replace(this.current.withTerm({ number: term.number, revision, members: term.members }));
  }

  /** Notes that a release is about to be sent: from now on this controller doesn't count the shard as its own. */
  markReleaseSent(write: ShardWrite): void {
    this.current = this.current.markReleaseSent(write);
  }

  /** Takes in a record that this process has written. */
  applyOwnWrite(shard: ShardId, stored: StoredShard): void {
    this.replace(this.current.withAssignment(this.assignment.withOwnWrite(shard, stored)));
  }

  /** The shard that a machine belongs to. */
  shardOf(machine: string, zone: string): ShardId {
    const known = this.shardOfMachine.get(machine);
    if (known !== undefined) return known;
    const shard = shardOf(machine, zone);
    if (this.shardOfMachine.size >= MAX_CACHED_MACHINES) this.shardOfMachine.clear();
    this.shardOfMachine.set(machine, shard);
    return shard;
  }

  /**
   * The owner of a machine; undefined if shards aren't in force. Right after a term began, until its records have
   * been read, the previous records apply, so that workers aren't redirected to another controller and back.
   */
  ownerOf(machine: string, zone: string): string | null | undefined {
    const { assignment } = this;
    const isUsed = assignment.inForce || (!assignment.isFresh && this.enabledTerm > 0);
    return isUsed ? assignment.ownerOfMachine(machine, zone) : undefined;
  }

  /**
   * The owner of a machine whose shard has recently changed owner. null otherwise: commands then go through the
   * member that relays its heartbeats.
   */
  newOwnerOf(machine: string, zone: string): string | null {
    if (this.ownerChangedAt.size === 0 || !this.assignment.inForce) return null;
    const shard = this.shardOf(machine, zone);
    const ownerChangedAt = this.ownerChangedAt.get(shard);
    if (ownerChangedAt === undefined || hasElapsed(now(), ownerChangedAt, NEW_OWNER_PERIOD)) return null;
    return this.assignment.ownershipOf(shard)?.owner ?? null;
  }

  private replace(ownerView: OwnerView): void {
    const before = this.assignment;
    this.current = ownerView;
    const changedAt = now();
    for (const shard of ownerView.assignment.shardsChangedSince(before)) {
      const owner = ownerView.assignment.ownershipOf(shard)?.owner;
      if (owner !== before.ownershipOf(shard)?.owner) this.ownerChangedAt.set(shard, changedAt);
    }
    this.changeSignal.notify();
  }

  private applyChange(change: KeyChange, changes: ShardChange[]): void {
    const { key, revision, value } = change;
    if (key === shardKeys.term) {
      const token = (value as { token?: unknown } | undefined)?.token;
      this.enabledTerm = typeof token === "number" ? token : 0;
    } else if (key.startsWith(shardKeys.drains)) {
      const member = key.slice(shardKeys.drains.length);
      const incarnation = (value as { incarnation?: unknown } | undefined)?.incarnation;
      if (typeof incarnation === "number") this.drains.set(member, incarnation);
      else this.drains.delete(member);
    } else if (key.startsWith(shardKeys.owners)) {
      const shard = parseShardId(key.slice(shardKeys.owners.length));
      if (shard === null) this.log.warn({ key }, "ignored a record whose key names no shard");
      else changes.push(value === undefined ? { shard, revision } : { shard, revision, value });
    }
  }

  private load(rows: readonly Row[], revision: number): void {
    this.drains.clear();
    this.enabledTerm = 0;
    const changes: ShardChange[] = [];
    for (const row of rows) this.applyChange(row, changes);
    const assignment = this.assignment.withSnapshot(changes, this.enabledTerm, revision);
    this.replace(this.current.withAssignment(assignment));
  }

  private update(events: readonly KeyChange[], revision: number): void {
    const changes: ShardChange[] = [];
    for (const event of events) this.applyChange(event, changes);
    const assignment = this.assignment.withChanges(changes, this.enabledTerm, revision);
    this.replace(this.current.withAssignment(assignment));
  }

  /** Lists the records and watches them for changes, for ever. */
  readonly run = Effect.gen(this, function* () {
    const list = yield* this.state.list(shardKeys.all);
    this.load(list.rows, list.revision);
    let { revision } = list;
    for (;;) {
      const watched = yield* this.state.watch(shardKeys.all, revision, WATCH_TIMEOUT);
      revision = watched.revision;
      this.update(watched.events, revision);
      yield* Effect.sleep(WATCH_INTERVAL);
    }
  }).pipe(
    Effect.catchAll(() => Effect.void),
    Effect.zipRight(Effect.sleep(RETRY_DELAY)),
    Effect.forever,
  );
}
