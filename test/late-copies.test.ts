/**
 * Once a worker has forgotten an attempt, no copy of a request that was ever sent makes it start the attempt again (S4):
 * however the attempt ended, however the worker came to forget it, and whatever term or session began meanwhile. Without
 * the guard, which has the worker forget an attempt only under a higher token than that of its start, each case fails.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ExitReason, JobSpec } from "../src/core/records.js";
import { type Scheduler } from "../src/core/scheduler/scheduler.js";
import { instant } from "../src/core/time.js";
import { CopyingCluster, type Delivery } from "./copying-cluster.js";
import { jobSpec as spec } from "./specs.js";
import { present } from "./present.js";

const TARGET = "req-000001";
/** How many requests that have workers forget something are lost or unanswered. */
const MAX_AFFECTED_REQUESTS = 3;
/** How many jobs are started beside the requests that have workers forget something. */
const MAX_OTHER_JOBS = 8;
/** The steps for which copies arrive once the worker has forgotten the attempt. */
const STEPS_OF_COPIES = 12;

/** How an attempt of the target job ends. */
interface Ending {
  readonly name: string;
  readonly machines: readonly string[];
  readonly job: Partial<JobSpec>;
  readonly end: (cluster: CopyingCluster) => void;
}

const ONE = ["n-1"];
const TWO = ["n-1", "n-2"];
const THREE = ["n-1", "n-2", "n-3"];

const release = (scheduler: Scheduler, now: number, overrides: Partial<JobSpec>): void =>
  scheduler.jobReleased(spec(overrides), 20, instant(now));

const exitAll = (cluster: CopyingCluster, exitReason: ExitReason): void => {
  for (const { key, worker } of cluster.running(TARGET)) worker.exit(key, exitReason);
};

const machineOfTarget = (cluster: CopyingCluster) =>
  present(
    [...cluster.scheduler.cluster.machines.values()].find((machine) =>
      [...machine.attempts.values()].some((attempt) => attempt.job === TARGET),
    ),
  );

const ENDINGS: readonly Ending[] = [
  {
    name: "preempted by a job of a higher priority",
    machines: ONE,
    job: { priority: "low", cpus: 8 },
    end: ({ scheduler, now }) =>
      release(scheduler, now, { id: "req-000002", priority: "production", cpus: 8 }),
  },
  {
    name: "a replica, moved off a machine that is drained",
    machines: TWO,
    job: { kind: "service", priority: "production" },
    end: (cluster) => {
      cluster.stepUntil(() => false, 80);
      const machine = machineOfTarget(cluster);
      machine.draining = true;
      cluster.scheduler.cluster.reconcileQueue.add(machine);
    },
  },
  {
    name: "evacuated from a machine that the cloud takes back",
    machines: TWO,
    job: { kind: "service", priority: "production" },
    end: (cluster) => {
      for (const { worker } of cluster.running(TARGET)) worker.reclaimNoticeSeconds = 60;
    },
  },
  {
    name: "cancelled by its user",
    machines: ONE,
    job: {},
    end: ({ scheduler }) => scheduler.jobEnded(TARGET),
  },
  { name: "failed", machines: TWO, job: {}, end: (cluster) => exitAll(cluster, "error") },
  {
    name: "completed, with its finish stored",
    machines: ONE,
    job: { tasks: 2 },
    end: (cluster) => {
      exitAll(cluster, "done");
      cluster.scheduler.finishesStored(TARGET, [[0, 2]]);
    },
  },
  {
    name: "left by its gang",
    machines: THREE,
    job: { kind: "gang", tasks: 3, cpus: 8 },
    end: (cluster) => exitAll(cluster, "peers"),
  },
  {
    name: "in a gang that was never complete",
    machines: THREE,
    job: { kind: "gang", tasks: 3, cpus: 8 },
    end: (cluster) => exitAll(cluster, "alone"),
  },
];

/** How the worker is told to forget the attempt. */
interface Reap {
  readonly name: string;
  /** The delivery of the first requests that have a worker forget something. */
  readonly delivery: Delivery;
  readonly besideStarts: boolean;
}

const REAPS: readonly Reap[] = [
  { name: "alone", delivery: "answered", besideStarts: false },
  { name: "beside starts", delivery: "answered", besideStarts: true },
  { name: "without an answer", delivery: "unanswered", besideStarts: false },
  { name: "late", delivery: "late", besideStarts: false },
  { name: "late and beside starts", delivery: "late", besideStarts: true },
];

/** What happens once the worker has forgotten the attempt. */
const SEQUELS: readonly { name: string; run: (cluster: CopyingCluster) => void }[] = [
  { name: "in the same term", run: () => undefined },
  { name: "in a new term of the leader", run: (cluster) => cluster.renewTerm() },
  {
    name: "under another leader",
    run: (cluster) =>
      cluster.replaceLeader((scheduler) => release(scheduler, cluster.now, { id: "req-000009" })),
  },
  {
    name: "in a new session of the workers",
    run: ({ workers }) => {
      for (const worker of workers.values()) worker.beginSession();
    },
  },
];

