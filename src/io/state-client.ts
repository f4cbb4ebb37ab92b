/** Client of the state service. Its failures tell whether a request may have been executed. */
import type http from "node:http";
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import type { Instant } from "../core/time.js";
import { type Call, call, type CallFailed, makeKeepAliveAgent, parseJson, type Reply } from "./call.js";
import { now } from "./clock.js";
import { type Change, type Condition, type Row, stateServiceApi, type WatchEvent } from "./codec.js";
import { rateLimitedError, type StateError, TooOld, Unanswered, Unavailable } from "./state-errors.js";
import { type RateLimits, StatePacer, type Urgency } from "./state-pacer.js";

export { isRateLimited, type StateError, TooOld, Unanswered, Unavailable } from "./state-errors.js";
export type { Urgency } from "./state-pacer.js";

/**
 * The result of a transaction. `ok` true: committed; false: the conditions on the keys `failed` don't hold; null: the
 * service considers the request invalid and didn't check its conditions, so a retry would be refused as well.
 */
export type CommitResult =
  | { readonly ok: true; readonly revision: number }
  | { readonly ok: false; readonly failed: readonly string[] }
  | { readonly ok: null; readonly error: string };

/** All keys with a prefix; a watch from `revision` reports every change after this listing. */
export interface Listing {
  readonly rows: Row[];
  readonly revision: number;
}

/** Changes in order, and the revision to watch from next. */
export interface WatchedEvents {
  readonly revision: number;
  readonly events: WatchEvent[];
}

/** A request, and how it is paced. */
interface StateRequest extends Pick<Call, "method" | "path" | "body"> {
  readonly urgency?: Urgency;
  readonly changeCount?: number;
  readonly timeout?: Duration.Duration;
  readonly agent?: http.Agent;
  readonly maxWait?: Duration.Duration | undefined;
}

const REQUEST_TIMEOUT = Duration.seconds(1.5);
const LIST_TIMEOUT = Duration.seconds(3);
/** How long after the end of its wait the response to a watch may arrive. */
const WATCH_GRACE = Duration.seconds(3);
const MAX_ERROR_CHARS = 200;

const unexpectedStatus = (reply: Reply): Unavailable => new Unavailable({ reason: `status ${reply.status}` });

/** The default urgency of requests is `first`; see `Urgency`. No request is retried. */
export class StateClient {
  /** When requests began to fail; null if the last response had a status other than 503. */
  failingSince: Instant | null = null;
  private readonly agent: http.Agent = makeKeepAliveAgent(24);
  private readonly watchAgent: http.Agent = makeKeepAliveAgent(4);
  private readonly pacer: StatePacer;

  /** `limits` apply to all nodes together. */
  constructor(
    private readonly addr: string,
    limits: RateLimits,
    nodes: number,
  ) {
    this.pacer = new StatePacer(limits, nodes);
  }

  /** Adjusts this node's share of the rates to whether it leads. */
  setLeading(leading: boolean): void {
    this.pacer.setLeading(leading);
  }

  /** Reads a key; null if it doesn't exist. */
  get(
    key: string,
    urgency: Urgency = "first",
    maxWait?: Duration.Duration,
  ): Effect.Effect<Row | null, StateError> {
    return this.send({ method: "GET", path: stateServiceApi.keyPath(key), urgency, maxWait }).pipe(
      Effect.flatMap((reply) => {
        if (reply.status === 200) return Effect.succeed(stateServiceApi.parseRow(parseJson(reply)));
        return reply.status === 404 ? Effect.succeed(null) : Effect.fail(unexpectedStatus(reply));
      }),
    );
  }

  /** Lists all keys with the prefix. */
  list(prefix: string): Effect.Effect<Listing, StateError> {
    const page = (
      from: string | null,
      rows: Row[],
      revision: number | null,
    ): Effect.Effect<Listing, StateError> =>
      this.send({ method: "GET", path: stateServiceApi.listPath(prefix, from), timeout: LIST_TIMEOUT }).pipe(
        Effect.flatMap((reply) => {
          if (reply.status !== 200) return Effect.fail(unexpectedStatus(reply));
          const listed = stateServiceApi.parseRows(parseJson(reply));
          rows.push(...listed.rows);
          // a watch from the first page's revision also reports what changed while the other pages were read
          const first = revision ?? listed.revision;
          const last = listed.rows.at(-1);
          return listed.more && last !== undefined
            ? page(last.key, rows, first)
            : Effect.succeed({ rows, revision: first });
        }),
      );
    return page(null, [], null);
  }

