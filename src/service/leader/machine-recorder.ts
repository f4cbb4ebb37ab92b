/** Records machines: each is stored, with many others in one record, before any task starts on it (S5). */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { splitRecord } from "../../core/packing.js";
import { keys, type MachineRecord, type MachinesRecord } from "../../core/records.js";
import { now } from "../../io/clock.js";
import type { CommitResult } from "../../io/state-client.js";
import type { Leadership } from "../members/membership.js";
import type { LeaderContext } from "./leader-context.js";
import { MachineRecordStore } from "./machine-record-store.js";

/** Delay before a write, so that machines added in quick succession share a record. */
const BATCHING_DELAY = Duration.millis(100);
const RETRY_PAUSE = Duration.millis(300);
/** Kept low, since the removal of a machine rewrites all others in its record. */
const MAX_MACHINES_PER_RECORD = 40;
/** A rejected record is retried with fewer machines, down to this size. */
const MIN_RECORD_BYTES = 256;

interface UnrecordedMachine {
  readonly id: string;
  readonly record: MachineRecord;
}

/** Stores records of new machines, and keeps track of which record holds which machine. */
export class MachineRecorder {
  /** Which record holds which machines; garbage collection rewrites the records. */
  store = new MachineRecordStore();
  private readonly unrecorded: UnrecordedMachine[] = [];
  /** Maximum size of a record, reduced after a rejection. */
  private maxRecordBytes: number;

  constructor(private readonly context: LeaderContext) {
    this.maxRecordBytes = context.valueBytes;
  }

  /** Forgets all records, before a new leader loads them. */
  reset(): void {
    this.store = new MachineRecordStore();
  }

  /** Forgets the unrecorded machines when this node stops leading: the next leader records them. */
  clear(): void {
    this.unrecorded.length = 0;
  }

  /** Queues a machine to be recorded. */
  add(id: string, record: MachineRecord): void {
    this.unrecorded.push({ id, record });
  }

  /** A key that no other machine record ever has. */
  readonly newKey = (): string =>
    keys.machinesOf(`${this.context.termNumber}-${this.context.nextSequence()}`);

  /** Records queued machines while this leadership lasts. */
  run(leadership: Leadership): Effect.Effect<never> {
    return Effect.forever(this.recordOnce(leadership));
  }

  private recordOnce(leadership: Leadership): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      yield* Effect.sleep(BATCHING_DELAY);
      const next = this.unrecorded.slice(0, MAX_MACHINES_PER_RECORD);
      const machines = splitRecord(
        next.map(({ id, record }) => [id, record] as const),
        this.maxRecordBytes,
      )[0];
      if (machines === undefined) return;
      const batch = this.takeBatch(machines);
      const key = this.newKey();
      // added before the answer, which may be lost: a record that may exist has to be deleted eventually
      this.store.add(key, machines);
      const result = yield* this.write(key, machines, leadership);
      this.notifyScheduler(batch, result?.ok === true);
      yield* this.pauseAfter(result);
    });
  }

  /** Takes those machines from the head of the queue that are in `machines`. */
  private takeBatch(machines: MachinesRecord["machines"]): UnrecordedMachine[] {
    const firstRemaining = this.unrecorded.findIndex(({ id }) => !(id in machines));
    return this.unrecorded.splice(0, firstRemaining === -1 ? this.unrecorded.length : firstRemaining);
  }

  /** null: the write was not carried out, or its answer was lost. */
  private write(
    key: string,
    machines: MachinesRecord["machines"],
    leadership: Leadership,
  ): Effect.Effect<CommitResult | null> {
    return this.context.services.state
      .commit(
        [
          { key: keys.leader, revision: leadership.revision },
          { key, revision: 0 },
        ],
        [{ put: key, value: { machines } satisfies MachinesRecord }],
      )
      .pipe(Effect.orElseSucceed(() => null));
  }

  private notifyScheduler(batch: readonly UnrecordedMachine[], recorded: boolean): void {
    this.context.schedulerLock?.with((scheduler) => {
      for (const { id, record } of batch)
        if (recorded) scheduler.machineRecorded(id, record, now());
        else scheduler.machineRecordFailed(id);
    });
    this.context.stepRequested.notify();
  }

  private pauseAfter(result: CommitResult | null): Effect.Effect<void> {
    const { rejections } = this.context;
    if (result?.ok === true) {
      rejections.reset("machine record");
      return Effect.void;
    }
    if (result?.ok !== null) return Effect.sleep(RETRY_PAUSE);
    this.maxRecordBytes = Math.max(MIN_RECORD_BYTES, Math.floor(this.maxRecordBytes / 2));
    return Effect.sleep(rejections.noteRejection("machine record", result.error));
  }
}
