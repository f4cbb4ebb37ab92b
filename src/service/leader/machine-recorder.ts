/** Machine records: a machine is stored, with many others in one record, before anything starts on it (S5). */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { splitRecord } from "../../core/packing.js";
import { keys, type MachineRecord, type MachinesRecord } from "../../core/records.js";
import { now } from "../../io/clock.js";
import type { CommitResult } from "../../io/state-client.js";
import type { Leadership } from "../members/membership.js";
import type { LeaderContext } from "./leader-context.js";
import { MachineRecordStore } from "./machine-record-store.js";

/** Machines that come together are recorded together. */
const BATCHING_DELAY = Duration.millis(100);
const RETRY_PAUSE = Duration.millis(300);
/** Machines in one record, however many would fit: each that goes has the rest of them written anew. */
const MAX_MACHINES_PER_RECORD = 40;
/** A refused record of machines is tried again with fewer, down to this many bytes. */
const MIN_RECORD_BYTES = 256;

interface UnrecordedMachine {
  readonly id: string;
  readonly record: MachineRecord;
}

/** Stores records of new machines, and knows which record holds which machine. */
export class MachineRecorder {
  /** Which key holds which machines; garbage collection rewrites them. */
  store = new MachineRecordStore();
  private readonly unrecorded: UnrecordedMachine[] = [];
  /** Bytes in one record: fewer once one was refused. */
  private maxRecordBytes: number;

  constructor(private readonly context: LeaderContext) {
    this.maxRecordBytes = context.valueBytes;
  }

  /** A new leader reads all records anew. */
  reset(): void {
    this.store = new MachineRecordStore();
  }

  /** This node leads no longer: the next leader records what is missing. */
  clear(): void {
    this.unrecorded.length = 0;
  }

  /** A machine to be recorded. */
  add(id: string, record: MachineRecord): void {
    this.unrecorded.push({ id, record });
  }

  /** A key that no other record of machines ever has. */
  readonly newKey = (): string =>
    keys.machinesOf(`${this.context.termNumber}-${this.context.nextSequence()}`);

  /** Records machines, many at a time, for as long as this leadership lasts. */
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
      // also when the answer is lost: what may be written has to be deleted some day
      this.store.add(key, machines);
      const result = yield* this.write(key, machines, leadership);
      this.notifyScheduler(batch, result?.ok === true);
      yield* this.pauseAfter(result);
    });
  }

  /** The machines at the head of the queue that are in `machines`. */
  private takeBatch(machines: MachinesRecord["machines"]): UnrecordedMachine[] {
    const firstRemaining = this.unrecorded.findIndex(({ id }) => !(id in machines));
    return this.unrecorded.splice(0, firstRemaining === -1 ? this.unrecorded.length : firstRemaining);
  }

  /** null: not carried out, or the answer was lost. */
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
      rejections.reset("record of machines");
      return Effect.void;
    }
    if (result?.ok !== null) return Effect.sleep(RETRY_PAUSE);
    this.maxRecordBytes = Math.max(MIN_RECORD_BYTES, Math.floor(this.maxRecordBytes / 2));
    return Effect.sleep(rejections.noteRejection("record of machines", result.error));
  }
}
