/** Paces requests to the state service: this node's share of the rates that all nodes have together. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { RateLimiter } from "../core/rates/rate-limiter.js";
import { type RequestRates, RateLimitSelector } from "../core/rates/rate-limit-selector.js";
import { now } from "./clock.js";
import { Unavailable } from "./state-errors.js";

/**
 * Renewals and commits go first; the rest waits for this node's share. What says who leads and who is a member goes at
 * once, also after refusals; so do users' submissions and cancels, which are few and have nobody to wait for them.
 */
export type Urgency = "vital" | "first" | "later";

/** The requests and changes per second, and those that may come into force instead at any time. */
export type RateLimits = RequestRates & { readonly next?: RequestRates };

/** What a request asks for. */
export interface Admission {
  readonly urgency: Urgency;
  /** How many puts and deletes it has: these have a rate of their own. */
  readonly changes: number;
  /** How long it waits to be admitted at most; undefined: as long as it takes. */
  readonly patience: Duration.Duration | undefined;
}

const MAX_QUEUED = 500;
/** Nothing that waits for the share goes out for so long after a refusal. */
const PAUSE_AFTER_REFUSAL = Duration.millis(300);
/** The leader writes the most: it has this share of all rates, the other nodes divide the rest. */
const LEADERS_SHARE = 0.5;
/** Of changes it has more: commits, releases and records of machines are its own, and accepting a job is one change. */
const LEADERS_SHARE_OF_CHANGES = 0.7;

const isZero = (wait: Duration.Duration): boolean => Duration.toMillis(wait) === 0;

/** Admits requests as this node's share allows. */
export class StatePacer {
  private readonly requests: RateLimiter;
  private readonly changes: RateLimiter;
  private readonly limitSelector: RateLimitSelector;
  /** The rates that this node's share is taken from, and that share. */
  private inForce: RequestRates;
  private share: number;
  private shareOfChanges: number;
  /** Requests that wait for the share. */
  private queued = 0;

  /** `limits` are those of all nodes together. */
  constructor(
    limits: RateLimits,
    private readonly nodes: number,
  ) {
    this.limitSelector = new RateLimitSelector(limits, limits.next);
    this.inForce = this.limitSelector.ratesAt(now());
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

  /** The service refused a request for its rate: other rates may be in force, and what waits goes on waiting. */
  refused(): void {
    this.limitSelector.refused(now());
    this.setRates();
    this.requests.refused(now(), PAUSE_AFTER_REFUSAL);
    this.changes.refused(now(), PAUSE_AFTER_REFUSAL);
  }

  /** Succeeds once the request may be sent; fails when that takes too long, and then it must not be sent. */
  admit(admission: Admission): Effect.Effect<void, Unavailable> {
    const admitted = Effect.suspend(() => {
      if (this.limitSelector.ratesAt(now()) !== this.inForce) this.setRates();
      return admission.urgency === "later" ? this.admitLater(admission.changes) : this.admitAhead(admission);
    });
    if (admission.patience === undefined) return admitted;
    return Effect.timeoutFail(admitted, {
      duration: admission.patience,
      onTimeout: () => new Unavailable({ why: "this node's share of requests is used up" }),
    });
  }

  /** Goes into debt rather than wait; but after a refusal those that aren't vital keep to the rate of changes. */
  private admitAhead({ urgency, changes, patience }: Admission): Effect.Effect<void, Unavailable> {
    const wait =
      urgency === "first" && changes > 0 ? this.changes.urgentDelay(now(), changes, patience) : Duration.zero;
    if (wait === null) return Effect.fail(new Unavailable({ why: "too many changes wait" }));
    this.requests.takeUrgent(now());
    if (changes > 0) this.changes.takeUrgent(now(), changes);
    return isZero(wait) ? Effect.void : Effect.sleep(wait);
  }

  private admitLater(changes: number): Effect.Effect<void, Unavailable> {
    if (this.queued >= MAX_QUEUED) return Effect.fail(new Unavailable({ why: "too many requests wait" }));
    this.queued++;
    const attempt: Effect.Effect<void> = Effect.suspend(() => {
      let wait = changes > 0 ? this.changes.take(now(), changes) : Duration.zero;
      if (isZero(wait)) wait = this.requests.take(now());
      return isZero(wait) ? Effect.void : Effect.zipRight(Effect.sleep(wait), attempt);
    });
    return Effect.ensuring(
      attempt,
      Effect.sync(() => this.queued--),
    );
  }

  private setRates(): void {
    const at = now();
    this.inForce = this.limitSelector.ratesAt(at);
    this.requests.setRate(at, this.inForce.rps * this.share);
    this.changes.setRate(at, this.inForce.writeRps * this.shareOfChanges);
  }
}
