/**
 * A cache of the unfinished jobs and the machine types in the state service, and of the jobs that ended lately. `JobReader`
 * keeps it up to date. It lags a little behind, and how far it lags limits what this node may do (S9); see `currentAsOf`.
 */
import * as Duration from "effect/Duration";
import type { Instant } from "../core/time.js";
import { EndedJobs, type JobStanding } from "../core/jobs/ended-jobs.js";
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

/** A released job. */
export interface ReleasedJob {
  readonly spec: JobSpec;
  /** The revision of its record. */
  readonly revision: number;
  /** About when it was accepted, and when the last of its parents was done, on this node's monotonic clock. */
  readonly acceptedAt: Instant;
  readonly releasedAt: Instant;
}

/** A job that waits for its parents, the jobs that it depends on. */
export interface BlockedJob {
  readonly spec: JobSpec;
  /** The revision of its record. */
  readonly revision: number;
  /** About when it was accepted, on this node's monotonic clock. */
  readonly acceptedAt: Instant;
  /** Its record as it was read, from which the record of the released job is made. */
  readonly record: object;
}

/** A fan-in set and the revision of its record. */
export interface Fanin extends FaninRecord {
  readonly revision: number;
}

/**
 * Why a job's record isn't cached: `over`: the job's end was seen before; `malformed`: the record can't be parsed.
 */
export type UnusableRecord = "over" | "malformed";

/** Settings of `JobCache`. */
export interface JobCacheOptions {
  /** How long a task may still run after its job was cancelled. */
  readonly cancelDeadline: Duration.Duration;
  /** The most jobs that end within `cancelDeadline`. */
  readonly maxEndsPerDeadline: number;
}

const DEFAULT_OPTIONS: JobCacheOptions = {
  cancelDeadline: Duration.seconds(60),
  maxEndsPerDeadline: 10_000,
};
const MIN_REMEMBERED_ENDED_JOBS = 20_000;

/** A record that doesn't say when it was accepted counts as accepted now. */
const acceptanceInstantOf = (record: unknown): Instant => {
  const date = acceptanceTimeOf(record);
  return date === null ? now() : instantOfDate(date);
};

/** What this process knows of jobs. It also takes in records that other parts of the process read or write. */
export class JobCache {
  /** Released jobs, by id. */
  readonly releasedJobs = new Map<string, ReleasedJob>();
  /** Blocked jobs, by id. */
  readonly blockedJobs = new Map<string, BlockedJob>();
  /** The fan-in sets of blocked jobs, and of jobs that were blocked and have been released, by id. */
  readonly fanins = new Map<string, Fanin>();
  /** Which jobs the blocked jobs depend on. */
  readonly dependencies = new BlockedJobs();
  /** Jobs that have ended: a late answer that still has their record must not restore them. */
  private readonly ended: EndedJobs;
  /** Released jobs whose record can't be parsed, by id. They may run all the same: another version may read them. */
  private readonly unreadableJobs = new Set<string>();
  /** The machine types; empty if they aren't known yet. */
  types: readonly MachineType[] = [];
  /** Whether all unfinished jobs have been read once. */
  isReady = false;
  /**
   * Every job that had ended by this time, and may still have tasks, is known here to have ended, or its tasks' leases aren't
   * renewed. It is the time at which the latest answered list or watch was sent; null before the first one (S9).
   */
  currentAsOf: Instant | null = null;
  /** A released job was first seen. Set once before the jobs are read, like the listeners below. */
  onReleased: (job: ReleasedJob) => void = () => undefined;
  /** An unfinished job ended. */
  onEnded: (id: string) => void = () => undefined;
  /** A blocked job was first seen. */
  onBlocked: (job: BlockedJob) => void = () => undefined;
  /** A job is no longer blocked: it was released, and is then among `releasedJobs`, or cancelled. */
  onUnblocked: (id: string) => void = () => undefined;
  /** The machine types were read. */
  onTypes: (types: readonly MachineType[]) => void = () => undefined;

  constructor(
    private readonly log: Log,
    { cancelDeadline, maxEndsPerDeadline }: JobCacheOptions = DEFAULT_OPTIONS,
  ) {
    const maxJobs = Math.max(MIN_REMEMBERED_ENDED_JOBS, maxEndsPerDeadline);
    this.ended = new EndedJobs({ cancelDeadline, maxJobs });
  }

  /** Sets the machine types, as read from the state service or the cloud. */
  setTypes(rows: readonly WireMachineType[]): void {
    this.types = toMachineTypes(rows);
    this.onTypes(this.types);
  }

  /** Whether the job's end is known. */
  isEnded(id: string): boolean {
    return this.ended.has(id);
  }

