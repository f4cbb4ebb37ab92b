/**
 * The keys under `cluster/` as a watch shows them, slightly delayed: the member keys, the leader key and the term. It
 * shows which members are present; which ones count as members is determined by the term alone (S1).
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { keys, type LeaderRecord, type TermMember } from "../../core/records.js";
import type { Row } from "../../io/codec.js";
import { decodeLeader, decodeMember } from "../../io/record-codec.js";
import type { StateClient } from "../../io/state-client.js";

/** How long one watch request may wait for changes. */
const WATCH_TIMEOUT = Duration.seconds(10);
/** Pause between two watch requests. */
const WATCH_PAUSE = Duration.millis(20);
/** Pause before the keys are listed again after a watch has ended. */
const RELIST_PAUSE = Duration.millis(300);

/** The members whose keys are among the rows; other rows are ignored. */
export const membersOf = (rows: Iterable<Row>): TermMember[] => {
  const members: TermMember[] = [];
  for (const row of rows)
    if (row.key.startsWith(keys.members))
      members.push({
        name: row.key.slice(keys.members.length),
        incarnation: row.revision,
        zone: decodeMember(row.value).zone,
      });
  return members;
};

/** The leader key as last seen. */
export interface LeaderKey {
  readonly revision: number;
  readonly record: LeaderRecord;
}

/** Watches the cluster's keys while `run` runs. */
export class MemberRegistry {
  private rows = new Map<string, Row>();
  private synced = false;
  /** `rows` includes all changes up to this revision. */
  private watchedRevision = 0;

  constructor(
    private readonly state: StateClient,
    /** Called after the keys were listed, and after each watch response that contains changes. */
    private readonly onChange: () => void,
  ) {}

  /** Whether the keys are known: they were listed, and the watch that followed hasn't ended. */
  get isSynced(): boolean {
    return this.synced;
  }

  /** The row of the term; null: none is known. */
  get termRow(): Row | null {
    return this.rows.get(keys.term) ?? null;
  }

  /** The leader key; null: none is known. */
  get leaderKey(): LeaderKey | null {
    const row = this.rows.get(keys.leader);
    return row === undefined ? null : { revision: row.revision, record: decodeLeader(row.value) };
  }

  /** The revision of the leader key; undefined: none is known. */
  get leaderRevision(): number | undefined {
    return this.rows.get(keys.leader)?.revision;
  }

  /** The members whose keys exist now, sorted by name. */
  presentMembers(): TermMember[] {
    return membersOf(this.rows.values()).sort((member, other) => (member.name < other.name ? -1 : 1));
  }

  /** Whether the member key of this incarnation certainly doesn't exist any more: it was deleted or replaced. */
  hasLost(member: string, incarnation: number): boolean {
    return (
      this.synced &&
      incarnation <= this.watchedRevision &&
      this.rows.get(keys.member(member))?.revision !== incarnation
    );
  }

  /** Records the leader key that this process has just written, before the watch shows it. */
  recordLeaderKey(value: object, revision: number): void {
    this.rows.set(keys.leader, { key: keys.leader, value, revision });
  }

  private readonly watch = Effect.gen(this, function* () {
    const list = yield* this.state.list(keys.cluster);
    this.rows = new Map(list.rows.map((row) => [row.key, row]));
    this.synced = true;
    this.watchedRevision = list.revision;
    this.onChange();
    for (;;) {
      const answer = yield* this.state.watch(keys.cluster, this.watchedRevision, WATCH_TIMEOUT);
      for (const { key, value, revision } of answer.events)
        if (value === undefined) this.rows.delete(key);
        else this.rows.set(key, { key, value, revision });
      this.watchedRevision = answer.revision;
      if (answer.events.length > 0) this.onChange();
      yield* Effect.sleep(WATCH_PAUSE);
    }
  });

  /** Never ends; after a failure the keys are listed again. */
  readonly run: Effect.Effect<never> = this.watch.pipe(
    Effect.catchAll(() => Effect.sync(() => (this.synced = false))),
    Effect.zipRight(Effect.sleep(RELIST_PAUSE)),
    Effect.forever,
  );
}
