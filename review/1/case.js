/* global URL */
/**
 * A task was preempted on one machine, reaped there, and runs on another. The controller that had sent its first start
 * ends and comes back, and a late copy of that request arrives at the first machine. The task must not start there.
 */
import process from "node:process";
import { fileURLToPath } from "node:url";
import { ask, sleep } from "../lib/http.js";
import { exitCodes, jobOf, refOf, Site, Users } from "../lib/site.js";
import { litoral } from "../lib/sites.js";

const trouble = process.env.TROUBLE !== "0";
const options = litoral();
// machines may be up within a second or two
for (const type of options.types) type.startup_s = 2;
const site = new Site({ folder: fileURLToPath(new URL(".", import.meta.url)), ...options });
const { record } = site;
const users = new Users(site);

// a machine has four processors: the service and the task leave one free, so that the urgent job needs the task's
const service = jobOf(refOf(398), { shape: "daemon", urgency: "critical", expected_s: 0 });
const moved = jobOf(refOf(412), { urgency: "idle", vcpus: 2, run_s: 600, expected_s: 600 });
const urgent = jobOf(refOf(413), { urgency: "critical", vcpus: 2, run_s: 12, expected_s: 12 });
const taskOf = ({ ref }) => `${ref}/0`;

const until = async (what, seconds, condition) => {
  const end = record.seconds() + seconds;
  while (record.seconds() < end) {
    if (condition()) return;
    await sleep(50);
  }
  site.finish(exitCodes.notRun, `never: ${what}`);
};
const workers = () => [...site.cloud.machines.values()].filter(({ up }) => up).map(({ worker }) => worker);
/** The workers that report the job's task, with its state. */
const placesOf = (job) =>
  workers().flatMap((worker) =>
    [...worker.tasks.values()]
      .filter(({ chore }) => chore === taskOf(job))
      .map(({ status }) => ({ worker, status })),
  );
/** The machines that the task is on: it has its image and hasn't ended. */
const machinesOf = (job) =>
  placesOf(job)
    .filter(({ status }) => status !== "ended" && status !== "fetching")
    .map(({ worker }) => worker);
const runs = (job) => machinesOf(job).length > 0;

/** The request that carried the task's first start, and the worker that it was sent to. */
let original = null;
await site.start();
site.cloud.onOrders = (worker, body) => {
  const starts = body.orders.some(({ verb, chore }) => verb === "start" && chore === taskOf(moved));
  if (starts && original === null) {
    original = { worker, body, sender: worker.nodes[worker.nodeIndex] };
    record.say("first start sent", { worker: worker.id, through: original.sender.name, body });
  }
};
await site.untilUp();
await users.submit(service);
await until("the service runs", 30, () => runs(service));
await users.submit(moved);
await until("the task runs", 30, () => runs(moved));
await sleep(2000);
await users.submit(urgent);
const { worker, body, sender } = original;
await until("the task runs on another machine", 40, () =>
  machinesOf(moved).some((other) => other !== worker),
);
await until("it is reaped on the first", 20, () => placesOf(moved).every((place) => place.worker !== worker));
record.say("task preempted, reaped and started elsewhere", { task: taskOf(moved), first: worker.id });
await until("the urgent job is over", 40, () => placesOf(urgent).length === 0 && worker.used().vcpus <= 2);
if (!worker.alive || worker.shift !== body.shift || machinesOf(moved).length !== 1)
  site.finish(exitCodes.notRun, "the first machine is gone, or the task doesn't run on exactly one");

if (trouble) {
  site.kill(sender, 3000);
  await sleep(500);
  record.say("a late copy of the start arrives", {
    worker: worker.id,
    highest: worker.baton,
    of: body.baton,
  });
  const copy = await ask(false, worker.addr, "POST", "/orders", body, 4000);
  record.say("the worker answered the copy", { status: copy?.status ?? 0 });
}
let twice = 0;
let most = 0;
const observedFrom = record.seconds();
while (record.seconds() < observedFrom + 20) {
  const on = machinesOf(moved);
  if (on.length > 1 && twice++ === 0)
    record.say("the task is on two machines", { machines: on.map(({ id }) => id) });
  most = Math.max(most, on.length);
  await sleep(20);
}
record.say("end", { most_machines_at_a_time: most, at_the_end: machinesOf(moved).map(({ id }) => id) });
if (most > 1)
  site.finish(exitCodes.broken, `${taskOf(moved)} started on one machine while it was on another`);
site.finish(exitCodes.held, "the task was on one machine at a time");
