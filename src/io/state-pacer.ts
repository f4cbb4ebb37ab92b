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
export interface AdmissionRequest {
  readonly urgency: Urgency;
  /** How many puts and deletes it has: these have a rate of their own. */
  readonly changeCount: number;
  /** How long it waits to be admitted at most; undefined: as long as it takes. */
  readonly maxWait: Duration.Duration | undefined;
}

const MAX_QUEUED = 500;
/** Nothing that waits for the share goes out for so long after a refusal. */
const PAUSE_AFTER_REFUSAL = Duration.millis(300);
/** The leader writes the most: it has this share of all rates, the other nodes divide the rest. */
const LEADER_REQUEST_SHARE = 0.5;
/** Of changes it has more: commits, releases and records of machines are its own, and accepting a job is one change. */
const LEADER_CHANGE_SHARE = 0.7;

const isZero = (wait: Duration.Duration): boolean => Duration.toMillis(wait) === 0;

/** Admits requests as this node's share allows. */
export class StatePacer {
  private readonly requestLimiter: RateLimiter;
  private readonly changeLimiter: RateLimiter;
  private readonly limitSelector: RateLimitSelector;
  /** The rates that this node's share is taken from, and that share. */
  private currentRates: RequestRates;
  private requestShare: number;
  private changeShare: number;
  /** Requests that wait for the share. */
  private queuedCount = 0;

  /** `limits` are those of all nodes together. */
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

  /** Whether this node leads: the leader's share is larger. */
  setLeading(leading: boolean): void {
    if (this.nodes === 1) return;
    const shareFor = (leaderShare: number): number =>
      leading ? leaderShare : (1 - leaderShare) / (this.nodes - 1);
    this.requestShare = shareFor(LEADER_REQUEST_SHARE);
    this.changeShare = shareFor(LEADER_CHANGE_SHARE);
    this.setRates();
  }

  /** The service refused a request for its rate: other rates may be in force, and what waits goes on waiting. */
  onRateLimited(): void {
    this.limitSelector.recordRefusal(now());
    this.setRates();
    this.requestLimiter.recordRefusal(now(), PAUSE_AFTER_REFUSAL);
    this.changeLimiter.recordRefusal(now(), PAUSE_AFTER_REFUSAL);
  }

  /** Succeeds once the request may be sent; fails when that takes too long, and then it must not be sent. */
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
      onTimeout: () => new Unavailable({ why: "this node's share of requests is used up" }),
    });
  }

  /** Goes into debt rather than wait; but after a refusal those that aren't vital keep to the rate of changes. */
  private admitWithPriority({
    urgency,
    changeCount: changeCount,
    maxWait: maxWait,
  }: AdmissionRequest): Effect.Effect<void, Unavailable> {
    const wait =
      urgency === "first" && changeCount > 0
        ? this.changeLimiter.urgentDelay(now(), changeCount, maxWait)
        : Duration.zero;
    if (wait === null) return Effect.fail(new Unavailable({ why: "too many changes wait" }));
    this.requestLimiter.takeUrgent(now());
    if (changeCount > 0) this.changeLimiter.takeUrgent(now(), changeCount);
    return isZero(wait) ? Effect.void : Effect.sleep(wait);
  }

  private admitWithinShare(changeCount: number): Effect.Effect<void, Unavailable> {
    if (this.queuedCount >= MAX_QUEUED)
      return Effect.fail(new Unavailable({ why: "too many requests wait" }));
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
