/**
 * The keys under `cluster/` as a watch shows them, a moment behind: the members' keys, the leader's key and the term.
 * It says who is there now; who counts is said by the term alone (S1).
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { keys, type LeaderRecord, type TermMember } from "../../core/records.js";
import type { Row } from "../../io/codec.js";
import { decodeLeader, decodeMember } from "../../io/record-codec.js";
import type { StateClient } from "../../io/state-client.js";

/** How long one request may wait for changes. */
const WATCH_TIMEOUT = Duration.seconds(10);
/** Pause between two requests of a watch. */
const WATCH_PAUSE = Duration.millis(20);
/** Pause before the keys are listed anew after a watch ended. */
const RELIST_PAUSE = Duration.millis(300);

/** The members whose keys these rows are; other rows are passed over. */
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

/** The leader's key as it was last seen. */
export interface LeaderKey {
  readonly revision: number;
  readonly record: LeaderRecord;
}

/** Watches the cluster's keys for as long as `run` runs. */
export class MemberRegistry {
  private rows = new Map<string, Row>();
  private synced = false;
  /** The revision up to which `rows` miss nothing. */
  private watchedRevision = 0;

  constructor(
    private readonly state: StateClient,
    /** Called after the keys were listed, and after each answer that held changes. */
    private readonly onChange: () => void,
  ) {}

  /** Whether the keys are known: they were listed, and the watch that follows hasn't ended. */
  get isSynced(): boolean {
    return this.synced;
  }

  /** The row of the term; null: none was written yet, or none is known. */
  get termRow(): Row | null {
    return this.rows.get(keys.term) ?? null;
  }

  /** The leader's key; null: there is none, as far as is known. */
  get leaderKey(): LeaderKey | null {
    const row = this.rows.get(keys.leader);
    return row === undefined ? null : { revision: row.revision, record: decodeLeader(row.value) };
  }

  /** The revision of the leader's key; undefined: there is none, as far as is known. */
  get leaderRevision(): number | undefined {
    return this.rows.get(keys.leader)?.revision;
  }

  /** The members that hold keys now, by name. */
  presentMembers(): TermMember[] {
    return membersOf(this.rows.values()).sort((member, other) => (member.name < other.name ? -1 : 1));
  }

  /** Whether the member's key certainly isn't the one written at this revision: it is gone, or another process's. */
  hasLost(member: string, incarnation: number): boolean {
    return (
      this.synced &&
      incarnation <= this.watchedRevision &&
      this.rows.get(keys.member(member))?.revision !== incarnation
    );
  }

  /** The leader's key that this process wrote just now, which the watch will show later. */
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

  /** Never ends; what fails is tried again. */
  readonly run: Effect.Effect<never> = this.watch.pipe(
    Effect.catchAll(() => Effect.sync(() => (this.synced = false))),
    Effect.zipRight(Effect.sleep(RELIST_PAUSE)),
    Effect.forever,
  );
}
