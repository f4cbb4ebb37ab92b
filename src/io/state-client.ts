/** The state service. Says whether a change was refused, was not carried out, or may be carried out yet. */
import type http from "node:http";
import * as Data from "effect/Data";
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { RateLimiter } from "../core/rates/rate-limiter.js";
import { type Rate, RateLimitSelector } from "../core/rates/rate-limit-selector.js";
import type { Instant } from "../core/time.js";
import { type Call, call, CallFailed, json, makeAgent, type Reply } from "./call.js";
import { now } from "./clock.js";
import { type Change, type Condition, type Row, state as wire, type WatchEvent } from "./codec.js";

/** Not carried out, and won't be: 429, 503, or never sent. */
export class Unavailable extends Data.TaggedError("Unavailable")<{ readonly why: string }> {}
/** May have been carried out, or may be yet. */
export class Unanswered extends Data.TaggedError("Unanswered")<{ readonly why: string }> {}
/** The watched changes are no longer kept: read the keys again. */
export class TooOld extends Data.TaggedError("TooOld")<object> {}

export type StateError = Unavailable | Unanswered;

const OVER_THE_RATE = "429";
/** The service had no room for it in its rate, and may have a moment later. */
export const isOverTheRate = (e: StateError): boolean => e._tag === "Unavailable" && e.why === OVER_THE_RATE;

export type CommitResult =
  | { readonly ok: true; readonly revision: number }
  | { readonly ok: false; readonly failed: readonly string[] }
  | { readonly ok: null; readonly error: string };

/**
 * Renewals and commits go first; the rest waits for this node's share. What says who leads and who is a member goes at
 * once, also after refusals; so do users' submissions and cancels, which are few and have nobody to wait for them.
 */
export type Urgency = "vital" | "first" | "later";

const TIMEOUT = Duration.seconds(1.5);
const MAX_WAITING = 500;
/** The leader writes the most: it has this share of all rates, the other nodes divide the rest. */
const LEADERS_SHARE = 0.5;
/** Of changes it has more: commits, releases and records of machines are its own, and accepting a job is one change. */
const LEADERS_SHARE_OF_CHANGES = 0.7;

export class StateClient {
  private readonly agent: http.Agent = makeAgent(24);
  private readonly watchAgent: http.Agent = makeAgent(4);
  private readonly requests: RateLimiter;
  private readonly changes: RateLimiter;
  private readonly rates: RateLimitSelector;
  /** The rates that this node's share is taken from, and that share. */
  private inForce: Rate;
  private share: number;
  private shareOfChanges: number;
  private waiting = 0;
  /** Since when requests fail; null: the last one got an answer other than 503. */
  failingSince: Instant | null = null;

  constructor(
    private readonly addr: string,
    limits: Rate & { readonly next?: Rate },
    private readonly nodes: number,
  ) {
    this.rates = new RateLimitSelector(limits, limits.next);
    this.inForce = this.rates.at(now());
    this.share = 1 / nodes;
    this.shareOfChanges = this.share;
    this.requests = new RateLimiter(limits.rps / nodes);
    this.changes = new RateLimiter(limits.writeRps / nodes);
  }

  /** Whether this node leads: the leader's share is larger. */
  setLeading(leading: boolean): void {
    if (this.nodes === 1) return;
    const share = (leaders: number): number => (leading ? leaders : (1 - leaders) / (this.nodes - 1));
    this.share = share(LEADERS_SHARE);
    this.shareOfChanges = share(LEADERS_SHARE_OF_CHANGES);
    this.setRates();
  }

  private setRates(): void {
    const at = now();
    this.inForce = this.rates.at(at);
    this.requests.setRate(at, this.inForce.rps * this.share);
    this.changes.setRate(at, this.inForce.writeRps * this.shareOfChanges);
  }

  private admit(
    urgency: Urgency,
    changes: number,
    patience: Duration.Duration | undefined,
  ): Effect.Effect<void, Unavailable> {
    const admitted = this.admitted(urgency, changes, patience);
    if (patience === undefined) return admitted;
    return Effect.timeoutFail(admitted, {
      duration: patience,
      onTimeout: () => new Unavailable({ why: "this node's share of requests is used up" }),
    });
  }

  private admitted(
    urgency: Urgency,
    changes: number,
    patience: Duration.Duration | undefined,
  ): Effect.Effect<void, Unavailable> {
    return Effect.suspend(() => {
      if (this.rates.at(now()) !== this.inForce) this.setRates();
      if (urgency !== "later") {
        const turn =
          urgency === "first" && changes > 0 ? this.changes.turn(now(), changes, patience) : Duration.zero;
        if (turn === null) return Effect.fail(new Unavailable({ why: "too many changes wait" }));
        this.requests.takeFirst(now());
        if (changes > 0) this.changes.takeFirst(now(), changes);
        return Duration.toMillis(turn) === 0 ? Effect.void : Effect.sleep(turn);
      }
      if (this.waiting >= MAX_WAITING) return Effect.fail(new Unavailable({ why: "too many requests wait" }));
      this.waiting++;
      const attempt: Effect.Effect<void> = Effect.suspend(() => {
        let wait = changes > 0 ? this.changes.take(now(), changes) : Duration.zero;
        if (Duration.toMillis(wait) === 0) wait = this.requests.take(now());
        return Duration.toMillis(wait) === 0 ? Effect.void : Effect.zipRight(Effect.sleep(wait), attempt);
      });
      return Effect.ensuring(
        attempt,
        Effect.sync(() => this.waiting--),
      );
    });
  }

