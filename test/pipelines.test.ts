/** What flows backwards through pipelines, checked against a recomputation of the whole graph. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Duration from "effect/Duration";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { DependencyGraph, estimatedJobDuration } from "../src/core/jobs/dependency-graph.js";
import { type JobSpec, type Priority, RANK } from "../src/core/records.js";
import { type Instant, instant } from "../src/core/time.js";
import { jobSpec } from "./specs.js";

const spec = (id: string, dependsOn: readonly string[], more: Partial<JobSpec> = {}): JobSpec =>
  jobSpec({ id, dependsOn, ...more });

interface Values {
  readonly rank: number;
  readonly inner: number | null;
}
type Jobs = ReadonlyMap<string, { spec: JobSpec; accepted: Instant }>;

/** Goes along every path from a job to the jobs that need it. */
const naive = (jobs: Jobs, id: string): Values => {
  let rank: number = RANK[jobs.get(id)!.spec.priority];
  let inner: number | null = null;
  const longest = new Map<string, number>();
  const walk = (at: string, takes: number): void => {
    for (const [child, row] of jobs) {
      if (!row.spec.dependsOn.includes(at)) continue;
      const sum = takes + Duration.toMillis(estimatedJobDuration(row.spec));
      longest.set(child, Math.max(longest.get(child) ?? 0, sum));
      walk(child, sum);
    }
  };
  walk(id, 0);
  for (const [other, takes] of longest) {
    const row = jobs.get(other)!;
    rank = Math.max(rank, RANK[row.spec.priority]);
    if (row.spec.deadline === null) continue;
    const by = row.accepted + Duration.toMillis(row.spec.deadline) - takes;
    inner = inner === null ? by : Math.min(inner, by);
  }
  return { rank, inner };
};

const valuesOf = (p: DependencyGraph, id: string): Values => ({
  rank: p.rank(id)!,
  inner: p.inheritedDeadline(id),
});
const seconds = (s: number): Instant => instant(s * 1000);
const TAKES = Duration.toSeconds(estimatedJobDuration(spec("x", [])));

test("in random graphs, what flows back is right after each job that comes, goes or comes again, in any order", () => {
  let raised = 0;
  let hurried = 0;
  let events = 0;
  for (let seed = 1; seed <= 60; seed++) {
    const random = xoroshiro128plus(seed);
    const below = (n: number): number => Math.floor(uniformFloat64(random) * n);
    const priorities: Priority[] = ["low", "low", "low", "normal", "high", "production"];
    const all = Array.from({ length: 14 }, (_, n) => {
      // a job names only earlier ones, some of them twice
      const awaits = n === 0 ? [] : Array.from({ length: below(4) }, () => `j-${below(n)}`);
      return spec(`j-${n}`, awaits, {
        priority: priorities[below(priorities.length)]!,
        estimate: Duration.seconds(below(40)),
        deadline: below(3) === 0 ? Duration.seconds(100 + below(400)) : null,
      });
    });
    const p = new DependencyGraph();
    const jobs = new Map<string, { spec: JobSpec; accepted: Instant }>();
    /** What somebody knows who only ever hears of changes. */
    const told = new Map<string, Values>();
    for (let step = 0; step < 120; step++) {
      const job = all[below(all.length)]!;
      if (jobs.has(job.id) && below(4) > 0) {
        p.remove(job.id);
        jobs.delete(job.id);
        told.delete(job.id);
      } else {
        // a job that is known already has been released, and its submission may be dated anew
        const accepted = seconds(below(2) === 0 ? step : below(200));
        p.add(job, accepted);
        jobs.set(job.id, { spec: job, accepted });
      }
      for (const id of p.takeChanged()) {
        assert.ok(jobs.has(id), `${id} changed, but is gone`);
        told.set(id, valuesOf(p, id));
      }
      assert.equal(p.size, jobs.size);
      for (const [id, row] of jobs) {
        const right = naive(jobs, id);
        assert.deepEqual(valuesOf(p, id), right, `seed ${seed}, step ${step}, ${id}`);
        assert.deepEqual(told.get(id), right, `seed ${seed}, step ${step}: ${id} changed silently`);
        const own = row.spec.deadline;
        const dues = [right.inner, own === null ? null : row.accepted + Duration.toMillis(own)];
        const known = dues.filter((d) => d !== null);
        assert.equal(p.effectiveDeadline(id), known.length === 0 ? null : Math.min(...known));
        events++;
        if (right.rank > RANK[row.spec.priority]) raised++;
        if (right.inner !== null) hurried++;
      }
    }
  }
  // the graphs are no trivial ones
  assert.ok(raised > events / 10 && hurried > events / 10, `${raised} and ${hurried} of ${events}`);
});

