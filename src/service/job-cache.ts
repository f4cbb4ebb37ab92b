/** The unfinished jobs and the machine types, as the state service has them, a moment behind. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { type Instant, hasElapsed } from "../core/time.js";
import { BlockedJobs } from "../core/jobs/fanin.js";
import { type FaninRecord, type JobSpec, keys, type MachineType } from "../core/records.js";
import { instantOf, now } from "../io/clock.js";
import { acceptedOf, readFanin, readJob, releasedOf, type Row, typesOf, type WireType } from "../io/codec.js";
import type { Log } from "../io/log.js";
import type { StateClient } from "../io/state-client.js";

export interface CachedJob {
  readonly spec: JobSpec;
  readonly revision: number;
  /** About when it was accepted, and when the last job that it needs was done, on this node's steady clock. */
  readonly accepted: Instant;
  readonly released: Instant;
}

/** A job that waits for others; its record becomes that of the released job. */
export interface BlockedJob {
  readonly spec: JobSpec;
  readonly revision: number;
  readonly accepted: Instant;
  readonly record: object;
}

export interface Fanin extends FaninRecord {
  readonly revision: number;
}

const MAX_OVER = 20_000;
/** A little patience: one answer then holds several changes. Only the leader starts what comes; others can wait. */
const GATHER = Duration.millis(500);
const LEADERS_GATHER = Duration.millis(150);

export class JobCache {
  readonly jobs = new Map<string, CachedJob>();
  /** Jobs that wait for others, and the fan-in sets of these and of those released since. */
  readonly waiting = new Map<string, BlockedJob>();
  readonly fanins = new Map<string, Fanin>();
  readonly waiters = new BlockedJobs();
  /** Jobs whose end was seen: a late answer that still has their record must not bring them back. */
  private readonly over = new Set<string>();
  types: readonly MachineType[] = [];
  ready = false;
  /** When the last request was sent whose answer showed every job that had ended by then. */
  read: Instant | null = null;
  leading: () => boolean = () => false;
  onJob: (job: CachedJob) => void = () => undefined;
  onOver: (id: string) => void = () => undefined;
  onWaiting: (job: BlockedJob) => void = () => undefined;
  /** It waits no longer: it was released, and then is among `jobs`, or cancelled. */
  onWaitingOver: (id: string) => void = () => undefined;
  onTypes: (types: readonly MachineType[]) => void = () => undefined;

  constructor(
    private readonly state: StateClient,
    private readonly log: Log,
    /** How long a watch may wait for changes: until it is answered, nobody knows that there were none. */
    private readonly watchFor = Duration.seconds(2),
  ) {}

  setTypes(rows: readonly WireType[]): void {
    this.types = typesOf(rows);
    this.onTypes(this.types);
  }

  isOver(id: string): boolean {
    return this.over.has(id);
  }

  /** A job record that was read. */
  put(key: string, value: unknown, revision: number): CachedJob | "over" | "malformed" {
    const id = key.slice(keys.jobs.length);
    const known = this.jobs.get(id);
    if (known !== undefined) return known;
    if (this.over.has(id)) return "over";
    const spec = readJob(id, value);
    if (spec === null) {
      this.log.error({ job: id }, "a job record can't be read");
      return "malformed";
    }
    const date = acceptedOf(value);
    const accepted = date === null ? now() : instantOf(date);
    const since = releasedOf(value);
    const job = { spec, revision, accepted, released: since === null ? accepted : instantOf(since) };
    this.jobs.set(id, job);
    this.onJob(job);
    this.dropWaiting(id);
    return job;
  }

  /** A waiting job's record that was read. */
  putWaiting(key: string, value: unknown, revision: number): BlockedJob | CachedJob | "over" | "malformed" {
    const id = key.slice(keys.blockedJobs.length);
    const known = this.waiting.get(id) ?? this.jobs.get(id);
    if (known !== undefined) return known;
    if (this.over.has(id)) return "over";
    const spec = readJob(id, value);
    if (spec === null) {
      this.log.error({ job: id }, "a waiting job's record can't be read");
      return "malformed";
    }
    const date = acceptedOf(value);
    const accepted = date === null ? now() : instantOf(date);
    const job = { spec, revision, accepted, record: value as object };
    this.waiting.set(id, job);
    this.waiters.add(id, spec.dependsOn);
    this.onWaiting(job);
    return job;
  }

