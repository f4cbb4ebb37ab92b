/** Paces requests to the state service, so that this node keeps to its share of the cluster's rate limits. */
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { RateLimiter } from "../core/rates/rate-limiter.js";
import { RateLimitSelector, type RequestRates } from "../core/rates/rate-limit-selector.js";
import { now } from "./clock.js";
import { Unavailable } from "./state-errors.js";

/**
 * How a request is paced:
 *
 * - `vital`: sent at once, also after a refusal. For requests that decide who leads and who is a member, and for users'
 *   submissions and cancellations, which are few and which users wait for.
 * - `first`: sent at once, but after a refusal its changes keep to the rate. For renewals and commits.
 * - `later`: waits for this node's share.
 */
export type Urgency = "vital" | "first" | "later";

/** The rate limits, and those that may replace them at any time without notice. */
export type RateLimits = RequestRates & { readonly next?: RequestRates };

/** A request for admission. */
export interface AdmissionRequest {
  readonly urgency: Urgency;
  /** Number of puts and deletes: they have a rate limit of their own. */
  readonly changeCount: number;
  /** The longest wait for admission; undefined: unlimited. */
  readonly maxWait: Duration.Duration | undefined;
}

const MAX_QUEUED_REQUESTS = 500;
/** For this long after a refusal no `later` request is sent. */
const PAUSE_AFTER_REFUSAL = Duration.millis(300);
/** The leader sends most requests: it gets this share of the request rate, and the other nodes divide the rest. */
const LEADER_REQUEST_SHARE = 0.5;
/**
 * Its share of the change rate is larger, since the leader alone writes commits, releases and machine records, while
 * accepting a job takes another node just one change.
 */
const LEADER_CHANGE_SHARE = 0.7;

const isZero = (wait: Duration.Duration): boolean => Duration.toMillis(wait) === 0;

/** Admits requests within this node's share of the rates. */
export class StatePacer {
  private readonly requestLimiter: RateLimiter;
  private readonly changeLimiter: RateLimiter;
  private readonly limitSelector: RateLimitSelector;
  /** The cluster's rates at present, and this node's shares of them. */
  private currentRates: RequestRates;
  private requestShare: number;
  private changeShare: number;
  /** `later` requests that wait to be admitted. */
  private queuedCount = 0;

  /** `limits` apply to all nodes together. */
  constructor(
    limits: RateLimits,
    private readonly nodes: number,
  ) {
    this.limitSelector = new RateLimitSelector(limits, limits.next);
    this.currentRates = this.limitSelector.ratesAt(now());
    this.requestShare = 1 / nodes;
    this.changeShare = this.requestShare;
    this.requestLimiter = new RateLimiter(limits.rps / nodes);
    this.changeLimiter = new RateLimiter(limits.writeRps / nodes);
  }

  /** Adjusts the shares to whether this node leads. */
  setLeading(leading: boolean): void {
    if (this.nodes === 1) return;
    const shareFor = (leaderShare: number): number =>
      leading ? leaderShare : (1 - leaderShare) / (this.nodes - 1);
    this.requestShare = shareFor(LEADER_REQUEST_SHARE);
    this.changeShare = shareFor(LEADER_CHANGE_SHARE);
    this.setRates();
  }

  /** The service refused a request with 429: other limits may apply now, and queued requests are held back for a while. */
  onRateLimited(): void {
    this.limitSelector.recordRefusal(now());
    this.setRates();
    this.requestLimiter.recordRefusal(now(), PAUSE_AFTER_REFUSAL);
    this.changeLimiter.recordRefusal(now(), PAUSE_AFTER_REFUSAL);
  }

  /** Succeeds once the request may be sent. If it fails, the request must not be sent. */
  admit(admission: AdmissionRequest): Effect.Effect<void, Unavailable> {
    const admitted = Effect.suspend(() => {
      if (this.limitSelector.ratesAt(now()) !== this.currentRates) this.setRates();
      return admission.urgency === "later"
        ? this.admitWithinShare(admission.changeCount)
        : this.admitWithPriority(admission);
    });
    if (admission.maxWait === undefined) return admitted;
    return Effect.timeoutFail(admitted, {
      duration: admission.maxWait,
      onTimeout: () => new Unavailable({ reason: "this node's share of requests is used up" }),
    });
  }

  /** Overdraws the share rather than wait, except that after a refusal `first` requests keep to the change rate. */
  private admitWithPriority({
    urgency,
    changeCount,
    maxWait,
  }: AdmissionRequest): Effect.Effect<void, Unavailable> {
    const wait =
      urgency === "first" && changeCount > 0
        ? this.changeLimiter.urgentDelay(now(), changeCount, maxWait)
        : Duration.zero;
    if (wait === null) return Effect.fail(new Unavailable({ reason: "too many changes wait" }));
    this.requestLimiter.takeUrgent(now());
    if (changeCount > 0) this.changeLimiter.takeUrgent(now(), changeCount);
    return isZero(wait) ? Effect.void : Effect.sleep(wait);
  }

  private admitWithinShare(changeCount: number): Effect.Effect<void, Unavailable> {
    if (this.queuedCount >= MAX_QUEUED_REQUESTS)
      return Effect.fail(new Unavailable({ reason: "too many requests wait" }));
    this.queuedCount++;
    const attempt: Effect.Effect<void> = Effect.suspend(() => {
      let wait = changeCount > 0 ? this.changeLimiter.take(now(), changeCount) : Duration.zero;
      if (isZero(wait)) wait = this.requestLimiter.take(now());
      return isZero(wait) ? Effect.void : Effect.zipRight(Effect.sleep(wait), attempt);
    });
    return Effect.ensuring(
      attempt,
      Effect.sync(() => this.queuedCount--),
    );
  }

  private setRates(): void {
    const at = now();
    this.currentRates = this.limitSelector.ratesAt(at);
    this.requestLimiter.setRate(at, this.currentRates.rps * this.requestShare);
    this.changeLimiter.setRate(at, this.currentRates.writeRps * this.changeShare);
  }
}