/** Starts the target, ends it, and prepares how its workers forget it; the result steps on and tells whether they have. */
const prepare = (cluster: CopyingCluster, ending: Ending, reap: Reap): (() => boolean) => {
  const { job, end } = ending;
  release(cluster.scheduler, cluster.now, { id: TARGET, ...job });
  const tasks = job.tasks ?? 1;
  assert.ok(
    cluster.stepUntil(() => cluster.running(TARGET).length === tasks),
    "never: the tasks run",
  );
  const targets = cluster.running(TARGET);
  let affectedRequests = MAX_AFFECTED_REQUESTS;
  cluster.deliveryOf = ({ commands }) => {
    const isForget = commands.some(({ op }) => op === "forget");
    return isForget && affectedRequests-- > 0 ? reap.delivery : "answered";
  };
  end(cluster);
  let released = 0;
  return () => {
    if (reap.besideStarts && released < MAX_OTHER_JOBS)
      release(cluster.scheduler, cluster.now, {
        ...{ id: `req-0001${String(released++).padStart(2, "0")}`, cpus: 1, priority: "production" },
      });
    return targets.every(({ key, worker }) => worker.hasForgotten(key));
  };
};

for (const ending of ENDINGS)
  test(`copies of requests start nothing again: ${ending.name}`, () => {
    for (const reap of REAPS)
      for (const sequel of SEQUELS)
        for (const relayedBy of ["a", "b"]) {
          const cluster = new CopyingCluster(ending.machines);
          cluster.relayedBy = relayedBy;
          const isForgotten = prepare(cluster, ending, reap);
          const description = `forgotten ${reap.name}, ${sequel.name}, through ${relayedBy}`;
          assert.ok(cluster.stepUntil(isForgotten), `never: ${description}`);
          sequel.run(cluster);
          cluster.stepUntil(() => false, STEPS_OF_COPIES);
          assert.deepEqual(cluster.startedAgain(), [], description);
        }
  });

for (const ending of ENDINGS)
  test(`without the guard copies start an attempt again: ${ending.name}`, () => {
    // a start in a request without an answer raises the token by itself
    for (const reap of REAPS.filter(({ delivery }) => delivery === "answered")) {
      const cluster = new CopyingCluster(ending.machines);
      cluster.hasGuard = false;
      const step = prepare(cluster, ending, reap);
      const isStartedAgain = (): boolean => {
        step();
        return cluster.startedAgain().length > 0;
      };
      assert.ok(cluster.stepUntil(isStartedAgain), `forgotten ${reap.name}`);
    }
  });

test("a start that the worker refused for lack of room isn't repeated by a copy once there is room", () => {
  for (const hasGuard of [true, false]) {
    const cluster = new CopyingCluster(TWO);
    cluster.hasGuard = hasGuard;
    for (const worker of cluster.workers.values()) worker.refusal = "no_room";
    release(cluster.scheduler, cluster.now, { id: TARGET });
    assert.ok(cluster.stepUntil(() => cluster.requests.some(({ commands }) => commands[0]?.op === "forget")));
    for (const worker of cluster.workers.values()) worker.refusal = null;
    cluster.stepUntil(() => false, STEPS_OF_COPIES);
    assert.equal(cluster.startedAgain().length === 0, hasGuard);
    if (hasGuard) assert.equal(cluster.running(TARGET).length, 1);
  }
});

test("one raise of the token covers all attempts that were started under the earlier one", () => {
  const cluster = new CopyingCluster(ONE);
  release(cluster.scheduler, cluster.now, { id: TARGET, tasks: 5, cpus: 1 });
  cluster.stepUntil(() => cluster.running(TARGET).length === 5);
  const targets = cluster.running(TARGET);
  for (const [index, { key, worker }] of targets.slice(0, 4).entries()) {
    worker.exit(key, "done");
    cluster.scheduler.finishesStored(TARGET, [[0, index + 1]]);
    assert.ok(
      cluster.stepUntil(() => worker.hasForgotten(key)),
      `never: task ${index} is forgotten`,
    );
  }
  const forgets = cluster.requests.filter(({ commands }) => commands.some(({ op }) => op === "forget"));
  assert.equal(forgets.length, 4);
  assert.equal(cluster.scheduler.cluster.highestTokenStep, 1);
  assert.deepEqual(cluster.startedAgain(), []);
});

test("attempts of an earlier term are forgotten under this term's token, without a raise", () => {
  const cluster = new CopyingCluster(ONE);
  release(cluster.scheduler, cluster.now, { id: TARGET });
  cluster.stepUntil(() => cluster.running(TARGET).length === 1);
  const [target] = cluster.running(TARGET);
  const { key, worker } = present(target);
  cluster.replaceLeader(() => undefined);
  worker.exit(key, "error");
  assert.ok(cluster.stepUntil(() => worker.hasForgotten(key)));
  assert.equal(cluster.scheduler.cluster.highestTokenStep, 0);
  cluster.stepUntil(() => false, STEPS_OF_COPIES);
  assert.deepEqual(cluster.startedAgain(), []);
});
