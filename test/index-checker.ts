/** Checks the indices of the core's cluster state against a full scan. */
import assert from "node:assert/strict";
import { type Cluster, type TaskAttempt, occupiesCapacity } from "../src/core/cluster/cluster.js";
import { RANK } from "../src/core/records.js";

const ids = (set: Iterable<{ id: string }>): string[] => [...set].map((m) => m.id).sort();

/** Fails if an index of the cluster differs from what a scan of its machines, attempts and jobs gives. */
export const checkClusterIndices = (cluster: Cluster): void => {
  const machines = [...cluster.machines.values()];
  const machineIds = (condition: (machine: (typeof machines)[number]) => boolean): string[] =>
    ids(machines.filter(condition));
  assert.deepEqual(
    ids(cluster.unconfirmed),
    machineIds((machine) => machine.recorded && !machine.confirmed),
  );
  assert.deepEqual(
    ids(cluster.unrecorded),
    machineIds((machine) => !machine.recorded && machine.lastHeartbeatAt !== null),
  );
  assert.deepEqual(
    ids(cluster.byLastHeartbeat),
    machineIds((machine) => machine.lastHeartbeatAt !== null),
  );
  assert.deepEqual(
    ids(cluster.unreachable),
    machineIds((machine) => machine.unansweredBatches > 0),
  );
  const hasRoom = (machine: (typeof machines)[number]): boolean =>
    machine.cpus - machine.used.cpus > 1e-6 && machine.memoryGb - machine.used.memoryGb > 1e-6;
  assert.deepEqual(ids(cluster.capacityIndex.atLeast(0)), machineIds(hasRoom));
  assert.deepEqual(
    ids(cluster.capacityIndex.atLeast(4)),
    machineIds((machine) => hasRoom(machine) && Math.floor(machine.cpus - machine.used.cpus + 1e-6) >= 4),
  );

  const attempts: TaskAttempt[] = machines.flatMap((machine) => [...machine.attempts.values()]);
  assert.deepEqual(
    [...cluster.unacknowledgedStarts].length,
    attempts.filter((attempt) => attempt.unacknowledgedToken !== null).length,
  );
  const orphans = attempts.filter((attempt) => attempt.spec === null);
  assert.equal(
    [...cluster.orphanedAttempts.values()].reduce((n, set) => n + set.size, 0),
    orphans.length,
  );
  const occupying = attempts.filter(occupiesCapacity);
  for (const machine of machines) {
    const machineAttempts = occupying.filter((attempt) => attempt.machine === machine.id);
    const cpus = machineAttempts.reduce((sum, attempt) => sum + (attempt.spec?.cpus ?? 0), 0);
    assert.ok(Math.abs(cpus - machine.used.cpus) < 1e-6, `${machine.id}: ${machine.used.cpus} for ${cpus}`);
    assert.equal(
      cluster.orphanedAttemptCounts.get(machine) ?? 0,
      machineAttempts.filter((attempt) => attempt.spec === null).length,
    );
  }
  const attemptsByRank = [0, 0, 0, 0];
  const attemptsByClass = new Map<string, number>();
  for (const { spec } of occupying) {
    if (spec === null) continue;
    attemptsByRank[RANK[spec.priority]]!++;
    attemptsByClass.set(spec.className, (attemptsByClass.get(spec.className) ?? 0) + 1);
  }
  assert.deepEqual(cluster.attemptsByRank, attemptsByRank);
  assert.deepEqual(new Map([...cluster.attemptsByClass].sort()), new Map([...attemptsByClass].sort()));

  for (const job of cluster.jobs.values()) {
    const mine = attempts.filter((attempt) => attempt.job === job.spec.id);
    const jobAttempts = [...job.attempts.values()].flat();
    assert.deepEqual(new Set(jobAttempts), new Set(mine));
    const running = mine.filter(
      (attempt) => attempt.state === "running" || attempt.state === "saving",
    ).length;
    assert.equal(job.runningTasks, running, job.spec.id);
    assert.equal(cluster.pendingJobs.has(job), job.pending.size > 0, job.spec.id);
    const isDone = job.done.covers(job.spec.tasks);
    if (cluster.awaitingCommit.has(job)) assert.ok(isDone && !job.committing);
    for (let n = 0; n < job.spec.tasks; n++) {
      const isHeld = mine.some(
        (attempt) => attempt.index === n && (occupiesCapacity(attempt) || attempt.exitReason === "done"),
      );
      assert.equal(job.pending.has(n), !isHeld && !job.done.has(n), `${job.spec.id}/${n}`);
    }
  }
};
