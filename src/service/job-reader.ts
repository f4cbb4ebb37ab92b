/** Keeps the cache of jobs up to date: lists them, follows them by a watch, and reads which ones a list doesn't show. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { keys } from "../core/records.js";
import { type Instant, hasElapsed } from "../core/time.js";
import { now } from "../io/clock.js";
import type { WireMachineType } from "../io/codec.js";
import type { Log } from "../io/log.js";
import type { StateClient, StateError } from "../io/state-client.js";
import type { JobCache } from "./job-cache.js";

/** Settings of `JobReader`. */
export interface JobReaderOptions {
  /** How long a watch waits for changes. Until it is answered, the cache's `currentAsOf` stays behind. */
  readonly watchTimeout: Duration.Duration;
  /** The most changes that the state service makes within `cancel_s`, with the time that a list takes. */
  readonly maxChangesPerDeadline: number;
}

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

/** Reads the jobs and the machine types into a cache while `run` runs. */
export class JobReader {
  /** Whether this node leads; changes are then read more often. Set once before `run`. */
  isLeading: () => boolean = () => false;
  /** The revision up to which every end is known; null: none yet. */
  private endsKnownUpTo: number | null = null;

  constructor(
    private readonly cache: JobCache,
    private readonly state: StateClient,
    private readonly log: Log,
    private readonly options: JobReaderOptions,
  ) {}

  /**
   * Reads the commits of the last changes before the list, half as many each time that the service no longer keeps them
   * all. Returns how many changes before the list were covered.
   */
  private readCommits(listRevision: number, changes: number): Effect.Effect<number, StateError> {
    if (changes === 0) return Effect.succeed(0);
    return this.state.watch(keys.commits, listRevision - changes, Duration.zero).pipe(
      Effect.map(({ events }) => {
        for (const { key } of events) this.cache.remove(key.slice(keys.commits.length));
        return changes;
      }),
      Effect.catchTag("TooOld", () => this.readCommits(listRevision, Math.floor(changes / 2))),
    );
  }

  /**
   * Learns of the jobs that ended before the list at `listRevision` was read, which doesn't show them: those since the last
   * read or, in a new process, those whose tasks may still be on machines.
   */
  private readMissedEnds(listedAt: Instant, listRevision: number): Effect.Effect<void, StateError> {
    const isNewProcess = this.endsKnownUpTo === null;
    const missedChanges = Math.max(0, listRevision - (this.endsKnownUpTo ?? 0));
    const changes = Math.min(missedChanges, this.options.maxChangesPerDeadline);
    return Effect.map(this.readCommits(listRevision, changes), (covered) => {
      const isMissingEnds = covered < changes;
      this.cache.endsRead(listedAt, isMissingEnds);
      const details = { listRevision, changes, covered };
      if (isMissingEnds)
        this.log.warn(
          details,
          "the state service's history is too short to show all jobs that ended recently",
        );
      else if (isNewProcess) this.log.info(details, "read the jobs that ended recently");
    });
  }

  private viewRead(requestedAt: Instant, revision: number): void {
    this.endsKnownUpTo = revision;
    this.cache.viewRead(requestedAt);
  }

  /** Lists the unfinished jobs; returns when the list was requested, and its revision. */
  private readonly list = Effect.gen(this, function* () {
    const requestedAt = now();
    const { rows, revision } = yield* this.state.list(keys.unfinished);
    this.cache.replaceAll(rows, revision);
    // the list doesn't show which jobs have ended, so it alone makes the view no newer (S9)
    yield* this.readMissedEnds(requestedAt, revision);
    this.viewRead(requestedAt, revision);
    return { requestedAt, revision };
  });

  private readonly jobLoop = Effect.gen(this, function* () {
    const { watchTimeout } = this.options;
    let { requestedAt: lastReadAt, revision } = yield* this.list;
    for (;;) {
      const requestedAt = now();
      // if the last answer was slow, the view is old: a watch with no timeout is answered at once
      const isLate = hasElapsed(requestedAt, lastReadAt, Duration.times(watchTimeout, 2));
      const wait = isLate ? Duration.zero : watchTimeout;
      const answer = yield* this.state.watch(keys.unfinished, revision, wait);
      this.cache.applyEvents(answer.events);
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
    if (row !== null) this.cache.setTypes(row.value as WireMachineType[]);
    yield* Effect.sleep(this.cache.types.length === 0 ? TYPES_INTERVAL_UNTIL_KNOWN : TYPES_INTERVAL);
  }).pipe(
    Effect.catchAll(() => Effect.sleep(RETRY_PAUSE)),
    Effect.forever,
  );

  /** Follows the jobs and the machine types for ever; failures are retried. */
  readonly run: Effect.Effect<void> = Effect.all([this.jobLoop, this.typeLoop], {
    concurrency: 2,
    discard: true,
  });
}
