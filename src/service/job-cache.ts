/**
 * The unfinished jobs and the machine types, as the state service has them, a moment behind. How far behind bounds what
 * this node may do (S9): see `currentAsOf`.
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { type Instant, hasElapsed } from "../core/time.js";
import { BlockedJobs } from "../core/jobs/fanin.js";
import { type FaninRecord, type JobSpec, keys, type MachineType } from "../core/records.js";
import { instantOfDate, now } from "../io/clock.js";
import {
  acceptanceTimeOf,
  decodeFanin,
  decodeJobRecord,
  releaseTimeOf,
  type Row,
  toMachineTypes,
  type WatchEvent,
  type WireMachineType,
} from "../io/codec.js";
import type { Log } from "../io/log.js";
import type { StateClient } from "../io/state-client.js";

/** A released job, as its record says. */
export interface ReleasedJob {
  readonly spec: JobSpec;
  /** The revision of its record. */
  readonly revision: number;
  /** About when it was accepted, and when the last job that it needs was done, on this node's steady clock. */
  readonly acceptedAt: Instant;
  readonly releasedAt: Instant;
}

/** A job that waits for others; its record becomes that of the released job. */
export interface BlockedJob {
  readonly spec: JobSpec;
  /** The revision of its record. */
  readonly revision: number;
  /** About when it was accepted, on this node's steady clock. */
  readonly acceptedAt: Instant;
  readonly record: object;
}

/** A fan-in set and the revision of its record. */
export interface Fanin extends FaninRecord {
  readonly revision: number;
}

/** Why a job's record isn't in the cache: the job's end was seen before, or the record can't be read. */
export type UnusableRecord = "over" | "malformed";

/** How many ended jobs are remembered. */
const MAX_ENDED_JOBS = 20_000;
/** A little patience: one answer then holds several changes. Only the leader starts what comes; others can wait. */
const BATCHING_DELAY = Duration.millis(500);
const LEADER_BATCHING_DELAY = Duration.millis(150);
const RELIST_PAUSE = Duration.millis(300);
const RETRY_PAUSE = Duration.millis(500);
/** How often the machine types are read: while none are known, and from then on. */
const TYPES_INTERVAL_UNTIL_KNOWN = Duration.seconds(0.3);
const TYPES_INTERVAL = Duration.seconds(30);

/** A record that doesn't say when it was accepted counts as accepted now. */
const acceptanceInstantOf = (record: unknown): Instant => {
  const date = acceptanceTimeOf(record);
  return date === null ? now() : instantOfDate(date);
};

/** Watches the jobs for as long as `run` runs, and takes in what this process reads and writes in between. */
export class JobCache {
  /** Released jobs, by id. */
  readonly releasedJobs = new Map<string, ReleasedJob>();
  /** Jobs that wait for others, by id. */
  readonly blockedJobs = new Map<string, BlockedJob>();
  /** The fan-in sets of waiting jobs and of those released since, by id. */
  readonly fanins = new Map<string, Fanin>();
  /** Which waiting jobs wait for which. */
  readonly dependencies = new BlockedJobs();
  /** Jobs whose end was seen: a late answer that still has their record must not bring them back. */
  private readonly ended = new Set<string>();
  /** The machine types; empty: not known yet. */
  types: readonly MachineType[] = [];
  /** Whether all unfinished jobs were read once. */
  isReady = false;
  /** When the last request was sent whose answer showed every job that had ended by then; null: none yet (S9). */
  currentAsOf: Instant | null = null;
  /** Whether this process leads: then changes are read sooner. Set once, before `run`, as are the listeners. */
  isLeading: () => boolean = () => false;
  /** A job was released, or was first seen so. */
  onReleased: (job: ReleasedJob) => void = () => undefined;
  /** An unfinished job ended. */
  onEnded: (id: string) => void = () => undefined;
  /** A job that waits for others was first seen. */
  onBlocked: (job: BlockedJob) => void = () => undefined;
  /** It waits no longer: it was released, and then is among `releasedJobs`, or cancelled. */
  onUnblocked: (id: string) => void = () => undefined;
  /** The machine types were read. */
  onTypes: (types: readonly MachineType[]) => void = () => undefined;

  constructor(
    private readonly state: StateClient,
    private readonly log: Log,
    /** How long a watch may wait for changes: until it is answered, nobody knows that there were none. */
    private readonly watchTimeout = Duration.seconds(2),
  ) {}

  /** The machine types, as they were read from the state service or the cloud. */
  setTypes(rows: readonly WireMachineType[]): void {
    this.types = toMachineTypes(rows);
    this.onTypes(this.types);
  }

  /** Whether the job's end was seen. */
  isOver(id: string): boolean {
    return this.ended.has(id);
  }

  /** A job record that was read. */
  putReleased(key: string, value: unknown, revision: number): ReleasedJob | UnusableRecord {
    const id = key.slice(keys.jobs.length);
    const known = this.releasedJobs.get(id);
    if (known !== undefined) return known;
    if (this.ended.has(id)) return "over";
    const spec = decodeJobRecord(id, value);
    if (spec === null) {
      this.log.error({ job: id }, "job record can't be read");
      return "malformed";
    }
    const acceptedAt = acceptanceInstantOf(value);
    const releaseDate = releaseTimeOf(value);
    const releasedAt = releaseDate === null ? acceptedAt : instantOfDate(releaseDate);
    const job = { spec, revision, acceptedAt, releasedAt };
    this.releasedJobs.set(id, job);
    this.onReleased(job);
    this.dropBlocked(id);
    return job;
  }