  /** What is known of a job whose task a worker reports (S9). */
  standingOf(id: string): JobStanding {
    const standing = this.ended.standingOf(id, this.mayRun(id), now());
    if (standing === "undetermined")
      this.log.info(
        { job: id },
        "can't tell whether a reported task's job has ended; not renewing its lease",
      );
    return standing;
  }

  /** Whether the job is unfinished as of the last read. */
  private mayRun(id: string): boolean {
    return this.isUnfinished(id) || this.unreadableJobs.has(id);
  }

  /** Adds a released job's record that was read or written. */
  putReleased(key: string, value: unknown, revision: number): ReleasedJob | UnusableRecord {
    const id = key.slice(keys.jobs.length);
    const known = this.releasedJobs.get(id);
    if (known !== undefined) return known;
    if (this.ended.has(id)) return "over";
    const spec = decodeJobRecord(id, value);
    if (spec === null) {
      this.log.error({ job: id }, "can't parse a job record");
      this.unreadableJobs.add(id);
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

  /** Adds a blocked job's record that was read or written. */
  putBlocked(key: string, value: unknown, revision: number): BlockedJob | ReleasedJob | UnusableRecord {
    const id = key.slice(keys.blockedJobs.length);
    const known = this.blockedJobs.get(id) ?? this.releasedJobs.get(id);
    if (known !== undefined) return known;
    if (this.ended.has(id)) return "over";
    const spec = decodeJobRecord(id, value);
    if (spec === null) {
      this.log.error({ job: id }, "can't parse a blocked job's record");
      return "malformed";
    }
    const job = { spec, revision, acceptedAt: acceptanceInstantOf(value), record: value as object };
    this.blockedJobs.set(id, job);
    this.dependencies.add(id, spec.dependsOn);
    this.onBlocked(job);
    return job;
  }

  /** Adds a fan-in set that was read or written, unless a newer one is cached. */
  putFanin(id: string, value: unknown, revision: number): void {
    const record = decodeFanin(value);
    const known = this.fanins.get(id);
    if (record === null || (known !== undefined && known.revision >= revision)) return;
    this.fanins.set(id, { ...record, revision });
  }

  /** Whether the job is cached as released or blocked, and so has no commit yet as far as is known here. */
  isUnfinished(id: string): boolean {
    return this.releasedJobs.has(id) || this.blockedJobs.has(id);
  }

  private dropBlocked(id: string): void {
    if (!this.blockedJobs.delete(id)) return;
    this.dependencies.remove(id);
    this.onUnblocked(id);
  }

  /** Removes a job that has ended: its commit was seen, or its record was deleted. */
  remove(id: string): void {
    this.ended.add(id);
    this.unreadableJobs.delete(id);
    const wasBlocked = this.blockedJobs.has(id);
    this.dropBlocked(id);
    if (this.releasedJobs.delete(id) || wasBlocked) this.onEnded(id);
  }

  /** Adds a record of any kind that unfinished jobs have. */
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
      // a release writes the released job's record in the same transaction; without that, the job was cancelled
      if (this.blockedJobs.has(id)) this.remove(id);
    }
  }

  /**
   * Takes in a list of all records of unfinished jobs. Cached ones that aren't in it, and aren't newer, are removed.
   */
  replaceAll(rows: readonly Row[], listRevision: number): void {
    const present = new Set(rows.map((row) => row.key));
    for (const row of rows) this.putRow(row);
    const isGone = (key: string, revision: number): boolean => !present.has(key) && revision <= listRevision;
    for (const [id, job] of [...this.releasedJobs]) if (isGone(keys.job(id), job.revision)) this.remove(id);
    for (const [id, job] of [...this.blockedJobs])
      if (isGone(keys.blockedJob(id), job.revision)) this.remove(id);
    for (const [id, fanin] of [...this.fanins])
      if (isGone(keys.fanin(id), fanin.revision)) this.fanins.delete(id);
    this.isReady = true;
  }

  /** Takes in the changes that a watch reported. */
  applyEvents(events: readonly WatchEvent[]): void {
    // writes before deletes: a release writes the released job's record and deletes the blocked job's at once
    for (const { key, value, revision } of events)
      if (value !== undefined) this.putRow({ key, value, revision });
    for (const { key, value } of events) if (value === undefined) this.removeRow(key);
  }

  /**
   * The ends before a list that was requested at `listedAt` were read. `isMissingEnds`: the state service's history was
   * too short to show all of those whose tasks may still be on machines.
   */
  endsRead(listedAt: Instant, isMissingEnds: boolean): void {
    this.ended.listed(listedAt, isMissingEnds);
  }

  /** All that had happened before a read that was requested at `requestedAt` is cached. */
  viewRead(requestedAt: Instant): void {
    this.ended.readAnswered(requestedAt, (id) => this.mayRun(id));
    this.currentAsOf = requestedAt;
  }
}