  private send(
    c: Omit<Call, "addr" | "timeout">,
    urgency: Urgency,
    changes = 0,
    timeout = TIMEOUT,
    agent = this.agent,
    patience?: Duration.Duration,
  ): Effect.Effect<Reply, StateError> {
    return Effect.zipRight(
      this.admit(urgency, changes, patience),
      call(agent, { ...c, addr: this.addr, timeout }),
    ).pipe(
      Effect.mapError((error) => {
        if (!(error instanceof CallFailed)) return error;
        this.failingSince ??= now();
        return error.sent ? new Unanswered({ why: error.why }) : new Unavailable({ why: error.why });
      }),
      Effect.flatMap((reply): Effect.Effect<Reply, StateError> => {
        if (reply.status === 503) {
          this.failingSince ??= now();
          return Effect.fail(new Unavailable({ why: "503" }));
        }
        this.failingSince = null;
        if (reply.status === 429) {
          this.rates.refused(now());
          this.setRates();
          this.requests.refused(now(), Duration.millis(300));
          this.changes.refused(now(), Duration.millis(300));
          return Effect.fail(new Unavailable({ why: OVER_THE_RATE }));
        }
        return Effect.succeed(reply);
      }),
    );
  }

  get(
    key: string,
    urgency: Urgency = "first",
    patience?: Duration.Duration,
  ): Effect.Effect<Row | null, StateError> {
    return this.send({ method: "GET", path: wire.get(key) }, urgency, 0, TIMEOUT, this.agent, patience).pipe(
      Effect.flatMap((reply) =>
        reply.status === 200
          ? Effect.succeed(wire.row(json(reply)))
          : reply.status === 404
            ? Effect.succeed(null)
            : Effect.fail(new Unavailable({ why: `status ${reply.status}` })),
      ),
    );
  }

  /** Every key with the prefix, and the revision from which a watch misses nothing. */
  list(prefix: string): Effect.Effect<{ rows: Row[]; revision: number }, StateError> {
    const page = (
      from: string | null,
      rows: Row[],
      revision: number | null,
    ): Effect.Effect<{ rows: Row[]; revision: number }, StateError> =>
      this.send({ method: "GET", path: wire.list(prefix, from) }, "first", 0, Duration.seconds(3)).pipe(
        Effect.flatMap((reply) => {
          if (reply.status !== 200) return Effect.fail(new Unavailable({ why: `status ${reply.status}` }));
          const got = wire.rows(json(reply));
          rows.push(...got.rows);
          const first = revision ?? got.revision;
          const last = got.rows.at(-1);
          return got.more && last !== undefined
            ? page(last.key, rows, first)
            : Effect.succeed({ rows, revision: first });
        }),
      );
    return page(null, [], null);
  }

  commit(
    when: readonly Condition[],
    apply: readonly Change[],
    urgency: Urgency = "first",
    patience?: Duration.Duration,
  ): Effect.Effect<CommitResult, StateError> {
    const body = wire.commitBody(when, apply);
    return this.send(
      { method: "POST", path: wire.commit, body },
      urgency,
      apply.length,
      TIMEOUT,
      this.agent,
      patience,
    ).pipe(
      Effect.flatMap((reply): Effect.Effect<CommitResult, StateError> => {
        const value = json(reply);
        if (reply.status === 200) return Effect.succeed({ ok: true, revision: wire.revision(value) });
        if (reply.status === 409) return Effect.succeed({ ok: false, failed: wire.failed(value) });
        if (reply.status === 400)
          return Effect.succeed({ ok: null, error: reply.body.toString("utf8").slice(0, 200) });
        return Effect.fail(new Unanswered({ why: `status ${reply.status}` }));
      }),
    );
  }

  grant(ttl: Duration.Duration): Effect.Effect<number, StateError> {
    return this.send({ method: "POST", path: wire.grants, body: wire.grantBody(ttl) }, "first").pipe(
      Effect.flatMap((reply) =>
        reply.status === 200
          ? Effect.succeed(wire.leaseIdOf(json(reply)))
          : Effect.fail(new Unavailable({ why: `status ${reply.status}` })),
      ),
    );
  }

  /** false: the lease has ended. */
  extend(leaseId: number, timeout: Duration.Duration): Effect.Effect<boolean, StateError> {
    return this.send({ method: "POST", path: wire.extend(leaseId), body: "{}" }, "first", 0, timeout).pipe(
      Effect.flatMap((reply) =>
        reply.status === 200
          ? Effect.succeed(true)
          : reply.status === 404
            ? Effect.succeed(false)
            : Effect.fail(new Unavailable({ why: `status ${reply.status}` })),
      ),
    );
  }

  revoke(leaseId: number): Effect.Effect<void, StateError> {
    return Effect.asVoid(this.send({ method: "DELETE", path: wire.grant(leaseId) }, "first"));
  }

  watch(
    prefix: string,
    from: number,
    wait: Duration.Duration,
  ): Effect.Effect<{ revision: number; events: WatchEvent[] }, StateError | TooOld> {
    const path = wire.watch(prefix, from, Duration.toMillis(wait));
    const timeout = Duration.sum(wait, Duration.seconds(3));
    return this.send({ method: "GET", path }, "first", 0, timeout, this.watchAgent).pipe(
      Effect.flatMap(
        (reply): Effect.Effect<{ revision: number; events: WatchEvent[] }, StateError | TooOld> => {
          if (reply.status === 410) return Effect.fail(new TooOld());
          if (reply.status !== 200) return Effect.fail(new Unavailable({ why: `status ${reply.status}` }));
          return Effect.succeed(wire.events(json(reply)));
        },
      ),
    );
  }
}
