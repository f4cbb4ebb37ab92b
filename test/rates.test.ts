import assert from "node:assert/strict";
import { test } from "node:test";
import * as Duration from "effect/Duration";
import { RateLimiter } from "../src/core/rates/rate-limiter.js";
import { RateLimitSelector } from "../src/core/rates/rate-limit-selector.js";
import { instant } from "../src/core/time.js";

/** Three nodes that always want to write more than the service takes: 25 writes a second, or 18 once `isLowered`. */
const simulateNodes = (spanS: number, fallS: number, isLowered: boolean) => {
  const rates = { rps: 100, writeRps: 25 };
  const nodes = Array.from({ length: 3 }, () => {
    const own = new RateLimitSelector(rates, { rps: 100, writeRps: 18 });
    return { rates: own, budget: new RateLimiter(rates.writeRps / 3), rate: rates.writeRps, next: 0 };
  });
  let served = 0;
  let tokens = 25;
  const refusals: number[] = [];
  for (let at = 0; at < spanS * 1000; at += 5) {
    const limit = isLowered && at >= fallS * 1000 ? 18 : 25;
    tokens = Math.min(limit, tokens + limit * 0.005);
    for (const n of nodes) {
      if (at < n.next) continue;
      const rate = n.rates.ratesAt(instant(at)).writeRps;
      if (rate !== n.rate) n.budget.setRate(instant(at), rate / 3);
      n.rate = rate;
      const wait = Duration.toMillis(n.budget.take(instant(at)));
      n.next = at + wait;
      if (wait > 0) continue;
      if (tokens >= 1) {
        tokens--;
        served++;
      } else {
        refusals.push(at);
        n.rates.recordRefusal(instant(at));
        n.budget.recordRefusal(instant(at), Duration.millis(300));
      }
    }
  }
  return { served, refusals };
};

test("when the rate limit falls, few writes are refused, and fewer over time", () => {
  const { served, refusals } = simulateNodes(3600, 60, true);
  const between = (fromS: number, toS: number): number =>
    refusals.filter((at) => at >= fromS * 1000 && at < toS * 1000).length;
  assert.ok(refusals.length <= 60, `${refusals.length} refused`);
  assert.ok(between(1860, 3600) <= 24, `${between(1860, 3600)} refused in the last half hour`);
  // at most four a node in 10 s, where about 180 are served
  for (let s = 0; s < 3600; s += 10) assert.ok(between(s, s + 10) <= 12, `${between(s, s + 10)} at ${s} s`);
  // and the permitted rate is used
  assert.ok(served > 0.9 * 18 * 3600, `${served} served`);
});

test("urgent writes, each retried until it succeeds, cause few refusals", () => {
  const rates = new RateLimitSelector({ rps: 100, writeRps: 25 }, { rps: 100, writeRps: 18 });
  const budget = new RateLimiter(25);
  let rate = 25;
  let tokens = 25;
  let refusedCount = 0;
  let served = 0;
  // 400 become due at once, where the service takes 18 a second
  let due = Array.from({ length: 400 }, () => ({ at: 0, sent: false }));
  let at = 0;
  for (; due.length > 0 && at < 120_000; at += 5) {
    tokens = Math.min(18, tokens + 18 * 0.005);
    for (const one of due) {
      if (one.at > at) continue;
      if (!one.sent) {
        const currentRate = rates.ratesAt(instant(at)).writeRps;
        if (currentRate !== rate) budget.setRate(instant(at), currentRate);
        rate = currentRate;
        const delay = budget.urgentDelay(instant(at), 1);
        one.at = at + (delay === null ? 250 : Duration.toMillis(delay));
        one.sent = delay !== null;
        if (one.at > at || !one.sent) continue;
      }
      one.sent = false;
      if (tokens >= 1) {
        tokens--;
        served++;
        one.at = Infinity;
      } else {
        refusedCount++;
        one.at = at + 250;
        rates.recordRefusal(instant(at));
        budget.recordRefusal(instant(at), Duration.millis(300));
      }
    }
    due = due.filter((one) => one.at !== Infinity);
  }
  assert.equal(served, 400);
  assert.ok(refusedCount <= 20, `${refusedCount} refused`);
  // little more time than the 22 s that the service needs for them
  assert.ok(at < 30_000, `${at} ms`);
});

test("a rate limit that doesn't fall is used in full, except for a while after a refusal", () => {
  const { served, refusals } = simulateNodes(600, 0, false);
  assert.ok(refusals.length <= 3, `${refusals.length} refused`);
  assert.ok(served > 0.9 * 25 * 600, `${served} served`);
});

test("the lower rates apply for a minute after a refusal, and for longer when another follows soon", () => {
  const low = { rps: 80, writeRps: 18 };
  const rates = new RateLimitSelector({ rps: 100, writeRps: 25 }, low);
  const isLowAt = (s: number): boolean => rates.ratesAt(instant(s * 1000)).writeRps === 18;
  const refused = (s: number): void => rates.recordRefusal(instant(s * 1000));
  assert.equal(isLowAt(0), false);
  refused(0);
  refused(30);
  assert.deepEqual([isLowAt(0), isLowAt(59), isLowAt(60)], [true, true, false]);
  assert.deepEqual(rates.ratesAt(instant(0)), low);
  refused(61);
  assert.deepEqual([isLowAt(180), isLowAt(181)], [true, false]);
  let at = 181;
  for (const span of [240, 480, 600, 600]) {
    refused(at);
    assert.deepEqual([isLowAt(at + span - 1), isLowAt(at + span)], [true, false]);
    at += span;
  }
  refused(at + 3600);
  assert.equal(isLowAt(at + 3600 + 60), false);
});

test("without lower rates configured, a refusal changes nothing", () => {
  const today = { rps: 100, writeRps: 25 };
  for (const rates of [
    new RateLimitSelector(today),
    new RateLimitSelector(today, { rps: 200, writeRps: 25 }),
  ]) {
    rates.recordRefusal(instant(0));
    assert.deepEqual(rates.ratesAt(instant(1)), today);
  }
});
