/**
 * Measures what it costs a controller to know which jobs have ended: the read of a new process (bytes, time and heap), and
 * the look-up for each reported task. Not a test, and not run by CI.
 */
import { EndedJobs, type JobStanding } from "../../src/core/jobs/ended-jobs.js";
import { WorkerPartition } from "../../src/core/members/worker-partition.js";
import { type Heartbeat, keys } from "../../src/core/records.js";
import { fencingTokenOf } from "../../src/core/leases/term.js";
import { instant } from "../../src/core/time.js";
import { stateServiceApi } from "../../src/io/codec.js";
import * as Duration from "effect/Duration";

const MACHINE_COUNTS = [1500, 4000];
const TASKS_PER_MACHINE = 16;
const UNFINISHED_JOBS = 2000;
const ROUNDS = 20;
/** Commits within `cancel_s` if every change at the limits of recolecta-cordoba's rate were one: more than there can be. */
const MAX_COMMITS = 4224;
const TERM = {
  ...{ number: 4, leader: "m", leaderRevision: 9 },
  members: [{ name: "m", incarnation: 1, zone: "a" }],
};

const jobName = (index: number): string => `req-${String(index).padStart(6, "0")}`;

const heartbeatOf = (machine: number, sequence: number): Heartbeat => ({
  ...{ machine: `n-${String(machine).padStart(6, "0")}`, addr: "127.0.0.1:9", type: "small", zone: "a" },
  ...{ spot: false, workerEpoch: 1, sequence, fencingToken: fencingTokenOf(4), reclaimNoticeSeconds: null },
  tasks: Array.from({ length: TASKS_PER_MACHINE }, (_, index) => ({
    ...{ job: jobName((machine * 7 + index) % UNFINISHED_JOBS), index, attempt: 1 },
    ...{ state: "running" as const, exitReason: null },
  })),
});

const measureRead = (): void => {
  const news = Array.from({ length: MAX_COMMITS }, (_, index) => ({
    ...{ write: keys.commit(jobName(index)), value: { outcome: "cancelled", tasks: 12 }, stamp: index },
  }));
  const body = JSON.stringify({ ledger: MAX_COMMITS, news });
  globalThis.gc?.();
  const heapBefore = process.memoryUsage().heapUsed;
  const startedAt = process.cpuUsage();
  const ended = new EndedJobs({ cancelDeadline: Duration.seconds(59), maxJobs: 20_000 });
  for (const { key } of stateServiceApi.parseEvents(JSON.parse(body)).events)
    ended.add(key.slice(keys.commits.length));
  const { user, system } = process.cpuUsage(startedAt);
  globalThis.gc?.();
  const heapKb = (process.memoryUsage().heapUsed - heapBefore) / 1024;
  console.log(
    `read of ${MAX_COMMITS} commits: ${Math.round(body.length / 1024)} KiB, ${(user + system) / 1000} ms, ` +
      `${Math.round(heapKb)} KiB of heap kept (${ended.has(jobName(0))})`,
  );
};

const measureHeartbeats = (machines: number, standingOf: (job: string) => JobStanding): number => {
  const partition = new WorkerPartition("m", 16_000, Duration.seconds(4));
  partition.setTerm(TERM);
  const rounds = Array.from({ length: ROUNDS }, (_, round) =>
    Array.from({ length: machines }, (__, machine) => heartbeatOf(machine, round + 1)),
  );
  const startedAt = process.cpuUsage();
  for (const [round, heartbeats] of rounds.entries())
    for (const heartbeat of heartbeats)
      partition.handleHeartbeat(heartbeat, true, 1, instant(round * 6000), standingOf);
  const { user, system } = process.cpuUsage(startedAt);
  return (user + system) / 1000 / ROUNDS;
};

measureRead();
const unfinished = new Map(Array.from({ length: UNFINISHED_JOBS }, (_, index) => [jobName(index), index]));
const ended = new EndedJobs({ cancelDeadline: Duration.seconds(59), maxJobs: 20_000 });
ended.listed(instant(0), false);
for (let index = UNFINISHED_JOBS; index < UNFINISHED_JOBS + 20_000; index++) ended.add(jobName(index));
const endedOnly = (job: string): JobStanding => (ended.has(job) ? "ended" : "unfinished");
const standing = (job: string): JobStanding => ended.standingOf(job, unfinished.has(job), instant(1));
for (const machines of MACHINE_COUNTS) {
  measureHeartbeats(machines, endedOnly);
  const before = measureHeartbeats(machines, endedOnly);
  const after = measureHeartbeats(machines, standing);
  console.log(
    `${machines} machines of ${TASKS_PER_MACHINE} tasks, one heartbeat each: ${before.toFixed(2)} ms with the look-up ` +
      `of before, ${after.toFixed(2)} ms with this one`,
  );
}
