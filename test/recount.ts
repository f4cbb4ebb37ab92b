/** Checks the core's indices against a recount of the whole picture. */
import assert from "node:assert/strict";
import { type Cluster, type TaskAttempt, occupiesCapacity } from "../src/core/cluster.js";
import { RANK } from "../src/core/records.js";

const ids = (set: Iterable<{ id: string }>): string[] => [...set].map((m) => m.id).sort();

export const recount = (c: Cluster): void => {
  const machines = [...c.machines.values()];
  const where = (test: (m: (typeof machines)[number]) => boolean): string[] => ids(machines.filter(test));
  assert.deepEqual(
    ids(c.unconfirmed),
    where((m) => m.recorded && !m.confirmed),
  );
  assert.deepEqual(
    ids(c.unrecorded),
    where((m) => !m.recorded && m.lastHeartbeatAt !== null),
  );
  assert.deepEqual(
    ids(c.byLastHeartbeat),
    where((m) => m.lastHeartbeatAt !== null),
  );
  assert.deepEqual(
    ids(c.unreachable),
    where((m) => m.unansweredBatches > 0),
  );
  const room = (m: (typeof machines)[number]): boolean =>
    m.cpus - m.used.cpus > 1e-6 && m.memoryGb - m.used.memoryGb > 1e-6;
  assert.deepEqual(ids(c.capacityIndex.atLeast(0)), where(room));
  assert.deepEqual(
    ids(c.capacityIndex.atLeast(4)),
    where((m) => room(m) && Math.floor(m.cpus - m.used.cpus + 1e-6) >= 4),
  );

  const attempts: TaskAttempt[] = machines.flatMap((m) => [...m.attempts.values()]);
  assert.deepEqual(
    [...c.unacknowledgedStarts].length,
    attempts.filter((h) => h.unacknowledgedToken !== null).length,
  );
  const orphans = attempts.filter((h) => h.spec === null);
  assert.equal(
    [...c.orphanedAttempts.values()].reduce((n, set) => n + set.size, 0),
    orphans.length,
  );
  const live = attempts.filter(occupiesCapacity);
  for (const m of machines) {
    const mine = live.filter((h) => h.machine === m.id);
    const cpus = mine.reduce((sum, h) => sum + (h.spec?.cpus ?? 0), 0);
    assert.ok(Math.abs(cpus - m.used.cpus) < 1e-6, `${m.id}: ${m.used.cpus} for ${cpus}`);
    assert.equal(c.orphanedAttemptCounts.get(m) ?? 0, mine.filter((h) => h.spec === null).length);
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
    const mine = attempts.filter((h) => h.job === job.spec.id);
    const listed = [...job.attempts.values()].flat();
    assert.deepEqual(new Set(listed), new Set(mine));
    const running = mine.filter((h) => h.state === "running" || h.state === "saving").length;
    assert.equal(job.running, running, job.spec.id);
    assert.equal(c.pendingJobs.has(job), job.pending.size > 0, job.spec.id);
    const done = job.done.covers(job.spec.tasks);
    if (c.awaitingCommit.has(job)) assert.ok(done && !job.committing);
    for (let n = 0; n < job.spec.tasks; n++) {
      const held = mine.some((h) => h.index === n && (occupiesCapacity(h) || h.exitReason === "done"));
      assert.equal(job.pending.has(n), !held && !job.done.has(n), `${job.spec.id}/${n}`);
    }
  }
};
