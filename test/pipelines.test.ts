/** Rank and deadline that a job inherits from its dependents, checked against a recomputation of the whole graph. */
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

interface InheritedValues {
  readonly rank: number;
  readonly deadline: number | null;
}
type Jobs = ReadonlyMap<string, { spec: JobSpec; acceptedAt: Instant }>;

/** Recomputes what a job inherits by walking every path to the jobs that depend on it. */
const recomputeInherited = (jobs: Jobs, id: string): InheritedValues => {
  let rank: number = RANK[jobs.get(id)!.spec.priority];
  let deadline: number | null = null;
  const longest = new Map<string, number>();
  const walk = (parent: string, durationMs: number): void => {
    for (const [child, row] of jobs) {
      if (!row.spec.dependsOn.includes(parent)) continue;
      const sum = durationMs + Duration.toMillis(estimatedJobDuration(row.spec));
      longest.set(child, Math.max(longest.get(child) ?? 0, sum));
      walk(child, sum);
    }
  };
  walk(id, 0);
  for (const [other, durationMs] of longest) {
    const row = jobs.get(other)!;
    rank = Math.max(rank, RANK[row.spec.priority]);
    if (row.spec.deadline === null) continue;
    const latestEnd = row.acceptedAt + Duration.toMillis(row.spec.deadline) - durationMs;
    deadline = deadline === null ? latestEnd : Math.min(deadline, latestEnd);
  }
  return { rank, deadline };
};

const inheritedValues = (graph: DependencyGraph, id: string): InheritedValues => ({
  rank: graph.rank(id)!,
  deadline: graph.inheritedDeadline(id),
});
const seconds = (s: number): Instant => instant(s * 1000);
const DEFAULT_JOB_SECONDS = Duration.toSeconds(estimatedJobDuration(spec("x", [])));

test("in random graphs, inherited values are right after each job added, removed or added again, in any order", () => {
  let raisedCount = 0;
  let withDeadlineCount = 0;
  let checkCount = 0;
  for (let seed = 1; seed <= 60; seed++) {
    const random = xoroshiro128plus(seed);
    const randomBelow = (n: number): number => Math.floor(uniformFloat64(random) * n);
    const priorities: Priority[] = ["low", "low", "low", "normal", "high", "production"];
    const specs = Array.from({ length: 14 }, (_, n) => {
      // a job depends only on earlier ones, possibly on one of them twice
      const dependencies = n === 0 ? [] : Array.from({ length: randomBelow(4) }, () => `j-${randomBelow(n)}`);
      return spec(`j-${n}`, dependencies, {
        priority: priorities[randomBelow(priorities.length)]!,
        estimate: Duration.seconds(randomBelow(40)),
        deadline: randomBelow(3) === 0 ? Duration.seconds(100 + randomBelow(400)) : null,
      });
    });
    const graph = new DependencyGraph();
    const jobs = new Map<string, { spec: JobSpec; acceptedAt: Instant }>();
    /** The values as a reader of `takeChanged` alone knows them. */
    const reported = new Map<string, InheritedValues>();
    for (let step = 0; step < 120; step++) {
      const job = specs[randomBelow(specs.length)]!;
      if (jobs.has(job.id) && randomBelow(4) > 0) {
        graph.remove(job.id);
        jobs.delete(job.id);
        reported.delete(job.id);
      } else {
        // adding a known job stands for its release, which may come with another time of acceptance
        const acceptedAt = seconds(randomBelow(2) === 0 ? step : randomBelow(200));
        graph.add(job, acceptedAt);
        jobs.set(job.id, { spec: job, acceptedAt });
      }
      for (const id of graph.takeChanged()) {
        assert.ok(jobs.has(id), `${id} changed, but is gone`);
        reported.set(id, inheritedValues(graph, id));
      }
      assert.equal(graph.size, jobs.size);
      for (const [id, row] of jobs) {
        const expected = recomputeInherited(jobs, id);
        assert.deepEqual(inheritedValues(graph, id), expected, `seed ${seed}, step ${step}, ${id}`);
        assert.deepEqual(
          reported.get(id),
          expected,
          `seed ${seed}, step ${step}: ${id} changed without being reported`,
        );
        const own = row.spec.deadline;
        const deadlines = [expected.deadline, own === null ? null : row.acceptedAt + Duration.toMillis(own)];
        const ownAndInherited = deadlines.filter((d) => d !== null);
        assert.equal(
          graph.effectiveDeadline(id),
          ownAndInherited.length === 0 ? null : Math.min(...ownAndInherited),
        );
        checkCount++;
        if (expected.rank > RANK[row.spec.priority]) raisedCount++;
        if (expected.deadline !== null) withDeadlineCount++;
      }
    }
  }
  // many jobs must inherit something, or the test would check little
  assert.ok(
    raisedCount > checkCount / 10 && withDeadlineCount > checkCount / 10,
    `${raisedCount} and ${withDeadlineCount} of ${checkCount}`,
  );
});

