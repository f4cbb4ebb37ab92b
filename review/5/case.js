/**
 * One team is at its limit while a gang of it waits. Another team submits small jobs, for which there is room all the
 * time. Nothing fails.
 */
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { job, runCase, smallParams } from "../lib-2/deployment.js";
import { sleep } from "../lib-2/wire.js";

const HERE = dirname(fileURLToPath(import.meta.url));
/** How long a job may wait while a machine that fits has room and its team is under its limit. */
const MAX_WAIT_S = 90;
const MARGIN_S = 0.5;
/** How long the gang has waited when the small jobs are submitted. */
const GANG_WAIT_S = 15.5;
const LIMIT_CPUS = 12;
const SMALL_JOBS = 6;
const RUN_MS = 3000;

const params = smallParams({
  teams: [
    { name: "blue", cpus: 0, cpus_max: LIMIT_CPUS, gpus: 0, gpus_max: 0 },
    { name: "red", cpus: 0, cpus_max: 64, gpus: 0, gpus_max: 0 },
  ],
});

const options = {
  controllers: ["hearth-0", "hearth-1", "hearth-2"].map((member) => ({ member, domain: "norte" })),
  params,
  build: {
    ...{ label: "medio", vcpus: 10, gpus: 0, mem_gb: 40, cache_gb: 50, pull_gb_per_s: 1 },
    ...{ rate: 0.4, spot_price: 0.1, startup_s: 20, districts: ["norte"] },
  },
  maxMachines: 8,
  recordFile: join(HERE, "record.txt"),
};

await runCase(options, async (deployment, isTroubled) => {
  const { cloud } = deployment;
  const on = (ref) => deployment.onMachines(ref).size;
  await deployment.until("all controllers are ready", 20, () => deployment.isReady());
  // with two replicas, blue can't start its gang within its limit; with one, it can
  const replicas = isTroubled ? 2 : 1;
  const service = job("req-000600", {
    ...{ crew: "blue", roster: "site", shape: "daemon", urgency: "critical" },
    ...{ chores: replicas, vcpus: 4, expected_s: 0 },
  });
  await deployment.submit(service, null);
  const gang = job("req-000601", {
    ...{ crew: "blue", roster: "dumps", shape: "ensemble", urgency: "urgent" },
    ...{ chores: 2, vcpus: 4, expected_s: 600 },
  });
  await deployment.submit(gang, 600_000);
  const gangWaitsSince = deployment.now();
  await deployment.until("the service runs", 15, () => on("req-000600") === replicas);
  await sleep((gangWaitsSince + GANG_WAIT_S - deployment.now()) * 1000);
  deployment.note(`tasks of the gang on machines: ${on("req-000601")}`);

  const ids = Array.from({ length: SMALL_JOBS }, (_, at) => `req-00061${at}`);
  for (const id of ids)
    await deployment.submit(job(id, { crew: "red", roster: "lookups", vcpus: 1, expected_s: 3 }), RUN_MS);
  const submitted = deployment.now();
  const hasRun = (id) => deployment.events.some(({ chore, what }) => what === "on" && chore === `${id}/0`);
  while (deployment.now() - submitted < MAX_WAIT_S + MARGIN_S) {
    if (ids.every(hasRun)) return null;
    if (!cloud.workers().some((worker) => worker.freeCpus() >= 1)) throw new Error("no machine has room");
    if (Math.round(deployment.now() - submitted) % 15 === 0) {
      const free = cloud.workers().map((worker) => `${worker.id} ${worker.freeCpus()}`);
      deployment.note(`free CPUs: ${free.join(", ")}`);
      await deployment.ask("hearth-0", "GET", `/v2/runs/${ids[0]}`);
    }
    await sleep(500);
  }
  const waiting = ids.filter((id) => !hasRun(id));
  return `${waiting.length} of ${ids.length} jobs of red waited for ${MAX_WAIT_S} s while machines had room`;
});
