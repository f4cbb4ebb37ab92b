/** Checks the core's indices against a checkInvariants of the whole picture. */
import assert from "node:assert/strict";
import { type Cluster, type TaskAttempt, occupiesCapacity } from "../src/core/cluster/cluster.js";
import { RANK } from "../src/core/records.js";

const ids = (set: Iterable<{ id: string }>): string[] => [...set].map((m) => m.id).sort();

/** Fails where an index of the cluster differs from what its machines, attempts and jobs say. */
export const checkInvariants = (c: Cluster): void => {
  const machines = [...c.machines.values()];
  const where = (test: (machine: (typeof machines)[number]) => boolean): string[] =>
    ids(machines.filter(test));
  assert.deepEqual(
    ids(c.unconfirmed),
    where((machine) => machine.recorded && !machine.confirmed),
  );
  assert.deepEqual(
    ids(c.unrecorded),
    where((machine) => !machine.recorded && machine.lastHeartbeatAt !== null),
  );
  assert.deepEqual(
    ids(c.byLastHeartbeat),
    where((machine) => machine.lastHeartbeatAt !== null),
  );
  assert.deepEqual(
    ids(c.unreachable),
    where((machine) => machine.unansweredBatches > 0),
  );
  const room = (machine: (typeof machines)[number]): boolean =>
    machine.cpus - machine.used.cpus > 1e-6 && machine.memoryGb - machine.used.memoryGb > 1e-6;
  assert.deepEqual(ids(c.capacityIndex.atLeast(0)), where(room));
  assert.deepEqual(
    ids(c.capacityIndex.atLeast(4)),
    where((machine) => room(machine) && Math.floor(machine.cpus - machine.used.cpus + 1e-6) >= 4),
  );

  const attempts: TaskAttempt[] = machines.flatMap((machine) => [...machine.attempts.values()]);
  assert.deepEqual(
    [...c.unacknowledgedStarts].length,
    attempts.filter((attempt) => attempt.unacknowledgedToken !== null).length,
  );
  const orphans = attempts.filter((attempt) => attempt.spec === null);
  assert.equal(
    [...c.orphanedAttempts.values()].reduce((n, set) => n + set.size, 0),
    orphans.length,
  );
  const live = attempts.filter(occupiesCapacity);
  for (const machine of machines) {
    const mine = live.filter((attempt) => attempt.machine === machine.id);
    const cpus = mine.reduce((sum, attempt) => sum + (attempt.spec?.cpus ?? 0), 0);
    assert.ok(Math.abs(cpus - machine.used.cpus) < 1e-6, `${machine.id}: ${machine.used.cpus} for ${cpus}`);
    assert.equal(
      c.orphanedAttemptCounts.get(machine) ?? 0,
      mine.filter((attempt) => attempt.spec === null).length,
    );
  }
  const byRank = [0, 0, 0, 0];
  const byClass = new Map<string, number>();
  for (const { spec } of live) {
    if (spec === null) continue;
    byRank[RANK[spec.priority]]!++;
    byClass.set(spec.className, (byClass.get(spec.className) ?? 0) + 1);
  }
  assert.deepEqual(c.attemptsByRank, byRank);
  assert.deepEqual(new Map([...c.attemptsByClass].sort()), new Map([...byClass].sort()));

  for (const job of c.jobs.values()) {
    const mine = attempts.filter((attempt) => attempt.job === job.spec.id);
    const listed = [...job.attempts.values()].flat();
    assert.deepEqual(new Set(listed), new Set(mine));
    const running = mine.filter(
      (attempt) => attempt.state === "running" || attempt.state === "saving",
    ).length;
    assert.equal(job.runningTasks, running, job.spec.id);
    assert.equal(c.pendingJobs.has(job), job.pending.size > 0, job.spec.id);
    const done = job.done.covers(job.spec.tasks);
    if (c.awaitingCommit.has(job)) assert.ok(done && !job.committing);
    for (let n = 0; n < job.spec.tasks; n++) {
      const held = mine.some(
        (attempt) => attempt.index === n && (occupiesCapacity(attempt) || attempt.exitReason === "done"),
      );
      assert.equal(job.pending.has(n), !held && !job.done.has(n), `${job.spec.id}/${n}`);
    }
  }
};
