/** Machines hang right after the leader lost the other controllers for a moment, while the cloud is down. */
import path from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { seconds, sleep } from "../stand-ins-2/common.js";
import { runCase, World } from "../stand-ins-2/world.js";

const WITH_TROUBLE = process.env.TROUBLE !== "0";
const MACHINES = 420;
const REPLICAS = 4;
const HUNG = 34;
const HANG_S = 30.5;
const CUT_S = 1.4;
const ZONES = ["cordoba-norte", "rosario-sur", "cordoba-norte"];
const MACHINE_ZONES = ["cordoba-norte", "rosario-sur"];
const TEAM = "operaciones-recolecta-00";

const world = new World(path.dirname(fileURLToPath(import.meta.url)), {
  zones: ZONES,
  params: {
    teams: [{ name: TEAM, cpus: 1500, cpus_max: 6000, gpus: 0, gpus_max: 0 }],
    objectives: [],
    workers: { report_s: 6, lease_s: 34, gang_wait_s: 45, gang_peer_s: 4, cancel_s: 59 },
    state: { rps: 180, write_rps: 60, value_kb: 16, txn_ops: 16 },
    cloud: { rps: 4, list_lag_s: 8 },
    machine_limits: { core_share: 0.289, ram_mb: 290, max_connections: 2108 },
    clock_off_ms: 1000,
  },
  cloud: {
    types: [
      {
        ...{ label: "chico-ocho", vcpus: 8, gpus: 0, mem_gb: 32, cache_gb: 70, pull_gb_per_s: 0.25 },
        ...{ rate: 0.42, spot_price: 0.14, startup_s: 3, districts: MACHINE_ZONES },
      },
    ],
    capacity: MACHINE_ZONES.map((zone) => ({ type: "chico-ocho", zone, count: MACHINES / 2 })),
  },
});

/** Each replica takes a whole machine. */
const service = (number) => ({
  ref: `req-${String(number).padStart(6, "0")}`,
  ...{ roster: "calendario-vivo", crew: TEAM, shape: "daemon", urgency: "critical", chores: REPLICAS },
  ...{ vcpus: 8, mem_gb: 22, bundle: "img-calendario", image_gb: 0.25 },
});

const jobs = Array.from({ length: MACHINES / REPLICAS }, (_, n) => service(101 + n));

/** Some of the machines that a controller answered a moment ago, chosen at random. */
const chooseMachines = (count) => {
  const all = [...world.onMachines].map(({ worker }) => worker);
  for (let at = all.length - 1; at > 0; at--) {
    const other = Math.floor(Math.random() * (at + 1));
    [all[at], all[other]] = [all[other], all[at]];
  }
  return all.slice(0, count);
};

await runCase(world, async () => {
  await Promise.all(jobs.map((job) => world.submit(job, null)));
  if (!(await world.until(() => world.onMachines.size === MACHINES, 30)))
    throw new Error("the jobs don't run");
  await sleep(3);
  const leader = world.leader();
  if (leader === undefined) throw new Error("there is no leader");
  if (WITH_TROUBLE) world.cloudOutage(true);
  await sleep(1);
  if (WITH_TROUBLE) world.cutFromStateAndPeers(leader);
  await sleep(CUT_S);
  if (WITH_TROUBLE) world.heal(leader);
  const hung = chooseMachines(HUNG);
  if (WITH_TROUBLE)
    for (const worker of hung) {
      const left = worker.leaseFrom + world.params.workers.lease_s - seconds();
      world.record.add(
        `trouble: ${worker.machine.id} hangs for ${HANG_S} s, its lease ends in ${left.toFixed(2)} s`,
      );
      worker.hang(HANG_S);
    }
  const hungAt = seconds();
  await sleep(26);
  // users call off other jobs, so that there is room
  const hit = new Set(
    [...world.onMachines].filter(({ worker }) => hung.includes(worker)).map(({ task }) => task.job.ref),
  );
  const others = jobs.filter(({ ref }) => !hit.has(ref)).slice(0, Math.ceil((1.5 * HUNG) / REPLICAS));
  await Promise.all(others.map(({ ref }) => world.cancel(ref)));
  await sleep(hungAt + HANG_S + 2 - seconds());
  if (WITH_TROUBLE) world.cloudOutage(false);
  await sleep(3);
  world.record.add(`tasks that ran twice: ${world.ranTwice.join(" ") || "none"}`);
  return world.ranTwice.length === 0;
});
