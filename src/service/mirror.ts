/** The unfinished jobs and the machine types, as the state service has them, a moment behind. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { type Instant, passed } from "../core/time.js";
import { type JobSpec, keys, type MachineType } from "../core/records.js";
import { instantOf, now } from "../io/clock.js";
import { acceptedOf, readJob, typesOf, type WireType } from "../io/codec.js";
import type { Log } from "../io/log.js";
import type { StateClient } from "../io/state-client.js";

export interface MirroredJob {
  readonly spec: JobSpec;
  readonly stamp: number;
  /** About when it was accepted, on this node's steady clock. */
  readonly accepted: Instant;
}

const MAX_OVER = 20_000;
/** A little patience: one answer then holds several changes. Only the leader starts what comes; others can wait. */
const GATHER = Duration.millis(500);
const LEADERS_GATHER = Duration.millis(150);

export class Mirror {
  readonly jobs = new Map<string, MirroredJob>();
  /** Jobs whose end was seen: a late answer that still has their record must not bring them back. */
  private readonly over = new Set<string>();
  types: readonly MachineType[] = [];
  ready = false;
  /** When the last request was sent whose answer showed every job that had ended by then. */
  read: Instant | null = null;
  leading: () => boolean = () => false;
  onJob: (job: MirroredJob) => void = () => undefined;
  onOver: (id: string) => void = () => undefined;
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
  put(key: string, value: unknown, stamp: number): MirroredJob | "over" | "malformed" {
    const id = key.slice(keys.jobs.length);
    const known = this.jobs.get(id);
    if (known !== undefined) return known;
    if (this.over.has(id)) return "over";
    const spec = readJob(id, value);
    if (spec === null) {
      this.log.error({ job: id }, "a job record can't be read");
      return "malformed";
    }
    const accepted = acceptedOf(value);
    const job = { spec, stamp, accepted: accepted === null ? now() : instantOf(accepted) };
    this.jobs.set(id, job);
    this.onJob(job);
    return job;
  }

  remove(id: string): void {
    this.over.add(id);
    if (this.over.size > MAX_OVER) this.over.delete(this.over.values().next().value!);
    if (this.jobs.delete(id)) this.onOver(id);
  }

  private readonly jobLoop = Effect.gen(this, function* () {
    const listed = now();
    const list = yield* this.state.list(keys.jobs);
    const present = new Set<string>();
    for (const row of list.rows) {
      present.add(row.key.slice(keys.jobs.length));
      this.put(row.key, row.value, row.stamp);
    }
    for (const [id, job] of [...this.jobs])
      if (!present.has(id) && job.stamp <= list.revision) this.remove(id);
    this.ready = true;
    this.read = listed;
    let revision = list.revision;
    for (;;) {
      const asked = now();
      // an answer that was long on its way says little about now: the next one is asked for at once
      const late = passed(asked, this.read, Duration.times(this.watchFor, 2));
      const got = yield* this.state.watch(keys.jobs, revision, late ? Duration.zero : this.watchFor);
      for (const e of got.events)
        if (e.value === undefined) this.remove(e.key.slice(keys.jobs.length));
        else this.put(e.key, e.value, e.stamp);
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