test("a last job submitted late raises the chain before it; its end lowers it again", () => {
  const p = new DependencyGraph();
  p.add(spec("a", [], { priority: "low" }), seconds(0));
  p.add(spec("b", ["a"], { priority: "low" }), seconds(1));
  p.add(spec("c", ["b"]), seconds(2));
  assert.deepEqual([p.rank("a"), p.rank("b"), p.rank("c")], [RANK.normal, RANK.normal, RANK.normal]);
  assert.equal(p.effectiveDeadline("a"), null);
  p.takeChanged();

  p.add(spec("d", ["c"], { priority: "high", deadline: Duration.seconds(600) }), seconds(100));
  assert.deepEqual(p.takeChanged().sort(), ["a", "b", "c", "d"]);
  assert.deepEqual([p.rank("a"), p.rank("b"), p.rank("c")], [RANK.high, RANK.high, RANK.high]);
  assert.equal(p.effectiveDeadline("d"), seconds(700));
  assert.equal(p.inheritedDeadline("d"), null);
  assert.equal(p.effectiveDeadline("c"), seconds(700 - TAKES));
  assert.equal(p.effectiveDeadline("a"), seconds(700 - 3 * TAKES));
  // released: nothing is lost, nothing changes
  p.add(spec("c", ["b"]), seconds(2));
  assert.deepEqual(p.takeChanged(), []);
  assert.equal(p.rank("c"), RANK.high);
  // a stage that is done asks for nothing, and what comes after it goes on
  p.remove("a");
  assert.equal(p.rank("b"), RANK.high);

  p.remove("d");
  assert.deepEqual(p.takeChanged().sort(), ["b", "c"]);
  assert.deepEqual([p.rank("b"), p.rank("c"), p.effectiveDeadline("b")], [RANK.normal, RANK.normal, null]);
});

test("in a diamond the longer way counts; children may be known before their parents", () => {
  const long = { estimate: Duration.seconds(100) };
  const jobs = [
    spec("end", ["left", "right"], { priority: "high", deadline: Duration.seconds(900) }),
    spec("left", ["start"], long),
    spec("right", ["start"]),
    spec("start", [], { priority: "low" }),
  ];
  const longTakes = Duration.toSeconds(estimatedJobDuration(jobs[1]!));
  assert.ok(longTakes > TAKES);
  for (const command of [jobs, [...jobs].reverse(), [jobs[0]!, jobs[3]!, jobs[2]!, jobs[1]!]]) {
    const p = new DependencyGraph();
    for (const job of command) p.add(job, seconds(0));
    assert.equal(p.rank("start"), RANK.high);
    assert.equal(p.effectiveDeadline("start"), seconds(900 - TAKES - longTakes));
    p.remove("left");
    assert.equal(p.effectiveDeadline("start"), seconds(900 - 2 * TAKES));
  }
});

