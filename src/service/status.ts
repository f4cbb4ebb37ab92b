/**
 * What users are told about a job. Before anything that isn't final, or a 404, the commit record is checked in
 * the state service; checks that come together are one request. Commits never change, so they may be kept.
 */
import * as Deferred from "effect/Deferred";
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { type CommitRecord, keys } from "../core/records.js";
import type { Condition } from "../io/codec.js";
import type { StateClient, StateError } from "../io/state-client.js";
import type { Mirror } from "./mirror.js";

export type Standing =
  | { readonly kind: "final"; readonly commit: CommitRecord }
  | { readonly kind: "open"; readonly stamp: number; readonly tasks: number }
  | { readonly kind: "absent" };

interface Waiting {
  readonly id: string;
  readonly known: boolean;
  readonly answer: Deferred.Deferred<Standing, StateError>;
}

const GATHER = Duration.millis(25);
const MAX_FINAL = 20_000;
const MAX_WAITING = 2000;

export class Status {
  private readonly finals = new Map<string, CommitRecord>();
  private waiting: Waiting[] = [];
  private gathering = false;

  constructor(
    private readonly state: StateClient,
    private readonly mirror: Mirror,
    private readonly conditions: number,
  ) {}

  remember(id: string, commit: CommitRecord): void {
    this.finals.set(id, commit);
    if (this.finals.size > MAX_FINAL) this.finals.delete(this.finals.keys().next().value!);
  }

  /** The standing of a job as of a moment after the call. */
  of(id: string): Effect.Effect<Standing, StateError | "busy"> {
    return Effect.gen(this, function* () {
      const commit = this.finals.get(id);
      if (commit !== undefined) return { kind: "final", commit } as const;
      if (this.waiting.length >= MAX_WAITING) return yield* Effect.fail("busy" as const);
      const answer = yield* Deferred.make<Standing, StateError>();
      this.waiting.push({ id, known: this.mirror.jobs.has(id), answer });
      if (!this.gathering) {
        this.gathering = true;
        Effect.runFork(Effect.zipRight(Effect.sleep(GATHER), this.flush));
      }
      return yield* Deferred.await(answer);
    });
  }

  private readonly flush: Effect.Effect<void> = Effect.suspend(() => {
    this.gathering = false;
    const all = this.waiting;
    this.waiting = [];
    const batches: Waiting[][] = [];
    const perBatch = Math.max(1, Math.floor(this.conditions / 2));
    for (let at = 0; at < all.length; at += perBatch) batches.push(all.slice(at, at + perBatch));
    return Effect.forEach(batches, (batch) => this.check(batch), { concurrency: 2, discard: true });
  });

  /** One comparing transaction shows for all that no commit exists; whoever fails it is read. */
  private check(batch: readonly Waiting[]): Effect.Effect<void> {
    const when: Condition[] = [];
    for (const key of new Set(
      batch.flatMap((w) => (w.known ? [keys.commit(w.id)] : [keys.commit(w.id), keys.job(w.id)])),
    ))
      when.push({ key, stamp: 0 });
    // users' questions wait for this node's share, so that renewals and commits never do
    return this.state.commit(when, [], "later").pipe(
      Effect.flatMap((result) =>
        Effect.forEach(
          batch,
          (w) => {
            const job = this.mirror.jobs.get(w.id);
            if (result.ok === true && !w.known) return Deferred.succeed(w.answer, { kind: "absent" });
            if (result.ok === true && job !== undefined)
              return Deferred.succeed(w.answer, { kind: "open", stamp: job.stamp, tasks: job.spec.tasks });
            return Deferred.complete(w.answer, this.read(w.id));
          },
          { concurrency: 8, discard: true },
        ),
      ),
      Effect.catchAll((error) =>
        Effect.forEach(batch, (w) => Deferred.fail(w.answer, error), { discard: true }),
      ),
    );
  }

  /**
   * The job first, then its commit: a commit replaces the job in one transaction, so a job that is missing and
   * then has no commit either was not accepted when the question came.
   */
  read(id: string): Effect.Effect<Standing, StateError> {
    return Effect.gen(this, function* () {
      const job = yield* this.state.get(keys.job(id));
      const commit = yield* this.state.get(keys.commit(id));
      if (commit !== null) {
        const record = commit.value as CommitRecord;
        this.remember(id, record);
        return { kind: "final", commit: record } as const;
      }
      if (job !== null) {
        this.mirror.put(job.key, job.value, job.stamp);
        return { kind: "open", stamp: job.stamp, tasks: this.mirror.jobs.get(id)!.spec.tasks } as const;
      }
      return { kind: "absent" } as const;
    });
  }
}