  /** Applies all operations atomically if all conditions hold. Fails with `Unanswered` if it may have been executed. */
  commit(
    conditions: readonly Condition[],
    operations: readonly Change[],
    urgency: Urgency = "first",
    maxWait?: Duration.Duration,
  ): Effect.Effect<CommitResult, StateError> {
    const body = stateServiceApi.commitBody(conditions, operations);
    const changeCount = operations.length;
    return this.send({
      method: "POST",
      path: stateServiceApi.commitPath,
      body,
      urgency,
      changeCount,
      maxWait,
    }).pipe(
      Effect.flatMap((reply): Effect.Effect<CommitResult, StateError> => {
        const value = parseJson(reply);
        if (reply.status === 200)
          return Effect.succeed({ ok: true, revision: stateServiceApi.parseRevision(value) });
        if (reply.status === 409)
          return Effect.succeed({ ok: false, failed: stateServiceApi.parseFailedKeys(value) });
        if (reply.status === 400)
          return Effect.succeed({ ok: null, error: reply.body.toString("utf8").slice(0, MAX_ERROR_CHARS) });
        return Effect.fail(new Unanswered({ reason: `status ${reply.status}` }));
      }),
    );
  }

  /** Creates a lease, which expires unless it is renewed in time; returns its id. */
  grantLease(ttl: Duration.Duration): Effect.Effect<number, StateError> {
    return this.send({
      method: "POST",
      path: stateServiceApi.leasesPath,
      body: stateServiceApi.leaseBody(ttl),
    }).pipe(
      Effect.flatMap((reply) =>
        reply.status === 200
          ? Effect.succeed(stateServiceApi.parseLeaseId(parseJson(reply)))
          : Effect.fail(unexpectedStatus(reply)),
      ),
    );
  }

  /** Renews a lease for its full time to live; false if it has expired. */
  renewLease(leaseId: number, timeout: Duration.Duration): Effect.Effect<boolean, StateError> {
    return this.send({
      method: "POST",
      path: stateServiceApi.leaseRenewalPath(leaseId),
      body: "{}",
      timeout,
    }).pipe(
      Effect.flatMap((reply) => {
        if (reply.status === 200) return Effect.succeed(true);
        return reply.status === 404 ? Effect.succeed(false) : Effect.fail(unexpectedStatus(reply));
      }),
    );
  }

  /** Ends a lease and deletes the keys attached to it. */
  revokeLease(leaseId: number): Effect.Effect<void, StateError> {
    return Effect.asVoid(this.send({ method: "DELETE", path: stateServiceApi.leasePath(leaseId) }));
  }

  /** Waits up to `wait` for changes after the revision `from` to keys with the prefix. */
  watch(
    prefix: string,
    from: number,
    wait: Duration.Duration,
  ): Effect.Effect<WatchedEvents, StateError | TooOld> {
    const path = stateServiceApi.watchPath(prefix, from, Duration.toMillis(wait));
    const timeout = Duration.sum(wait, WATCH_GRACE);
    return this.send({ method: "GET", path, timeout, agent: this.watchAgent }).pipe(
      Effect.flatMap((reply): Effect.Effect<WatchedEvents, StateError | TooOld> => {
        if (reply.status === 410) return Effect.fail(new TooOld());
        if (reply.status !== 200) return Effect.fail(unexpectedStatus(reply));
        return Effect.succeed(stateServiceApi.parseEvents(parseJson(reply)));
      }),
    );
  }

  private send(request: StateRequest): Effect.Effect<Reply, StateError> {
    const {
      urgency = "first",
      changeCount = 0,
      timeout = REQUEST_TIMEOUT,
      agent = this.agent,
      maxWait,
    } = request;
    const { method, path, body } = request;
    const response = call(agent, {
      ...{ addr: this.addr, method, path, timeout },
      ...(body === undefined ? {} : { body }),
    });
    return Effect.zipRight(
      this.pacer.admit({ urgency, changeCount, maxWait }),
      Effect.mapError(response, (failed) => this.toStateError(failed)),
    ).pipe(Effect.flatMap((reply) => this.checkStatus(reply)));
  }

  private toStateError(failed: CallFailed): StateError {
    this.failingSince ??= now();
    return failed.sent
      ? new Unanswered({ reason: failed.reason })
      : new Unavailable({ reason: failed.reason });
  }

  /** Handles the statuses that mean the same for all requests: with 503 or 429 nothing was executed. */
  private checkStatus(reply: Reply): Effect.Effect<Reply, StateError> {
    if (reply.status === 503) {
      this.failingSince ??= now();
      return Effect.fail(new Unavailable({ reason: "503" }));
    }
    this.failingSince = null;
    if (reply.status !== 429) return Effect.succeed(reply);
    this.pacer.onRateLimited();
    return Effect.fail(rateLimitedError());
  }
}