test("an event looks at the jobs before its own only as far as they change, at few children of many", () => {
  const p = new DependencyGraph();
  const work = (event: () => void): number => {
    const before = p.visits;
    event();
    return p.visits - before;
  };
  const due = { priority: "high", deadline: Duration.seconds(600) } as const;
  // other pipelines are never looked at
  for (let n = 0; n < 2000; n++) p.add(spec(`other-${n}`, n % 4 === 0 ? [] : [`other-${n - 1}`]), seconds(0));
  p.add(spec("first", [], { priority: "low" }), seconds(0));
  p.add(spec("hub", ["first"], { priority: "low" }), seconds(0));
  for (let n = 0; n < 500; n++) {
    const visits = work(() => p.add(spec(`leaf-${n}`, ["hub"], due), seconds(n)));
    assert.ok(visits <= 4, `${visits} visits for child ${n}`);
  }
  assert.equal(p.effectiveDeadline("hub"), seconds(600 - TAKES));
  // the last one in decides nothing; the first decides all
  assert.ok(work(() => p.remove("leaf-499")) <= 510);
  assert.ok(work(() => p.remove("leaf-0")) <= 510);
  assert.equal(p.effectiveDeadline("hub"), seconds(601 - TAKES));
  for (let n = 1; n < 499; n++) p.remove(`leaf-${n}`);
  assert.deepEqual([p.rank("first"), p.effectiveDeadline("first")], [RANK.low, null]);

  // without deadlines one child of the same rank is enough to know that nothing changes
  for (let n = 0; n < 500; n++) p.add(spec(`plain-${n}`, ["hub"]), seconds(n));
  for (let n = 0; n < 499; n++) {
    const visits = work(() => p.remove(`plain-${n}`));
    assert.ok(visits <= 2, `${visits} visits for the end of child ${n}`);
  }

  // a chain's end changes all of it, a second one of the same sort nothing, however long it is
  for (let n = 0; n < 1000; n++) p.add(spec(`link-${n}`, n === 0 ? [] : [`link-${n - 1}`]), seconds(0));
  assert.ok(work(() => p.add(spec("end", ["link-999"], due), seconds(0))) <= 1010);
  assert.ok(work(() => p.add(spec("end-2", ["link-999"], due), seconds(0))) <= 4);
  assert.ok(work(() => p.remove("end")) <= 4);
  // each job is looked at, and the one that needs it
  assert.ok(work(() => p.remove("end-2")) <= 2 * 1010);
});

test("many ways through a wide graph aren't gone one by one", () => {
  const p = new DependencyGraph();
  const layers = 20;
  const wide = 5;
  const layer = (l: number): string[] => (l < 0 ? [] : Array.from({ length: wide }, (_, n) => `l${l}-${n}`));
  for (let l = 0; l < layers; l++) for (const id of layer(l)) p.add(spec(id, layer(l - 1)), seconds(0));
  const end = spec("end", layer(layers - 1), { priority: "high", deadline: Duration.seconds(3000) });
  let before = p.visits;
  p.add(end, seconds(0));
  assert.ok(p.visits - before <= 2 * layers * wide * wide, `${p.visits - before} visits`);
  assert.equal(p.effectiveDeadline("l0-0"), seconds(3000 - layers * TAKES));
  before = p.visits;
  p.remove("end");
  assert.ok(p.visits - before <= 4 * layers * wide * wide, `${p.visits - before} visits`);
  assert.equal(p.rank("l0-0"), RANK.normal);
});

test("a malformed cycle neither hangs nor spoils other jobs", () => {
  const due = { priority: "high", deadline: Duration.seconds(600) } as const;
  const p = new DependencyGraph();
  p.add(spec("self", ["self"], due), seconds(0));
  assert.deepEqual([p.rank("self"), p.inheritedDeadline("self")], [RANK.high, null]);
  p.add(spec("a", ["c"]), seconds(0));
  p.add(spec("b", ["a"], due), seconds(0));
  p.add(spec("c", ["b", "before"]), seconds(0));
  p.add(spec("before", [], { priority: "low" }), seconds(0));
  p.add(spec("after", ["a"], { ...due, deadline: Duration.seconds(100) }), seconds(0));
  assert.equal(p.rank("before"), RANK.high);
  p.remove("after");
  for (const id of ["a", "b", "c"]) p.remove(id);
  assert.deepEqual([p.rank("before"), p.effectiveDeadline("before")], [RANK.low, null]);
  assert.equal(p.size, 2);
});
