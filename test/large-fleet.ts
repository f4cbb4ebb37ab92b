/** Fleets of thousands of machines round the leader's core, and a count of what an event looks at. */
import * as Duration from "effect/Duration";
import type { Cluster } from "../src/core/cluster/cluster.js";
import type { JobSpec, TaskStatus } from "../src/core/records.js";
import { type Decision, Scheduler } from "../src/core/scheduler/scheduler.js";
import { leaseTimingsOf, fencingTokenOf } from "../src/core/leases/term.js";
import { instant } from "../src/core/time.js";
import { TYPES } from "./model.js";
import { jobSpec } from "./specs.js";

/** Counts every element that is looked at while one of the picture's collections is gone through. */
export const countVisits = (cluster: Cluster): { visits: number } => {
  const counter = { visits: 0 };
  const collections: unknown[] = [...Object.values(cluster), ...cluster.capacityIndex.buckets];
  for (const collection of collections) {
    if (!(collection instanceof Map || collection instanceof Set)) continue;
    for (const name of ["values", "keys", "entries", Symbol.iterator] as const) {
      const plain = (collection[name] as () => IterableIterator<unknown>).bind(collection);
      Object.defineProperty(collection, name, {
        value: function* () {
          for (const x of plain()) {
            counter.visits++;
            yield x;
          }
        },
      });
    }
  }
  return counter;
};

/** An array of a hundred tasks, the n-th of its fleet. */
export const largeFleetJob = (n: number, more: Partial<JobSpec>): JobSpec =>
  jobSpec({
    id: `req-${n}`,
    className: "routes",
    team: "red",
    tasks: 100,
    image: `img-${n % 10}`,
    estimate: Duration.seconds(35),
    ...more,
  });

/** A fleet that is full, with work waiting; every machine answers at once. */
export class LargeFleet {
  now = 1000;
  readonly s: Scheduler;
  readonly tasks = new Map<string, Map<string, TaskStatus>>();
  /** The token that the machines know. */
  token = fencingTokenOf(1);
  private seq = 0;

  constructor(machines: number, arrays: number, services: number) {
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
    this.s = new Scheduler(options, term, 10, instant(0));
    this.s.setMachineTypes(TYPES);
    for (let i = 0; i < machines; i++) {
      const id = `n-${i}`;
      this.s.machineRecorded(
        id,
        { type: "small", zone: i % 2 === 0 ? "east" : "west", spot: false, addr: id },
        instant(0),
      );
      this.tasks.set(id, new Map());
      this.report(id);
    }
    let n = 0;
    while (n < services)
      this.s.jobReleased(
        largeFleetJob(n, { kind: "service", priority: "production", tasks: 2, cpus: 2, spot: false }),
        20 + n++,
        instant(this.now),
      );
    while (n < services + arrays) this.s.jobReleased(largeFleetJob(n, {}), 20 + n++, instant(this.now));
    for (let i = 0; i < 400 && this.step() > 0; i++) {
      this.now += 50;
      if (i % 40 === 0) for (const id of this.tasks.keys()) this.report(id);
    }
  }

  report(id: string): void {
    this.s.heartbeatReceived(
      {
        machine: id,
        addr: id,
        type: "small",
        zone: "east",
        spot: false,
        workerEpoch: 1,
        sequence: ++this.seq,
        fencingToken: this.token,
        reclaimNoticeSeconds: null,
        tasks: [...this.tasks.get(id)!.values()],
      },
      "a",
      instant(this.now),
    );
  }

  /** How many orders there were. */
  step(): number {
    const decisions = this.s.step(instant(this.now));
    for (const decision of decisions) if (decision.kind === "commands") this.execute(decision);
    return decisions.length;
  }

  private execute(d: Extract<Decision, { kind: "commands" }>): void {
    const tasks = this.tasks.get(d.machine)!;
    for (const { op, job: id, index, attempt } of d.commands) {
      const key = `${id}/${index}#${attempt}`;
      if (op === "start") tasks.set(key, { job: id, index, attempt, state: "running", exitReason: null });
      else if (op === "forget") tasks.delete(key);
      else tasks.set(key, { job: id, index, attempt, state: "exited", exitReason: "stopped" });
    }
    this.report(d.machine);
    this.s.commandsAnswered(d.machine, d.commands, d.fencingToken, "done", instant(this.now));
  }

  /** One array task ends somewhere; its machine reports, and the leader decides. */
  event(n: number): void {
    this.now += 10;
    const ids = [...this.tasks.keys()];
    const id = ids[(n * 37) % ids.length]!;
    const tasks = this.tasks.get(id)!;
    for (const [key, task] of tasks)
      if (task.state === "running" && this.s.cluster.jobs.get(task.job)?.spec.kind === "array") {
        tasks.set(key, { ...task, state: "exited", exitReason: "done" });
        this.s.finishesStored(task.job, [[task.index, task.index + 1]]);
        break;
      }
    this.report(id);
    this.step();
  }
  running(): number {
    return [...this.tasks.values()].reduce((sum, t) => sum + t.size, 0);
  }
}
