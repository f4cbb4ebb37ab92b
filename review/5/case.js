/**
 * A zone with workers is cut off, a job that runs there is cancelled, all controllers crash and come back, and then the
 * state service is out. The zone is reachable again well before its workers' leases end.
 */
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { job, runCase, smallParams } from "../lib-2/deployment.js";
import { sleep } from "../lib-2/wire.js";

const HERE = dirname(fileURLToPath(import.meta.url));
const params = smallParams();
const CANCEL_S = params.workers.cancel_s;
const RUNNING = "req-000419";
const TASKS = 4;

/** Seconds after the cancel was confirmed. */
const CRASH_AT = 1;
/** The controllers are back this long after their end, as on the page of the deployment with these settings. */
const BACK_AFTER = 6;
const OUTAGE_AT = 16;
const CUT_ENDS_AT = 19;
/** Allows for the time between an event and its line in the record. */
const MARGIN_S = 0.5;

const options = {
  controllers: ["hearth-0", "hearth-1", "hearth-2"].map((member) => ({ member, domain: "norte" })),
  params,
  // one task fills a machine, and the machines are in the zone that has no controller
  build: {
    ...{ label: "chico", vcpus: 4, gpus: 0, mem_gb: 16, cache_gb: 50, pull_gb_per_s: 1 },
    ...{ rate: 0.4, spot_price: 0.1, startup_s: 20, districts: ["sur"] },
  },
  maxMachines: TASKS,
  recordFile: join(HERE, "record.txt"),
};

await runCase(options, async (deployment, isTroubled) => {
  const { cloud, state } = deployment;
  const at = async (second, from) => sleep((from + second - deployment.now()) * 1000);
  await deployment.until("all controllers are ready", 20, () => deployment.isReady());
  await deployment.submit(
    job(RUNNING, { shape: "daemon", urgency: "critical", chores: TASKS, vcpus: 4, expected_s: 0 }),
    null,
  );
  const running = () => deployment.onMachines(RUNNING).size;
  await deployment.until("all replicas run", 25, () => running() === TASKS);
  await sleep(2000);

  if (isTroubled) {
    deployment.note("the zone sur is cut off");
    for (const worker of cloud.workers()) worker.setCut(true);
    await sleep(500);
  }
  const leader = deployment.leader();
  const other = deployment.nodes.find(({ member }) => member !== leader).member;
  const answer = await deployment.ask(other, "POST", `/v2/runs/${RUNNING}/cancel`, {});
  if (answer?.status !== 200 || answer.body.status !== "aborted") throw new Error("not cancelled");
  const told = deployment.now();

  if (isTroubled) {
    await at(CRASH_AT, told);
    for (const { member } of deployment.nodes) deployment.kill(member);
    await at(CRASH_AT + BACK_AFTER, told);
    for (const { member } of deployment.nodes) deployment.startController(member);
    const isBack = () => deployment.isReady();
    await deployment.until("all controllers are back", OUTAGE_AT - CRASH_AT - BACK_AFTER, isBack);
    await at(OUTAGE_AT, told);
    deployment.note(`the state service is out; ${running()} cancelled tasks are on their machines`);
    state.setDown(true);
    await at(CUT_ENDS_AT, told);
    deployment.note("the zone sur is reachable again");
    for (const worker of cloud.workers()) worker.setCut(false);
  }
  await at(CANCEL_S + MARGIN_S, told);
  const late = [...deployment.onMachines(RUNNING).keys()];
  deployment.note(`${CANCEL_S} s after the user was told: on machines: ${late.join(", ") || "none"}`);
  // how much longer they stay, for the record
  await deployment.until("the cancelled tasks are gone", 12, () => running() === 0).catch(() => undefined);
  deployment.note(
    `${(deployment.now() - told).toFixed(1)} s after the user was told: ${running()} on machines`,
  );
  return late.length === 0
    ? null
    : `ran_cancelled: ${late.length} tasks on their machines ${CANCEL_S} s after their user was told`;
});
