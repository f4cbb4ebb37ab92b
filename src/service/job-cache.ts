/**
 * A cache of the unfinished jobs and the machine types in the state service. It lags a little behind, and how far it
 * lags limits what this node may do (S9); see `currentAsOf`.
 */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { type Instant, hasElapsed } from "../core/time.js";
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
import type { StateClient, StateError } from "../io/state-client.js";

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
  /** How long a watch waits for changes. Until it is answered, `currentAsOf` stays behind. */
  readonly watchTimeout: Duration.Duration;
  /** How long a task may still run after its job was cancelled. */
  readonly cancelDeadline: Duration.Duration;
  /** The most changes that the state service makes within `cancelDeadline`. */
  readonly maxChangesPerDeadline: number;
}

const MIN_REMEMBERED_ENDED_JOBS = 20_000;
/** By default the whole history that the state service keeps. */
const DEFAULT_OPTIONS: JobCacheOptions = {
  watchTimeout: Duration.seconds(2),
  cancelDeadline: Duration.seconds(60),
  maxChangesPerDeadline: 10_000,
};
/**
 * The pause between two watches, so that one answer has several changes. The leader's is shorter, since it starts the
 * jobs that come in.
 */
const BATCHING_DELAY = Duration.millis(500);
const LEADER_BATCHING_DELAY = Duration.millis(150);
const RELIST_PAUSE = Duration.millis(300);
const RETRY_PAUSE = Duration.millis(500);
/** How often the machine types are read: while none are known, and afterwards. */
const TYPES_INTERVAL_UNTIL_KNOWN = Duration.seconds(0.3);
const TYPES_INTERVAL = Duration.seconds(30);

/** A record that doesn't say when it was accepted counts as accepted now. */
const acceptanceInstantOf = (record: unknown): Instant => {
  const date = acceptanceTimeOf(record);
  return date === null ? now() : instantOfDate(date);
};

/** Follows the jobs by a watch while `run` runs, and also takes in records that this process reads or writes. */
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
  /** The revision up to which every end is known; null: none yet. */
  private endsKnownUpTo: number | null = null;
  /** The machine types; empty if they aren't known yet. */
  types: readonly MachineType[] = [];
  /** Whether all unfinished jobs have been read once. */
  isReady = false;
  /**
   * Every job that had ended by this time, and may still have tasks, is known here to have ended, or its tasks' leases aren't
   * renewed. It is the time at which the latest answered list or watch was sent; null before the first one (S9).
   */
  currentAsOf: Instant | null = null;
  /** Whether this node leads; changes are then read more often. Set once before `run`, like the listeners below. */
  isLeading: () => boolean = () => false;
  /** A released job was first seen. */
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
    private readonly state: StateClient,
    private readonly log: Log,
    private readonly options: JobCacheOptions = DEFAULT_OPTIONS,
  ) {
    const { cancelDeadline, maxChangesPerDeadline } = options;
    const maxJobs = Math.max(MIN_REMEMBERED_ENDED_JOBS, maxChangesPerDeadline);
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
    // writes before deletes: a release writes the released job's record and deletes the blocked job's at once
    for (const { key, value, revision } of events)
      if (value !== undefined) this.putRow({ key, value, revision });
    for (const { key, value } of events) if (value === undefined) this.removeRow(key);
  }

  /**
   * Reads the commits of the last changes before the list, half as many each time that the service no longer keeps them
   * all. Returns how many changes before the list were covered.
   */
  private readCommits(listRevision: number, changes: number): Effect.Effect<number, StateError> {
    if (changes === 0) return Effect.succeed(0);
    return this.state.watch(keys.commits, listRevision - changes, Duration.zero).pipe(
      Effect.map(({ events }) => {
        for (const { key } of events) this.remove(key.slice(keys.commits.length));
        return changes;
      }),
      Effect.catchTag("TooOld", () => this.readCommits(listRevision, Math.floor(changes / 2))),
    );
  }

  /**
   * Learns of the jobs that ended before the list at `listRevision` was read, which doesn't show them: those since the last
   * read or, in a new process, those whose tasks may still be on machines.
   */
  private readonly readMissedEnds = (listedAt: Instant, listRevision: number) =>
    Effect.gen(this, function* () {
      const { maxChangesPerDeadline } = this.options;
      const missedChanges =
        this.endsKnownUpTo === null ? Infinity : Math.max(0, listRevision - this.endsKnownUpTo);
      const changes = Math.min(listRevision, missedChanges, maxChangesPerDeadline);
      const covered = yield* this.readCommits(listRevision, changes);
      const isMissingEnds = covered < changes;
      this.ended.listed(listedAt, isMissingEnds);
      const details = { listRevision, changes, covered };
      if (isMissingEnds)
        this.log.warn(
          details,
          "the state service's history is too short to show all jobs that ended recently",
        );
      else if (this.endsKnownUpTo === null) this.log.info(details, "read the jobs that ended recently");
    });

  /** The view is complete as of a read that was requested at `requestedAt` and answered with `revision`. */
  private viewRead(requestedAt: Instant, revision: number): void {
    this.ended.readAnswered(requestedAt, (id) => this.mayRun(id));
    this.endsKnownUpTo = revision;
    this.currentAsOf = requestedAt;
  }

  private readonly jobLoop = Effect.gen(this, function* () {
    const { watchTimeout } = this.options;
    const listedAt = now();
    const list = yield* this.state.list(keys.unfinished);
    this.replaceAll(list.rows, list.revision);
    this.isReady = true;
    // the list doesn't show which jobs have ended, so it alone makes the view no newer (S9)
    yield* this.readMissedEnds(listedAt, list.revision);
    this.viewRead(listedAt, list.revision);
    let { revision } = list;
    let lastReadAt = listedAt;
    for (;;) {
      const requestedAt = now();
      // if the last answer was slow, the view is old: a watch with no timeout is answered at once
      const isLate = hasElapsed(requestedAt, lastReadAt, Duration.times(watchTimeout, 2));
      const answer = yield* this.state.watch(
        keys.unfinished,
        revision,
        isLate ? Duration.zero : watchTimeout,
      );
      this.applyEvents(answer.events);
      revision = answer.revision;
      lastReadAt = requestedAt;
      this.viewRead(requestedAt, revision);
      yield* Effect.sleep(this.isLeading() ? LEADER_BATCHING_DELAY : BATCHING_DELAY);
    }
  }).pipe(
    Effect.catchAll((error) =>
      Effect.sync(() => this.log.debug({ reason: error._tag }, "watch of jobs failed; listing them again")),
    ),
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

  /** Follows the jobs and the machine types for ever; failures are retried. */
  readonly run = Effect.all([this.jobLoop, this.typeLoop], { concurrency: 2, discard: true });
}
