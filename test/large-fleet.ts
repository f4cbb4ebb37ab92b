/** Fleets of thousands of machines with the leader's scheduler, and a counter of the elements that an event visits. */
import * as Duration from "effect/Duration";
import type { Cluster } from "../src/core/cluster/cluster.js";
import type { JobSpec, TaskStatus } from "../src/core/records.js";
import { type Decision, Scheduler } from "../src/core/scheduler/scheduler.js";
import { leaseTimingsOf, fencingTokenOf } from "../src/core/leases/term.js";
import { instant } from "../src/core/time.js";
import { TYPES } from "./model.js";
import { jobSpec } from "./specs.js";

/** Counts the elements that are visited by iterations over the maps and sets of the cluster's state. */
export const countVisits = (cluster: Cluster): { visits: number } => {
  const counter = { visits: 0 };
  const collections: unknown[] = [...Object.values(cluster), ...cluster.capacityIndex.buckets];
  for (const collection of collections) {
    if (!(collection instanceof Map || collection instanceof Set)) continue;
    for (const name of ["values", "keys", "entries", Symbol.iterator] as const) {
      const original = (collection[name] as () => IterableIterator<unknown>).bind(collection);
      Object.defineProperty(collection, name, {
        value: function* () {
          for (const element of original()) {
            counter.visits++;
            yield element;
          }
        },
      });
    }
  }
  return counter;
};

/** The job with this number in its fleet; an array of 100 tasks by default. */
export const largeFleetJob = (jobNumber: number, overrides: Partial<JobSpec>): JobSpec =>
  jobSpec({
    id: `req-${jobNumber}`,
    className: "routes",
    team: "red",
    tasks: 100,
    image: `img-${jobNumber % 10}`,
    estimate: Duration.seconds(35),
    ...overrides,
  });

/** A full fleet with waiting jobs; every machine carries out its commands at once. */
export class LargeFleet {
  now = 1000;
  readonly scheduler: Scheduler;
  readonly tasks = new Map<string, Map<string, TaskStatus>>();
  /** The fencing token that the machines report. */
  knownToken = fencingTokenOf(1);
  private sequence = 0;

  constructor(machineCount: number, arrayCount: number, serviceCount: number) {
    const timings = leaseTimingsOf({ leaseS: 34, reportS: 6, cancelS: 59 }, Duration.seconds(3));
    const team = { name: "red", guaranteedCpus: 1e6, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 };
    const term = {
      number: 1,
      leaderRevision: 5,
      leader: "a",
      members: [{ name: "a", incarnation: 1, zone: "east" }],
    };
    const fleet = { reuse: 0.5, idleBoots: 0.6, warmFor: Duration.seconds(10) };
    const options = { timings, teams: new Map([["red", team]]), fleet, startLatencyObjectives: new Map() };
    this.scheduler = new Scheduler(options, term, 10, instant(0));
    this.scheduler.setMachineTypes(TYPES);
    for (let i = 0; i < machineCount; i++) {
      const id = `n-${i}`;
      this.scheduler.machineRecorded(
        id,
        { type: "small", zone: i % 2 === 0 ? "east" : "west", spot: false, addr: id },
        instant(0),
      );
      this.tasks.set(id, new Map());
      this.sendHeartbeat(id);
    }
    let jobNumber = 0;
    while (jobNumber < serviceCount)
      this.scheduler.jobReleased(
        largeFleetJob(jobNumber, { kind: "service", priority: "production", tasks: 2, cpus: 2, spot: false }),
        20 + jobNumber++,
        instant(this.now),
      );
    while (jobNumber < serviceCount + arrayCount)
      this.scheduler.jobReleased(largeFleetJob(jobNumber, {}), 20 + jobNumber++, instant(this.now));
    for (let i = 0; i < 400 && this.step() > 0; i++) {
      this.now += 50;
      if (i % 40 === 0) for (const id of this.tasks.keys()) this.sendHeartbeat(id);
    }
  }

  sendHeartbeat(id: string): void {
    this.scheduler.heartbeatReceived(
      {
        machine: id,
        addr: id,
        type: "small",
        zone: "east",
        spot: false,
        workerEpoch: 1,
        sequence: ++this.sequence,
        fencingToken: this.knownToken,
        reclaimNoticeSeconds: null,
        tasks: [...this.tasks.get(id)!.values()],
      },
      "a",
      instant(this.now),
    );
  }

  /** Runs the scheduler, carries out its commands and returns the number of its decisions. */
  step(): number {
    const decisions = this.scheduler.step(instant(this.now));
    for (const decision of decisions) if (decision.kind === "commands") this.execute(decision);
    return decisions.length;
  }

  private execute(decision: Extract<Decision, { kind: "commands" }>): void {
    const tasks = this.tasks.get(decision.machine)!;
    for (const { op, job: id, index, attempt } of decision.commands) {
      const key = `${id}/${index}#${attempt}`;
      if (op === "start") tasks.set(key, { job: id, index, attempt, state: "running", exitReason: null });
      else if (op === "forget") tasks.delete(key);
      else tasks.set(key, { job: id, index, attempt, state: "exited", exitReason: "stopped" });
    }
    this.sendHeartbeat(decision.machine);
    this.scheduler.commandsAnswered(
      decision.machine,
      decision.commands,
      decision.fencingToken,
      "done",
      instant(this.now),
    );
  }

  /** On one machine a task of an array ends; the machine sends a heartbeat, and the scheduler decides. */
  finishOneTask(eventNumber: number): void {
    this.now += 10;
    const ids = [...this.tasks.keys()];
    const id = ids[(eventNumber * 37) % ids.length]!;
    const tasks = this.tasks.get(id)!;
    for (const [key, task] of tasks)
      if (task.state === "running" && this.scheduler.cluster.jobs.get(task.job)?.spec.kind === "array") {
        tasks.set(key, { ...task, state: "exited", exitReason: "done" });
        this.scheduler.finishesStored(task.job, [[task.index, task.index + 1]]);
        break;
      }
    this.sendHeartbeat(id);
    this.step();
  }
  taskCount(): number {
    return [...this.tasks.values()].reduce((sum, machineTasks) => sum + machineTasks.size, 0);
  }
}