  /** A waiting job's record that was read. */
  putBlocked(key: string, value: unknown, revision: number): BlockedJob | ReleasedJob | UnusableRecord {
    const id = key.slice(keys.blockedJobs.length);
    const known = this.blockedJobs.get(id) ?? this.releasedJobs.get(id);
    if (known !== undefined) return known;
    if (this.ended.has(id)) return "over";
    const spec = decodeJobRecord(id, value);
    if (spec === null) {
      this.log.error({ job: id }, "waiting job's record can't be read");
      return "malformed";
    }
    const job = { spec, revision, acceptedAt: acceptanceInstantOf(value), record: value as object };
    this.blockedJobs.set(id, job);
    this.dependencies.add(id, spec.dependsOn);
    this.onBlocked(job);
    return job;
  }

  /** A fan-in set that was read or written; an older one than the known changes nothing. */
  putFanin(id: string, value: unknown, revision: number): void {
    const record = decodeFanin(value);
    const known = this.fanins.get(id);
    if (record === null || (known !== undefined && known.revision >= revision)) return;
    this.fanins.set(id, { ...record, revision });
  }

  /** Released or waiting: it has no commit yet, as far as is known here. */
  isUnfinished(id: string): boolean {
    return this.releasedJobs.has(id) || this.blockedJobs.has(id);
  }

  private dropBlocked(id: string): void {
    if (!this.blockedJobs.delete(id)) return;
    this.dependencies.remove(id);
    this.onUnblocked(id);
  }

  /** The job ended: its commit was seen, or its record is gone. */
  remove(id: string): void {
    this.ended.add(id);
    if (this.ended.size > MAX_ENDED_JOBS) {
      const [oldest] = this.ended;
      if (oldest !== undefined) this.ended.delete(oldest);
    }
    const wasBlocked = this.blockedJobs.has(id);
    this.dropBlocked(id);
    if (this.releasedJobs.delete(id) || wasBlocked) this.onEnded(id);
  }

  /** A row of whatever concerns unfinished jobs. */
  private putRow({ key, value, revision }: Row): void {
    if (key.startsWith(keys.jobs)) this.putReleased(key, value, revision);
    else if (key.startsWith(keys.blockedJobs)) this.putBlocked(key, value, revision);
    else if (key.startsWith(keys.fanins)) this.putFanin(key.slice(keys.fanins.length), value, revision);
  }

  private removeRow(key: string): void {
    if (key.startsWith(keys.jobs)) this.remove(key.slice(keys.jobs.length));
    else if (key.startsWith(keys.fanins)) this.fanins.delete(key.slice(keys.fanins.length));
    else if (key.startsWith(keys.blockedJobs)) {
      const id = key.slice(keys.blockedJobs.length);
      // a release writes the job's record in the same change; without one the job was cancelled
      if (this.blockedJobs.has(id)) this.remove(id);
    }
  }

  /** Takes in a list of all that concerns unfinished jobs. What it doesn't hold, and isn't newer, is gone. */
  private replaceAll(rows: readonly Row[], listRevision: number): void {
    const present = new Set(rows.map((row) => row.key));
    for (const row of rows) this.putRow(row);
    const isGone = (key: string, revision: number): boolean => !present.has(key) && revision <= listRevision;
    for (const [id, job] of [...this.releasedJobs]) if (isGone(keys.job(id), job.revision)) this.remove(id);
    for (const [id, job] of [...this.blockedJobs])
      if (isGone(keys.blockedJob(id), job.revision)) this.remove(id);
    for (const [id, fanin] of [...this.fanins])
      if (isGone(keys.fanin(id), fanin.revision)) this.fanins.delete(id);
  }

  private applyEvents(events: readonly WatchEvent[]): void {
    // what was written first: a release deletes the waiting job's record in the change that writes the job's
    for (const { key, value, revision } of events)
      if (value !== undefined) this.putRow({ key, value, revision });
    for (const { key, value } of events) if (value === undefined) this.removeRow(key);
  }

  private readonly jobLoop = Effect.gen(this, function* () {
    const listedAt = now();
    const list = yield* this.state.list(keys.unfinished);
    this.replaceAll(list.rows, list.revision);
    this.isReady = true;
    this.currentAsOf = listedAt;
    let { revision } = list;
    for (;;) {
      const askedAt = now();
      // an answer that was long on its way says little about now: the next one is asked for at once
      const isLate = hasElapsed(askedAt, this.currentAsOf, Duration.times(this.watchTimeout, 2));
      const answer = yield* this.state.watch(
        keys.unfinished,
        revision,
        isLate ? Duration.zero : this.watchTimeout,
      );
      this.applyEvents(answer.events);
      revision = answer.revision;
      this.currentAsOf = askedAt;
      yield* Effect.sleep(this.isLeading() ? LEADER_BATCHING_DELAY : BATCHING_DELAY);
    }
  }).pipe(
    Effect.catchAll((error) => Effect.sync(() => this.log.debug({ reason: error._tag }, "job watch ended"))),
    Effect.zipRight(Effect.sleep(RELIST_PAUSE)),
    Effect.forever,
  );

  private readonly typeLoop = Effect.gen(this, function* () {
    const row = yield* this.state.get(keys.types, "later");
    if (row !== null) this.setTypes(row.value as WireMachineType[]);
    yield* Effect.sleep(this.types.length === 0 ? TYPES_INTERVAL_UNTIL_KNOWN : TYPES_INTERVAL);
  }).pipe(
    Effect.catchAll(() => Effect.sleep(RETRY_PAUSE)),
    Effect.forever,
  );

  /** Never ends; what fails is tried again. */
  readonly run = Effect.all([this.jobLoop, this.typeLoop], { concurrency: 2, discard: true });
}
