/** What every part of the leader's core looks at: its picture, its term, the machine types and its options. */
import * as Duration from "effect/Duration";
import { type Cluster, type Machine, newCluster, setMachine } from "./cluster.js";
import type { FleetOptions } from "./fleet.js";
import { usable } from "./placement.js";
import type { Usage } from "./quota.js";
import type { MachineType, Team, TermRecord } from "./records.js";
import type { Spans } from "./term.js";
import { type Instant, passed } from "./time.js";
import { ZoneWatch } from "./zones.js";

export interface SchedulerOptions {
  readonly spans: Spans;
  readonly teams: ReadonlyMap<string, Team>;
  readonly fleet: FleetOptions;
  /** How soon users expect tasks of a class to start, from the platform's objectives. */
  readonly startGoals: ReadonlyMap<string, Duration.Duration>;
}

export class SchedulerContext {
  readonly cluster: Cluster = newCluster();
  types: readonly MachineType[] = [];
  typeByName = new Map<string, MachineType>();
  /** How long after its last message a machine may be given work. */
  readonly fresh: Duration.Duration;

  constructor(
    readonly options: SchedulerOptions,
    public term: TermRecord,
    public termBegan: Instant,
    /** Jobs not older than this revision were never in an older leader's hands. */
    readonly since: number,
    readonly zones = new ZoneWatch(),
  ) {
    this.fresh = Duration.sum(Duration.times(options.spans.reportEvery, 1.25), Duration.millis(1500));
  }

  setTypes(types: readonly MachineType[]): void {
    this.types = types;
    this.typeByName = new Map(types.map((t) => [t.name, t]));
    for (const m of this.cluster.machines.values()) this.applyType(m);
  }

  applyType(m: Machine): void {
    const type = this.typeByName.get(m.type);
    if (type === undefined) return;
    const { cpus, gpus, memoryGb, cacheGb } = type;
    setMachine(this.cluster, m, { cpus, gpus, memoryGb, cacheGb });
  }

  readonly usable = (m: Machine, now: Instant): boolean =>
    usable(m, now, this.fresh) && !this.unrenewed(m, now);

  /** Whether tasks may be started on it now: no batch is on its way, and nothing of unknown size is on it (S6). */
  isReady(machine: Machine, now: Instant): boolean {
    return this.usable(machine, now) && !machine.inFlight && !this.cluster.strayOn.has(machine);
  }

  /** It answers direct questions, but its reports reach nobody: its lease runs out, with all that is on it. */
  unrenewed(m: Machine, now: Instant): boolean {
    const span = Duration.sum(this.fresh, this.options.spans.reportEvery);
    return m.renewed !== null && passed(now, m.renewed, span);
  }

  usageOf(team: string): Usage {
    return this.cluster.usage.get(team) ?? { cpus: 0, gpus: 0 };
  }
}