  putFanin(id: string, value: unknown, revision: number): void {
    const record = readFanin(value);
    const known = this.fanins.get(id);
    if (record === null || (known !== undefined && known.revision >= revision)) return;
    this.fanins.set(id, { ...record, revision });
  }

  /** Released or waiting: it has no commit yet, as far as is known here. */
  isUnfinished(id: string): boolean {
    return this.jobs.has(id) || this.waiting.has(id);
  }

  private dropWaiting(id: string): void {
    if (!this.waiting.delete(id)) return;
    this.waiters.remove(id);
    this.onWaitingOver(id);
  }

  remove(id: string): void {
    this.over.add(id);
    if (this.over.size > MAX_OVER) this.over.delete(this.over.values().next().value!);
    const waited = this.waiting.has(id);
    this.dropWaiting(id);
    if (this.jobs.delete(id) || waited) this.onOver(id);
  }

  /** A row of whatever concerns unfinished jobs. */
  private putRow({ key, value, revision }: Row): void {
    if (key.startsWith(keys.jobs)) this.put(key, value, revision);
    else if (key.startsWith(keys.blockedJobs)) this.putWaiting(key, value, revision);
    else if (key.startsWith(keys.fanins)) this.putFanin(key.slice(keys.fanins.length), value, revision);
  }

  private removeRow(key: string): void {
    if (key.startsWith(keys.jobs)) this.remove(key.slice(keys.jobs.length));
    else if (key.startsWith(keys.fanins)) this.fanins.delete(key.slice(keys.fanins.length));
    else if (key.startsWith(keys.blockedJobs)) {
      const id = key.slice(keys.blockedJobs.length);
      // a release writes the job's record in the same change; without one the job was cancelled
      if (this.waiting.has(id)) this.remove(id);
    }
  }

  private readonly jobLoop = Effect.gen(this, function* () {
    const listed = now();
    const list = yield* this.state.list(keys.unfinished);
    const present = new Set(list.rows.map((row) => row.key));
    for (const row of list.rows) this.putRow(row);
    for (const [id, job] of [...this.jobs])
      if (!present.has(keys.job(id)) && job.revision <= list.revision) this.remove(id);
    for (const [id, job] of [...this.waiting])
      if (!present.has(keys.blockedJob(id)) && job.revision <= list.revision) this.remove(id);
    for (const [id, set] of [...this.fanins])
      if (!present.has(keys.fanin(id)) && set.revision <= list.revision) this.fanins.delete(id);
    this.ready = true;
    this.read = listed;
    let revision = list.revision;
    for (;;) {
      const asked = now();
      // an answer that was long on its way says little about now: the next one is asked for at once
      const late = hasElapsed(asked, this.read, Duration.times(this.watchFor, 2));
      const got = yield* this.state.watch(keys.unfinished, revision, late ? Duration.zero : this.watchFor);
      // what was written first: a release deletes the waiting job's record in the change that writes the job's
      for (const { key, value, revision } of got.events)
        if (value !== undefined) this.putRow({ key, value, revision });
      for (const { key, value } of got.events) if (value === undefined) this.removeRow(key);
      revision = got.revision;
      this.read = asked;
      yield* Effect.sleep(this.leading() ? LEADERS_GATHER : GATHER);
    }
  }).pipe(
    Effect.catchAll((e) => Effect.sync(() => this.log.debug({ why: e._tag }, "job watch ended"))),
    Effect.zipRight(Effect.sleep(Duration.millis(300))),
    Effect.forever,
  );

  private readonly typeLoop = Effect.gen(this, function* () {
    const row = yield* this.state.get(keys.types, "later");
    if (row !== null) this.setTypes(row.value as WireType[]);
    yield* Effect.sleep(Duration.seconds(this.types.length === 0 ? 0.3 : 30));
  }).pipe(
    Effect.catchAll(() => Effect.sleep(Duration.millis(500))),
    Effect.forever,
  );

  readonly run = Effect.all([this.jobLoop, this.typeLoop], { concurrency: 2, discard: true });
}
