/**
 * Measures what it costs a member to send relayed content again: the size of the next direct update, the time to make it,
 * and the heap that the names take meanwhile. Not a test, and not run by CI.
 */
import * as Duration from "effect/Duration";
import { WorkerPartition } from "../../src/core/members/worker-partition.js";
import type { Heartbeat } from "../../src/core/records.js";
import { instant } from "../../src/core/time.js";
import { syncRequestCodec } from "../../src/io/peer-codec.js";

const MACHINE_COUNTS = [1500, 4000];
const MEMBERS = 3;
const TASKS_PER_MACHINE = 16;
const MAX_RELAYED_HEARTBEATS = 60;
const TERM = {
  ...{ number: 4, leader: "other", leaderRevision: 9 },
  members: [{ name: "m", incarnation: 1, zone: "a" }],
};

const heartbeatOf = (machine: number): Heartbeat => ({
  ...{ machine: `n-${String(machine).padStart(6, "0")}`, addr: "127.0.0.1:9000", type: "small", zone: "a" },
  ...{ spot: false, workerEpoch: 1, sequence: 1, fencingToken: 4_000_000, reclaimNoticeSeconds: null },
  tasks: Array.from({ length: TASKS_PER_MACHINE }, (_, index) => ({
    ...{ job: `req-${String(machine % 2000).padStart(6, "0")}`, index, attempt: 1 },
    ...{ state: "running" as const, exitReason: null },
  })),
});

for (const machines of MACHINE_COUNTS) {
  const partition = new WorkerPartition("m", 16_000, Duration.seconds(4));
  partition.setTerm(TERM);
  const served = Math.ceil(machines / MEMBERS);
  for (let machine = 0; machine < served; machine++)
    partition.handleHeartbeat(heartbeatOf(machine), true, 1, instant(1000));
  globalThis.gc?.();
  const heapBefore = process.memoryUsage().heapUsed;
  while (partition.hasUpdate())
    partition.updateRelayed(partition.takeUpdate(instant(2000), MAX_RELAYED_HEARTBEATS));
  globalThis.gc?.();
  const heapKb = (process.memoryUsage().heapUsed - heapBefore) / 1024;
  const startedAt = process.cpuUsage();
  partition.reportRelayedAgain();
  let bytes = 0;
  let messages = 0;
  do {
    const update = partition.takeUpdate(instant(3000));
    messages++;
    bytes += syncRequestCodec.encode({
      ...{ termNumber: 4, member: "m", incarnation: 1, leaderClockMark: 1, progressVersion: 1 },
      ...{ reachesStateService: true, ...update },
    }).length;
  } while (partition.hasUpdate());
  const { user, system } = process.cpuUsage(startedAt);
  console.log(
    `${machines} machines, ${served} of this member, all relayed: ${Math.round(bytes / 1024)} KiB once more in ${messages} messages, ` +
      `${(user + system) / 1000} ms, ${Math.round(heapKb)} KiB of heap`,
  );
}
