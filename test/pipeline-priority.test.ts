/** Pipelines: a stage inherits rank and deadline from the jobs after it, which affects order and preemption. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Duration from "effect/Duration";
import { addJob, newCluster } from "../src/core/cluster/cluster.js";
import { Autoscaler } from "../src/core/autoscaling/autoscaler.js";
import { type JobSpec, RANK } from "../src/core/records.js";
import { Scheduler } from "../src/core/scheduler/scheduler.js";
import { instant } from "../src/core/time.js";
import { checkClusterIndices } from "./index-checker.js";
import { ClusterFixture, EAST_MACHINES } from "./cluster-fixture.js";
import { jobSpec as spec } from "./specs.js";
import { present } from "./present.js";

const PIPELINE_END = { id: "req-000009", dependsOn: ["req-000002"], priority: "high" } as const;

test("a low-priority first stage of a high-priority pipeline goes before normal jobs until that is cancelled", () => {
  const firstStartedJob = (submit: (scheduler: Scheduler) => void): string => {
    const fixture = new ClusterFixture(EAST_MACHINES);
    fixture.scheduler.jobReleased(spec({ id: "req-000001", tasks: 6 }), 20, instant(0));
    fixture.scheduler.jobReleased(spec({ id: "req-000002", tasks: 6, priority: "low" }), 21, instant(0));
    submit(fixture.scheduler);
    fixture.step();
    checkClusterIndices(fixture.scheduler.cluster);
    assert.equal(fixture.activeTasks().length, 6);
    return present(fixture.sentCommands.find((sent) => sent.command.op === "start")).command.job;
  };
  const end = spec(PIPELINE_END);
  assert.equal(
    firstStartedJob(() => undefined),
    "req-000001",
  );
  assert.equal(
    firstStartedJob((scheduler) => scheduler.jobBlocked(end, instant(500))),
    "req-000002",
  );
  assert.equal(
    firstStartedJob((scheduler) => {
      scheduler.jobBlocked(spec({ ...PIPELINE_END, dependsOn: ["req-000005"] }), instant(500));
      scheduler.jobBlocked(
        spec({ id: "req-000005", dependsOn: ["req-000002"], priority: "low" }),
        instant(500),
      );
    }),
    "req-000002",
  );
  assert.equal(
    firstStartedJob((scheduler) => {
      scheduler.jobBlocked(end, instant(500));
      scheduler.jobUnblocked(end.id);
    }),
    "req-000001",
  );
});

test("a stage of a high-priority pipeline is preempted only for production while it inherits the rank", () => {
  const fixtureWithRunningStage = (): ClusterFixture => {
    const fixture = new ClusterFixture(EAST_MACHINES);
    fixture.scheduler.jobReleased(spec({ id: "req-000002", tasks: 6, priority: "low" }), 20, instant(0));
    fixture.step();
    assert.equal(fixture.activeTasks().length, 6);
    fixture.scheduler.jobBlocked(spec(PIPELINE_END), instant(fixture.now));
    return fixture;
  };
  const stopsAfterRelease = (fixture: ClusterFixture, more: Partial<JobSpec>): number => {
    fixture.scheduler.jobReleased(spec({ id: "req-000003", ...more }), 21, instant(fixture.now));
    for (let i = 0; i < 4; i++) fixture.step();
    checkClusterIndices(fixture.scheduler.cluster);
    return fixture.commandCount("stop");
  };
  assert.equal(stopsAfterRelease(fixtureWithRunningStage(), { priority: "normal" }), 0);
  assert.equal(stopsAfterRelease(fixtureWithRunningStage(), { priority: "high" }), 0);
  assert.equal(
    stopsAfterRelease(fixtureWithRunningStage(), { kind: "service", priority: "production", spot: false }),
    1,
  );
  const lowered = fixtureWithRunningStage();
  assert.equal(stopsAfterRelease(lowered, { priority: "normal" }), 0);
  lowered.scheduler.jobUnblocked(PIPELINE_END.id);
  for (let i = 0; i < 4; i++) lowered.step();
  assert.equal(lowered.commandCount("stop"), 1);
});

test("a stage of a high-priority pipeline preempts normal tasks", () => {
  const stopCount = (urgent: boolean): number => {
    const fixture = new ClusterFixture(EAST_MACHINES);
    fixture.scheduler.jobReleased(spec({ id: "req-000001", tasks: 6 }), 20, instant(0));
    fixture.step();
    fixture.scheduler.jobReleased(spec({ id: "req-000002", priority: "low" }), 21, instant(fixture.now));
    if (urgent) fixture.scheduler.jobBlocked(spec(PIPELINE_END), instant(fixture.now));
    for (let i = 0; i < 4; i++) fixture.step();
    return fixture.commandCount("stop");
  };
  assert.equal(stopCount(false), 0);
  assert.equal(stopCount(true), 1);
});

test("a deadline counts from the acceptance of a job, its waiting time from its release", () => {
  const firstStartedJob = (acceptedAt: number, releasedAt: number, more: Partial<JobSpec>): string => {
    const fixture = new ClusterFixture(EAST_MACHINES);
    fixture.now = 200_000;
    const estimate = Duration.seconds(20);
    const job = spec({ id: "req-000001", priority: "low", tasks: 6, estimate, ...more });
    fixture.scheduler.jobReleased(job, 20, instant(acceptedAt), instant(releasedAt));
    fixture.scheduler.jobReleased(spec({ id: "req-000002", tasks: 6 }), 21, instant(199_000));
    for (const id of ["n-1", "n-2", "n-3"]) fixture.sendHeartbeat(id);
    fixture.step();
    return present(fixture.sentCommands.find((sent) => sent.command.op === "start")).command.job;
  };
  const withDeadline = { deadline: Duration.seconds(90) };
  assert.equal(firstStartedJob(150_000, 199_000, withDeadline), "req-000001");
  assert.equal(firstStartedJob(195_000, 199_000, withDeadline), "req-000002");
  assert.equal(firstStartedJob(90_000, 90_000, {}), "req-000001");
  assert.equal(firstStartedJob(90_000, 199_000, {}), "req-000002");
});

test("a stage goes first when the jobs after it would otherwise miss their deadline", () => {
  const firstStartedJob = (deadline: number): string => {
    const fixture = new ClusterFixture(EAST_MACHINES);
    fixture.now = 200_000;
    const estimate = Duration.seconds(20);
    fixture.scheduler.jobReleased(
      spec({ id: "req-000002", priority: "low", tasks: 6, estimate }),
      20,
      instant(190_000),
      instant(199_000),
    );
    fixture.scheduler.jobReleased(spec({ id: "req-000001", tasks: 6 }), 21, instant(199_000));
    const end = spec({ ...PIPELINE_END, priority: "low", estimate, deadline: Duration.seconds(deadline) });
    fixture.scheduler.jobBlocked(end, instant(190_000));
    for (const id of ["n-1", "n-2", "n-3"]) fixture.sendHeartbeat(id);
    fixture.step();
    return present(fixture.sentCommands.find((sent) => sent.command.op === "start")).command.job;
  };
  // each of the two takes 45 s at most
  assert.equal(firstStartedJob(120), "req-000001");
  assert.equal(firstStartedJob(95), "req-000002");
});

test("a blocked job is not in the cluster, but passes rank and deadline back, also once it is released", () => {
  for (const releasedFirst of [true, false]) {
    const { scheduler } = new ClusterFixture(EAST_MACHINES);
    const job = (id: string) => scheduler.cluster.jobs.get(id);
    const stage = spec({ id: "req-000002", dependsOn: ["req-000001"], priority: "low" });
    const deadline = Duration.seconds(300);
    scheduler.jobReleased(spec({ id: "req-000001", priority: "low" }), 20, instant(0));
    scheduler.jobBlocked(stage, instant(0));
    scheduler.jobBlocked(spec({ ...PIPELINE_END, deadline }), instant(10_000));
    assert.deepEqual([...scheduler.blockedJobs], ["req-000002", "req-000009"]);
    assert.deepEqual([...scheduler.cluster.jobs.keys()], ["req-000001"]);
    assert.equal(present(job("req-000001")).rank, RANK.high);
    // minus the two later stages, 60 s each at most
    assert.equal(present(job("req-000001")).deadlineAt, 310_000 - 2 * 60_000);

    scheduler.jobEnded("req-000001");
    if (!releasedFirst) scheduler.jobUnblocked(stage.id);
    scheduler.jobReleased(stage, 30, instant(0), instant(50_000));
    if (releasedFirst) scheduler.jobUnblocked(stage.id);
    // a late report that it is blocked
    scheduler.jobBlocked(stage, instant(0));
    assert.deepEqual([...scheduler.blockedJobs], ["req-000009"]);
    assert.equal(present(job(stage.id)).rank, RANK.high);
    assert.equal(present(job(stage.id)).deadlineAt, 310_000 - 60_000);
    assert.equal(present(job(stage.id)).acceptedAt, 0);
    assert.equal(present(job(stage.id)).releasedAt, 50_000);
    // the last one is cancelled
    scheduler.jobUnblocked("req-000009");
    assert.equal(present(job(stage.id)).rank, RANK.low);
    assert.equal(present(job(stage.id)).deadlineAt, null);
  }
});

test("the autoscaler expects arrivals of stages of high-priority pipelines, but not of other low-priority jobs", () => {
  const options = { reuse: 0.5, idleBoots: 1.5, warmFor: Duration.seconds(45) };
  const autoscaler = new Autoscaler(options);
  const job = addJob(newCluster(), spec({ priority: "low", tasks: 3 }), 20, instant(0), instant(100_000));
  autoscaler.recordArrival(job);
  const at = instant(110_000);
  assert.equal(autoscaler.expectedCpus(at), 0);
  job.rank = RANK.high;
  assert.equal(autoscaler.expectedCpus(at), 12);
  assert.equal(autoscaler.expectedCpus(instant(150_000)), 0);
});

test("a task whose rank a pipeline raised is preempted after tasks of lower rank, whatever its priority", () => {
  const stoppedJobs = (urgent: boolean): string[] => {
    const fixture = new ClusterFixture([{ id: "n-1", zone: "east" }]);
    fixture.scheduler.jobReleased(spec({ id: "req-000001" }), 20, instant(0));
    fixture.step();
    fixture.scheduler.jobReleased(spec({ id: "req-000002", priority: "low" }), 21, instant(fixture.now));
    fixture.step();
    assert.equal(fixture.activeTasks().length, 2);
    if (urgent) fixture.scheduler.jobBlocked(spec(PIPELINE_END), instant(fixture.now));
    const service = spec({ id: "req-000003", kind: "service", priority: "production", spot: false });
    fixture.scheduler.jobReleased(service, 22, instant(fixture.now));
    for (let i = 0; i < 4; i++) fixture.step();
    return fixture.sentCommands.filter((sent) => sent.command.op === "stop").map((sent) => sent.command.job);
  };
  assert.deepEqual(stoppedJobs(false), ["req-000002"]);
  assert.deepEqual(stoppedJobs(true), ["req-000001"]);
});

test("a last job submitted later takes effect at the next step, without any other event", () => {
  const fixture = new ClusterFixture(EAST_MACHINES);
  fixture.scheduler.jobReleased(spec({ id: "req-000001", tasks: 6 }), 20, instant(0));
  fixture.step();
  fixture.scheduler.jobReleased(spec({ id: "req-000002", priority: "low" }), 21, instant(fixture.now));
  fixture.step();
  const stopCount = (): number =>
    fixture.scheduler
      .step(instant(fixture.now + 10))
      .flatMap((decision) => (decision.kind === "commands" ? decision.commands : []))
      .filter((command) => command.op === "stop").length;
  assert.equal(stopCount(), 0);
  fixture.scheduler.jobBlocked(spec(PIPELINE_END), instant(fixture.now));
  assert.equal(stopCount(), 1);
});

test("a long-waiting stage of a high-priority pipeline stops deadlines from raising others; its gang gets room", () => {
  const firstStartedJob = (urgent: boolean): string => {
    const fixture = new ClusterFixture(EAST_MACHINES);
    fixture.now = 200_000;
    const withDeadline = {
      priority: "low",
      estimate: Duration.seconds(20),
      deadline: Duration.seconds(90),
    } as const;
    fixture.scheduler.jobReleased(
      spec({ id: "req-000003", tasks: 6, ...withDeadline }),
      20,
      instant(150_000),
    );
    fixture.scheduler.jobReleased(spec({ id: "req-000001", tasks: 6 }), 21, instant(199_000));
    // there is no machine in its zone
    fixture.scheduler.jobReleased(
      spec({ id: "req-000002", priority: "low", zone: "west" }),
      22,
      instant(150_000),
    );
    if (urgent) fixture.scheduler.jobBlocked(spec(PIPELINE_END), instant(199_000));
    for (const id of ["n-1", "n-2", "n-3"]) fixture.sendHeartbeat(id);
    fixture.step();
    return present(fixture.sentCommands.find((sent) => sent.command.op === "start")).command.job;
  };
  assert.equal(firstStartedJob(false), "req-000003");
  assert.equal(firstStartedJob(true), "req-000001");

  const activeTaskCount = (urgent: boolean): number => {
    const fixture = new ClusterFixture(EAST_MACHINES);
    fixture.now = 50_000;
    for (const id of ["n-1", "n-2", "n-3"]) fixture.sendHeartbeat(id);
    fixture.scheduler.jobReleased(spec({ id: "req-000001", image: "x" }), 20, instant(fixture.now));
    fixture.step();
    fixture.scheduler.jobReleased(
      spec({ id: "req-000002", kind: "gang", tasks: 6, priority: "low" }),
      21,
      instant(1000),
    );
    if (urgent) fixture.scheduler.jobBlocked(spec(PIPELINE_END), instant(fixture.now));
    fixture.scheduler.jobReleased(spec({ id: "req-000003", tasks: 6 }), 22, instant(fixture.now));
    fixture.step();
    return fixture.activeTasks().length;
  };
  assert.equal(activeTaskCount(false), 6);
  assert.equal(activeTaskCount(true), 1);
});