test("a last job submitted late raises the rank of the chain before it; its removal lowers it again", () => {
  const graph = new DependencyGraph();
  graph.add(spec("a", [], { priority: "low" }), seconds(0));
  graph.add(spec("b", ["a"], { priority: "low" }), seconds(1));
  graph.add(spec("c", ["b"]), seconds(2));
  assert.deepEqual(
    [graph.rank("a"), graph.rank("b"), graph.rank("c")],
    [RANK.normal, RANK.normal, RANK.normal],
  );
  assert.equal(graph.effectiveDeadline("a"), null);
  graph.takeChanged();

  graph.add(spec("d", ["c"], { priority: "high", deadline: Duration.seconds(600) }), seconds(100));
  assert.deepEqual(graph.takeChanged().sort(), ["a", "b", "c", "d"]);
  assert.deepEqual([graph.rank("a"), graph.rank("b"), graph.rank("c")], [RANK.high, RANK.high, RANK.high]);
  assert.equal(graph.effectiveDeadline("d"), seconds(700));
  assert.equal(graph.inheritedDeadline("d"), null);
  assert.equal(graph.effectiveDeadline("c"), seconds(700 - DEFAULT_JOB_SECONDS));
  assert.equal(graph.effectiveDeadline("a"), seconds(700 - 3 * DEFAULT_JOB_SECONDS));
  // its release changes nothing
  graph.add(spec("c", ["b"]), seconds(2));
  assert.deepEqual(graph.takeChanged(), []);
  assert.equal(graph.rank("c"), RANK.high);
  // when a stage is done, the later stages keep their rank
  graph.remove("a");
  assert.equal(graph.rank("b"), RANK.high);

  graph.remove("d");
  assert.deepEqual(graph.takeChanged().sort(), ["b", "c"]);
  assert.deepEqual(
    [graph.rank("b"), graph.rank("c"), graph.effectiveDeadline("b")],
    [RANK.normal, RANK.normal, null],
  );
});

test("in a diamond the longer path counts; children may be added before their parents", () => {
  const long = { estimate: Duration.seconds(100) };
  const jobs = [
    spec("end", ["left", "right"], { priority: "high", deadline: Duration.seconds(900) }),
    spec("left", ["start"], long),
    spec("right", ["start"]),
    spec("start", [], { priority: "low" }),
  ];
  const longJobSeconds = Duration.toSeconds(estimatedJobDuration(jobs[1]!));
  assert.ok(longJobSeconds > DEFAULT_JOB_SECONDS);
  for (const order of [jobs, [...jobs].reverse(), [jobs[0]!, jobs[3]!, jobs[2]!, jobs[1]!]]) {
    const graph = new DependencyGraph();
    for (const job of order) graph.add(job, seconds(0));
    assert.equal(graph.rank("start"), RANK.high);
    assert.equal(graph.effectiveDeadline("start"), seconds(900 - DEFAULT_JOB_SECONDS - longJobSeconds));
    graph.remove("left");
    assert.equal(graph.effectiveDeadline("start"), seconds(900 - 2 * DEFAULT_JOB_SECONDS));
  }
});

test("a change visits a job's ancestors only as far as their values change, and few of many children", () => {
  const graph = new DependencyGraph();
  const visitsDuring = (event: () => void): number => {
    const before = graph.visits;
    event();
    return graph.visits - before;
  };
  const urgent = { priority: "high", deadline: Duration.seconds(600) } as const;
  // these other pipelines must never be visited
  for (let n = 0; n < 2000; n++)
    graph.add(spec(`other-${n}`, n % 4 === 0 ? [] : [`other-${n - 1}`]), seconds(0));
  graph.add(spec("first", [], { priority: "low" }), seconds(0));
  graph.add(spec("hub", ["first"], { priority: "low" }), seconds(0));
  for (let n = 0; n < 500; n++) {
    const visits = visitsDuring(() => graph.add(spec(`leaf-${n}`, ["hub"], urgent), seconds(n)));
    assert.ok(visits <= 4, `${visits} visits for child ${n}`);
  }
  assert.equal(graph.effectiveDeadline("hub"), seconds(600 - DEFAULT_JOB_SECONDS));
  // the last leaf has the latest deadline, the first one the deadline that is inherited
  assert.ok(visitsDuring(() => graph.remove("leaf-499")) <= 510);
  assert.ok(visitsDuring(() => graph.remove("leaf-0")) <= 510);
  assert.equal(graph.effectiveDeadline("hub"), seconds(601 - DEFAULT_JOB_SECONDS));
  for (let n = 1; n < 499; n++) graph.remove(`leaf-${n}`);
  assert.deepEqual([graph.rank("first"), graph.effectiveDeadline("first")], [RANK.low, null]);

  // without deadlines one remaining child of the same rank shows that nothing changes
  for (let n = 0; n < 500; n++) graph.add(spec(`plain-${n}`, ["hub"]), seconds(n));
  for (let n = 0; n < 499; n++) {
    const visits = visitsDuring(() => graph.remove(`plain-${n}`));
    assert.ok(visits <= 2, `${visits} visits for the end of child ${n}`);
  }

  // an urgent last job changes the whole chain; a second one like it changes nothing, however long the chain is
  for (let n = 0; n < 1000; n++) graph.add(spec(`link-${n}`, n === 0 ? [] : [`link-${n - 1}`]), seconds(0));
  assert.ok(visitsDuring(() => graph.add(spec("end", ["link-999"], urgent), seconds(0))) <= 1010);
  assert.ok(visitsDuring(() => graph.add(spec("end-2", ["link-999"], urgent), seconds(0))) <= 4);
  assert.ok(visitsDuring(() => graph.remove("end")) <= 4);
  // visits each job and its dependent
  assert.ok(visitsDuring(() => graph.remove("end-2")) <= 2 * 1010);
});

test("a graph of many layers is updated without walking each of its paths", () => {
  const graph = new DependencyGraph();
  const layers = 20;
  const width = 5;
  const layer = (l: number): string[] => (l < 0 ? [] : Array.from({ length: width }, (_, n) => `l${l}-${n}`));
  for (let l = 0; l < layers; l++) for (const id of layer(l)) graph.add(spec(id, layer(l - 1)), seconds(0));
  const end = spec("end", layer(layers - 1), { priority: "high", deadline: Duration.seconds(3000) });
  let before = graph.visits;
  graph.add(end, seconds(0));
  assert.ok(graph.visits - before <= 2 * layers * width * width, `${graph.visits - before} visits`);
  assert.equal(graph.effectiveDeadline("l0-0"), seconds(3000 - layers * DEFAULT_JOB_SECONDS));
  before = graph.visits;
  graph.remove("end");
  assert.ok(graph.visits - before <= 4 * layers * width * width, `${graph.visits - before} visits`);
  assert.equal(graph.rank("l0-0"), RANK.normal);
});

test("a dependency cycle neither hangs nor corrupts the values of other jobs", () => {
  const urgent = { priority: "high", deadline: Duration.seconds(600) } as const;
  const graph = new DependencyGraph();
  graph.add(spec("self", ["self"], urgent), seconds(0));
  assert.deepEqual([graph.rank("self"), graph.inheritedDeadline("self")], [RANK.high, null]);
  graph.add(spec("a", ["c"]), seconds(0));
  graph.add(spec("b", ["a"], urgent), seconds(0));
  graph.add(spec("c", ["b", "before"]), seconds(0));
  graph.add(spec("before", [], { priority: "low" }), seconds(0));
  graph.add(spec("after", ["a"], { ...urgent, deadline: Duration.seconds(100) }), seconds(0));
  assert.equal(graph.rank("before"), RANK.high);
  graph.remove("after");
  for (const id of ["a", "b", "c"]) graph.remove(id);
  assert.deepEqual([graph.rank("before"), graph.effectiveDeadline("before")], [RANK.low, null]);
  assert.equal(graph.size, 2);
});
